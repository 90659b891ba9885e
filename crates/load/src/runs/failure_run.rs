//! One failure run: load, jobs, a fault, recovery, and the judgement of the history.

use {
    super::background_work::{BackgroundJobs, JobEnd},
    crate::{
        checker::{PromiseBreach, check_history, read_folder},
        deployment::{DeploymentFault, DeploymentOptions, DeploymentShape, RunningDeployment},
        driver::{
            ArrivalPlan, CallResult, CallerLink, EntryChoice, RunReport, SentRequest, run_load,
        },
    },
    dotterelshore_domain::{
        names::{PoolName, WaveName},
        wave::{WaveOrder, WavePlan, WaveStatus},
    },
    dotterelshore_standins::targets::TargetWork,
    dotterelshore_wire::operator_message::WaveRequest,
    std::{pin::Pin, time::Duration},
    tokio::time::Instant,
};

/// Longest time until every entry serves again after the faults are over.
const RECOVERY_WAIT: Duration = Duration::from_secs(20);
/// Longest time until every accepted job has ended after the faults are over.
const JOBS_WAIT: Duration = Duration::from_secs(45);
/// Longest time until a wave is done after the faults are over.
const WAVE_WAIT: Duration = Duration::from_secs(45);
/// Length of a reboot in these runs.
const REBOOT: Duration = Duration::from_millis(400);

/// What a fault does to a deployment while load runs.
pub type FaultFuture<'a> = Pin<Box<dyn Future<Output = Result<(), DeploymentFault>> + Send + 'a>>;

/// A kind of failure run.
#[derive(Clone, Copy)]
pub struct FailureCase {
    /// Its name.
    pub name: &'static str,
    /// What happens meanwhile.
    pub fault: for<'a> fn(&'a mut FailureRun) -> FaultFuture<'a>,
    /// Part of the answers that go wrong.
    pub wrong: f64,
    /// Whether a wave runs meanwhile.
    pub wave: bool,
    /// Part of the jobs that is cancelled.
    pub cancelled: f64,
    /// How long load runs.
    pub length: Duration,
    /// Requests a second.
    pub rate: f64,
    /// Mean length of a request.
    pub mean_work: Duration,
    /// Whether callers may lose answers, as when an entry is killed.
    pub loses_answers: bool,
}

impl std::fmt::Debug for FailureCase {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name)
    }
}

/// A deployment under a fault.
#[derive(Debug)]
pub struct FailureRun {
    /// The deployment.
    pub deployment: RunningDeployment,
    /// The seed of everything drawn.
    pub seed: u64,
}

/// What a failure run came to.
#[derive(Debug)]
pub struct FailureOutcome {
    /// Broken promises.
    pub breaches: Vec<PromiseBreach>,
    /// What callers got.
    pub report: RunReport,
    /// How the accepted jobs ended.
    pub jobs: Vec<JobEnd>,
    /// Entries that did not serve again in time.
    pub not_recovered: Vec<String>,
    /// Whether the wave was done in time, where there was one.
    pub wave_done: bool,
    /// Time until every entry served again.
    pub recovery: Duration,
    /// Whether callers may lose answers.
    pub loses_answers: bool,
}

impl FailureOutcome {
    /// Everything that is not as it must be, a line each.
    pub fn faults(&self) -> Vec<String> {
        let mut faults: Vec<String> = self.breaches.iter().map(ToString::to_string).collect();
        faults.extend(
            self.not_recovered
                .iter()
                .map(|entry| format!("{entry} does not serve again")),
        );
        let open = self.jobs.iter().filter(|end| end.state.is_none());
        faults.extend(open.map(|end| format!("job {} did not end", end.job)));
        if self.report.lost > 0 && !self.loses_answers {
            faults.push(format!("{} callers lost their answers", self.report.lost));
        }
        if !self.wave_done {
            faults.push("the wave was not done".to_owned());
        }
        faults
    }
}

/// The shape of failure runs: ceilings that bind, two data centres, four entries.
fn trial_shape() -> DeploymentShape {
    let mut shape = DeploymentShape::small();
    shape.entries = 4;
    for pool in &mut shape.pools {
        pool.size = 8;
        pool.max_out = 2;
    }
    let mut second = shape.pools[0].clone();
    "plates".clone_into(&mut second.name);
    shape.pools.push(second);
    for (team, ceiling) in shape.teams.iter_mut().zip([14, 8, 3]) {
        team.ceiling = ceiling;
    }
    shape
}

