//! Calls to workers that other entries, the delegates, carry for the owner.
//!
//! The owner decides and the delegate only forwards: it keeps no lease, no list and no order of
//! its own, and sends nothing that it received too long ago.

mod call_carrier;
mod delegate_link;
mod link_frame;

pub(crate) use {
    call_carrier::carry_calls,
    delegate_link::{DelegateLink, LinkCalls, LinkEnd, LinkFault, open_link},
    link_frame::{WorkerCall, WorkerReply, WorkerTarget},
};
