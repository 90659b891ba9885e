//! Judging a history: each promise from the callers', targets' and platform's sides only.

mod budget_check;
mod history_check;
mod key_check;
mod promise_breach;
mod run_check;
mod table_check;

pub use {
    history_check::{check_history, read_folder},
    promise_breach::{Promise, PromiseBreach},
};
