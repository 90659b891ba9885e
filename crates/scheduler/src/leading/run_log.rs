//! Logs what was learned about runs that the schedule did not expect, and counts it.

use {
    crate::node::SchedulerNode,
    dotterelshore_domain::schedule::{DroppedRuns, RunNotice, TaskName},
    dotterelshore_wire::log_event,
};

/// Runs that one log line names, so that no line is too long for a reader.
const RUNS_PER_LINE: usize = 8;
/// Notices of one planning pass that are logged, so that a worker with many runs floods no log.
const NOTICES_PER_PASS: usize = 64;

/// Splits runs into lists of tasks and their run numbers, one for each log line.
pub(super) fn run_lists(runs: &[(TaskName, u32)]) -> impl Iterator<Item = String> {
    runs.chunks(RUNS_PER_LINE).map(|chunk| {
        let runs = chunk.iter().map(|(task, run)| format!("{task}:{run}"));
        runs.collect::<Vec<_>>().join(",")
    })
}

/// Logs the runs that left the schedule without a report of their end.
pub(super) fn log_dropped(dropped: &[DroppedRuns]) {
    for dropped in dropped {
        for tasks in run_lists(&dropped.runs) {
            log_event!(
                Warn,
                "runs-dropped",
                worker = dropped.worker,
                reason = format!("{:?}", dropped.reason),
                runs = dropped.runs.len(),
                tasks = tasks
            );
        }
    }
}

/// Counts notices, and logs the first ones.
pub(super) fn log_run_notices(node: &SchedulerNode, notices: &[RunNotice]) {
    for notice in notices {
        node.metrics.count_run_notice(label(notice));
    }
    for notice in notices.iter().take(NOTICES_PER_PASS) {
        log_notice(notice);
    }
}

fn log_notice(notice: &RunNotice) {
    match notice {
        RunNotice::SecondRun { found, known } => log_event!(
            Warn,
            "second-run",
            task = found.task,
            run = found.run,
            worker = found.worker,
            known_run = known.run,
            known_worker = known.worker
        ),
        RunNotice::UnknownEnd {
            found,
            reason,
            known,
        } => log_event!(
            Warn,
            "unknown-run-ended",
            task = found.task,
            run = found.run,
            worker = found.worker,
            reason = format!("{reason:?}"),
            known_run = known.run,
            known_worker = known.worker
        ),
        RunNotice::NotListed { released } => log_event!(
            Info,
            "run-not-listed",
            task = released.task,
            run = released.run,
            worker = released.worker
        ),
        RunNotice::Superseded { released, by_run } => log_event!(
            Info,
            "run-superseded",
            task = released.task,
            run = released.run,
            worker = released.worker,
            by_run = by_run
        ),
    }
}

fn label(notice: &RunNotice) -> &'static str {
    match notice {
        RunNotice::SecondRun { .. } => "second-run",
        RunNotice::UnknownEnd { .. } => "unknown-run-ended",
        RunNotice::NotListed { .. } => "run-not-listed",
        RunNotice::Superseded { .. } => "run-superseded",
    }
}
