//! Tests of tasks that wait for orphaned runs of earlier owners.

mod samples;

use {
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{FleetSchedule, OrderRule, StepPlan, WorkerReport, WorkerSnapshot},
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
};

const LEASE_MS: u64 = 3_600;
const ORPHANS_UNTIL_MS: u64 = NOW_MS + 6_000;
/// A planning pass after the orphaned runs would have ended.
const LATER_MS: u64 = ORPHANS_UNTIL_MS + 1;

/// A task of an earlier owner may be at work on a worker out of reach. It starts elsewhere once its run
/// has surely ended: the time for that passes while no other owner can renew its lease.
fn task_starts_elsewhere(plans: &[(u64, u64)], expected: &[usize]) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, ORPHANS_UNTIL_MS);
    let step = StepPlan {
        count: 1,
        ..StepPlan::default()
    };
    let job = sample_job("j-1", step);
    schedule.add_job(job, None, 1_000, NOW_MS, WALL_MS);
    let snapshot = WorkerSnapshot {
        listed: sample_worker("w-1", 8_000),
        unreachable: None,
    };
    schedule.restore_worker(snapshot, NOW_MS);
    for name in ["w-1", "w-2"] {
        schedule.upsert_worker(sample_worker(name, 8_000));
    }
    let silent = WorkerName::try_from("w-1").expect("a name");
    schedule.mark_unreachable(&silent);
    let other = WorkerName::try_from("w-2").expect("a name");
    schedule.apply_report(&other, &WorkerReport::default(), NOW_MS, WALL_MS);
    let starts = plans.iter().map(|(now_ms, sole_until_ms)| {
        let orders = schedule.plan_starts(*now_ms, WALL_MS, *sole_until_ms);
        orders.len()
    });
    assert_eq!(starts.collect::<Vec<_>>(), expected);
}

named_cases! { task_starts_elsewhere:
    task_waits_while_orphaned_runs_may_go_on(&[(NOW_MS, u64::MAX)], &[0]);
    task_starts_after_the_end_of_orphaned_runs(&[(LATER_MS, u64::MAX)], &[1]);
    task_waits_while_another_owner_may_renew_orphaned_runs(&[(LATER_MS, ORPHANS_UNTIL_MS)], &[0]);
    task_starts_once_ownership_is_confirmed_again(
        &[(LATER_MS, ORPHANS_UNTIL_MS - 500), (LATER_MS + 300, LATER_MS + 1_200)], &[0, 1]
    );
    task_starts_if_orphaned_runs_ended_under_one_owner(&[(LATER_MS + 900, LATER_MS + 100)], &[1]);
}
