//! Tests of the number of a queue's jobs that have not begun.

mod samples;
mod start_samples;

use {
    dotterelshore_domain::schedule::{
        EndReason, EndedRun, FleetSchedule, JobRecord, JobState, OrderRule, ReportedRun,
        StartOrder, StartRefusal, StartReply, WorkerReport,
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    start_samples::{ordered_starts, sample_step},
    std::sync::Arc,
};

/// Worker lease, in milliseconds.
const LEASE_MS: u64 = 4_000;

/// A schedule that has ordered the start of a job's only task.
fn with_start_ordered(record: JobRecord) -> (FleetSchedule, StartOrder) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    let listed = sample_worker("w-0", 64_000);
    let worker = listed.name.clone();
    schedule.upsert_worker(listed);
    schedule.apply_report(&worker, &WorkerReport::default(), NOW_MS, WALL_MS);
    schedule.add_job(record, None, 0, NOW_MS, WALL_MS);
    let start = ordered_starts(&mut schedule, NOW_MS, WALL_MS).pop();
    (schedule, start.expect("a start"))
}

fn reply(schedule: &mut FleetSchedule, start: &StartOrder, reply: StartReply) {
    schedule.apply_start_reply(&start.worker, &start.task, start.run, reply, NOW_MS);
}

fn report(schedule: &mut FleetSchedule, start: &StartOrder, report: &WorkerReport) {
    schedule.apply_report(&start.worker, report, NOW_MS, WALL_MS);
}

/// The pending count was 0 while most jobs waited for workers that left their starts unanswered
/// (review case 5).
fn job_is_pending(apply: fn(&mut FleetSchedule, &StartOrder), expected: usize) {
    let record = sample_job("job", sample_step(1, 2_000));
    let (name, queue) = (record.name.clone(), record.queue.clone());
    let (mut schedule, start) = with_start_ordered(record);
    apply(&mut schedule, &start);
    assert_eq!(schedule.pending(&queue), expected);
    let queued = schedule.state(&name) == Some(JobState::Queued);
    assert_eq!(queued, expected == 1, "{:?}", schedule.state(&name));
}

named_cases! { job_is_pending:
    job_with_ordered_start_is_pending(|_, _| {}, 1);
    job_with_unanswered_start_is_pending(|schedule, start| {
        reply(schedule, start, StartReply::Unknown);
    }, 1);
    job_with_refused_start_is_pending(|schedule, start| {
        reply(schedule, start, StartReply::Refused(StartRefusal::NoRoom));
    }, 1);
    job_with_confirmed_start_is_not_pending(|schedule, start| {
        reply(schedule, start, StartReply::Started { clock_ms: 1 });
    }, 0);
    job_with_reported_run_is_not_pending(|schedule, start| {
        reply(schedule, start, StartReply::Unknown);
        let running = ReportedRun {
            task: start.task.clone(),
            run: start.run,
            checkpoint: Arc::from(""),
            progress_percent: 10.0,
            metric: 0.0,
        };
        let running = WorkerReport { running: vec![running], ..WorkerReport::default() };
        report(schedule, start, &running);
    }, 0);
    job_with_ended_run_is_not_pending(|schedule, start| {
        let end = EndedRun {
            number: 1,
            task: start.task.clone(),
            run: start.run,
            reason: EndReason::Failed,
            checkpoint: Arc::from(""),
        };
        let ended = WorkerReport { finished: vec![end], ..WorkerReport::default() };
        report(schedule, start, &ended);
    }, 0);
}
