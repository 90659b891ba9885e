//! Domain aggregates of dotterelshore and their rules.
//!
//! Nothing here does I/O, reads a clock or encodes messages: callers pass in the
//! records they read and the current time, and persist the result.

pub mod codes;
pub mod collections;
pub mod fleet;
pub mod job;
pub mod names;
pub mod queue;
pub mod request;
pub mod schedule;
pub mod table;
pub mod team;
pub mod wave;
