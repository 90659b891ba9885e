//! Waiting work: who goes next, and how much of a pool each entry may use.

mod fair_split;
mod wait_queue;

pub use {
    fair_split::{SplitClaim, fair_split, round_split},
    wait_queue::{QueueDiscipline, WaitQueue, WaitTicket},
};
