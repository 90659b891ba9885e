//! Open-loop load run: sends each request at its planned time, whether or not earlier ones have
//! completed.

use {
    super::{
        arrival_plan::{ArrivalPlan, PlannedRequest},
        caller_client::{CallResult, CallerClient},
        load_report::LoadReport,
    },
    crate::deployment::DeploymentView,
    dotterelshore_domain::codes::RunOutcome,
    std::time::{Duration, Instant},
    tokio::task::JoinSet,
};

/// How the entry of each request is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChoice {
    /// Round robin over the entries, as the platform's load balancer does.
    RoundRobin,
    /// Most requests of a team go to the same entry.
    TeamAffinity,
}

/// Sends the planned requests and returns the report when all have a result.
pub async fn run_load(
    deployment: &DeploymentView,
    plan: &ArrivalPlan,
    choice: EntryChoice,
) -> LoadReport {
    let planned = plan.draw(&deployment.shape);
    let client = CallerClient::new(deployment.history.clone());
    let mut report = LoadReport::new(plan.duration, plan.warm_up);
    let mut in_flight: JoinSet<(PlannedRequest, CallResult, Duration)> = JoinSet::new();
    let start = Instant::now();
    for (number, planned) in planned.into_iter().enumerate() {
        let send_time = start + planned.at;
        tokio::time::sleep_until(send_time.into()).await;
        let entry = deployment
            .entry_address(choose_entry(deployment, &planned, number, choice))
            .to_string();
        let next = deployment.entry_address((number + 1) % deployment.entry_count());
        let retry_entry = plan.resubmit.then(|| next.to_string());
        let client = client.clone();
        in_flight.spawn(async move {
            let result = client.call(&entry, &planned.request).await;
            let latency = send_time.elapsed();
            if let Some(next) = retry_entry.filter(|_| is_outcome_unknown(&result)) {
                let _recorded_in_history = client.call(&next, &planned.request).await;
            }
            (planned, result, latency)
        });
        while let Some(Ok((planned, result, latency))) = in_flight.try_join_next() {
            report.add(&planned, &result, latency);
        }
    }
    while let Some(Ok((planned, result, latency))) = in_flight.join_next().await {
        report.add(&planned, &result, latency);
    }
    report
}

/// Returns whether no response states if the request ran.
fn is_outcome_unknown(result: &CallResult) -> bool {
    match result {
        CallResult::Lost | CallResult::Unreachable => true,
        CallResult::Refused(problem) => problem.outcome == RunOutcome::OutcomeUnknown,
        CallResult::Complete | CallResult::Incorrect => false,
    }
}

fn choose_entry(
    deployment: &DeploymentView,
    planned: &PlannedRequest,
    number: usize,
    choice: EntryChoice,
) -> usize {
    /// With team affinity, one request in this many goes to the entries in round-robin order.
    const SPREAD_INTERVAL: usize = 10;
    let entries = deployment.entry_count();
    let team = deployment
        .shape
        .teams
        .iter()
        .position(|team| team.name == planned.request.team)
        .unwrap_or_default();
    match choice {
        EntryChoice::RoundRobin => number % entries,
        EntryChoice::TeamAffinity if number.is_multiple_of(SPREAD_INTERVAL) => {
            number / SPREAD_INTERVAL % entries
        }
        EntryChoice::TeamAffinity => team % entries,
    }
}
