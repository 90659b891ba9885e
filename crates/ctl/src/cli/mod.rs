//! Command-line arguments, errors, and the launch of a command.

mod ctl_args;
mod ctl_fault;
mod launch;

pub(crate) use {
    ctl_args::{InstanceCommand, KeyCommand, WaveCommand, WaveOrderArg},
    ctl_fault::CtlFault,
    launch::run,
};
