//! Jobs that run in the background of a load run.

use {
    crate::{
        deployment::DeploymentView,
        driver::{CallerClient, CallerRequest},
    },
    dotterelshore_domain::codes::ResultCode,
    dotterelshore_standins::targets::{ResponseMode, TargetWork},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tokio::time::Instant,
};

/// Interval between reads of a job that has not ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Final state of a job, as its submitter read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobOutcome {
    /// Job identifier.
    pub job: String,
    /// Final state, `unreadable` if the team's key was withdrawn, or `None` if the job did not end
    /// in time.
    pub state: Option<String>,
}

/// Parameters of the jobs that run in the background of a load run.
#[derive(Debug, Clone)]
pub struct BackgroundJobs {
    /// Seed of the random generator.
    pub seed: u64,
    /// Number of jobs.
    pub count: usize,
    /// Interval between submissions.
    pub submit_interval: Duration,
    /// Mean run time of a job.
    pub mean_work_duration: Duration,
    /// Fraction of the jobs that always fail.
    pub failing_fraction: f64,
    /// Fraction of the jobs that are cancelled right after their acceptance.
    pub cancelled_fraction: f64,
    /// Queue of the jobs.
    pub queue: String,
}

impl BackgroundJobs {
    fn draw(&self, deployment: &DeploymentView, rng: &mut StdRng, number: usize) -> CallerRequest {
        let team = &deployment.shape.teams[rng.random_range(0..deployment.shape.teams.len())];
        let factor = -(1.0 - rng.random::<f64>()).ln();
        let work = self.mean_work_duration.mul_f64(factor.min(4.0));
        let fails = rng.random::<f64>() < self.failing_fraction;
        CallerRequest {
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

    /// Submits the jobs, cancels some of them and returns the accepted ones.
    ///
    /// A job that is not accepted is resubmitted at the next entry, at most twice per entry.
    pub async fn submit(&self, deployment: &DeploymentView) -> Vec<(String, CallerRequest)> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let client = CallerClient::new(deployment.history.clone());
        let mut accepted = Vec::new();
        for number in 0..self.count {
            let request = self.draw(deployment, &mut rng, number);
            for attempt in 0..deployment.entry_count() * 2 {
                let entry = deployment
                    .entry_address((number + attempt) % deployment.entry_count())
                    .to_string();
                if let Ok(report) = client.submit(&entry, &request).await {
                    if rng.random::<f64>() < self.cancelled_fraction {
                        let _may_have_ended = client
                            .read_job(&entry, report.job.as_str(), &request, true)
                            .await;
                    }
                    accepted.push((report.job.to_string(), request.clone()));
                    break;
                }
            }
            tokio::time::sleep(self.submit_interval).await;
        }
        accepted
    }

    /// Reads each job until it has ended, at most until `wait` has passed.
    pub async fn await_outcomes(
        deployment: &DeploymentView,
        jobs: &[(String, CallerRequest)],
        wait: Duration,
    ) -> Vec<JobOutcome> {
        let deadline = Instant::now() + wait;
        let client = CallerClient::new(deployment.history.clone());
        let mut outcomes = Vec::new();
        for (number, (job, request)) in jobs.iter().enumerate() {
            let entry = deployment
                .entry_address(number % deployment.entry_count())
                .to_string();
            let mut state;
            loop {
                state = match client.read_job(&entry, job, request, false).await {
                    Ok(report) if report.state.is_terminal() => Some(format!("{:?}", report.state)),
                    // The team's key was withdrawn, so the job can't be read any more.
                    Err(Some(problem)) if problem.result_code() == Some(ResultCode::KeyUnknown) => {
                        Some("unreadable".to_owned())
                    }
                    Ok(_) | Err(_) => None,
                };
                if state.is_some() {
                    break;
                }
                if Instant::now() >= deadline {
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            outcomes.push(JobOutcome {
                job: job.clone(),
                state,
            });
        }
        outcomes
    }
}
