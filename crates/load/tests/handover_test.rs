//! Handovers of jobs whose notification does not reach the successor.

mod batch_request;

use {
    batch_request::batch_request,
    dotterelshore_domain::job::JobState,
    dotterelshore_load::{
        checker::{check_history, read_folder},
        deployment::{DeploymentOptions, DeploymentShape, RunningDeployment},
        driver::CallerClient,
    },
    dotterelshore_testkit::rstest,
    std::time::Duration,
    tokio::time::Instant,
};

/// Duration of the task; the owner leaves before it ends.
const WORK_DURATION: Duration = Duration::from_secs(6);
/// Longest time from the owner's end until the job is recorded as finished.
const FINISH_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for the owner's process to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between reads of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn job_finishes_if_successor_misses_handover() {
    let options = DeploymentOptions {
        partitionable: true,
        ..DeploymentOptions::default()
    };
    let mut deployment = RunningDeployment::start(DeploymentShape::small(), options)
        .await
        .expect("the deployment starts");
    let client = CallerClient::new(deployment.history.clone());
    let request = batch_request("handed", WORK_DURATION);
    let owner = deployment.entry_address(0).to_string();
    let accepted = client.submit(&owner, &request).await;
    let job = accepted.expect("the job is accepted").job.to_string();
    tokio::time::sleep(Duration::from_millis(500)).await;
    deployment.set_partitioned(&[0], &[1, 2], true);
    deployment
        .terminate_entry(0, EXIT_TIMEOUT)
        .await
        .expect("the owner exits");
    let other = deployment.entry_address(1).to_string();
    let deadline = Instant::now() + FINISH_TIMEOUT;
    loop {
        let read = client.read_job(&other, &job, &request, false).await;
        let report = read.expect("the job can be read");
        if report.state.is_terminal() {
            assert_eq!(report.state, JobState::Finished("done:n-handed".to_owned()));
            break;
        }
        assert!(
            Instant::now() < deadline,
            "no entry supervises the job after {FINISH_TIMEOUT:?}: {report:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let lines = read_folder(&deployment.folder).expect("the history is readable");
    assert_eq!(check_history(&lines), []);
}
