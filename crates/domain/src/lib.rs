//! Domain aggregates of dotterelshore and their rules.
//!
//! Nothing here does I/O, reads a clock or encodes messages: callers pass in the
//! records they read and the current time, and persist the result.
//!
//! Two server processes use this crate. `dotterelshore-scheduler` uses [`schedule`], which has
//! rows, jobs and waves of its own, decoded from the formats of the users' platform.
//! `dotterelshore-entry` and the operators' command line use the other aggregates. Both share
//! [`names`], [`collections`] and [`retry`].

pub mod codes;
pub mod collections;
pub mod fleet;
pub mod job;
pub mod names;
pub mod queue;
pub mod request;
pub mod retry;
pub mod schedule;
pub mod table;
pub mod team;
pub mod wave;
