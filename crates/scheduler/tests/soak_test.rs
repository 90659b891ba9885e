//! Randomized soak test: separate processes under overlapping faults. Checks the guarantees that
//! callers and workers observe.
//!
//! To run other seeds: `DOTTERELSHORE_SOAK_SEEDS=100-149 cargo test -p dotterelshore-scheduler
//! --test soak_test -- --ignored`. `DOTTERELSHORE_SOAK_SIZE=30x60` runs them with thirty processes
//! and sixty workers, and `30x60x0.1` with a tenth of a core each.

mod cancel_rule;
mod fixture;
mod overlap_cases;
mod overlap_soak;
mod owner_lookup;
mod zoned_fleet;

use {
    cancel_rule::CANCEL_TIMEOUT,
    dotterelshore_emulator::{StoreFaultMode, WorkerFaultMode},
    dotterelshore_testkit::named_cases,
    fixture::{FleetFixture, SETTLE_TIMEOUT, long_running, run_test, two_steps},
    nix::sys::signal::Signal,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::{Duration, Instant},
};

/// How long faults are injected.
const FAULT_PHASE: Duration = Duration::from_secs(8);
/// Number of processes and workers of one run, and the cores of each process if they are few.
#[derive(Debug, Clone, Copy)]
struct SoakSize {
    nodes: usize,
    workers: usize,
    cores: Option<f64>,
}

/// The size of a run in CI.
const SMALL: SoakSize = SoakSize {
    nodes: 4,
    workers: 4,
    cores: None,
};
/// The size of a run in which other entries carry the calls to half of the workers.
const DELEGATING: SoakSize = SoakSize {
    nodes: 4,
    workers: 6,
    cores: Some(0.0151),
};
/// Delay of orders that a worker executes late. The quiet stretch begins after it.
const LATE_ORDER_DELAY: Duration = Duration::from_millis(2_500);
/// Time between checks of what is due.
const DUE_PERIOD: Duration = Duration::from_millis(50);
/// Makes the second generator's seed from the first's.
const SECOND_SEED: u64 = 1 << 32;
/// Environment variable with the seeds of a manual run, as FIRST-LAST.
const SEEDS_VARIABLE: &str = "DOTTERELSHORE_SOAK_SEEDS";
/// Environment variable with the size of a manual run, as processes, workers and cores of each
/// process: `30x60x0.1`. The cores can be left out.
const SIZE_VARIABLE: &str = "DOTTERELSHORE_SOAK_SIZE";

/// The recovery from an injected fault.
enum Recovery {
    ResumeNode(usize),
    RestartNode(usize),
    ClearStoreFault,
    RestartWorker(usize),
    ClearWorkerFault(usize),
}

struct SoakRun {
    size: SoakSize,
    fixture: FleetFixture,
    rng: StdRng,
    /// Draws the faults of workers and the early cancellations, so that these leave the other
    /// draws of a seed as they are.
    second_rng: StdRng,
    recoveries: Vec<(Instant, Recovery)>,
    accepted: Vec<String>,
    long_running: Vec<String>,
    due_cancels: Vec<(Instant, String)>,
    cancelled: Vec<String>,
    faulty_nodes: Vec<usize>,
    crashed_workers: Vec<usize>,
    faulty_workers: Vec<usize>,
    store_faulty: bool,
    jobs: u32,
}

impl SoakRun {
    fn schedule_recovery(&mut self, min_ms: u64, max_ms: u64, recovery: Recovery) {
        let pause = Duration::from_millis(self.rng.random_range(min_ms..max_ms));
        self.recoveries.push((Instant::now() + pause, recovery));
    }

    fn healthy_node(&mut self) -> Option<usize> {
        let node = self.rng.random_range(0..self.size.nodes);
        (!self.faulty_nodes.contains(&node)).then_some(node)
    }

