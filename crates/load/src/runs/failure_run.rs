//! Failure runs: load and jobs under an injected fault, recovery, and a check of the history.

use {
    super::background_jobs::{BackgroundJobs, JobOutcome},
    crate::{
        checker::{InvariantViolation, check_history, read_folder},
        deployment::{DeploymentFault, DeploymentOptions, DeploymentShape, RunningDeployment},
        driver::{
            ArrivalPlan, CallResult, CallerClient, CallerRequest, EntryChoice, LoadReport, run_load,
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

/// Timeout for every entry to serve again after the fault and the load have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for every accepted job to end after the entries have recovered.
const JOBS_TIMEOUT: Duration = Duration::from_secs(45);
/// Timeout for the waves to complete after the jobs have ended.
const WAVE_TIMEOUT: Duration = Duration::from_secs(45);
/// Time that an instance is down during a reboot.
const REBOOT_DURATION: Duration = Duration::from_millis(400);

/// Future that injects a fault into a deployment under load.
pub type FaultFuture<'a> = Pin<Box<dyn Future<Output = Result<(), DeploymentFault>> + Send + 'a>>;

/// A failure case: a fault and the load under which it is injected.
#[derive(Clone, Copy)]
pub struct FailureCase {
    /// Case name.
    pub name: &'static str,
    /// Injects the fault while the load runs.
    pub fault: for<'a> fn(&'a mut FailureRun) -> FaultFuture<'a>,
    /// Fraction of the requests whose target responds with a fault.
    pub fault_fraction: f64,
    /// Whether maintenance waves run meanwhile.
    pub waves: bool,
    /// Fraction of the jobs that are cancelled.
    pub cancelled_fraction: f64,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Arrival rate, in requests per second.
    pub rate: f64,
    /// Mean run time of a request.
    pub mean_work_duration: Duration,
    /// Whether responses may be lost, for example because an entry is killed.
    pub may_lose_responses: bool,
}

impl std::fmt::Debug for FailureCase {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name)
    }
}

/// A deployment that runs a failure case.
#[derive(Debug)]
pub struct FailureRun {
    /// The running deployment.
    pub deployment: RunningDeployment,
    /// Seed of the random generators.
    pub seed: u64,
}

/// Results of a failure run.
#[derive(Debug)]
pub struct FailureOutcome {
    /// Invariant violations.
    pub violations: Vec<InvariantViolation>,
    /// Report of the load run.
    pub report: LoadReport,
    /// Final states of the accepted jobs.
    pub jobs: Vec<JobOutcome>,
    /// Names of the entries that did not serve again in time.
    pub not_recovered: Vec<String>,
    /// Whether all waves completed in time; true if there were none.
    pub waves_done: bool,
    /// Time until every entry served again after the load ended.
    pub recovery: Duration,
    /// Whether responses may be lost.
    pub may_lose_responses: bool,
}

impl FailureOutcome {
    /// Returns every violation and unmet expectation, one line each.
    pub fn failures(&self) -> Vec<String> {
        let mut failures: Vec<String> = self.violations.iter().map(ToString::to_string).collect();
        failures.extend(
            self.not_recovered
                .iter()
                .map(|entry| format!("{entry} did not serve again in time")),
        );
        let open = self.jobs.iter().filter(|outcome| outcome.state.is_none());
        failures.extend(open.map(|outcome| format!("job {} did not end in time", outcome.job)));
        if self.report.lost > 0 && !self.may_lose_responses {
            failures.push(format!("{} responses were lost", self.report.lost));
        }
        if !self.waves_done {
            failures.push("the waves did not complete in time".to_owned());
        }
        failures
    }
}

/// Returns the deployment of failure runs: two data centres, four entries, ceilings low enough to
/// take effect.
fn failure_shape() -> DeploymentShape {
    let mut shape = DeploymentShape::small();
    shape.entries = 4;
    for pool in &mut shape.pools {
        pool.size = 8;
        pool.max_unavailable = 2;
    }
    let mut second = shape.pools[0].clone();
    "plates".clone_into(&mut second.name);
    shape.pools.push(second);
    for (team, ceiling) in shape.teams.iter_mut().zip([14, 8, 3]) {
        team.ceiling = ceiling;
    }
    shape
}

