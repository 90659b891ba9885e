//! Tests of how soon the load of a pool shows that more work arrives.

mod samples;

use {
    dotterelshore_domain::{
        names::PoolName,
        schedule::{FleetSchedule, OrderRule, Resources, StepPlan},
    },
    dotterelshore_testkit::named_cases,
    samples::{NOW_MS, WALL_MS, sample_job, sample_worker},
};

/// Work of one job: a task of two cores for half a second, in thousandths of a core and
/// milliseconds.
const JOB_WORK: u64 = 2_000 * 500;

/// Adds jobs that arrive evenly for some time; returns the time after it.
fn arrive(schedule: &mut FleetSchedule, from_ms: u64, lasting_ms: u64, per_s: u64) -> u64 {
    let until_ms = from_ms + lasting_ms;
    for number in 0..lasting_ms * per_s / 1_000 {
        let at_ms = from_ms + number * 1_000 / per_s;
        let step = StepPlan {
            count: 1,
            need: Resources {
                cpu_milli: 2_000,
                memory_mb: 100,
                gpus: 0,
            },
            estimate_ms: 500,
            ..StepPlan::default()
        };
        let name = format!("{from_ms}-{number}");
        schedule.add_job(sample_job(&name, step), None, 0, at_ms, WALL_MS);
    }
    until_ms
}

/// Jobs per second by which a pool with these arrivals is sized.
fn sized_for(arrivals: &[(u64, u64)]) -> u64 {
    let mut schedule = FleetSchedule::new(OrderRule::default(), 4_000, 0);
    schedule.upsert_worker(sample_worker("w-1", 64_000));
    let mut now_ms = NOW_MS;
    for (lasting_ms, per_s) in arrivals {
        now_ms = arrive(&mut schedule, now_ms, *lasting_ms, *per_s);
    }
    let pool = PoolName::try_from("proofs").expect("a name");
    schedule.pool_loads(now_ms)[&pool].arriving_milli * 1_000 / JOB_WORK
}

/// A pool with these arrivals is sized for a rate between these.
fn size_is_between(arrivals: &[(u64, u64)], least: u64, most: u64) {
    let per_s = sized_for(arrivals);
    assert!((least..=most).contains(&per_s), "{per_s} jobs/s");
}

named_cases! { size_is_between:
    steady_arrivals_are_followed(&[(3_000, 50)], 49, 51);
    few_steady_arrivals_are_followed(&[(3_000, 5)], 4, 6);
    rise_shows_within_a_quarter_of_a_second(&[(2_000, 50), (250, 250)], 240, 255);
    rise_to_a_rate_that_lasts_is_followed(&[(2_000, 50), (1_500, 250)], 249, 251);
    rise_of_few_arrivals_shows_with_the_window(&[(2_000, 2), (250, 16)], 4, 8);
    small_rise_shows_with_the_window(&[(2_000, 50), (250, 70)], 50, 60);
    fall_shows_with_the_window(&[(2_000, 250), (500, 50)], 140, 160);
    no_arrivals_need_nothing(&[(1_000, 50), (1_500, 0)], 0, 0);
}
