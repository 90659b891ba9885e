//! Demonstration on a small deployment: requests, jobs, a maintenance wave and a report.

use {
    super::background_jobs::BackgroundJobs,
    crate::{
        checker::{InvariantViolation, check_history, read_folder},
        deployment::{DeploymentFault, DeploymentOptions, DeploymentShape, RunningDeployment},
        driver::{ArrivalPlan, EntryChoice, LoadReport, run_load},
    },
    dotterelshore_domain::{
        names::{PoolName, WaveName},
        wave::{WaveOrder, WavePlan, WaveRecord},
    },
    dotterelshore_wire::operator_message::{StatusReport, WaveRequest},
    std::time::Duration,
};

/// Time during which requests are sent.
const LOAD_DURATION: Duration = Duration::from_secs(10);
/// Timeout for the jobs to end after the load.
const JOBS_END_TIMEOUT: Duration = Duration::from_secs(30);

/// Results of the demonstration.
#[derive(Debug)]
pub struct DemoOutcome {
    /// Report of the load run.
    pub report: LoadReport,
    /// Number of accepted jobs, and how many of them ended.
    pub jobs: (usize, usize),
    /// Records of the waves.
    pub waves: Vec<WaveRecord>,
    /// Status report at the end.
    pub status: StatusReport,
    /// Invariant violations.
    pub violations: Vec<InvariantViolation>,
}

/// Runs the demonstration and calls `progress` with a line for each stage.
///
/// # Errors
///
/// Returns an error if the deployment does not start or a call fails.
pub async fn run_demo(progress: impl Fn(&str)) -> Result<DemoOutcome, DeploymentFault> {
    progress("starting a platform, 8 targets and 3 entries in 2 data centres");
    let deployment =
        RunningDeployment::start(DeploymentShape::small(), DeploymentOptions::default()).await?;
    progress("the table is in force; starting a wave in pool 'proofs', requests and jobs");
    let request = WaveRequest {
        name: WaveName::try_from("demo")?,
        pool: PoolName::try_from("proofs")?,
        plan: WavePlan {
            order: WaveOrder::RackTogether,
            buffer: 0,
        },
    };
    deployment.operator.start_wave(&request).await?;
    let plan = ArrivalPlan {
        duration: LOAD_DURATION,
        rate: 400.0,
        ..ArrivalPlan::default()
    };
    let jobs = BackgroundJobs {
        seed: 1,
        count: 20,
        submit_interval: LOAD_DURATION / 24,
        mean_work_duration: Duration::from_millis(400),
        failing_fraction: 0.0,
        cancelled_fraction: 0.0,
        queue: "proofs-batch".to_owned(),
    };
    let view = deployment.view();
    let (report, accepted) = tokio::join!(
        run_load(&view, &plan, EntryChoice::RoundRobin),
        jobs.submit(&view)
    );
    progress("waiting for the remaining jobs");
    let outcomes = BackgroundJobs::await_outcomes(&view, &accepted, JOBS_END_TIMEOUT).await;
    let ended = outcomes
        .iter()
        .filter(|outcome| outcome.state.is_some())
        .count();
    let lines = read_folder(&deployment.folder).map_err(|source| DeploymentFault::System {
        operation: "reading the history".to_owned(),
        source,
    })?;
    Ok(DemoOutcome {
        report,
        jobs: (accepted.len(), ended),
        waves: deployment.operator.waves().await?,
        status: deployment.operator.status().await?,
        violations: check_history(&lines),
    })
}
