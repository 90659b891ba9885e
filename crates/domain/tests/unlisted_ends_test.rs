//! Tests of workers whose reports leave run ends out. A run in neither list may be done, and its
//! task must not start again before its end is known (review case 1).

mod samples;
mod start_samples;

use {
    dotterelshore_domain::{
        names::{JobName, WorkerName},
        schedule::{
            EndReason, EndedRun, FleetSchedule, JobRecord, JobState, OrderRule, ReportedRun,
            StartOrder, StartReply, WorkerOrder, WorkerReport,
        },
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    start_samples::{ordered_starts, sample_step},
    std::sync::Arc,
};

const LEASE_MS: u64 = 3_600;
const ORPHANS_MS: u64 = 6_000;
/// First run number of the next owner.
const NEXT_RUN_BASE: u32 = 1_000;

fn worker() -> WorkerName {
    WorkerName::try_from("w-1").expect("a name")
}

fn record(text: &str, count: u32) -> JobRecord {
    sample_job(text, sample_step(count, 1_000))
}

fn ended(number: u64, order: &StartOrder) -> EndedRun {
    EndedRun {
        number,
        task: order.task.clone(),
        run: order.run,
        reason: EndReason::Done,
        checkpoint: Arc::from(""),
    }
}

fn listing(clock_ms: u64, finished: Vec<EndedRun>) -> WorkerReport {
    WorkerReport {
        clock_ms,
        finished,
        ..WorkerReport::default()
    }
}

/// A report that lists an end and may leave others out.
fn cut_off(clock_ms: u64, finished: Vec<EndedRun>) -> WorkerReport {
    WorkerReport {
        may_have_more_ends: true,
        ..listing(clock_ms, finished)
    }
}

/// A schedule with one worker, and a clock.
struct ReportFixture {
    schedule: FleetSchedule,
    now_ms: u64,
}

impl ReportFixture {
    fn new(orphans_until_ms: u64) -> Self {
        let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, orphans_until_ms);
        schedule.upsert_worker(sample_worker("w-1", 64_000));
        Self {
            schedule,
            now_ms: NOW_MS,
        }
    }

    /// A schedule of the first owner, whose worker has reported.
    fn of_first_owner() -> Self {
        let mut fixture = Self::new(0);
        fixture.report(&WorkerReport::default());
        fixture
    }

    fn add(&mut self, record: JobRecord, run_base: u32) {
        self.schedule
            .add_job(record, None, run_base, self.now_ms, WALL_MS);
    }

    fn report(&mut self, report: &WorkerReport) -> Vec<WorkerOrder> {
        self.schedule
            .apply_report(&worker(), report, self.now_ms, WALL_MS)
    }

    fn starts(&mut self) -> Vec<StartOrder> {
        ordered_starts(&mut self.schedule, self.now_ms, WALL_MS)
    }

    /// Starts all tasks; the worker confirms them at 10 ms of its clock.
    fn start_all(&mut self) -> Vec<StartOrder> {
        let orders = self.starts();
        for order in &orders {
            let reply = StartReply::Started { clock_ms: 10 };
            self.schedule.apply_start_reply(
                &order.worker,
                &order.task,
                order.run,
                reply,
                self.now_ms,
            );
        }
        orders
    }

    /// Lists the remaining ends and checks that the job is done without another start.
    fn check_done(&mut self, job: &str, clock_ms: u64, ends: Vec<EndedRun>) {
        self.report(&listing(clock_ms, ends));
        assert_eq!(self.starts(), Vec::new(), "a task starts again");
        let batch = self.schedule.take_progress_batch();
        self.schedule.mark_progress_recorded(&batch);
        let name = JobName::try_from(job).expect("a name");
        assert_eq!(self.schedule.state(&name), Some(JobState::Completed));
    }
}

/// What happens to a run before the worker's list of ends is cut off ahead of its end.
fn run_beyond_the_listed_ends_stays(prepare: fn(&mut ReportFixture, &StartOrder)) {
    let mut fixture = ReportFixture::of_first_owner();
    fixture.add(record("j", 2), 0);
    let [first, second] = &*fixture.start_all() else {
        panic!("two starts");
    };
    prepare(&mut fixture, second);
    fixture.report(&cut_off(500, vec![ended(1, first)]));
    assert_eq!(fixture.starts(), Vec::new(), "its end may be done");
    fixture.check_done("j", 600, vec![ended(1, first), ended(2, second)]);
}

named_cases! { run_beyond_the_listed_ends_stays:
    running_run_beyond_the_listed_ends_stays(|_, _| {});
    unconfirmed_run_beyond_the_listed_ends_stays(|fixture, order| {
        let reply = StartReply::Unknown;
        let now_ms = fixture.now_ms;
        fixture
            .schedule
            .apply_start_reply(&order.worker, &order.task, order.run, reply, now_ms);
        stop_unconfirmed(fixture);
    });
}

/// Rules out unanswered starts; the worker confirms the stops at 400 ms of its clock.
fn stop_unconfirmed(fixture: &mut ReportFixture) {
    let now_ms = fixture.now_ms + 1_000;
    for order in fixture.schedule.tick(now_ms, false) {
        if let WorkerOrder::Stop(stop) = order {
            assert!(fixture.schedule.begin_stop(&stop, now_ms));
            fixture.schedule.confirm_stop(&stop, 400);
        }
    }
}

