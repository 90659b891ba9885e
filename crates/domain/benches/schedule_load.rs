//! Processor time of the schedule under load, in virtual time.
//!
//! `virtual_second` is a second of a fleet with one of its pools asked for about what it can serve;
//! `job` is the share of one job, at this load and at the same number of jobs on each fleet.

#![expect(
    missing_docs,
    reason = "the macro of the benches generates a function without them"
)]

mod fleet_load;

use {
    criterion::{BenchmarkId, Criterion, criterion_group, criterion_main},
    fleet_load::FleetLoad,
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

/// Sizes of fleets, as workers and pools.
const SIZES: [(usize, usize); 5] = [(49, 5), (350, 5), (1_100, 5), (3_000, 5), (5_300, 103)];
/// Jobs that arrive in a second for each worker of the pool that is asked.
const JOBS_PER_WORKER: f64 = 0.7;
/// Jobs in a second that the smaller fleet of `job` can serve.
const STEADY_JOBS_PER_S: f64 = 30.0;
/// Virtual seconds before the measurement, in which the fleet fills.
const FILLING_SECONDS: usize = 2;

/// Returns the jobs in a second that one pool of a fleet can about serve.
fn pool_jobs_per_s(workers: usize, pools: usize) -> f64 {
    let pool_workers = u32::try_from(workers / pools).unwrap_or(u32::MAX);
    f64::from(pool_workers) * JOBS_PER_WORKER
}

fn schedule_load(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("virtual_second");
    group.sample_size(10);
    group.measurement_time(Duration::from_secs(5));
    for (workers, pools) in SIZES {
        let mut load = FleetLoad::new(workers, pools, pool_jobs_per_s(workers, pools));
        let name = BenchmarkId::new("workers_pools", format!("{workers}_{pools}"));
        group.bench_function(name, |bencher| {
            bencher.iter(|| black_box(load.play_second()));
        });
    }
    group.finish();
}

fn job_share(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("job");
    group.sample_size(10);
    group.measurement_time(Duration::from_secs(5));
    for workers in [350, 1_100] {
        let loads = [
            ("steady", STEADY_JOBS_PER_S),
            ("full_pool", pool_jobs_per_s(workers, 5)),
        ];
        for (name, jobs_per_s) in loads {
            let mut load = FleetLoad::new(workers, 5, jobs_per_s);
            for _ in 0..FILLING_SECONDS {
                load.play_second();
            }
            group.bench_function(BenchmarkId::new(name, workers), |bencher| {
                bencher.iter_custom(|jobs| time_of_jobs(&mut load, jobs));
            });
        }
    }
    group.finish();
}

/// Plays whole seconds until so many jobs have arrived, and returns the time of that number.
fn time_of_jobs(load: &mut FleetLoad, jobs: u64) -> Duration {
    let (began, first) = (Instant::now(), load.jobs);
    while load.jobs - first < jobs {
        black_box(load.play_second());
    }
    let played = u32::try_from(load.jobs - first).unwrap_or(u32::MAX);
    (began.elapsed() / played).saturating_mul(u32::try_from(jobs).unwrap_or(u32::MAX))
}

criterion_group!(benches, schedule_load, job_share);
criterion_main!(benches);