    /// Injects a random fault.
    fn inject_fault(&mut self) {
        match self.rng.random_range(0..8u32) {
            0 | 1 => {
                let signals = [Signal::SIGKILL, Signal::SIGTERM];
                let signal = signals[self.rng.random_range(0..2usize)];
                if let Some(node) = self.healthy_node() {
                    self.schedule_cancel(0, 600);
                    self.fixture.nodes[node].signal(signal);
                    self.faulty_nodes.push(node);
                    self.schedule_recovery(300, 1_500, Recovery::RestartNode(node));
                }
            }
            2 => {
                if let Some(node) = self.healthy_node() {
                    self.schedule_cancel(0, 600);
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
            6 if self.crashed_workers.len() + 2 < self.size.workers => {
                let worker = self.rng.random_range(0..self.size.workers);
                if !self.crashed_workers.contains(&worker) {
                    self.fixture.fleet.crash_worker(worker);
                    self.crashed_workers.push(worker);
                    self.schedule_recovery(500, 3_000, Recovery::RestartWorker(worker));
                }
            }
            _ => {}
        }
    }

    /// Injects a random fault of a worker, beside those of other workers.
    fn inject_worker_fault(&mut self) {
        let worker = self.second_rng.random_range(0..self.size.workers);
        let modes = [
            WorkerFaultMode::Silent,
            WorkerFaultMode::LateOrders(LATE_ORDER_DELAY),
            WorkerFaultMode::LostAnswers(0.3),
        ];
        let mode = modes[self.second_rng.random_range(0..modes.len())];
        let pause = Duration::from_millis(self.second_rng.random_range(300..4_000));
        if self.second_rng.random_bool(0.4)
            && self.faulty_workers.len() + 1 < self.size.workers
            && !self.faulty_workers.contains(&worker)
        {
            self.fixture.fleet.set_worker_fault_mode(worker, mode);
            self.faulty_workers.push(worker);
            let recovery = Recovery::ClearWorkerFault(worker);
            self.recoveries.push((Instant::now() + pause, recovery));
        }
    }

    /// Submits long-running jobs, disturbs workers, and ends or freezes the owner while most of the
    /// jobs are cancelled.
    async fn disturb_owner(&mut self) {
        self.apply_due_recoveries(true);
        let mut jobs = self.submit_long_running(6).await;
        for _ in 0..self.size.workers {
            self.inject_worker_fault();
        }
        jobs.extend(self.submit_long_running(4).await);
        self.advance(300, 1_500).await;
        self.long_running.extend(jobs.drain(..2));
        let now = Instant::now();
        for job in jobs {
            let pause = Duration::from_millis(self.second_rng.random_range(0..1_500));
            self.due_cancels.push((now + pause, job));
        }
        self.advance(0, 1_000).await;
        if let Some(owner) = self.fixture.owner() {
            let signals = [Signal::SIGKILL, Signal::SIGTERM, Signal::SIGSTOP];
            let signal = signals[self.second_rng.random_range(0..signals.len())];
            self.fixture.nodes[owner].signal(signal);
            let recovery = match signal {
                Signal::SIGSTOP => Recovery::ResumeNode(owner),
                _ => Recovery::RestartNode(owner),
            };
            self.schedule_recovery(1_300, 2_500, recovery);
        }
        self.advance(2_500, 4_000).await;
    }

    async fn submit_long_running(&mut self, jobs: u32) -> Vec<String> {
        let first = self.jobs + 1;
        self.jobs += jobs;
        let names: Vec<_> = (first..=self.jobs)
            .map(|job| format!("{job:016x}"))
            .collect();
        for job in &names {
            let accepted = self.fixture.submit(job, &long_running(2)).await;
            assert_eq!(accepted.status, 200, "{job}: {accepted:?}");
        }
        names
    }

    /// Applies what is due during a random time.
    async fn advance(&mut self, min_ms: u64, max_ms: u64) {
        let pause = Duration::from_millis(self.second_rng.random_range(min_ms..max_ms));
        let until = Instant::now() + pause;
        while Instant::now() < until {
            self.apply_due_recoveries(false);
            self.cancel_due_jobs().await;
            tokio::time::sleep(DUE_PERIOD).await;
        }
    }

    /// Makes the cancellation of the newest long-running job due at a random time, in half of the
    /// cases.
    fn schedule_cancel(&mut self, min_ms: u64, max_ms: u64) {
        let pause = Duration::from_millis(self.second_rng.random_range(min_ms..max_ms));
        if self.second_rng.random_bool(0.5)
            && let Some(job) = self.long_running.pop()
        {
            self.due_cancels.push((Instant::now() + pause, job));
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
                Recovery::ClearWorkerFault(worker) => {
                    let mode = WorkerFaultMode::None;
                    self.fixture.fleet.set_worker_fault_mode(worker, mode);
                    self.faulty_workers.retain(|faulty| *faulty != worker);
                }
            }
        }
    }

    /// Cancels the jobs whose cancellation is due. One that is not answered becomes due again.
    async fn cancel_due_jobs(&mut self) {
        let now = Instant::now();
        while let Some(at) = self.due_cancels.iter().position(|(due, _)| *due <= now) {
            let job = self.due_cancels[at].1.clone();
            self.due_cancels[at].0 = now + Duration::from_millis(200);
            let node = self.second_rng.random_range(0..self.size.nodes);
            let call = self.fixture.fleet.cancel(&self.fixture.nodes[node], &job);
            let response = tokio::time::timeout(Duration::from_millis(500), call).await;
            if response.is_ok_and(|response| response.status == 200) {
                self.due_cancels.retain(|(_, due)| *due != job);
                self.cancelled.push(job);
            }
        }
    }

    /// Makes a caller's call: most submit a job, some cancel one.
    async fn call(&mut self) {
        let node = self.rng.random_range(0..self.size.nodes);
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
        let mut is_long_running = self.rng.random_bool(0.2);
        let mut body = if is_long_running {
            long_running(2)
        } else {
            two_steps("works", self.rng.random_range(1..6))
        };
        if self.second_rng.random_bool(0.2) {
            (is_long_running, body) = (true, long_running(2));
        }
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
            if is_long_running {
                self.schedule_cancel(300, 1_500);
            }
        }
    }