/// A run that is in no list of a whole report has ended or never began.
#[test]
fn run_that_a_whole_report_leaves_out_starts_again() {
    let mut fixture = ReportFixture::of_first_owner();
    fixture.add(record("j", 2), 0);
    let [first, second] = &*fixture.start_all() else {
        panic!("two starts");
    };
    fixture.report(&listing(500, vec![ended(1, first)]));
    let again = fixture.starts();
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].task, second.task);
}

/// The ends behind one of a job that is not known yet are not applied, so that their runs must
/// stay.
#[test]
fn run_whose_end_is_behind_one_of_an_unknown_job_stays() {
    let mut fixture = ReportFixture::new(NOW_MS + ORPHANS_MS);
    fixture.report(&WorkerReport::default());
    fixture.add(record("j", 1), 0);
    let [order] = &*fixture.start_all() else {
        panic!("one start");
    };
    let unknown = EndedRun {
        task: "late.0.0.0".parse().expect("a task"),
        ..ended(1, order)
    };
    let ends = vec![unknown, ended(2, order)];
    fixture.report(&listing(500, ends.clone()));
    assert_eq!(fixture.starts(), Vec::new(), "its end is listed as done");
    fixture.add(record("late", 1), NEXT_RUN_BASE);
    fixture.check_done("j", 600, ends);
}

/// A takeover from an owner that left `done` and `running` on a worker whose first report is cut
/// off after the end of `listed`.
struct Takeover {
    next: ReportFixture,
    orders: Vec<StartOrder>,
}

impl Takeover {
    fn new(is_unreachable: bool) -> Self {
        let mut earlier = ReportFixture::of_first_owner();
        earlier.add(record("j", 3), 0);
        let orders = earlier.start_all();
        assert!(earlier.schedule.renew_lease(&worker(), NOW_MS), "a lease");
        if is_unreachable {
            earlier.schedule.mark_unreachable(&worker());
        }
        let snapshots = earlier.schedule.worker_snapshots(NOW_MS);
        let mut next = ReportFixture::new(NOW_MS + ORPHANS_MS);
        next.add(record("j", 3), NEXT_RUN_BASE);
        for snapshot in snapshots {
            next.schedule.restore_worker(snapshot, NOW_MS);
        }
        next.schedule.upsert_worker(sample_worker("w-1", 64_000));
        Self { next, orders }
    }

    fn report_cut_off(&mut self) {
        let running = ReportedRun {
            task: self.orders[2].task.clone(),
            run: self.orders[2].run,
            checkpoint: Arc::from(""),
            progress_percent: 10.0,
            metric: 0.0,
        };
        let report = WorkerReport {
            running: vec![running],
            ..cut_off(500, vec![ended(1, &self.orders[0])])
        };
        self.next.report(&report);
        let snapshots = self.next.schedule.worker_snapshots(self.next.now_ms);
        self.next.schedule.finish_snapshot_write(&snapshots);
    }
}

/// The next owner must not start a task whose end the worker has not listed to it yet.
fn task_with_unlisted_end_waits_after_takeover(is_unreachable: bool) {
    let mut takeover = Takeover::new(is_unreachable);
    takeover.report_cut_off();
    let next = &mut takeover.next;
    assert!(next.schedule.renew_lease(&worker(), next.now_ms));
    next.now_ms += LEASE_MS;
    assert_eq!(next.starts(), Vec::new(), "its end may be done");
    let [first, second, third] = &*takeover.orders else {
        panic!("three starts");
    };
    let ends = vec![ended(1, first), ended(2, second), ended(3, third)];
    next.check_done("j", 600, ends);
}

named_cases! { task_with_unlisted_end_waits_after_takeover:
    task_of_a_reachable_worker_waits_for_its_end(false);
    task_of_an_unreachable_worker_waits_for_its_end(true);
}

/// An owner that has not seen all ends of a worker does not record the runs there as all that it
/// has.
#[test]
fn silent_worker_with_unlisted_ends_has_unknown_runs() {
    let mut takeover = Takeover::new(false);
    takeover.report_cut_off();
    let next = &mut takeover.next;
    let batch = next.schedule.take_progress_batch();
    next.schedule.mark_progress_recorded(&batch);
    next.schedule.mark_unreachable(&worker());
    let snapshots = next.schedule.worker_snapshots(next.now_ms);
    assert_eq!(snapshots[0].unreachable, None);
}

/// Ends that a worker never listed before its lease expired hold nothing back.
#[test]
fn task_starts_once_the_lease_of_its_worker_expired() {
    let mut takeover = Takeover::new(false);
    takeover.report_cut_off();
    let next = &mut takeover.next;
    next.schedule.upsert_worker(sample_worker("w-2", 64_000));
    let other = WorkerName::try_from("w-2").expect("a name");
    next.schedule
        .apply_report(&other, &WorkerReport::default(), next.now_ms, WALL_MS);
    next.schedule.mark_unreachable(&worker());
    next.now_ms += ORPHANS_MS + LEASE_MS;
    next.schedule.tick(next.now_ms, true);
    assert_eq!(next.starts().len(), 2, "the two tasks that are not done");
}
