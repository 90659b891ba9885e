//! Tests of the parts of the worker snapshots that a change of the fleet makes outdated.

mod samples;

use {
    dotterelshore_domain::{
        names::WorkerName,
        schedule::{
            FleetSchedule, ListedWorker, OrderRule, SnapshotShard, StepPlan, StoredSnapshots,
            UnreachableRuns, WorkerReport, WorkerSnapshot, storable_snapshots,
        },
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
};

/// Worker lease, in milliseconds.
const LEASE_MS: u64 = 4_000;
const WORKERS: usize = 1_100;

fn listed(number: usize) -> ListedWorker {
    sample_worker(&format!("w-{number}"), 4_000)
}

fn report(schedule: &mut FleetSchedule, name: &WorkerName) {
    let report = WorkerReport {
        clock_ms: 10,
        ..WorkerReport::default()
    };
    schedule.apply_report(name, &report, NOW_MS, WALL_MS);
}

/// A fleet whose snapshots are stored.
fn stored_fleet() -> (FleetSchedule, StoredSnapshots) {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    for number in 0..WORKERS {
        schedule.upsert_worker(listed(number));
        report(&mut schedule, &listed(number).name);
    }
    let mut stored = StoredSnapshots::default();
    let all: Vec<_> = SnapshotShard::all().collect();
    assert_eq!(
        stored.outdated_shards(&schedule, NOW_MS),
        all,
        "none is written"
    );
    stored.begin_write(&all);
    stored.finish_write(&all, &schedule.snapshots_in(&all, NOW_MS));
    assert!(stored.is_complete());
    (schedule, stored)
}

/// A change of one worker.
type WorkerChange = fn(&mut FleetSchedule, &WorkerName);

/// After a change of one worker, so many shards are outdated, and these list that worker.
fn change_outdates(change: WorkerChange, shards: usize) {
    let (mut schedule, mut stored) = stored_fleet();
    let name = listed(7).name;
    change(&mut schedule, &name);
    let outdated = stored.outdated_shards(&schedule, NOW_MS);
    assert_eq!(outdated.len(), shards, "{outdated:?}");
    stored.begin_write(&outdated);
    let snapshots = schedule.snapshots_in(&outdated, NOW_MS);
    assert!(snapshots.len() < WORKERS / 10, "not the whole fleet");
    assert_eq!(
        stored.outdated_shards(&schedule, NOW_MS),
        outdated,
        "until it is stored"
    );
    stored.finish_write(&outdated, &snapshots);
    assert!(stored.outdated_shards(&schedule, NOW_MS).is_empty());
    for status in schedule.workers() {
        assert!(
            stored.contains(&status.listed.name),
            "{}",
            status.listed.name
        );
    }
}

named_cases! { change_outdates:
    report_outdates_nothing(report, 0);
    silence_outdates_one_shard(FleetSchedule::mark_unreachable, 1);
    new_worker_outdates_one_shard(|schedule, _| {
        schedule.upsert_worker(listed(WORKERS));
    }, 1);
    removed_worker_outdates_one_shard(|schedule, name| {
        schedule.unlist_worker(name, NOW_MS);
        schedule.tick(NOW_MS + LEASE_MS, true);
        assert!(schedule.worker(name).is_none());
    }, 1);
}

#[test]
fn shards_together_restore_every_run_of_a_silent_worker() {
    let (mut schedule, _) = stored_fleet();
    let job = sample_job(
        "00000000000000e1",
        StepPlan {
            count: 50,
            ..StepPlan::default()
        },
    );
    schedule.add_job(job.clone(), None, 0, NOW_MS, WALL_MS);
    assert_eq!(schedule.plan_starts(NOW_MS, WALL_MS, u64::MAX).len(), 50);
    for number in 0..WORKERS {
        schedule.mark_unreachable(&listed(number).name);
    }
    let mut next = FleetSchedule::new(OrderRule::default(), LEASE_MS, NOW_MS + LEASE_MS);
    next.add_job(job, None, 1_000, NOW_MS, WALL_MS);
    for shard in SnapshotShard::all() {
        for snapshot in schedule.snapshots_in(&[shard], NOW_MS) {
            next.restore_worker(snapshot, NOW_MS);
        }
    }
    assert_eq!(next.workers().count(), WORKERS);
    let runs = next.workers().map(|status| status.runs.len());
    assert_eq!(runs.sum::<usize>(), 50);
}

/// A shard with more runs than its record may list would be rejected by the store, and its workers would
/// get no tasks: the longest lists are left out.
#[test]
fn shard_leaves_out_lists_that_are_too_long() {
    let task = |index| format!("job.0.0.{index}").parse().expect("a task");
    let with_runs = |runs: u32| WorkerSnapshot {
        listed: listed(7),
        unreachable: Some(UnreachableRuns {
            runs: (0..runs).map(|index| (task(index), 1)).collect(),
            lease_left_ms: 1_000,
        }),
    };
    let short = [with_runs(100), with_runs(900)];
    assert_eq!(*storable_snapshots(&short), short, "nothing is left out");
    let long = [with_runs(5_000), with_runs(100)];
    let stored = storable_snapshots(&long);
    assert_eq!(stored[0], with_runs(100));
    assert_eq!(
        (&stored[1].listed, &stored[1].unreachable),
        (&listed(7), &None)
    );
}
