//! Load driver: open-loop arrivals, response checks, latency measured from the intended send time.

mod arrival_plan;
mod caller_client;
mod load_report;
mod load_run;

pub use {
    arrival_plan::{ArrivalPlan, PlannedRequest},
    caller_client::{CallResult, CallerClient, CallerRequest},
    load_report::{LoadReport, TeamReport},
    load_run::{EntryChoice, run_load},
};
