//! Randomized soak test: separate processes under overlapping faults. Checks the guarantees that
//! callers and workers observe.
//!
//! To run other seeds: `DOTTERELSHORE_SOAK_SEEDS=100-149 cargo test -p dotterelshore-scheduler
//! --test soak_test -- --ignored`.

mod fixture;

use {
    dotterelshore_emulator::StoreFaultMode,
    dotterelshore_testkit::named_cases,
    fixture::{FleetFixture, long_running, run_test, two_steps},
    nix::sys::signal::Signal,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::{Duration, Instant},
};

/// How long faults are injected.
const FAULT_PHASE: Duration = Duration::from_secs(8);
/// Processes and workers of one run.
const NODES: usize = 4;
const WORKERS: usize = 4;
/// Environment variable with the seeds of a manual run, as FIRST-LAST.
const SEEDS_VARIABLE: &str = "DOTTERELSHORE_SOAK_SEEDS";

/// The recovery from an injected fault.
enum Recovery {
    ResumeNode(usize),
    RestartNode(usize),
    ClearStoreFault,
    RestartWorker(usize),
}

struct SoakRun {
    fixture: FleetFixture,
    rng: StdRng,
    recoveries: Vec<(Instant, Recovery)>,
    accepted: Vec<String>,
    long_running: Vec<String>,
    cancelled: Vec<String>,
    faulty_nodes: Vec<usize>,
    crashed_workers: Vec<usize>,
    store_faulty: bool,
    jobs: u32,
}

impl SoakRun {
    fn schedule_recovery(&mut self, min_ms: u64, max_ms: u64, recovery: Recovery) {
        let pause = Duration::from_millis(self.rng.random_range(min_ms..max_ms));
        self.recoveries.push((Instant::now() + pause, recovery));
    }

    fn healthy_node(&mut self) -> Option<usize> {
        let node = self.rng.random_range(0..NODES);
        (!self.faulty_nodes.contains(&node)).then_some(node)
    }

    /// Injects a random fault.
    fn inject_fault(&mut self) {
        match self.rng.random_range(0..8u32) {
            0 | 1 => {
                let signals = [Signal::SIGKILL, Signal::SIGTERM];
                let signal = signals[self.rng.random_range(0..2usize)];
                if let Some(node) = self.healthy_node() {
                    self.fixture.nodes[node].signal(signal);
                    self.faulty_nodes.push(node);
                    self.schedule_recovery(300, 1_500, Recovery::RestartNode(node));
                }
            }
            2 => {
                if let Some(node) = self.healthy_node() {
                    self.fixture.nodes[node].signal(Signal::SIGSTOP);
                    self.faulty_nodes.push(node);
                    self.schedule_recovery(300, 4_000, Recovery::ResumeNode(node));
                }
            }
            3 | 4 if !self.store_faulty => {
                let modes = [
                    StoreFaultMode::Busy,
                    StoreFaultMode::Silent,
                    StoreFaultMode::LostAnswers(0.3),
                    StoreFaultMode::LateWrites(0.3),
                    StoreFaultMode::Slow(Duration::from_millis(200)),
                ];
                let mode = modes[self.rng.random_range(0..modes.len())];
                self.fixture.fleet.set_store_fault_mode(mode);
                self.store_faulty = true;
                self.schedule_recovery(300, 3_000, Recovery::ClearStoreFault);
            }
            5 => self.fixture.fleet.compact_store(),
            6 if self.crashed_workers.len() + 2 < WORKERS => {
                let worker = self.rng.random_range(0..WORKERS);
                if !self.crashed_workers.contains(&worker) {
                    self.fixture.fleet.crash_worker(worker);
                    self.crashed_workers.push(worker);
                    self.schedule_recovery(500, 3_000, Recovery::RestartWorker(worker));
                }
            }
            _ => {}
        }
    }

    fn apply_due_recoveries(&mut self, all: bool) {
        let now = Instant::now();
        let (due, pending) = std::mem::take(&mut self.recoveries)
            .into_iter()
            .partition(|(at, _)| all || *at <= now);
        self.recoveries = pending;
        let due: Vec<(Instant, Recovery)> = due;
        for (_, recovery) in due {
            match recovery {
                Recovery::ResumeNode(node) => {
                    self.fixture.nodes[node].signal(Signal::SIGCONT);
                    self.faulty_nodes.retain(|faulty| *faulty != node);
                }
                Recovery::RestartNode(node) => {
                    self.fixture.nodes[node].restart();
                    self.faulty_nodes.retain(|faulty| *faulty != node);
                }
                Recovery::ClearStoreFault => {
                    self.fixture
                        .fleet
                        .set_store_fault_mode(StoreFaultMode::None);
                    self.store_faulty = false;
                }
                Recovery::RestartWorker(worker) => {
                    self.fixture.fleet.restart_worker(worker);
                    self.crashed_workers.retain(|crashed| *crashed != worker);
                }
            }
        }
    }

