//! Cancellations whose notification does not reach the entry that supervises the job.

mod batch_request;

use {
    batch_request::batch_request,
    dotterelshore_domain::job::JobState,
    dotterelshore_load::{
        checker::{check_history, read_folder},
        deployment::{DeploymentOptions, DeploymentShape, RunningDeployment},
        driver::{CallerClient, CallerRequest},
    },
    dotterelshore_standins::history::HistoryEvent,
    dotterelshore_testkit::named_cases,
    std::time::Duration,
    tokio::time::Instant,
};

/// The entry that supervises the job.
const OWNER: usize = 0;
/// The entry that records the cancellation.
const OTHER: usize = 1;
/// Lease of the task; it does not expire within the test.
const TASK_LEASE: Duration = Duration::from_secs(30);
/// Duration of the task; it does not finish within the test.
const WORK_DURATION: Duration = Duration::from_secs(60);
/// Longest time from the fault's end until the cancelled task has stopped.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval between reads of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why the owner does not receive the notification.
#[derive(Debug, Clone, Copy)]
enum NotificationFault {
    /// Its links to the other entries are cut, and stay cut.
    OwnerPartitioned,
    /// It was killed; the platform lists it as removed after the cancellation.
    OwnerKilled,
}

struct JobCaller {
    client: CallerClient,
    request: CallerRequest,
    job: String,
}

impl JobCaller {
    /// Submits a job at the owner and waits until its task runs.
    async fn submit(deployment: &RunningDeployment) -> Self {
        let client = CallerClient::new(deployment.history.clone());
        let request = batch_request("long", WORK_DURATION);
        let owner = deployment.entry_address(OWNER).to_string();
        let accepted = client.submit(&owner, &request).await;
        let caller = Self {
            job: accepted.expect("the job is accepted").job.to_string(),
            client,
            request,
        };
        let deadline = Instant::now() + Duration::from_secs(10);
        while !task_begun(deployment, &caller.job) {
            assert!(Instant::now() < deadline, "the task does not start");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        caller
    }

    async fn cancel(&self, entry: &str) {
        let cancelled = self
            .client
            .read_job(entry, &self.job, &self.request, true)
            .await;
        let report = cancelled.expect("the cancellation is acknowledged");
        assert!(report.cancel_requested, "{report:?}");
    }

    /// Waits until the job's record shows its end.
    async fn await_end(&self, entry: &str) -> JobState {
        let deadline = Instant::now() + STOP_TIMEOUT;
        loop {
            let read = self
                .client
                .read_job(entry, &self.job, &self.request, false)
                .await;
            let report = read.expect("the job can be read");
            if report.state.is_terminal() {
                return report.state;
            }
            assert!(
                Instant::now() < deadline,
                "the task of a cancelled job runs on after {STOP_TIMEOUT:?}: {report:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn task_begun(deployment: &RunningDeployment, sought: &str) -> bool {
    let lines = read_folder(&deployment.folder).expect("the history is readable");
    lines
        .iter()
        .any(|line| matches!(&line.event, HistoryEvent::TaskBegun { job, .. } if job == sought))
}

fn task_stopped(deployment: &RunningDeployment, sought: &str) -> bool {
    let lines = read_folder(&deployment.folder).expect("the history is readable");
    lines.iter().any(|line| {
        matches!(&line.event,
            HistoryEvent::TaskEnded { job, finished: false, .. } if job == sought)
    })
}

async fn cancel_under(
    fault: NotificationFault,
    deployment: &mut RunningDeployment,
    caller: &JobCaller,
) {
    let other = deployment.entry_address(OTHER).to_string();
    match fault {
        NotificationFault::OwnerPartitioned => {
            deployment.set_partitioned(&[OWNER], &[OTHER, 2], true);
            caller.cancel(&other).await;
        }
        NotificationFault::OwnerKilled => {
            let cancel = async {
                tokio::time::sleep(Duration::from_millis(100)).await;
                caller.cancel(&other).await;
            };
            let killed = deployment.kill_entry(OWNER, Duration::from_millis(1500));
            let (killed, ()) = tokio::join!(killed, cancel);
            killed.expect("the platform lists the entry as removed");
        }
    }
}

fn assert_cancelled_task_stops(fault: NotificationFault) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let options = DeploymentOptions {
            partitionable: true,
            entry_flags: vec![
                "--task-lease-ms".to_owned(),
                TASK_LEASE.as_millis().to_string(),
            ],
            ..DeploymentOptions::default()
        };
        let mut deployment = RunningDeployment::start(DeploymentShape::small(), options)
            .await
            .expect("the deployment starts");
        let caller = JobCaller::submit(&deployment).await;
        cancel_under(fault, &mut deployment, &caller).await;
        let other = deployment.entry_address(OTHER).to_string();
        assert_eq!(caller.await_end(&other).await, JobState::Cancelled);
        assert!(task_stopped(&deployment, &caller.job));
        let lines = read_folder(&deployment.folder).expect("the history is readable");
        assert_eq!(check_history(&lines), []);
    });
}

named_cases! { assert_cancelled_task_stops:
    task_stops_if_owner_misses_cancellation(NotificationFault::OwnerPartitioned);
    task_stops_if_owner_is_killed_before_cancellation(NotificationFault::OwnerKilled);
}
