//! What soak runs do.

use {
    dotterelshore_emulator::{AnswerHold, PlatformTraits},
    std::time::Duration,
};

/// Number of processes and workers, and the cores of each process.
pub(super) type SoakSize = (usize, usize, f64);

/// What a run does. Shares are the probability of an event in each draw.
#[derive(Debug, Clone, Copy)]
pub(super) struct SoakProfile {
    pub(super) traits: PlatformTraits,
    /// How long faults are injected.
    pub(super) fault_phase: Duration,
    pub(super) pause_share: f64,
    pub(super) freeze_share: f64,
    pub(super) kill_share: f64,
    pub(super) store_share: f64,
    pub(super) worker_share: f64,
    pub(super) crash_share: f64,
    /// Share of the crashes in which open calls end at once, as on reset connections.
    pub(super) reset_share: f64,
    pub(super) cut_share: f64,
    /// The store loses its leases.
    pub(super) lease_share: f64,
    /// All processes are killed at once.
    pub(super) outage_share: f64,
    pub(super) job_share: f64,
    pub(super) lasting_share: f64,
}

/// Short pauses anywhere, and frozen owners whose successors end.
pub(super) const PAUSES: SoakProfile = SoakProfile {
    traits: PlatformTraits {
        zones: 1,
        lease_max_ms: 6_000,
        slow_max_permille: 0,
        clock_origin_max_ms: 0,
        stop_max_ms: 0,
        answer_hold: None,
    },
    fault_phase: Duration::from_secs(12),
    pause_share: 0.2,
    freeze_share: 0.012,
    kill_share: 0.02,
    store_share: 0.015,
    worker_share: 0.05,
    crash_share: 0.005,
    reset_share: 1.0,
    cut_share: 0.0,
    lease_share: 0.0,
    outage_share: 0.0,
    job_share: 0.35,
    lasting_share: 0.35,
};

/// As [`PAUSES`], with workers as the pages describe them.
pub(super) const WORKERS: SoakProfile = SoakProfile {
    traits: PlatformTraits {
        zones: 1,
        lease_max_ms: 10_000,
        slow_max_permille: 20,
        clock_origin_max_ms: 600_000,
        stop_max_ms: 200,
        answer_hold: Some(AnswerHold {
            share: 0.15,
            min_ms: 50,
            max_ms: 600,
        }),
    },
    crash_share: 0.02,
    ..PAUSES
};

/// As [`WORKERS`], in three zones that are cut off.
pub(super) const CUTS: SoakProfile = SoakProfile {
    traits: PlatformTraits {
        zones: 3,
        ..WORKERS.traits
    },
    fault_phase: Duration::from_secs(20),
    pause_share: 0.1,
    cut_share: 0.02,
    outage_share: 0.003,
    ..WORKERS
};

/// As [`CUTS`], with a store that loses its leases.
pub(super) const LEASES: SoakProfile = SoakProfile {
    lease_share: 0.03,
    ..CUTS
};

/// As [`CUTS`], with workers that restart while calls to them get no answer.
pub(super) const RESTARTS: SoakProfile = SoakProfile {
    crash_share: 0.05,
    reset_share: 0.0,
    ..CUTS
};

/// As [`CUTS`], with processes that rarely run.
pub(super) const STARVED: SoakProfile = SoakProfile {
    pause_share: 0.7,
    store_share: 0.005,
    ..CUTS
};
