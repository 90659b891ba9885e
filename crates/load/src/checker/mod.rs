//! Checks a recorded history against the invariants, using only events that callers, targets
//! and the platform recorded.

mod budget_check;
mod history_check;
mod invariant_violation;
mod key_check;
mod run_check;
mod table_check;

pub use {
    history_check::{check_history, read_folder},
    invariant_violation::{Invariant, InvariantViolation},
};
