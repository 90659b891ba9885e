//! Jobs submitted while something else is tried.

use {
    crate::{
        deployment::DeploymentView,
        driver::{CallerLink, SentRequest},
    },
    dotterelshore_domain::codes::ResultCode,
    dotterelshore_standins::targets::{ResponseMode, TargetWork},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tokio::time::Instant,
};

/// Pause between askings whether a job has ended.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// How a job ended, as its submitter read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobEnd {
    /// The job.
    pub job: String,
    /// Its last state, or `None` if it had not ended in time.
    pub state: Option<String>,
}

/// Jobs submitted while something else is tried.
#[derive(Debug, Clone)]
pub struct BackgroundJobs {
    /// The seed of everything drawn.
    pub seed: u64,
    /// How many jobs.
    pub count: usize,
    /// Time between two submissions.
    pub pause: Duration,
    /// Mean length of a job.
    pub mean_work: Duration,
    /// Part of the jobs that always fails.
    pub failing: f64,
    /// Part of the jobs that is cancelled soon after it was accepted.
    pub cancelled: f64,
    /// The queue.
    pub queue: String,
}

impl BackgroundJobs {
    fn draw(&self, deployment: &DeploymentView, rng: &mut StdRng, number: usize) -> SentRequest {
        let team = &deployment.shape.teams[rng.random_range(0..deployment.shape.teams.len())];
        let spread = -(1.0 - rng.random::<f64>()).ln();
        let work = self.mean_work.mul_f64(spread.min(4.0));
        let fails = rng.random::<f64>() < self.failing;
        SentRequest {
            id: format!("job-{}-{number}", self.seed),
            team: team.name.clone(),
            key: team.key(),
            queue: self.queue.clone(),
            idempotent: false,
            timeout: Duration::from_secs(5),
            work: TargetWork {
                work_ms: u64::try_from(work.as_millis()).unwrap_or(u64::MAX),
                response_mode: if fails {
                    ResponseMode::Fail
                } else {
                    ResponseMode::Normal
                },
                nonce: format!("n{number}"),
            },
        }
    }

    /// Submits the jobs, each again until it is accepted, and cancels some. Returns the
    /// jobs that were accepted.
    pub async fn submit(&self, deployment: &DeploymentView) -> Vec<(String, SentRequest)> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let link = CallerLink::new(deployment.history.clone());
        let mut accepted = Vec::new();
        for number in 0..self.count {
            let request = self.draw(deployment, &mut rng, number);
            for turn in 0..deployment.entry_count() * 2 {
                let entry = deployment
                    .entry_address((number + turn) % deployment.entry_count())
                    .to_string();
                if let Ok(report) = link.submit(&entry, &request).await {
                    if rng.random::<f64>() < self.cancelled {
                        let _may_have_ended = link
                            .read_job(&entry, report.job.as_str(), &request, true)
                            .await;
                    }
                    accepted.push((report.job.to_string(), request.clone()));
                    break;
                }
            }
            tokio::time::sleep(self.pause).await;
        }
        accepted
    }

    /// Reads each job until it has ended, all within `wait`.
    pub async fn await_ends(
        deployment: &DeploymentView,
        jobs: &[(String, SentRequest)],
        wait: Duration,
    ) -> Vec<JobEnd> {
        let until = Instant::now() + wait;
        let link = CallerLink::new(deployment.history.clone());
        let mut ends = Vec::new();
        for (number, (job, request)) in jobs.iter().enumerate() {
            let entry = deployment
                .entry_address(number % deployment.entry_count())
                .to_string();
            let mut state;
            loop {
                state = match link.read_job(&entry, job, request, false).await {
                    Ok(report) if report.state.is_terminal() => Some(format!("{:?}", report.state)),
                    // Its team's key was withdrawn: nobody may read it any more.
                    Err(Some(problem)) if problem.result_code() == Some(ResultCode::KeyUnknown) => {
                        Some("unreadable".to_owned())
                    }
                    Ok(_) | Err(_) => None,
                };
                if state.is_some() {
                    break;
                }
                if Instant::now() >= until {
                    break;
                }
                tokio::time::sleep(READ_PAUSE).await;
            }
            ends.push(JobEnd {
                job: job.clone(),
                state,
            });
        }
        ends
    }
}
