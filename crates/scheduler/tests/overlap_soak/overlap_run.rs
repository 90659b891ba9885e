//! One soak run: its faults, its callers, and what has to hold at its end.

use {
    super::soak_profile::{SoakProfile, SoakSize},
    crate::fixture::{FleetFixture, SETTLE_TIMEOUT, long_running, two_steps},
    dotterelshore_emulator::{JobClient, StoreEndpoint, StoreFaultMode, WorkerFaultMode},
    nix::sys::signal::Signal,
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde_json::Value,
    std::{
        path::Path,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Time between draws of faults.
const DRAW_PERIOD: Duration = Duration::from_millis(50);
/// Heartbeat intervals of silence after which a worker's row expires.
const ROW_LIFETIME_MS: u64 = 4_500;
/// Longest time from the end of a cut until a worker's row is back.
const ROW_RETURN_MAX_MS: u64 = 1_500;
/// Longest delay of a late order.
const ORDER_DELAY_MAX_MS: u64 = 3_000;
/// Longest work of a task, in milliseconds.
const WORK_MAX_MS: u64 = 6_000;
/// Environment variable with the folder that keeps the logs of runs that fail.
const FINDS_VARIABLE: &str = "DOTTERELSHORE_SOAK_FINDS";

/// Something that is due at a time.
#[derive(Debug, Clone, Copy)]
enum SoakEvent {
    Resume(usize),
    Restart(usize),
    ClearStoreFault,
    RestartWorker(usize),
    ClearWorkerFault(usize),
    /// Ends or freezes whoever owns the schedule then.
    HitOwner(Signal),
    ExpireRow(usize),
    RestoreRow(usize),
    /// Takes the store away from a zone that is cut off.
    SilenceStore(usize),
    JoinZone(usize),
}

/// What callers know of their jobs.
#[derive(Debug, Default)]
struct CallerRecord {
    accepted: Vec<String>,
    lasting: Vec<String>,
    cancelled: Vec<String>,
}

pub(super) struct OverlapRun {
    size: SoakSize,
    profile: SoakProfile,
    fixture: FleetFixture,
    endpoints: Vec<StoreEndpoint>,
    fronts: Arc<[String]>,
    client: JobClient,
    rng: StdRng,
    record: Arc<Mutex<CallerRecord>>,
    callers: tokio::task::JoinSet<()>,
    events: Vec<(Instant, SoakEvent)>,
    /// Processes that were ended or frozen.
    faulty_nodes: Vec<usize>,
    /// Processes that are paused for a short time.
    paused: Vec<usize>,
    crashed_workers: Vec<usize>,
    faulty_workers: Vec<usize>,
    store_faulty: bool,
    cut_zone: Option<usize>,
    jobs: u32,
}

fn locked(record: &Mutex<CallerRecord>) -> std::sync::MutexGuard<'_, CallerRecord> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

impl OverlapRun {
    pub(super) async fn start(seed: u64, size: SoakSize, profile: SoakProfile) -> Self {
        let (fixture, endpoints) = FleetFixture::start_with_traits(size, profile.traits).await;
        let fronts = fixture.nodes.iter().map(|node| node.front().to_owned());
        Self {
            size,
            profile,
            endpoints,
            fronts: fronts.collect(),
            client: fixture.fleet.job_client(),
            fixture,
            rng: StdRng::seed_from_u64(seed),
            record: Arc::default(),
            callers: tokio::task::JoinSet::new(),
            events: Vec::new(),
            faulty_nodes: Vec::new(),
            paused: Vec::new(),
            crashed_workers: Vec::new(),
            faulty_workers: Vec::new(),
            store_faulty: false,
            cut_zone: None,
            jobs: 0,
        }
    }

    fn schedule(&mut self, min_ms: u64, max_ms: u64, event: SoakEvent) {
        let pause = Duration::from_millis(self.rng.random_range(min_ms..max_ms));
        self.events.push((Instant::now() + pause, event));
    }

    fn draw(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }

    fn is_healthy(&self, node: usize) -> bool {
        !self.faulty_nodes.contains(&node) && !self.paused.contains(&node)
    }

    /// Pauses a process for a short time.
    fn pause_node(&mut self) {
        let node = self.rng.random_range(0..self.size.0);
        if self.is_healthy(node) {
            self.fixture.nodes[node].signal(Signal::SIGSTOP);
            self.paused.push(node);
            self.schedule(100, 700, SoakEvent::Resume(node));
        }
    }

    /// Ends or freezes a process.
    fn hit_node(&mut self, node: usize, signal: Signal) {
        if self.faulty_nodes.contains(&node) {
            return;
        }
        self.events
            .retain(|(_, event)| !matches!(event, SoakEvent::Resume(paused) if *paused == node));
        if self.paused.contains(&node) {
            self.fixture.nodes[node].signal(Signal::SIGCONT);
            self.paused.retain(|paused| *paused != node);
        }
        self.fixture.nodes[node].signal(signal);
        self.faulty_nodes.push(node);
        if signal == Signal::SIGSTOP {
            self.schedule(1_500, 5_000, SoakEvent::Resume(node));
        } else {
            self.schedule(300, 1_500, SoakEvent::Restart(node));
        }
    }

    /// Freezes the owner, and ends or freezes its successor.
    fn freeze_owner(&mut self) {
        if let Some(owner) = self.fixture.owner() {
            self.hit_node(owner, Signal::SIGSTOP);
            let signal = self.any_signal();
            self.schedule(1_200, 5_000, SoakEvent::HitOwner(signal));
        }
    }

    fn any_signal(&mut self) -> Signal {
        let signals = [Signal::SIGKILL, Signal::SIGTERM, Signal::SIGSTOP];
        signals[self.rng.random_range(0..signals.len())]
    }

    fn disturb_store(&mut self) {
        let modes = [
            StoreFaultMode::Busy,
            StoreFaultMode::Silent,
            StoreFaultMode::LostAnswers(0.3),
            StoreFaultMode::LateWrites(0.3),
            StoreFaultMode::Slow(Duration::from_millis(200)),
        ];
        let mode = modes[self.rng.random_range(0..modes.len())];
        if !self.store_faulty {
            self.fixture.fleet.set_store_fault_mode(mode);
            self.store_faulty = true;
            self.schedule(300, 3_000, SoakEvent::ClearStoreFault);
        }
    }

    fn disturb_worker(&mut self) {
        let worker = self.rng.random_range(0..self.size.1);
        let delay = Duration::from_millis(self.rng.random_range(500..ORDER_DELAY_MAX_MS));
        let modes = [
            WorkerFaultMode::Silent,
            WorkerFaultMode::LateOrders(delay),
            WorkerFaultMode::ScatteredCalls(delay),
            WorkerFaultMode::LostAnswers(0.3),
        ];
        let mode = modes[self.rng.random_range(0..modes.len())];
        if self.faulty_workers.len() + 1 < self.size.1 && !self.faulty_workers.contains(&worker) {
            self.fixture.fleet.set_worker_fault_mode(worker, mode);
            self.faulty_workers.push(worker);
            self.schedule(300, 4_000, SoakEvent::ClearWorkerFault(worker));
        }
    }

    /// Crashes a worker. Its row lasts until it expires, unless the next incarnation replaces it.
    fn crash_worker(&mut self) {
        let worker = self.rng.random_range(0..self.size.1);
        if self.crashed_workers.len() + 2 < self.size.1 && !self.crashed_workers.contains(&worker) {
            let resets = self.draw(self.profile.reset_share);
            self.fixture.fleet.crash_listed_worker(worker, resets);
            self.crashed_workers.push(worker);
            let expiry = SoakEvent::ExpireRow(worker);
            self.schedule(ROW_LIFETIME_MS, ROW_LIFETIME_MS + 300, expiry);
            let longest_ms = if self.draw(0.5) { 300 } else { 6_000 };
            self.schedule(20, longest_ms, SoakEvent::RestartWorker(worker));
        }
    }

    /// Cuts a zone off from the others and mostly from the store, and disturbs the owner at the end
    /// of the cut.
    fn cut_zone(&mut self) {
        if self.cut_zone.is_some() {
            return;
        }
        let zones = self.profile.traits.zones;
        let zone = self.rng.random_range(0..zones);
        self.cut_zone = Some(zone);
        self.fixture.fleet.cut_zone(zone);
        let length_ms = self.rng.random_range(3_000..6_000);
        if self.draw(0.7) {
            self.schedule(0, length_ms, SoakEvent::SilenceStore(zone));
        }
        self.schedule(length_ms, length_ms + 1, SoakEvent::JoinZone(zone));
        for worker in (0..self.size.1).filter(|worker| worker % zones == zone) {
            if length_ms > ROW_LIFETIME_MS {
                let expiry = SoakEvent::ExpireRow(worker);
                self.schedule(ROW_LIFETIME_MS, ROW_LIFETIME_MS + 300, expiry);
            }
            let back_ms = length_ms + ROW_RETURN_MAX_MS;
            self.schedule(length_ms + 1, back_ms, SoakEvent::RestoreRow(worker));
        }
        let signal = self.any_signal();
        self.schedule(500, length_ms + 1_000, SoakEvent::HitOwner(signal));
    }

    /// Kills all processes.
    fn kill_all(&mut self) {
        for node in 0..self.size.0 {
            self.hit_node(node, Signal::SIGKILL);
        }
    }

    fn apply(&mut self, event: SoakEvent) {
        match event {
            SoakEvent::Resume(node) => {
                self.fixture.nodes[node].signal(Signal::SIGCONT);
                self.paused.retain(|paused| *paused != node);
                self.faulty_nodes.retain(|faulty| *faulty != node);
            }
            SoakEvent::Restart(node) => {
                if self.fixture.nodes[node].ended().is_none() {
                    // It still shuts down.
                    self.schedule(50, 150, event);
                } else {
                    self.fixture.nodes[node].restart();
                    self.faulty_nodes.retain(|faulty| *faulty != node);
                }
            }
            SoakEvent::ClearStoreFault => {
                self.fixture
                    .fleet
                    .set_store_fault_mode(StoreFaultMode::None);
                self.store_faulty = false;
            }
            SoakEvent::RestartWorker(worker) => {
                self.fixture.fleet.restart_unlisted_worker(worker);
                self.crashed_workers.retain(|crashed| *crashed != worker);
                self.schedule(0, ROW_RETURN_MAX_MS, SoakEvent::RestoreRow(worker));
            }
            SoakEvent::ClearWorkerFault(worker) => {
                let mode = WorkerFaultMode::None;
                self.fixture.fleet.set_worker_fault_mode(worker, mode);
                self.faulty_workers.retain(|faulty| *faulty != worker);
            }
            SoakEvent::HitOwner(signal) => {
                if let Some(owner) = self.fixture.owner() {
                    self.hit_node(owner, signal);
                }
            }
            SoakEvent::ExpireRow(worker) => self.fixture.fleet.expire_row(worker),
            SoakEvent::RestoreRow(worker) => {
                self.events.retain(|(_, event)| {
                    !matches!(event, SoakEvent::ExpireRow(expiring) if *expiring == worker)
                });
                self.fixture.fleet.restore_row(worker);
            }
            SoakEvent::SilenceStore(zone) => {
                if self.cut_zone == Some(zone) {
                    self.endpoints[zone].set_fault_mode(StoreFaultMode::Silent);
                }
            }
            SoakEvent::JoinZone(zone) => {
                self.fixture.fleet.join_zone(zone);
                self.endpoints[zone].set_fault_mode(StoreFaultMode::None);
                self.cut_zone = None;
            }
        }
    }

    /// Applies the events that are due, in order.
    fn apply_events(&mut self) {
        self.events.sort_by_key(|(at, _)| *at);
        while let Some((at, event)) = self.events.first().copied() {
            if at > Instant::now() {
                return;
            }
            self.events.remove(0);
            self.apply(event);
            self.events.sort_by_key(|(at, _)| *at);
        }
    }

    /// Ends all faults.
    async fn end_faults(&mut self) {
        self.events.retain(|(_, event)| {
            !matches!(
                event,
                SoakEvent::HitOwner(_) | SoakEvent::ExpireRow(_) | SoakEvent::SilenceStore(_)
            )
        });
        self.fixture.fleet.end_answer_hold();
        while !self.events.is_empty() {
            let now = Instant::now();
            self.events.iter_mut().for_each(|(at, _)| *at = now);
            self.apply_events();
            tokio::time::sleep(DRAW_PERIOD).await;
        }
    }

    /// Submits a job as callers do, again and again under its name until there is an answer. In
    /// some cases once more after it.
    fn submit_job(&mut self) {
        self.jobs += 1;
        let job = format!("{:016x}", self.jobs);
        let is_lasting = self.rng.random_bool(self.profile.lasting_share);
        let work_ms = [100, 250, 250, 1_500, WORK_MAX_MS][self.rng.random_range(0..5usize)];
        let body = if is_lasting {
            long_running(2)
        } else {
            two_steps(&format!("work_ms={work_ms}"), self.rng.random_range(1..6))
        };
        let again = self.rng.random_bool(0.1);
        let mut attempt = self.rng.random_range(0..self.size.0);
        let (client, fronts) = (self.client.clone(), Arc::clone(&self.fronts));
        let record = Arc::clone(&self.record);
        self.callers.spawn(async move {
            let until = Instant::now() + SETTLE_TIMEOUT;
            while Instant::now() < until {
                let front = &fronts[attempt % fronts.len()];
                attempt += 1;
                let status = submit_once(&client, front, &job, &body).await;
                if status != Some(200) {
                    tokio::time::sleep(Duration::from_millis(200)).await;
                    continue;
                }
                if again {
                    tokio::time::sleep(Duration::from_millis(1_500)).await;
                    let front = &fronts[attempt % fronts.len()];
                    submit_once(&client, front, &job, &body).await;
                }
                let mut record = locked(&record);
                if is_lasting {
                    record.lasting.push(job);
                } else {
                    record.accepted.push(job);
                }
                return;
            }
            eprintln!("{job} gets no answer");
        });
    }

    /// Cancels a long-running job, again and again until there is an answer.
    fn cancel_job(&mut self) {
        let Some(job) = locked(&self.record).lasting.pop() else {
            return;
        };
        let mut attempt = self.rng.random_range(0..self.size.0);
        let (client, fronts) = (self.client.clone(), Arc::clone(&self.fronts));
        let record = Arc::clone(&self.record);
        self.callers.spawn(async move {
            let until = Instant::now() + SETTLE_TIMEOUT;
            while Instant::now() < until {
                let front = &fronts[attempt % fronts.len()];
                attempt += 1;
                let call = client.cancel(front, &job);
                let response = tokio::time::timeout(Duration::from_secs(1), call).await;
                if response.is_ok_and(|response| matches!(response.status, 200 | 410)) {
                    locked(&record).cancelled.push(job);
                    return;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            eprintln!("the cancellation of {job} gets no answer");
        });
    }

    /// Draws the faults and calls of one period.
    fn draw_events(&mut self) {
        let profile = self.profile;
        if self.draw(profile.pause_share) {
            self.pause_node();
        }
        if self.draw(profile.freeze_share) {
            self.freeze_owner();
        }
        if self.draw(profile.kill_share) {
            let node = self.rng.random_range(0..self.size.0);
            let signal = self.any_signal();
            self.hit_node(node, signal);
        }
        if self.draw(profile.store_share) {
            self.disturb_store();
        }
        if self.draw(profile.store_share / 2.0) {
            self.fixture.fleet.compact_store();
        }
        if self.draw(profile.worker_share) {
            self.disturb_worker();
        }
        if self.draw(profile.crash_share) {
            self.crash_worker();
        }
        if self.draw(profile.cut_share) {
            self.cut_zone();
        }
        if self.draw(profile.lease_share) {
            self.fixture.fleet.lose_store_leases();
        }
        if self.draw(profile.outage_share) {
            self.kill_all();
        }
        if self.draw(profile.job_share) {
            self.submit_job();
        }
        if self.draw(profile.job_share * profile.lasting_share / 2.0) {
            self.cancel_job();
        }
    }

    pub(super) async fn inject_faults(&mut self) {
        let until = Instant::now() + self.profile.fault_phase;
        while Instant::now() < until && self.fixture.fleet.violations().is_empty() {
            self.apply_events();
            self.draw_events();
            tokio::time::sleep(DRAW_PERIOD).await;
        }
    }

    /// Ends all faults; returns the first thing that is wrong.
    pub(super) async fn verify(&mut self) -> Option<String> {
        self.end_faults().await;
        tokio::time::sleep(Duration::from_millis(ORDER_DELAY_MAX_MS)).await;
        while self.callers.join_next().await.is_some() {}
        let accepted = std::mem::take(&mut locked(&self.record).accepted);
        // A job has two steps.
        let bound = SETTLE_TIMEOUT + Duration::from_millis(2 * WORK_MAX_MS);
        for job in &accepted {
            let is_completed = async || self.fixture.reaches_state(job, "completed").await;
            if !self.fixture.wait_until(bound, is_completed).await {
                return Some(format!("{job} never completes"));
            }
        }
        while !locked(&self.record).lasting.is_empty() {
            self.cancel_job();
        }
        while self.callers.join_next().await.is_some() {}
        let fleet = &self.fixture.fleet;
        let are_gone = || async { fleet.running() == 0 };
        if !self.fixture.wait_until(SETTLE_TIMEOUT, are_gone).await {
            return Some(format!("still at work: {:?}", fleet.running_tasks()));
        }
        let violations = fleet.violations();
        (!violations.is_empty()).then(|| violations.join("\n"))
    }

    /// Keeps the logs of a run that failed.
    pub(super) fn keep_logs(&self, seed: u64, problem: &str) {
        let Ok(finds) = std::env::var(FINDS_VARIABLE) else {
            self.fixture.print_logs();
            return;
        };
        let folder = Path::new(&finds).join(seed.to_string());
        let violations = self.fixture.fleet.violations().join("\n");
        let kept = std::fs::create_dir_all(&folder).and_then(|()| {
            for (number, node) in self.fixture.nodes.iter().enumerate() {
                std::fs::write(folder.join(format!("e{number}.log")), node.log())?;
            }
            let text = format!("{}\n{problem}\n\n{violations}\n", self.describe());
            std::fs::write(folder.join("problem.txt"), text)
        });
        if let Err(error) = kept {
            eprintln!("{}: {error}", folder.display());
        }
    }

    fn describe(&self) -> String {
        format!("{:?} {:?}", self.size, self.profile)
    }
}

/// Submits a job once; `None` if there is no answer.
async fn submit_once(client: &JobClient, front: &str, job: &str, body: &Value) -> Option<u16> {
    let call = client.submit(front, job, body);
    let response = tokio::time::timeout(Duration::from_secs(1), call).await;
    response.ok().map(|response| response.status)
}
