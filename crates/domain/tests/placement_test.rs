//! Tests of placement: jobs that can't start hold back no job behind them.

mod samples;
mod start_samples;

use {
    dotterelshore_domain::{
        names::{JobName, TeamName, WorkerName},
        schedule::{
            FleetSchedule, JobRecord, OrderRule, QueueTable, Resources, StepPlan, TeamRow,
            WorkerOrder, WorkerReport,
        },
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
    start_samples::{ordered_starts, sample_step},
    std::sync::Arc,
};

/// Worker lease, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// Processor capacity of a worker, in thousandths of a core.
const WORKER_MILLI: u64 = 64_000;
/// Workers of the pool.
const WORKERS: usize = 3;
/// Jobs that can't start, ahead of one that can.
const HELD_BACK_JOBS: usize = 40;

fn job_of(team: &str, text: &str, step: StepPlan) -> JobRecord {
    JobRecord {
        team: Some(TeamName::try_from(team).expect("a name")),
        ..sample_job(text, step)
    }
}

/// A schedule with reported workers. Team `alpha` has a ceiling of one core.
fn schedule() -> FleetSchedule {
    let mut schedule = FleetSchedule::new(OrderRule::default(), LEASE_MS, 0);
    for number in 0..WORKERS {
        let listed = sample_worker(&format!("w-{number}"), WORKER_MILLI);
        let name = listed.name.clone();
        schedule.upsert_worker(listed);
        schedule.apply_report(&name, &WorkerReport::default(), NOW_MS, WALL_MS);
    }
    let mut table = QueueTable::default();
    for (team, cpu_milli) in [("alpha", 1_000), ("beta", 0)] {
        let name = TeamName::try_from(team).expect("a name");
        let row = TeamRow {
            name: name.clone(),
            keys: Vec::new(),
            weight: 1_000.0,
            ceiling: Resources {
                cpu_milli,
                ..Resources::default()
            },
        };
        table.teams.insert(name, Arc::new(row));
    }
    schedule.set_table(&table);
    schedule
}

/// The names of the jobs that a planning pass starts, one for each task.
fn started_jobs(schedule: &mut FleetSchedule) -> Vec<String> {
    let starts = ordered_starts(schedule, NOW_MS, WALL_MS).into_iter();
    starts.map(|start| start.task.job.to_string()).collect()
}

/// A tenant over its cap, or with jobs that find no room, kept all jobs behind its own from
/// starting (review case 2).
fn job_behind_starts(held_back: fn(String) -> JobRecord) {
    let mut schedule = schedule();
    for number in 0..HELD_BACK_JOBS {
        let record = held_back(format!("a-{number}"));
        schedule.add_job(record, None, 0, NOW_MS, WALL_MS);
    }
    let behind = [
        job_of("beta", "b-small", sample_step(4, 4_000)),
        job_of("beta", "b-wide", sample_step(2, WORKER_MILLI / 2)),
    ];
    for record in behind {
        let record = JobRecord {
            priority: 1,
            ..record
        };
        schedule.add_job(record, None, 0, NOW_MS, WALL_MS);
    }
    let started = started_jobs(&mut schedule);
    let count = |job: &str| started.iter().filter(|started| *started == job).count();
    assert_eq!((count("b-small"), count("b-wide")), (4, 2), "{started:?}");
    assert_eq!(started.len(), 6, "{started:?}");
}

named_cases! { job_behind_starts:
    job_starts_behind_jobs_over_their_ceiling(|text| job_of("alpha", &text, sample_step(2, 4_000)));
    job_starts_behind_lasting_jobs_over_their_ceiling(|text| {
        let long_running = StepPlan { long_running: true, ..sample_step(2, 4_000) };
        job_of("alpha", &text, long_running)
    });
    job_starts_behind_jobs_larger_than_a_worker(|text| {
        job_of("beta", &text, sample_step(1, WORKER_MILLI + 1))
    });
    job_starts_behind_gangs_over_their_ceiling(|text| {
        let gang = StepPlan { gang: true, ..sample_step(2, 600) };
        job_of("alpha", &text, gang)
    });
    job_starts_behind_gangs_wider_than_the_pool(|text| {
        let gang = StepPlan { gang: true, ..sample_step(7, WORKER_MILLI / 2) };
        job_of("beta", &text, gang)
    });
    job_starts_behind_jobs_without_a_labelled_worker(|text| {
        let labelled = StepPlan { requires: Some(Arc::from("gpu-kind")), ..sample_step(1, 1_000) };
        job_of("beta", &text, labelled)
    });
    job_starts_behind_jobs_without_advice(|text| JobRecord {
        advised: true,
        ..job_of("beta", &text, sample_step(1, 1_000))
    });
}

/// A pool whose free room is taken by a job still places no task beyond the capacity of a worker.
#[test]
fn later_job_gets_only_the_room_that_is_left() {
    let mut schedule = schedule();
    let lasting = job_of("beta", "first", sample_step(3, WORKER_MILLI - 4_000));
    schedule.add_job(lasting, None, 0, NOW_MS, WALL_MS);
    let wide = job_of("beta", "wide", sample_step(1, 8_000));
    let small = job_of("beta", "small", sample_step(10, 2_000));
    for record in [wide, small] {
        let record = JobRecord {
            priority: 1,
            ..record
        };
        schedule.add_job(record, None, 0, NOW_MS, WALL_MS);
    }
    let started = started_jobs(&mut schedule);
    let small = started.iter().filter(|job| *job == "small").count();
    assert_eq!(started.len(), WORKERS + small, "{started:?}");
    assert_eq!(small, 2 * WORKERS);
    for number in 0..WORKERS {
        let name = WorkerName::try_from(format!("w-{number}")).expect("a name");
        let status = schedule.worker(&name).expect("a worker");
        assert!(status.used.cpu_milli <= WORKER_MILLI);
    }
}

/// A backlog shared a full pool: each room too small for the tasks in front went to a job far
/// behind, and most jobs became late.
fn job_far_behind(case: FarBehind) {
    let mut schedule = schedule();
    let workers_used = u32::try_from(WORKERS).expect("a count");
    let running = job_of(
        "beta",
        "running",
        sample_step(workers_used, case.used_milli),
    );
    schedule.add_job(running, None, 0, NOW_MS, WALL_MS);
    assert_eq!(started_jobs(&mut schedule).len(), WORKERS);
    for number in 0..HELD_BACK_JOBS {
        let record = (case.in_front)(format!("a-{number}"));
        schedule.add_job(record, None, 0, NOW_MS, WALL_MS);
    }
    let behind = JobRecord {
        priority: 1,
        ..job_of("beta", "behind", case.behind)
    };
    schedule.add_job(behind, None, 0, NOW_MS, WALL_MS);
    let expected: &[&str] = if case.starts { &["behind"] } else { &[] };
    assert_eq!(started_jobs(&mut schedule), expected);
}

/// A job behind many others in a pool that is partly in use.
struct FarBehind {
    /// Processor in use on each worker, in thousandths of a core.
    used_milli: u64,
    in_front: fn(String) -> JobRecord,
    behind: StepPlan,
    starts: bool,
}

impl Default for FarBehind {
    /// A small job behind jobs that find no room, in a pool that is nearly full.
    fn default() -> Self {
        Self {
            used_milli: WORKER_MILLI - 4_000,
            in_front: |text| job_of("beta", &text, sample_step(1, 8_000)),
            behind: sample_step(1, 1_000),
            starts: true,
        }
    }
}

named_cases! { job_far_behind:
    freed_room_is_kept_for_jobs_in_front(FarBehind { starts: false, ..FarBehind::default() });
    lasting_job_starts_far_behind(FarBehind {
        behind: StepPlan { long_running: true, ..sample_step(1, 1_000) },
        ..FarBehind::default()
    });
    job_starts_far_behind_in_half_full_pool(FarBehind {
        used_milli: WORKER_MILLI * 3 / 5,
        in_front: |text| job_of("beta", &text, sample_step(1, WORKER_MILLI / 2)),
        ..FarBehind::default()
    });
    job_starts_far_behind_jobs_over_their_ceiling(FarBehind {
        in_front: |text| job_of("alpha", &text, sample_step(1, 2_000)),
        ..FarBehind::default()
    });
}

/// A gang that waited long for room had run numbers above those of the next owner's term, and
/// workers refused its next start (review case 3).
#[test]
fn waiting_gang_uses_up_no_run_numbers() {
    let mut schedule = schedule();
    let wide = StepPlan {
        gang: true,
        anti_affinity: Some(1),
        ..sample_step(3, WORKER_MILLI)
    };
    let blocker = job_of("beta", "blocker", sample_step(1, WORKER_MILLI / 2));
    schedule.add_job(blocker, None, 0, NOW_MS, WALL_MS);
    assert_eq!(started_jobs(&mut schedule), ["blocker"]);
    schedule.add_job(job_of("beta", "gang", wide), None, 0, NOW_MS, WALL_MS);
    for _ in 0..50 {
        assert!(started_jobs(&mut schedule).is_empty());
    }
    let blocker = JobName::try_from("blocker").expect("a name");
    for order in schedule.cancel(&blocker, NOW_MS, WALL_MS) {
        let WorkerOrder::Stop(stop) = order else {
            continue;
        };
        schedule.confirm_stop(&stop, 1);
        let report = WorkerReport {
            clock_ms: 2,
            ..WorkerReport::default()
        };
        schedule.apply_report(&stop.worker, &report, NOW_MS, WALL_MS);
    }
    let starts = ordered_starts(&mut schedule, NOW_MS, WALL_MS).into_iter();
    let runs = starts.map(|start| start.run);
    assert_eq!(runs.collect::<Vec<_>>(), vec![1; 3]);
}
