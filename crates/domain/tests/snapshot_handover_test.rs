//! Tests of worker snapshots that an owner leaves while its progress is not recorded.

mod samples;
mod start_samples;

use {
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{
            EndReason, EndedRun, FleetSchedule, OrderRule, StartReply, StepPlan, WorkerReport,
        },
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    start_samples::{ordered_starts, sample_step},
    std::sync::Arc,
};

const LEASE_MS: u64 = 3_600;
const ORPHANS_MS: u64 = 6_000;

/// What became of the record of the end before the owner leaves.
#[derive(Clone, Copy, PartialEq)]
enum EndRecord {
    Stored,
    NotWritten,
    /// Its write was given up when the owner began to leave; the owner then writes its final state.
    GivenUp,
}

/// A task is done on a worker that then falls silent, and the owner leaves. The next owner must
/// not start it again while the worker may still list that end.
fn done_task_is_not_restarted(record_state: EndRecord) {
    let step = sample_step(1, 1_000);
    let later = StepPlan {
        after: vec![0],
        ..step.clone()
    };
    let mut record = sample_job("j-1", step);
    record.plan.steps.push(later);
    let worker = WorkerName::try_from("w-1").expect("a name");
    let mut earlier = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    earlier.upsert_worker(sample_worker("w-1", 8_000));
    earlier.apply_report(&worker, &WorkerReport::default(), NOW_MS, WALL_MS);
    earlier.add_job(record.clone(), None, 0, NOW_MS, WALL_MS);
    let started = ordered_starts(&mut earlier, NOW_MS, WALL_MS);
    let [order] = &*started else {
        panic!("one start, not {started:?}");
    };
    assert!(earlier.renew_lease(&worker, NOW_MS), "a lease");
    let reply = StartReply::Started { clock_ms: 10 };
    earlier.apply_start_reply(&worker, &order.task, order.run, reply, NOW_MS);
    let end = EndedRun {
        number: 1,
        task: order.task.clone(),
        run: order.run,
        reason: EndReason::Done,
        checkpoint: Arc::from(""),
    };
    let report = WorkerReport {
        clock_ms: 500,
        finished: vec![end],
        ..WorkerReport::default()
    };
    earlier.apply_report(&worker, &report, NOW_MS, WALL_MS);
    let mut batch = earlier.take_progress_batch();
    if record_state == EndRecord::GivenUp {
        batch = earlier.take_progress_batch();
        earlier.mark_progress_recorded(&batch);
    }
    let progress = batch.records.first().map(|(_, progress)| progress);
    earlier.mark_unreachable(&worker);
    let snapshots = earlier.worker_snapshots(NOW_MS);

    let mut next = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + ORPHANS_MS);
    next.add_job(
        record,
        progress.filter(|_| record_state != EndRecord::NotWritten),
        1_000,
        NOW_MS,
        WALL_MS,
    );
    for snapshot in snapshots {
        next.restore_worker(snapshot, NOW_MS);
    }
    for name in ["w-1", "w-2"] {
        next.upsert_worker(sample_worker(name, 8_000));
    }
    let other = WorkerName::try_from("w-2").expect("a name");
    next.apply_report(&other, &WorkerReport::default(), NOW_MS, WALL_MS);
    let again = ordered_starts(&mut next, NOW_MS, WALL_MS);
    assert!(
        again.iter().all(|start| start.task != order.task),
        "{} starts again though the silent worker lists its end",
        order.task
    );
}

named_cases! { done_task_is_not_restarted:
    recorded_task_is_not_restarted(EndRecord::Stored);
    unrecorded_task_is_not_restarted(EndRecord::NotWritten);
    task_whose_record_was_given_up_is_not_restarted(EndRecord::GivenUp);
}
