//! Command-line arguments, validated settings, and the launch of an entry.

mod entry_args;
mod entry_settings;
mod launch;

pub(crate) use {entry_args::TargetChoice, entry_settings::EntrySettings, launch::run};
