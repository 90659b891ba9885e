//! Runs.
