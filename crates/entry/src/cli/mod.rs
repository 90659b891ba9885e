//! Arguments, checked settings, and the launch.

mod entry_args;
mod entry_settings;
mod launch;

pub(crate) use {entry_args::TargetChoice, entry_settings::EntrySettings, launch::run};
