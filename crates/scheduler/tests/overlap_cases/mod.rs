//! Runs whose lease outlives what an owner knows of it.

use {
    crate::fixture::{FleetFixture, SETTLE_TIMEOUT, long_running, run_test, two_steps},
    dotterelshore_emulator::{PlatformTraits, StoreFaultMode, WorkerFaultMode},
    dotterelshore_testkit::{named_cases, rstest},
    nix::sys::signal::Signal,
    std::time::Duration,
};

/// Time between checks of the owner.
const OWNER_PERIOD: Duration = Duration::from_millis(50);
/// How long a worker is away that restarts; less than a poll waits.
const AWAY: Duration = Duration::from_millis(800);
/// Longest lease of workers, in milliseconds; more than an owner orders.
const LONGEST_LEASE_MS: u64 = 10_000;

/// A worker starts again under its name, after a time away, while a poll of it waits. It gets a start, and
/// falls silent.
fn restarted_worker_falls_silent(away: Duration, ends_owner: bool) {
    run_test(async {
        let traits = PlatformTraits {
            lease_max_ms: LONGEST_LEASE_MS,
            clock_origin_max_ms: 600_000,
            ..PlatformTraits::default()
        };
        let (fixture, _endpoints) = FleetFixture::start_with_traits((2, 2, 1.0), traits).await;
        // A job that ends shows that the workers are polled.
        let accepted = fixture
            .submit("0000000000000001", &two_steps("works", 4))
            .await;
        assert_eq!(accepted.status, 200);
        assert!(fixture.reaches_state("0000000000000001", "completed").await);
        let polled = || {
            (0..2)
                .find(|worker| fixture.fleet.poll_wait_left(*worker) > Duration::from_millis(1_300))
        };
        assert!(
            fixture
                .wait_until(SETTLE_TIMEOUT, async || polled().is_some())
                .await
        );
        let worker = polled().expect("a worker");
        fixture.fleet.crash_listed_worker(worker, false);
        tokio::time::sleep(away).await;
        fixture.fleet.restart_unlisted_worker(worker);
        let accepted = fixture
            .submit("0000000000000002", &two_steps("work_ms=12000", 100))
            .await;
        assert_eq!(accepted.status, 200);
        let started = fixture.wait_until(Duration::from_millis(700), async || {
            fixture.fleet.running() >= 100
        });
        started.await;
        fixture
            .fleet
            .set_worker_fault_mode(worker, WorkerFaultMode::Silent);
        if ends_owner && let Some(owner) = fixture.owner() {
            fixture.nodes[owner].signal(Signal::SIGKILL);
        }
        tokio::time::sleep(Duration::from_secs(11)).await;
        fixture.assert_no_violations();
    });
}

named_cases! { restarted_worker_falls_silent:
    worker_that_restarts_unnoticed_and_falls_silent_is_waited_for(AWAY, false);
    worker_that_restarts_unnoticed_and_falls_silent_is_waited_for_by_the_next_owner(AWAY, true);
    worker_that_restarts_at_once_and_falls_silent_is_waited_for(Duration::ZERO, false);
    worker_that_restarts_at_once_and_falls_silent_is_waited_for_by_the_next_owner(Duration::ZERO, true);
}

/// An owner that took over is cut off from a worker, then from the store. The next owner reaches the
/// worker and renews its runs while the one before still has authority.
#[rstest]
fn cut_off_owner_leaves_runs_that_the_next_owner_renews() {
    run_test(async {
        let traits = PlatformTraits {
            zones: 2,
            ..PlatformTraits::default()
        };
        let (mut fixture, endpoints) = FleetFixture::start_with_traits((3, 2, 1.0), traits).await;
        while fixture.owner().is_none_or(|owner| owner == 1) {
            if fixture.owner() == Some(1) {
                fixture.nodes[1].signal(Signal::SIGTERM);
                fixture.nodes[1].restart();
            }
            tokio::time::sleep(OWNER_PERIOD).await;
        }
        let first = fixture.owner().expect("an owner");
        let next = 2 - first;
        fixture.fleet.set_worker_capacity(1, 0);
        tokio::time::sleep(Duration::from_secs(1)).await;
        fixture.nodes[next].signal(Signal::SIGSTOP);
        let accepted = fixture
            .fleet
            .submit(&fixture.nodes[first], "0000000000000001", &long_running(1))
            .await;
        assert_eq!(accepted.status, 200);
        assert!(
            fixture
                .wait_until(SETTLE_TIMEOUT, async || fixture.fleet.running() == 1)
                .await
        );
        assert_eq!(fixture.fleet.busy_worker(), Some(0));
        fixture.fleet.set_worker_capacity(1, 64_000);
        fixture.fleet.cut_zone(1);
        fixture.nodes[first].signal(Signal::SIGTERM);
        assert!(
            fixture
                .wait_until(SETTLE_TIMEOUT, async || fixture.owner() == Some(1))
                .await
        );
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        endpoints[1].set_fault_mode(StoreFaultMode::Silent);
        fixture.nodes[next].signal(Signal::SIGCONT);
        assert!(
            fixture
                .wait_until(SETTLE_TIMEOUT, async || fixture.owner() == Some(next))
                .await
        );
        tokio::time::sleep(Duration::from_secs(4)).await;
        fixture.assert_no_violations();
    });
}

/// A worker answers a poll, restarts and starts tasks before that answer arrives.
#[rstest]
fn late_report_of_the_life_before_leaves_runs_of_the_next() {
    run_test(async {
        let fixture = FleetFixture::start(1, 2).await;
        fixture.fleet.set_worker_capacity(1, 0);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let job = two_steps("work_ms=250", 1);
        let accepted = fixture.submit("0000000000000001", &job).await;
        assert_eq!(accepted.status, 200);
        let is_running = async || fixture.fleet.running() == 1;
        assert!(fixture.wait_until(SETTLE_TIMEOUT, is_running).await);
        // The end of the first step is reported at once, that of the second one late.
        let hold = WorkerFaultMode::HeldReports(Duration::from_millis(500));
        fixture.fleet.set_worker_fault_mode(0, hold);
        let is_done = async || fixture.fleet.is_done("0000000000000001.0.1.0");
        assert!(fixture.wait_until(SETTLE_TIMEOUT, is_done).await);
        fixture.fleet.crash_listed_worker(0, false);
        fixture.fleet.restart_unlisted_worker(0);
        fixture
            .fleet
            .set_worker_fault_mode(0, WorkerFaultMode::None);
        let job = two_steps("work_ms=4000", 2);
        let accepted = fixture.submit("0000000000000002", &job).await;
        assert_eq!(accepted.status, 200);
        tokio::time::sleep(Duration::from_secs(5)).await;
        fixture.assert_no_violations();
    });
}
