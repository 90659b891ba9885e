//! Tests of the notices of runs that the owner did not expect.

mod samples;
mod start_samples;

use {
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{
            EndReason, EndedRun, FleetSchedule, KnownRun, OrderRule, ReportedRun, RunNotice,
            StartOrder, StartReply, WorkerReport,
        },
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    start_samples::{ordered_starts, sample_step},
    std::sync::Arc,
};

const LEASE_MS: u64 = 3_600;

/// A schedule with two workers and a task at work on one of them.
struct NoticeScene {
    schedule: FleetSchedule,
    order: StartOrder,
    other: WorkerName,
}

impl NoticeScene {
    fn new() -> Self {
        let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
        for name in ["w-1", "w-2"] {
            schedule.upsert_worker(sample_worker(name, 8_000));
            let worker = WorkerName::try_from(name).expect("a name");
            schedule.apply_report(&worker, &WorkerReport::default(), NOW_MS, WALL_MS);
        }
        let job = sample_job("j-1", sample_step(1, 1_000));
        schedule.add_job(job, None, 0, NOW_MS, WALL_MS);
        let order = ordered_starts(&mut schedule, NOW_MS, WALL_MS).remove(0);
        let reply = StartReply::Started { clock_ms: 10 };
        schedule.apply_start_reply(&order.worker, &order.task, order.run, reply, NOW_MS);
        let names = ["w-1", "w-2"].map(|name| WorkerName::try_from(name).expect("a name"));
        let mut names = names.into_iter();
        let other = names.find(|name| *name != order.worker);
        Self {
            schedule,
            other: other.expect("two workers"),
            order,
        }
    }

    /// Returns the run of the task with this number on a worker.
    fn run(&self, run: u32, worker: &WorkerName) -> KnownRun {
        KnownRun {
            task: self.order.task.clone(),
            run,
            worker: worker.clone(),
        }
    }
}

/// A report, at 20 ms of its worker's clock, of runs at work and ended by their numbers.
fn notices(
    running: &[u32],
    ended: &[u32],
    from_other: bool,
    expected: impl Fn(&NoticeScene) -> Vec<RunNotice>,
) {
    let mut scene = NoticeScene::new();
    let task = scene.order.task.clone();
    let running = running.iter().map(|run| ReportedRun {
        task: task.clone(),
        run: *run,
        checkpoint: Arc::from(""),
        progress_percent: 1.0,
        metric: 0.0,
    });
    let ended = (1..).zip(ended).map(|(number, run)| EndedRun {
        number,
        task: task.clone(),
        run: *run,
        reason: EndReason::Done,
        checkpoint: Arc::from(""),
    });
    let report = WorkerReport {
        clock_ms: 20,
        running: running.collect(),
        finished: ended.collect(),
        ..WorkerReport::default()
    };
    let worker = if from_other {
        &scene.other
    } else {
        &scene.order.worker
    };
    scene
        .schedule
        .apply_report(worker, &report, NOW_MS + 10, WALL_MS);
    let expected = expected(&scene);
    assert_eq!(scene.schedule.take_run_notices(), expected);
    assert_eq!(scene.schedule.take_run_notices(), [], "taken twice");
}

named_cases! { notices:
    expected_run_is_no_news(&[1], &[], false, |_| Vec::new());
    expected_end_is_no_news(&[], &[1], false, |_| Vec::new());
    second_run_is_noticed(&[9], &[], true, |scene| {
        let found = scene.run(9, &scene.other);
        let known = scene.run(1, &scene.order.worker);
        vec![RunNotice::SecondRun { found, known }]
    });
    end_of_unknown_run_is_noticed(&[], &[9], true, |scene| {
        let found = scene.run(9, &scene.other);
        let known = scene.run(1, &scene.order.worker);
        vec![RunNotice::UnknownEnd { found, reason: EndReason::Done, known }]
    });
    unlisted_run_is_noticed(&[], &[], false, |scene| {
        let released = scene.run(1, &scene.order.worker);
        vec![RunNotice::NotListed { released }]
    });
}
