//! Permits: what this entry may have running of each team, and how permits move.

mod hand_over;
mod permit_desk;
mod permit_task;

pub(crate) use {
    hand_over::give_permits,
    permit_desk::PermitDesk,
    permit_task::{reclaim, return_all, start},
};
