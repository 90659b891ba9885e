//! Queueing: the order in which work is dequeued, and the split of a pool's capacity.

mod fair_split;
mod wait_queue;

pub use {
    fair_split::{WeightedDemand, fair_split, round_split},
    wait_queue::{QueueDiscipline, QueuedItem, WaitQueue},
};
