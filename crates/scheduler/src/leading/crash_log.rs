//! Logs what was learned about the causes of workers' crashes, and counts it.

use {
    crate::node::SchedulerNode,
    dotterelshore_domain::schedule::{CrashNotice, CrashedRun},
    dotterelshore_wire::log_event,
};

/// Logs and counts notices.
pub(super) fn log_crash_notices(node: &SchedulerNode, notices: &[CrashNotice]) {
    for notice in notices {
        node.metrics.count_crash(label(notice));
        log_notice(notice);
    }
}

fn log_notice(notice: &CrashNotice) {
    match notice {
        CrashNotice::Suspected {
            task,
            worker,
            crash,
            crashes,
        } => log_event!(
            Info,
            "task-suspected",
            task = task,
            run = crash.run,
            worker = worker,
            age_ms = crash.age_ms,
            age_max_ms = crash.age_max_ms,
            crashes = crashes,
            likely = crash.likely,
            alone = crash.alone,
            confirmed = crash.confirmed
        ),
        CrashNotice::Confirmed { task, run } => {
            log_event!(Info, "crash-confirmed", task = task, run = run);
        }
        CrashNotice::Unexplained { worker } => {
            log_event!(Info, "crash-unexplained", worker = worker);
        }
        CrashNotice::TrialPlanned { job, worker } => {
            log_event!(Info, "trial-planned", job = job, worker = worker);
        }
        CrashNotice::Cleared { task } => log_event!(Info, "suspicion-cleared", task = task),
        CrashNotice::GivenUp { task, crashes } => log_event!(
            Warn,
            "job-given-up",
            job = task.job,
            task = task,
            crashes = crashes.len(),
            proofs = crashes.iter().filter(|crash| crash.is_proof()).count(),
            runs = run_numbers(crashes)
        ),
    }
}

fn run_numbers(crashes: &[CrashedRun]) -> String {
    let numbers = crashes.iter().map(|crash| crash.run.to_string());
    numbers.collect::<Vec<_>>().join(",")
}

/// The label under which a notice is counted.
fn label(notice: &CrashNotice) -> &'static str {
    match notice {
        CrashNotice::Suspected { .. } => "suspected",
        CrashNotice::Confirmed { .. } => "confirmed",
        CrashNotice::Unexplained { .. } => "unexplained",
        CrashNotice::TrialPlanned { .. } => "trial",
        CrashNotice::Cleared { .. } => "cleared",
        CrashNotice::GivenUp { .. } => "given-up",
    }
}
