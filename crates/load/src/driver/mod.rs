//! Load driver: open-loop arrivals, response checks, latency measured from the intended send time.

mod arrival_plan;
mod caller_client;
mod load_run;
mod run_report;

pub use {
    arrival_plan::{ArrivalPlan, PlannedRequest},
    caller_client::{CallResult, CallerClient, CallerRequest},
    load_run::{EntryChoice, run_load},
    run_report::{RunReport, TeamReport},
};
