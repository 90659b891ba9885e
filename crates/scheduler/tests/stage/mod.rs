//! Scheduler processes on an emulated platform.

use {
    dotterelshore_emulator::{CallerAnswer, EmulatedFleet, SchedulerProcess},
    serde_json::{Value, json},
    std::{
        path::Path,
        time::{Duration, Instant},
    },
};

/// The longest that a state may take to be told by the users' rules, with the recovery
/// after all processes were gone: 12 s, and the leases before it.
pub(crate) const SETTLE: Duration = Duration::from_secs(20);
/// Pause between looks.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// An emulated platform and some processes.
pub(crate) struct FleetStage {
    pub(crate) fleet: EmulatedFleet,
    pub(crate) nodes: Vec<SchedulerProcess>,
    pub(crate) folder: tempfile::TempDir,
}

impl FleetStage {
    pub(crate) async fn start(nodes: usize, workers: usize) -> Self {
        let fleet = EmulatedFleet::start(workers).await;
        let folder = tempfile::tempdir().expect("a folder");
        let nodes = (0..nodes).map(|number| {
            SchedulerProcess::start(&fleet, program(), folder.path(), &format!("e{number}"))
        });
        let stage = Self {
            nodes: nodes.collect(),
            fleet,
            folder,
        };
        let up = stage.within(SETTLE, async || {
            let unknown = stage.fleet.state(&stage.nodes[0], "0000000000000000").await;
            unknown.status == 410
        });
        assert!(up.await, "the first process answers");
        stage
    }

    /// Waits until something holds.
    pub(crate) async fn within(&self, time: Duration, holds: impl AsyncFn() -> bool) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if holds().await {
                return true;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        false
    }

    /// Hands a job in, at one process after the other, as callers do: again after no
    /// answer, a refusal, or an unknown fate.
    pub(crate) async fn submit(&self, job: &str, body: &Value) -> CallerAnswer {
        let until = Instant::now() + SETTLE;
        let mut at = job.len() + usize::from(job.as_bytes()[job.len() - 1]);
        loop {
            at += 1;
            let node = &self.nodes[at % self.nodes.len()];
            let answer = self.fleet.submit(node, job, body).await;
            if !matches!(answer.status, 0 | 503 | 504) || Instant::now() > until {
                return answer;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// Waits until some process tells this state of a job.
    pub(crate) async fn reaches(&self, job: &str, state: &str) -> bool {
        self.within(SETTLE, async || {
            for node in &self.nodes {
                let told = self.fleet.state(node, job).await;
                if told.status == 200 && told.body["state"] == state {
                    return true;
                }
            }
            false
        })
        .await
    }

    /// No rule is broken, as the workers saw it.
    pub(crate) fn check(&self) {
        let breaches = self.fleet.breaches();
        if breaches.is_empty() {
            return;
        }
        for node in &self.nodes {
            eprintln!("--- {}\n{}", node.front(), node.log());
        }
        panic!("{breaches:?}, logs in {}", self.folder.path().display());
    }
}

/// The program under test.
pub(crate) fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_dotterelshore-scheduler"))
}

/// A job of two steps, the second after the first.
pub(crate) fn two_steps(text: &str, count: u32) -> Value {
    let step = json!({"count": count, "cpu": 1000, "mem_mb": 100, "estimate_ms": 250});
    let mut second = step.clone();
    second["after"] = json!([0]);
    json!({"task_spec": text, "steps": [step, second]})
}

/// A job whose tasks run until it is cancelled.
pub(crate) fn lasting(count: u32) -> Value {
    let step = json!({
        "count": count, "cpu": 1000, "mem_mb": 100, "long_running": true, "may_miss": 1,
    });
    json!({"task_spec": "lasts", "steps": [step]})
}

/// Runs a test's steps on a runtime of its own.
pub(crate) fn run(steps: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(steps);
}