/// Runs one case under a seed.
///
/// # Errors
///
/// What did not come up, or a control call that failed.
pub async fn run_failure(case: FailureCase, seed: u64) -> Result<FailureOutcome, DeploymentFault> {
    let options = DeploymentOptions {
        cuttable: true,
        without_targets: false,
        reboot: REBOOT,
        entry_flags: vec!["--task-lease-ms".to_owned(), "3000".to_owned()],
    };
    let deployment = RunningDeployment::start(trial_shape(), options).await?;
    let plan = ArrivalPlan {
        seed,
        length: case.length,
        rate: case.rate,
        mean_work: case.mean_work,
        wrong: case.wrong,
        timeout: Duration::from_secs(4),
        resubmit: true,
        ..ArrivalPlan::default()
    };
    let jobs = BackgroundJobs {
        seed,
        count: 24,
        pause: case.length / 30,
        mean_work: Duration::from_millis(500),
        failing: 0.1,
        cancelled: case.cancelled,
        queue: "proofs-batch".to_owned(),
    };
    if case.wave {
        start_waves(&deployment).await?;
    }
    let mut run = FailureRun { deployment, seed };
    // The load runs against addresses that stay, while the fault changes the deployment.
    let view = run.deployment.view();
    let load = tokio::spawn(async move {
        let (report, accepted) = tokio::join!(
            run_load(&view, &plan, EntryChoice::InTurn),
            jobs.submit(&view)
        );
        (report, accepted)
    });
    (case.fault)(&mut run).await?;
    let (report, accepted) = load.await.map_err(|error| DeploymentFault::Late {
        what: error.to_string(),
    })?;
    let begun = Instant::now();
    let not_recovered = await_service(&run).await;
    let recovery = begun.elapsed();
    let ends = BackgroundJobs::await_ends(&run.deployment.view(), &accepted, JOBS_WAIT).await;
    let wave_done = !case.wave || waves_done(&run.deployment).await;
    let lines = read_folder(&run.deployment.folder);
    let lines = lines.map_err(|source| DeploymentFault::System {
        what: "reading the history".to_owned(),
        source,
    })?;
    Ok(FailureOutcome {
        breaches: check_history(&lines),
        report,
        jobs: ends,
        not_recovered,
        wave_done,
        recovery,
        loses_answers: case.loses_answers,
    })
}

async fn start_waves(deployment: &RunningDeployment) -> Result<(), DeploymentFault> {
    for pool in &deployment.shape.pools {
        let form = WaveRequest {
            name: WaveName::try_from(format!("wave-{}", pool.name))?,
            pool: PoolName::try_from(pool.name.as_str())?,
            plan: WavePlan {
                order: WaveOrder::RackTogether,
                buffer: 0,
            },
        };
        deployment.operator.start_wave(&form).await?;
    }
    Ok(())
}

async fn waves_done(deployment: &RunningDeployment) -> bool {
    let until = Instant::now() + WAVE_WAIT;
    while Instant::now() < until {
        let waves = deployment.operator.waves().await.unwrap_or_default();
        let done = waves.iter().all(|wave| wave.status == WaveStatus::Done);
        if done && !waves.is_empty() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}

/// Waits until every entry answers a request whole; names those that do not.
async fn await_service(run: &FailureRun) -> Vec<String> {
    let link = CallerLink::new(run.deployment.history.clone());
    let until = Instant::now() + RECOVERY_WAIT;
    let mut silent = Vec::new();
    for entry in 0..run.deployment.entry_count() {
        let address = run.deployment.entry_address(entry).to_string();
        let mut served = false;
        let mut turn = 0;
        while !served && Instant::now() < until {
            turn += 1;
            served = link.call(&address, &probe(run.seed, entry, turn)).await == CallResult::Whole;
        }
        if !served {
            silent.push(run.deployment.entry_name(entry).to_owned());
        }
    }
    silent
}

fn probe(seed: u64, entry: usize, turn: u32) -> SentRequest {
    SentRequest {
        id: format!("probe-{seed}-{entry}-{turn}"),
        team: "beta".to_owned(),
        key: "key-of-beta".to_owned(),
        queue: "proofs".to_owned(),
        idempotent: false,
        timeout: Duration::from_secs(2),
        work: TargetWork {
            work_ms: 5,
            nonce: format!("p{turn}"),
            ..TargetWork::default()
        },
    }
}
