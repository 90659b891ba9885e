//! A randomized soak: separate processes, faults in series that overlap, and the promises
//! checked from what callers and workers see.
//!
//! By hand: `DOTTERELSHORE_SOAK_SEEDS=100-149 cargo test -p dotterelshore-scheduler --test
//! soak_test -- --ignored`.

mod stage;

use {
    dotterelshore_emulator::StoreTrouble,
    dotterelshore_testkit::named_cases,
    nix::sys::signal::Signal,
    rand::{Rng, SeedableRng, rngs::StdRng},
    stage::{FleetStage, lasting, run, two_steps},
    std::time::{Duration, Instant},
};

/// How long faults go on.
const SOAK_TIME: Duration = Duration::from_secs(8);
/// Processes and workers of a soak.
const NODES: usize = 4;
const WORKERS: usize = 4;
/// Names the seeds of a soak by hand, as FIRST-LAST.
const SEEDS_VARIABLE: &str = "DOTTERELSHORE_SOAK_SEEDS";

/// What has to be undone later.
enum Undo {
    Thaw(usize),
    Restart(usize),
    MendStore,
    Revive(usize),
}

struct SoakRun {
    stage: FleetStage,
    dice: StdRng,
    undo: Vec<(Instant, Undo)>,
    accepted: Vec<String>,
    lasting: Vec<String>,
    cancelled: Vec<String>,
    busy: Vec<usize>,
    down: Vec<usize>,
    store_troubled: bool,
    jobs: u32,
}

impl SoakRun {
    fn later(&mut self, least_ms: u64, most_ms: u64, undo: Undo) {
        let pause = Duration::from_millis(self.dice.random_range(least_ms..most_ms));
        self.undo.push((Instant::now() + pause, undo));
    }

    fn free_node(&mut self) -> Option<usize> {
        let node = self.dice.random_range(0..NODES);
        (!self.busy.contains(&node)).then_some(node)
    }

    /// One fault, drawn by the seed.
    fn harm(&mut self) {
        match self.dice.random_range(0..8u32) {
            0 | 1 => {
                let signals = [Signal::SIGKILL, Signal::SIGTERM];
                let signal = signals[self.dice.random_range(0..2usize)];
                if let Some(node) = self.free_node() {
                    self.stage.nodes[node].signal(signal);
                    self.busy.push(node);
                    self.later(300, 1_500, Undo::Restart(node));
                }
            }
            2 => {
                if let Some(node) = self.free_node() {
                    self.stage.nodes[node].signal(Signal::SIGSTOP);
                    self.busy.push(node);
                    self.later(300, 4_000, Undo::Thaw(node));
                }
            }
            3 | 4 if !self.store_troubled => {
                let troubles = [
                    StoreTrouble::Busy,
                    StoreTrouble::Silent,
                    StoreTrouble::LosesAnswers(0.3),
                    StoreTrouble::LateWrites(0.3),
                    StoreTrouble::Slow(Duration::from_millis(200)),
                ];
                let trouble = troubles[self.dice.random_range(0..troubles.len())];
                self.stage.fleet.trouble_store(trouble);
                self.store_troubled = true;
                self.later(300, 3_000, Undo::MendStore);
            }
            5 => self.stage.fleet.compact_store(),
            6 if self.down.len() + 2 < WORKERS => {
                let worker = self.dice.random_range(0..WORKERS);
                if !self.down.contains(&worker) {
                    self.stage.fleet.crash_worker(worker);
                    self.down.push(worker);
                    self.later(500, 3_000, Undo::Revive(worker));
                }
            }
            _ => {}
        }
    }

    fn undo_due(&mut self, all: bool) {
        let now = Instant::now();
        let (due, rest) = std::mem::take(&mut self.undo)
            .into_iter()
            .partition(|(at, _)| all || *at <= now);
        self.undo = rest;
        let due: Vec<(Instant, Undo)> = due;
        for (_, undo) in due {
            match undo {
                Undo::Thaw(node) => {
                    self.stage.nodes[node].signal(Signal::SIGCONT);
                    self.busy.retain(|busy| *busy != node);
                }
                Undo::Restart(node) => {
                    self.stage.nodes[node].restart();
                    self.busy.retain(|busy| *busy != node);
                }
                Undo::MendStore => {
                    self.stage.fleet.trouble_store(StoreTrouble::None);
                    self.store_troubled = false;
                }
                Undo::Revive(worker) => {
                    self.stage.fleet.revive_worker(worker);
                    self.down.retain(|down| *down != worker);
                }
            }
        }
    }

