//! What planning looks at for a job, counted.

#[path = "../benches/fleet_load/mod.rs"]
mod fleet_load;

use fleet_load::FleetLoad;

/// Pools of each fleet.
const POOLS: usize = 5;
/// Jobs in a second that one pool of the smaller fleet can serve.
const JOBS_PER_S: f64 = 30.0;

/// Returns the jobs and workers that planning looks at for a job.
fn looks_per_job(workers: usize) -> u64 {
    let mut load = FleetLoad::new(workers, POOLS, JOBS_PER_S);
    load.play_second();
    let (before, first) = (load.schedule.planning_work(), load.jobs);
    for _ in 0..4 {
        load.play_second();
    }
    let (after, jobs) = (load.schedule.planning_work(), load.jobs - first);
    (after.jobs - before.jobs + after.workers - before.workers) / jobs
}

#[test]
fn planning_of_a_job_does_not_grow_with_the_fleet() {
    let (few, many) = (looks_per_job(350), looks_per_job(1_100));
    assert!(
        many <= few + few / 10,
        "{few} of 350 workers, {many} of 1,100"
    );
}
