//! Load driver, experiments and history checker.

pub mod checker;
pub mod deployment;
pub mod driver;
pub mod runs;