    /// A caller's call: most hand a job in, some cancel one.
    async fn call(&mut self) {
        let node = self.dice.random_range(0..NODES);
        if self.dice.random_bool(0.15)
            && let Some(job) = self.lasting.pop()
        {
            let answer = self.stage.fleet.cancel(&self.stage.nodes[node], &job).await;
            let cancelled = matches!(answer.status, 200 | 410);
            let list = if cancelled {
                &mut self.cancelled
            } else {
                &mut self.lasting
            };
            list.push(job);
            return;
        }
        self.jobs += 1;
        let job = format!("{:016x}", self.jobs);
        let lasts = self.dice.random_bool(0.2);
        let body = if lasts {
            lasting(2)
        } else {
            two_steps("works", self.dice.random_range(1..6))
        };
        let answer = self
            .stage
            .fleet
            .submit(&self.stage.nodes[node], &job, &body)
            .await;
        if answer.status == 200 {
            let list = if lasts {
                &mut self.lasting
            } else {
                &mut self.accepted
            };
            list.push(job);
        }
    }

    async fn settle(mut self, seed: u64) {
        self.undo_due(true);
        for job in std::mem::take(&mut self.accepted) {
            assert!(
                self.stage.reaches(&job, "completed").await,
                "seed {seed}: {job} is lost"
            );
        }
        for job in &self.cancelled {
            assert!(
                self.stage.reaches(job, "cancelled").await,
                "seed {seed}: {job}"
            );
        }
        for job in &self.lasting {
            assert!(
                self.stage.reaches(job, "running").await,
                "seed {seed}: {job}"
            );
        }
        let last = "ffffffffffffffff";
        let accepted = self.stage.submit(last, &two_steps("works", 2)).await;
        assert_eq!(accepted.status, 200, "seed {seed}: still serves");
        assert!(
            self.stage.reaches(last, "completed").await,
            "seed {seed}: still works"
        );
        self.stage.check();
    }
}

fn soak(seed: u64) {
    run(async {
        let mut soak = SoakRun {
            stage: FleetStage::start(NODES, WORKERS).await,
            dice: StdRng::seed_from_u64(seed),
            undo: Vec::new(),
            accepted: Vec::new(),
            lasting: Vec::new(),
            cancelled: Vec::new(),
            busy: Vec::new(),
            down: Vec::new(),
            store_troubled: false,
            jobs: 0,
        };
        let until = Instant::now() + SOAK_TIME;
        while Instant::now() < until {
            soak.undo_due(false);
            soak.harm();
            let callers_wait = Duration::from_millis(soak.dice.random_range(50..400));
            let called = tokio::time::timeout(Duration::from_secs(1), soak.call());
            if called.await.is_err() {
                // The caller left; its job may or may not have been accepted.
                continue;
            }
            tokio::time::sleep(callers_wait).await;
        }
        soak.settle(seed).await;
    });
}

// Seed 211: an owner frozen for longer than its workers' leases; the emulator's judge once
// counted a run whose lease had run out as still going on.
named_cases! { soak:
    seed_1(1);
    seed_2(2);
    seed_3(3);
    seed_211(211);
}

/// Plays the seeds that the environment names, and tells each that fails.
#[test]
#[ignore = "takes about half a minute a seed; run by hand with seeds of one's own"]
fn by_hand() {
    let seeds = std::env::var(SEEDS_VARIABLE).unwrap_or_else(|_| "1-3".to_owned());
    let (first, last) = seeds.split_once('-').expect("FIRST-LAST");
    let (first, last): (u64, u64) = (
        first.parse().expect("a number"),
        last.parse().expect("a number"),
    );
    let failed: Vec<u64> = (first..=last)
        .filter(|seed| {
            let seed = *seed;
            let played = std::thread::spawn(move || soak(seed)).join();
            println!(
                "seed {seed}: {}",
                if played.is_ok() { "held" } else { "failed" }
            );
            played.is_err()
        })
        .collect();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