/// Runs one case with a seed.
///
/// # Errors
///
/// Returns an error if the deployment does not start or a control call fails.
pub async fn run_failure(case: FailureCase, seed: u64) -> Result<FailureOutcome, DeploymentFault> {
    let options = DeploymentOptions {
        partitionable: true,
        without_targets: false,
        reboot_duration: REBOOT_DURATION,
        entry_flags: vec!["--task-lease-ms".to_owned(), "3000".to_owned()],
    };
    let deployment = RunningDeployment::start(failure_shape(), options).await?;
    let plan = ArrivalPlan {
        seed,
        duration: case.duration,
        rate: case.rate,
        mean_work_duration: case.mean_work_duration,
        fault_fraction: case.fault_fraction,
        timeout: Duration::from_secs(4),
        resubmit: true,
        ..ArrivalPlan::default()
    };
    let jobs = BackgroundJobs {
        seed,
        count: 24,
        submit_interval: case.duration / 30,
        mean_work_duration: Duration::from_millis(500),
        failing_fraction: 0.1,
        cancelled_fraction: case.cancelled_fraction,
        queue: "proofs-batch".to_owned(),
    };
    if case.waves {
        start_waves(&deployment).await?;
    }
    let mut run = FailureRun { deployment, seed };
    // The load uses a view with fixed addresses, while the fault changes the deployment.
    let view = run.deployment.view();
    let load = tokio::spawn(async move {
        let (report, accepted) = tokio::join!(
            run_load(&view, &plan, EntryChoice::RoundRobin),
            jobs.submit(&view)
        );
        (report, accepted)
    });
    (case.fault)(&mut run).await?;
    let (report, accepted) = load.await.map_err(|error| DeploymentFault::Failed {
        message: format!("the load task failed: {error}"),
    })?;
    let started = Instant::now();
    let not_recovered = await_recovery(&run).await;
    let recovery = started.elapsed();
    let outcomes =
        BackgroundJobs::await_outcomes(&run.deployment.view(), &accepted, JOBS_TIMEOUT).await;
    let waves_done = !case.waves || await_waves_done(&run.deployment).await;
    let lines = read_folder(&run.deployment.folder);
    let lines = lines.map_err(|source| DeploymentFault::System {
        operation: "reading the history".to_owned(),
        source,
    })?;
    Ok(FailureOutcome {
        violations: check_history(&lines),
        report,
        jobs: outcomes,
        not_recovered,
        waves_done,
        recovery,
        may_lose_responses: case.may_lose_responses,
    })
}

async fn start_waves(deployment: &RunningDeployment) -> Result<(), DeploymentFault> {
    for pool in &deployment.shape.pools {
        let request = WaveRequest {
            name: WaveName::try_from(format!("wave-{}", pool.name))?,
            pool: PoolName::try_from(pool.name.as_str())?,
            plan: WavePlan {
                order: WaveOrder::RackTogether,
                buffer: 0,
            },
        };
        deployment.operator.start_wave(&request).await?;
    }
    Ok(())
}

async fn await_waves_done(deployment: &RunningDeployment) -> bool {
    let deadline = Instant::now() + WAVE_TIMEOUT;
    while Instant::now() < deadline {
        let waves = deployment.operator.waves().await.unwrap_or_default();
        let done = waves.iter().all(|wave| wave.status == WaveStatus::Done);
        if done && !waves.is_empty() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}

/// Waits until every entry completes a request. Returns the names of those that do not in time.
async fn await_recovery(run: &FailureRun) -> Vec<String> {
    let client = CallerClient::new(run.deployment.history.clone());
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let mut not_recovered = Vec::new();
    for entry in 0..run.deployment.entry_count() {
        let address = run.deployment.entry_address(entry).to_string();
        let mut is_serving = false;
        let mut attempt = 0;
        while !is_serving && Instant::now() < deadline {
            attempt += 1;
            is_serving = client
                .call(&address, &probe(run.seed, entry, attempt))
                .await
                == CallResult::Complete;
        }
        if !is_serving {
            not_recovered.push(run.deployment.entry_name(entry).to_owned());
        }
    }
    not_recovered
}

fn probe(seed: u64, entry: usize, attempt: u32) -> CallerRequest {
    CallerRequest {
        id: format!("probe-{seed}-{entry}-{attempt}"),
        team: "beta".to_owned(),
        key: "key-of-beta".to_owned(),
        queue: "proofs".to_owned(),
        idempotent: false,
        timeout: Duration::from_secs(2),
        work: TargetWork {
            work_ms: 5,
            nonce: format!("p{attempt}"),
            ..TargetWork::default()
        },
    }
}
