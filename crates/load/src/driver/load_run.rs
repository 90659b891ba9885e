//! Sending a plan's requests at their times, whatever the answers do.

use {
    super::{
        arrival_plan::{ArrivalPlan, PlannedRequest},
        caller_link::{CallResult, CallerLink},
        run_report::RunReport,
    },
    crate::deployment::DeploymentView,
    dotterelshore_domain::codes::RunOutcome,
    std::time::{Duration, Instant},
    tokio::task::JoinSet,
};

/// Which entry a request goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChoice {
    /// Each in turn, as the platform's balancer does.
    InTurn,
    /// Each team mostly to an entry of its own.
    ByTeam,
}

/// Sends the plan's requests and waits for what becomes of them.
pub async fn run_load(
    deployment: &DeploymentView,
    plan: &ArrivalPlan,
    choice: EntryChoice,
) -> RunReport {
    let planned = plan.draw(&deployment.shape);
    let link = CallerLink::new(deployment.history.clone());
    let mut report = RunReport::new(plan.length, plan.counted_from);
    let mut open: JoinSet<(PlannedRequest, CallResult, Duration)> = JoinSet::new();
    let start = Instant::now();
    for (number, planned) in planned.into_iter().enumerate() {
        let due = start + planned.at;
        tokio::time::sleep_until(due.into()).await;
        let entry = deployment
            .entry_address(choose(deployment, &planned, number, choice))
            .to_string();
        let next = deployment.entry_address((number + 1) % deployment.entry_count());
        let again = plan.resubmit.then(|| next.to_string());
        let link = link.clone();
        open.spawn(async move {
            let result = link.call(&entry, &planned.request).await;
            let latency = due.elapsed();
            if let Some(next) = again.filter(|_| is_in_doubt(&result)) {
                let _judged_by_the_history = link.call(&next, &planned.request).await;
            }
            (planned, result, latency)
        });
        while let Some(Ok((planned, result, latency))) = open.try_join_next() {
            report.add(&planned, &result, latency);
        }
    }
    while let Some(Ok((planned, result, latency))) = open.join_next().await {
        report.add(&planned, &result, latency);
    }
    report
}

/// Whether a caller can't tell if the request ran.
fn is_in_doubt(result: &CallResult) -> bool {
    match result {
        CallResult::Lost | CallResult::Unreached => true,
        CallResult::Refused(problem) => problem.outcome == RunOutcome::OutcomeUnknown,
        CallResult::Whole | CallResult::Wrong => false,
    }
}

fn choose(
    deployment: &DeploymentView,
    planned: &PlannedRequest,
    number: usize,
    choice: EntryChoice,
) -> usize {
    /// Every so many requests of a team go to the next entry all the same.
    const STRAY_EVERY: usize = 10;
    let entries = deployment.entry_count();
    let team = deployment
        .shape
        .teams
        .iter()
        .position(|team| team.name == planned.request.team)
        .unwrap_or_default();
    match choice {
        EntryChoice::InTurn => number % entries,
        EntryChoice::ByTeam if number.is_multiple_of(STRAY_EVERY) => number / STRAY_EVERY % entries,
        EntryChoice::ByTeam => team % entries,
    }
}
