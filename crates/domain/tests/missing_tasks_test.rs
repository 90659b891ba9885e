//! Tests of what a task that lasts is said to wait for while it is not at work.

mod lasting_run;
mod samples;

use {
    dotterelshore_domain::schedule::{
        FleetSchedule, MissingReason, MissingTasks, OrderRule, StartReply,
    },
    dotterelshore_testkit::named_cases,
    lasting_run::{WORKER_MILLI, job_name, lasting_step, report, stop_order, task, worker_name},
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
};

const LEASE_MS: u64 = 3_600;
const ORPHANS_MS: u64 = 6_000;
/// How long the schedule stays as it is before the second look.
const WAIT_MS: u64 = 1_500;

/// A schedule with the job and a worker of this size that has reported.
fn schedule_with(cpu_milli: u64, run_base: u32) -> FleetSchedule {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + ORPHANS_MS);
    schedule.upsert_worker(sample_worker("w-1", cpu_milli));
    schedule.apply_report(&worker_name("w-1"), &report(1, &[]), NOW_MS, WALL_MS);
    let job = sample_job("lasting", lasting_step());
    schedule.add_job(job, None, run_base, NOW_MS, WALL_MS);
    schedule.plan_starts(NOW_MS, WALL_MS, u64::MAX);
    schedule
}

fn reply(schedule: &mut FleetSchedule, reply: StartReply) {
    schedule.apply_start_reply(&worker_name("w-1"), &task(), 1, reply, NOW_MS);
}

fn task_waits_for(reason: Option<MissingReason>, prepare: fn() -> FleetSchedule) {
    let schedule = prepare();
    let mut watched = MissingTasks::default();
    watched.update(&schedule, NOW_MS, u64::MAX);
    let missing = watched.update(&schedule, NOW_MS + WAIT_MS, u64::MAX);
    let seen: Vec<_> = missing
        .iter()
        .map(|missing| (missing.reason, missing.missing_ms))
        .collect();
    let expected: Vec<_> = reason.into_iter().map(|reason| (reason, WAIT_MS)).collect();
    assert_eq!(seen, expected);
}

named_cases! { task_waits_for:
    task_waits_for_the_reply_to_its_start(Some(MissingReason::StartReply), || {
        schedule_with(WORKER_MILLI, 0)
    });
    task_waits_for_the_stop_that_rules_its_start_out(Some(MissingReason::RuledOutStart), || {
        let mut schedule = schedule_with(WORKER_MILLI, 0);
        reply(&mut schedule, StartReply::Unknown);
        schedule
    });
    task_waits_for_the_end_of_a_stop(Some(MissingReason::Stop), || {
        let mut schedule = schedule_with(WORKER_MILLI, 0);
        reply(&mut schedule, StartReply::Unknown);
        schedule.tick(NOW_MS + WAIT_MS, true);
        schedule.confirm_stop(&stop_order(1), 2);
        schedule
    });
    task_of_a_cancelled_job_is_not_missing(None, || {
        let mut schedule = schedule_with(1, 0);
        schedule.cancel(&job_name(), NOW_MS, WALL_MS);
        schedule
    });
    task_waits_for_the_lease_of_a_silent_worker(Some(MissingReason::SilentWorker), || {
        let mut schedule = schedule_with(WORKER_MILLI, 0);
        reply(&mut schedule, StartReply::Started { clock_ms: 2 });
        schedule.mark_unreachable(&worker_name("w-1"));
        schedule
    });
    task_waits_for_room(Some(MissingReason::Room), || schedule_with(1, 0));
    task_waits_for_a_worker(Some(MissingReason::Worker), || {
        let mut schedule = schedule_with(1, 0);
        schedule.set_cordon(&worker_name("w-1"), true);
        schedule
    });
    task_waits_for_workers_of_the_owner_before(Some(MissingReason::OrphanedRuns), || {
        let mut schedule = schedule_with(1, 1_000);
        schedule.upsert_worker(sample_worker("w-2", WORKER_MILLI));
        schedule.plan_starts(NOW_MS, WALL_MS, u64::MAX);
        schedule
    });
    task_at_work_is_not_missing(None, || {
        let mut schedule = schedule_with(WORKER_MILLI, 0);
        reply(&mut schedule, StartReply::Started { clock_ms: 2 });
        schedule
    });
}
