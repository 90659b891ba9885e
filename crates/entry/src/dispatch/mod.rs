//! Dispatch of validated requests and jobs: scheduling, grants and exchanges with targets.

mod demand_task;
mod pool_scheduler;
mod request_dispatch;
mod request_forward;
mod run_grant;
mod scheduler_registry;
mod target_load;
mod target_query;

pub(crate) use {
    demand_task::start,
    pool_scheduler::TargetEndpoint,
    request_dispatch::{RequestDispatch, dispatch_request},
    request_forward::{
        FORWARD_TIME_MIN, ForwardOutcome, ForwardedRequest, HEADER_FORWARDED, choose_peer, forward,
        forwarded_headers,
    },
    run_grant::RunGrant,
    scheduler_registry::{SchedulerRegistry, await_grant, choose_pool, grant_all_slots},
    target_load::TargetOutcome,
    target_query::{is_instance_idle, running_for_entry},
};