    /// Runs a job, which shows that the fleet works again.
    async fn run_job(&self, seed: u64, job: &str) {
        let accepted = self.fixture.submit(job, &two_steps("works", 2)).await;
        assert_eq!(accepted.status, 200, "seed {seed}: refuses {job}");
        assert!(
            self.fixture.reaches_state(job, "completed").await,
            "seed {seed}: {job} never completes"
        );
    }

    /// Cancels all jobs that run on.
    async fn cancel_all(&mut self, seed: u64) {
        let now = Instant::now();
        let running = self.long_running.drain(..).map(|job| (now, job));
        self.due_cancels.extend(running);
        while !self.due_cancels.is_empty() {
            let left = &self.due_cancels;
            assert!(now.elapsed() < SETTLE_TIMEOUT, "seed {seed}: {left:?}");
            self.cancel_due_jobs().await;
            tokio::time::sleep(DUE_PERIOD).await;
        }
    }

    /// Checks that the runs of cancelled jobs stop in time, now that the fleet works again.
    async fn verify_cancelled(&self, seed: u64) {
        let lingering = || {
            let mut tasks = self.fixture.fleet.running_tasks();
            tasks.retain(|task| self.cancelled.iter().any(|job| task.starts_with(job)));
            tasks
        };
        let stopped = self
            .fixture
            .wait_until(CANCEL_TIMEOUT, async || lingering().is_empty());
        if !stopped.await {
            self.fixture.print_logs();
            panic!("seed {seed}: their jobs were cancelled: {:?}", lingering());
        }
    }

