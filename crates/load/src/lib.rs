//! A load driver, experiments, and a checker of histories seen from outside.

pub mod checker;
pub mod deployment;
pub mod driver;
pub mod runs;
