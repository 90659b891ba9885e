//! The main job on a small deployment: requests, jobs, a wave, and a report.

use {
    super::background_work::BackgroundJobs,
    crate::{
        checker::{PromiseBreach, check_history, read_folder},
        deployment::{DeploymentFault, DeploymentOptions, DeploymentShape, RunningDeployment},
        driver::{ArrivalPlan, EntryChoice, RunReport, run_load},
    },
    dotterelshore_domain::{
        names::{PoolName, WaveName},
        wave::{WaveOrder, WavePlan, WaveRecord},
    },
    dotterelshore_wire::operator_message::{StatusReport, WaveRequest},
    std::time::Duration,
};

/// How long requests are sent.
const LENGTH: Duration = Duration::from_secs(10);
/// Longest wait for jobs and the wave after that.
const END_WAIT: Duration = Duration::from_secs(30);

/// What the demonstration came to.
#[derive(Debug)]
pub struct DemoOutcome {
    /// What callers got.
    pub report: RunReport,
    /// Jobs accepted, and those that had ended.
    pub jobs: (usize, usize),
    /// The wave.
    pub waves: Vec<WaveRecord>,
    /// What the operators see at the end.
    pub status: StatusReport,
    /// Promises broken.
    pub breaches: Vec<PromiseBreach>,
}

/// Runs the demonstration, with a line of progress now and then.
///
/// # Errors
///
/// What did not come up, or a call that failed.
pub async fn run_demo(progress: impl Fn(&str)) -> Result<DemoOutcome, DeploymentFault> {
    progress("starting a platform, 16 targets and 3 entries in 2 data centres");
    let deployment =
        RunningDeployment::start(DeploymentShape::small(), DeploymentOptions::default()).await?;
    progress("the table is in force; starting a wave through pool 'proofs', requests and jobs");
    let form = WaveRequest {
        name: WaveName::try_from("demo")?,
        pool: PoolName::try_from("proofs")?,
        plan: WavePlan {
            order: WaveOrder::RackTogether,
            buffer: 0,
        },
    };
    deployment.operator.start_wave(&form).await?;
    let plan = ArrivalPlan {
        length: LENGTH,
        rate: 400.0,
        ..ArrivalPlan::default()
    };
    let jobs = BackgroundJobs {
        seed: 1,
        count: 20,
        pause: LENGTH / 24,
        mean_work: Duration::from_millis(400),
        failing: 0.0,
        cancelled: 0.0,
        queue: "proofs-batch".to_owned(),
    };
    let view = deployment.view();
    let (report, accepted) = tokio::join!(
        run_load(&view, &plan, EntryChoice::InTurn),
        jobs.submit(&view)
    );
    progress("waiting for the last jobs");
    let ends = BackgroundJobs::await_ends(&view, &accepted, END_WAIT).await;
    let ended = ends.iter().filter(|end| end.state.is_some()).count();
    let lines = read_folder(&deployment.folder).map_err(|source| DeploymentFault::System {
        what: "reading the history".to_owned(),
        source,
    })?;
    Ok(DemoOutcome {
        report,
        jobs: (accepted.len(), ended),
        waves: deployment.operator.waves().await?,
        status: deployment.operator.status().await?,
        breaches: check_history(&lines),
    })
}
