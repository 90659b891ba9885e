//! From a checked request to a target's answer: turns, targets, exchanges.

mod demand_task;
mod dispatch_desk;
mod pool_desk;
mod request_forward;
mod request_run;
mod run_turn;
mod target_load;
mod target_word;

pub(crate) use {
    demand_task::start,
    dispatch_desk::{DispatchDesk, await_turn, choose_pool, pump_all},
    pool_desk::TargetSeat,
    request_forward::{
        FORWARD_TIME_MIN, ForwardEnd, ForwardedRequest, HEADER_FORWARDED, choose_peer, forward,
        forwarded_headers,
    },
    request_run::{RequestCarry, carry_request},
    run_turn::RunTurn,
    target_load::TargetResult,
    target_word::{instance_quiet, running_for},
};