    /// Ends all faults and checks that every accepted job reaches its state.
    async fn verify_jobs(mut self, seed: u64) {
        self.apply_due_recoveries(true);
        tokio::time::sleep(LATE_ORDER_DELAY).await;
        self.run_job(seed, "fffffffffffffffe").await;
        self.verify_cancelled(seed).await;
        for job in std::mem::take(&mut self.accepted) {
            assert!(
                self.fixture.reaches_state(&job, "completed").await,
                "seed {seed}: {job} is lost"
            );
        }
        for job in &self.long_running {
            assert!(
                self.fixture.reaches_state(job, "running").await,
                "seed {seed}: {job}"
            );
        }
        self.run_job(seed, "ffffffffffffffff").await;
        self.cancel_all(seed).await;
        self.verify_cancelled(seed).await;
        for job in &self.cancelled {
            assert!(
                self.fixture.reaches_state(job, "cancelled").await,
                "seed {seed}: {job}"
            );
        }
        self.fixture.assert_no_violations();
    }
}

fn soak(seed: u64, size: SoakSize) {
    run_test(async {
        let fixture = match size.cores {
            Some(cores) => FleetFixture::start_with_cores(size.nodes, size.workers, cores).await,
            None => FleetFixture::start(size.nodes, size.workers).await,
        };
        let mut soak = SoakRun {
            size,
            fixture,
            rng: StdRng::seed_from_u64(seed),
            second_rng: StdRng::seed_from_u64(seed ^ SECOND_SEED),
            recoveries: Vec::new(),
            accepted: Vec::new(),
            long_running: Vec::new(),
            due_cancels: Vec::new(),
            cancelled: Vec::new(),
            faulty_nodes: Vec::new(),
            crashed_workers: Vec::new(),
            faulty_workers: Vec::new(),
            store_faulty: false,
            jobs: 0,
        };
        let until = Instant::now() + FAULT_PHASE;
        while Instant::now() < until {
            soak.apply_due_recoveries(false);
            soak.inject_fault();
            soak.inject_worker_fault();
            soak.cancel_due_jobs().await;
            let call_pause = Duration::from_millis(soak.rng.random_range(50..400));
            let call = tokio::time::timeout(Duration::from_secs(1), soak.call());
            if call.await.is_err() {
                // The caller timed out; its job may or may not have been accepted.
                continue;
            }
            tokio::time::sleep(call_pause).await;
        }
        soak.disturb_owner().await;
        soak.verify_jobs(seed).await;
    });
}

// Regression: seed 211 freezes an owner for longer than its workers' leases, which made the
// emulator's checker count a run whose lease had expired as still running.
named_cases! { soak:
    soak_with_seed_1(1, SMALL);
    soak_with_seed_2(2, SMALL);
    soak_with_seed_3(3, SMALL);
    soak_with_seed_211(211, SMALL);
    soak_with_delegates_with_seed_4(4, DELEGATING);
    soak_with_delegates_with_seed_5(5, DELEGATING);
}

/// Runs the seeds that the environment variable names, and lists those that fail.
#[test]
#[ignore = "takes about half a minute per seed; run manually with chosen seeds"]
fn soak_with_seeds_of_environment() {
    let size = std::env::var(SIZE_VARIABLE).map_or(SMALL, |size| parse_size(&size));
    play_seeds(move |seed| soak(seed, size));
}

/// Plays the seeds that the environment variable names, and lists those that fail.
fn play_seeds(play: impl Fn(u64) + Copy + Send + 'static) {
    let seeds = std::env::var(SEEDS_VARIABLE).unwrap_or_else(|_| "1-3".to_owned());
    let (first, last) = seeds.split_once('-').expect("FIRST-LAST");
    let (first, last): (u64, u64) = (
        first.parse().expect("a number"),
        last.parse().expect("a number"),
    );
    let failed: Vec<u64> = (first..=last)
        .filter(|seed| {
            let seed = *seed;
            let result = std::thread::spawn(move || play(seed)).join();
            println!(
                "seed {seed}: {}",
                if result.is_ok() { "passed" } else { "failed" }
            );
            result.is_err()
        })
        .collect();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

fn parse_size(size: &str) -> SoakSize {
    let mut parts = size.split('x');
    let mut next = || parts.next();
    SoakSize {
        nodes: next().expect("NODES").parse().expect("a number"),
        workers: next().expect("WORKERS").parse().expect("a number"),
        cores: next().map(|cores| cores.parse().expect("a number")),
    }
}