    /// Makes a caller's call: most submit a job, some cancel one.
    async fn call(&mut self) {
        let node = self.rng.random_range(0..NODES);
        if self.rng.random_bool(0.15)
            && let Some(job) = self.long_running.pop()
        {
            let response = self
                .fixture
                .fleet
                .cancel(&self.fixture.nodes[node], &job)
                .await;
            let cancelled = matches!(response.status, 200 | 410);
            let list = if cancelled {
                &mut self.cancelled
            } else {
                &mut self.long_running
            };
            list.push(job);
            return;
        }
        self.jobs += 1;
        let job = format!("{:016x}", self.jobs);
        let is_long_running = self.rng.random_bool(0.2);
        let body = if is_long_running {
            long_running(2)
        } else {
            two_steps("works", self.rng.random_range(1..6))
        };
        let response = self
            .fixture
            .fleet
            .submit(&self.fixture.nodes[node], &job, &body)
            .await;
        if response.status == 200 {
            let list = if is_long_running {
                &mut self.long_running
            } else {
                &mut self.accepted
            };
            list.push(job);
        }
    }

    /// Ends all faults and checks that every accepted job reaches its state.
    async fn verify_jobs(mut self, seed: u64) {
        self.apply_due_recoveries(true);
        for job in std::mem::take(&mut self.accepted) {
            assert!(
                self.fixture.reaches_state(&job, "completed").await,
                "seed {seed}: {job} is lost"
            );
        }
        for job in &self.cancelled {
            assert!(
                self.fixture.reaches_state(job, "cancelled").await,
                "seed {seed}: {job}"
            );
        }
        for job in &self.long_running {
            assert!(
                self.fixture.reaches_state(job, "running").await,
                "seed {seed}: {job}"
            );
        }
        let last_job = "ffffffffffffffff";
        let accepted = self.fixture.submit(last_job, &two_steps("works", 2)).await;
        assert_eq!(
            accepted.status, 200,
            "seed {seed}: refuses jobs after the faults"
        );
        assert!(
            self.fixture.reaches_state(last_job, "completed").await,
            "seed {seed}: runs no jobs after the faults"
        );
        self.fixture.assert_no_violations();
    }
}

fn soak(seed: u64) {
    run_test(async {
        let mut soak = SoakRun {
            fixture: FleetFixture::start(NODES, WORKERS).await,
            rng: StdRng::seed_from_u64(seed),
            recoveries: Vec::new(),
            accepted: Vec::new(),
            long_running: Vec::new(),
            cancelled: Vec::new(),
            faulty_nodes: Vec::new(),
            crashed_workers: Vec::new(),
            store_faulty: false,
            jobs: 0,
        };
        let until = Instant::now() + FAULT_PHASE;
        while Instant::now() < until {
            soak.apply_due_recoveries(false);
            soak.inject_fault();
            let call_pause = Duration::from_millis(soak.rng.random_range(50..400));
            let call = tokio::time::timeout(Duration::from_secs(1), soak.call());
            if call.await.is_err() {
                // The caller timed out; its job may or may not have been accepted.
                continue;
            }
            tokio::time::sleep(call_pause).await;
        }
        soak.verify_jobs(seed).await;
    });
}

// Regression: seed 211 freezes an owner for longer than its workers' leases, which made the
// emulator's checker count a run whose lease had expired as still running.
named_cases! { soak:
    soak_with_seed_1(1);
    soak_with_seed_2(2);
    soak_with_seed_3(3);
    soak_with_seed_211(211);
}

/// Runs the seeds that the environment variable names, and lists those that fail.
#[test]
#[ignore = "takes about half a minute per seed; run manually with chosen seeds"]
fn soak_with_seeds_of_environment() {
    let seeds = std::env::var(SEEDS_VARIABLE).unwrap_or_else(|_| "1-3".to_owned());
    let (first, last) = seeds.split_once('-').expect("FIRST-LAST");
    let (first, last): (u64, u64) = (
        first.parse().expect("a number"),
        last.parse().expect("a number"),
    );
    let failed: Vec<u64> = (first..=last)
        .filter(|seed| {
            let seed = *seed;
            let result = std::thread::spawn(move || soak(seed)).join();
            println!(
                "seed {seed}: {}",
                if result.is_ok() { "passed" } else { "failed" }
            );
            result.is_err()
        })
        .collect();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
