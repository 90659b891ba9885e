//! Randomized soak of processes that are paused often, on workers with clocks, stops and answers as
//! the platform's pages allow, under cuts between zones.
//!
//! To run other seeds: `DOTTERELSHORE_SOAK_SEEDS=100-149 cargo test -p dotterelshore-scheduler
//! --test soak_test -- --ignored overlap_soak`. `DOTTERELSHORE_SOAK_PROFILE` names a profile, and
//! `DOTTERELSHORE_SOAK_SIZE=6x12x0.03` the number of processes, of workers, and the cores of each
//! process. The folder that `DOTTERELSHORE_SOAK_FINDS` names keeps the logs of runs that fail.

mod overlap_run;
mod soak_profile;

use {
    crate::{SIZE_VARIABLE, fixture::run_test, play_seeds},
    dotterelshore_testkit::named_cases,
    overlap_run::OverlapRun,
    soak_profile::{CUTS, LEASES, PAUSES, RESTARTS, STARVED, SoakProfile, SoakSize, WORKERS},
    std::time::Duration,
};

/// Environment variable with the profile of a manual run.
const PROFILE_VARIABLE: &str = "DOTTERELSHORE_SOAK_PROFILE";
/// A size in which other entries carry the calls to half of the workers.
const DELEGATING: SoakSize = (4, 6, 0.0151);

fn soak(seed: u64, size: SoakSize, profile: SoakProfile) {
    run_test(async {
        let mut run = OverlapRun::start(seed, size, profile).await;
        run.inject_faults().await;
        if let Some(problem) = run.verify().await {
            run.keep_logs(seed, &problem);
            panic!("seed {seed}: {problem}");
        }
    });
}

/// A profile whose runs are short enough for CI.
const fn short(profile: SoakProfile) -> SoakProfile {
    SoakProfile {
        fault_phase: Duration::from_secs(5),
        ..profile
    }
}

named_cases! { soak:
    overlap_soak_with_workers_clocks_with_seed_1(1, DELEGATING, short(WORKERS));
    overlap_soak_with_cuts_with_seed_2(2, (6, 12, 0.03), short(CUTS));
}

/// Runs the seeds that the environment variable names, and lists those that fail.
#[test]
#[ignore = "takes about half a minute per seed; run manually with chosen seeds"]
fn overlap_soak_with_seeds_of_environment() {
    let profile = std::env::var(PROFILE_VARIABLE).unwrap_or_else(|_| "pauses".to_owned());
    let profile = match profile.as_str() {
        "pauses" => PAUSES,
        "workers" => WORKERS,
        "cuts" => CUTS,
        "leases" => LEASES,
        "restarts" => RESTARTS,
        "starved" => STARVED,
        other => panic!("no profile {other}"),
    };
    let size = std::env::var(SIZE_VARIABLE).map_or(DELEGATING, |size| parse_size(&size));
    play_seeds(move |seed| soak(seed, size, profile));
}

fn parse_size(size: &str) -> SoakSize {
    let mut parts = size.split('x');
    let mut next = || parts.next().expect("NODESxWORKERSxCORES");
    (
        next().parse().expect("a number"),
        next().parse().expect("a number"),
        next().parse().expect("a number"),
    )
}
