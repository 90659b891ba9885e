//! The aggregates of dotterelshore and their rules.
//!
//! Nothing here knows a socket, a clock or an encoding: callers hand in what
//! they read and the time they saw, and write out what the aggregate decided.

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
