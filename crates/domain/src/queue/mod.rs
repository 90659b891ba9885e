//! Waiting work: who goes next, and how much of a pool each entry may use.

mod fair_split;
mod waiting_line;

pub use {
    fair_split::{SplitClaim, fair_split, whole_split},
    waiting_line::{LineOrder, LineTicket, WaitingLine},
};
