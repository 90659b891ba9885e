//! End-to-end tests of the request, job, maintenance wave and operator paths over separate
//! processes.

use {
    bytes::Bytes,
    dotterelshore_domain::{
        job::JobState,
        names::{KeyDigest, PoolName, WaveName},
        table::RowChange,
        wave::{WaveOrder, WavePlan, WaveStatus},
    },
    dotterelshore_load::{
        checker::{check_history, read_folder},
        deployment::{DeploymentOptions, DeploymentShape, RunningDeployment},
        driver::{ArrivalPlan, CallResult, CallerClient, CallerRequest, EntryChoice, run_load},
    },
    dotterelshore_standins::{history::HistoryEvent, targets::TargetWork},
    dotterelshore_testkit::rstest,
    dotterelshore_wire::{
        http_client::{HttpClient, request_to},
        operator_message::WaveRequest,
        problem_details::ProblemDetails,
    },
    hyper::Method,
    std::time::Duration,
};

async fn start() -> RunningDeployment {
    let options = DeploymentOptions {
        reboot_duration: Duration::from_millis(200),
        ..DeploymentOptions::default()
    };
    RunningDeployment::start(DeploymentShape::small(), options)
        .await
        .expect("the deployment starts")
}

fn request(id: &str, queue: &str) -> CallerRequest {
    CallerRequest {
        id: id.to_owned(),
        team: "alpha".to_owned(),
        key: "key-of-alpha".to_owned(),
        queue: queue.to_owned(),
        idempotent: false,
        timeout: Duration::from_secs(5),
        work: TargetWork {
            work_ms: 5,
            nonce: format!("n-{id}"),
            ..TargetWork::default()
        },
    }
}

fn assert_no_violation(deployment: &RunningDeployment) {
    let lines = read_folder(&deployment.folder).expect("the history is readable");
    assert!(!lines.is_empty());
    assert_eq!(check_history(&lines), []);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_whole_while_a_wave_runs() {
    let deployment = start().await;
    let wave_request = WaveRequest {
        name: WaveName::try_from("w1").expect("a valid name"),
        pool: PoolName::try_from("proofs").expect("a valid name"),
        plan: WavePlan {
            order: WaveOrder::RackTogether,
            buffer: 0,
        },
    };
    deployment
        .operator
        .start_wave(&wave_request)
        .await
        .expect("the wave starts");
    let plan = ArrivalPlan {
        duration: Duration::from_secs(3),
        ..ArrivalPlan::default()
    };
    let report = run_load(&deployment.view(), &plan, EntryChoice::RoundRobin).await;
    assert_eq!(
        (report.completed, report.incorrect, report.lost),
        (report.sent, 0, 0),
        "{report:?}"
    );
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    loop {
        let waves = deployment.operator.waves().await.expect("waves are listed");
        if waves[0].status == WaveStatus::Done {
            assert_eq!(waves[0].done.len(), 4);
            break;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "the wave does not end: {waves:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_no_violation(&deployment);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn job_is_accepted_runs_and_finishes_once() {
    let deployment = start().await;
    let client = CallerClient::new(deployment.history.clone());
    let job = request("job-1", "proofs-batch");
    let entry = deployment.entry_address(0).to_string();
    let accepted = client
        .submit(&entry, &job)
        .await
        .expect("the job is accepted");
    let again = client
        .submit(&deployment.entry_address(1).to_string(), &job)
        .await;
    assert_eq!(again.expect("the same job").job, accepted.job);
    let other = deployment.entry_address(2).to_string();
    let deadline = tokio::time::Instant::now() + Duration::from_secs(10);
    let ended = loop {
        let read = client
            .read_job(&other, accepted.job.as_str(), &job, false)
            .await;
        let read = read.expect("the job can be read");
        if read.state.is_terminal() {
            break read.state;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "the job does not end: {read:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(ended, JobState::Finished("done:n-job-1".to_owned()));
    assert_no_violation(&deployment);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn resubmission_through_another_entry_does_not_run_again() {
    let deployment = start().await;
    let client = CallerClient::new(deployment.history.clone());
    let once = request("once", "proofs");
    let first = client
        .call(&deployment.entry_address(0).to_string(), &once)
        .await;
    assert_eq!(first, CallResult::Complete);
    let second = client
        .call(&deployment.entry_address(1).to_string(), &once)
        .await;
    assert!(
        matches!(&second, CallResult::Refused(problem) if problem.code == 3006),
        "{second:?}"
    );
    assert_no_violation(&deployment);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_is_refused_at_every_entry() {
    let deployment = start().await;
    let client = CallerClient::new(deployment.history.clone());
    let digest = KeyDigest::of("key-of-alpha");
    let drop_key = |_: &_| Ok(vec![RowChange::Key(digest.clone(), None)]);
    let revision = deployment
        .operator
        .change_rows("test", drop_key)
        .await
        .expect("the change is recorded");
    let revision = revision.expect("the table changes");
    let report = deployment
        .operator
        .await_revision(revision, Duration::from_secs(5))
        .await;
    assert!(report.expect("a report").awaiting.is_empty());
    deployment.history.record(HistoryEvent::KeyWithdrawn {
        key: "key-of-alpha".to_owned(),
    });
    for entry in 0..deployment.entry_count() {
        let address = deployment.entry_address(entry).to_string();
        let result = client.call(&address, &request("late", "proofs")).await;
        assert!(
            matches!(&result, CallResult::Refused(problem) if problem.code == 1007),
            "{result:?}"
        );
    }
    assert_no_violation(&deployment);
}

/// An invalid call and the result code with which it must be refused.
struct InvalidCall {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: Bytes,
    code: u16,
}

fn invalid_calls() -> Vec<InvalidCall> {
    let keyed = || vec![("authorization", "Bearer key-of-alpha")];
    let call = |name, path, headers, code| InvalidCall {
        name,
        method: Method::POST,
        path,
        headers,
        body: Bytes::from_static(b"{}"),
        code,
    };
    let with_header = |mut headers: Vec<(&'static str, &'static str)>, header| {
        headers.push(header);
        headers
    };
    vec![
        call("unknown path", "/v1/nothing", keyed(), 1004),
        call(
            "unknown queue",
            "/v1/queues/nowhere/requests",
            keyed(),
            1005,
        ),
        call(
            "malformed queue name",
            "/v1/queues/a%20b/requests",
            keyed(),
            1001,
        ),
        call("no key", "/v1/queues/proofs/requests", vec![], 1006),
        call(
            "unknown key",
            "/v1/queues/proofs/requests",
            vec![("authorization", "Bearer made-up")],
            1007,
        ),
        call(
            "no bearer token",
            "/v1/queues/proofs/requests",
            vec![("authorization", "Basic abc")],
            1001,
        ),
        call(
            "key of another team",
            "/v1/queues/proofs/requests",
            with_header(keyed(), ("x-team", "beta")),
            1008,
        ),
        call(
            "a request for workers",
            "/v1/queues/proofs-batch/requests",
            keyed(),
            1009,
        ),
        call(
            "a job for executors",
            "/v1/queues/proofs/jobs",
            keyed(),
            1009,
        ),
        call(
            "malformed timeout",
            "/v1/queues/proofs/requests",
            with_header(keyed(), ("request-timeout", "soon")),
            1001,
        ),
        call(
            "malformed idempotency flag",
            "/v1/queues/proofs/requests",
            with_header(keyed(), ("idempotent", "perhaps")),
            1001,
        ),
        call(
            "malformed identifier",
            "/v1/queues/proofs/requests",
            with_header(keyed(), ("idempotency-key", "a b")),
            1001,
        ),
        InvalidCall {
            method: Method::DELETE,
            ..call(
                "unsupported method",
                "/v1/queues/proofs/requests",
                keyed(),
                1010,
            )
        },
        InvalidCall {
            body: Bytes::from(vec![b'x'; 5 * 1024 * 1024]),
            ..call(
                "oversized body",
                "/v1/queues/proofs/requests",
                keyed(),
                1003,
            )
        },
        InvalidCall {
            method: Method::GET,
            ..call("unknown job", "/v1/jobs/alpha:none", keyed(), 5001)
        },
        call("operators only", "/operator/v1/table", keyed(), 1011),
    ]
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_call_gets_its_result_code_and_entry_keeps_serving() {
    let deployment = start().await;
    let http = HttpClient::new(4, 1024 * 1024);
    let entry = deployment.entry_address(0).to_string();
    for call in invalid_calls() {
        let request = request_to(call.method, &entry, call.path, &call.headers, call.body);
        let response = http
            .send(request.expect("a valid request"), Duration::from_secs(5))
            .await;
        let response = response.unwrap_or_else(|fault| panic!("{}: {fault}", call.name));
        let problem: ProblemDetails = serde_json::from_slice(&response.body)
            .unwrap_or_else(|error| panic!("{}: {error}", call.name));
        assert_eq!(problem.code, call.code, "{}: {}", call.name, problem.detail);
        assert_eq!(
            response.header("content-type"),
            Some("application/problem+json")
        );
        assert_eq!(response.status.as_u16(), problem.status, "{}", call.name);
    }
    let client = CallerClient::new(deployment.history.clone());
    let result = client.call(&entry, &request("after", "proofs")).await;
    assert_eq!(result, CallResult::Complete);
    assert_no_violation(&deployment);
}

/// Sends raw bytes and returns the status line of the response.
async fn status_line(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("the entry accepts the connection");
    stream.write_all(bytes).await.expect("the bytes are sent");
    let mut response = vec![0; 64];
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut response)).await;
    let read = read.expect("a response in time").expect("a response");
    String::from_utf8_lossy(&response[..read])
        .lines()
        .next()
        .unwrap_or_default()
        .to_owned()
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn entry_refuses_malformed_and_oversized_http_and_keeps_serving() {
    let deployment = start().await;
    let address = deployment.entry_address(0);
    let malformed = status_line(address, b"\x16\x03\x01 this is no http\r\n\r\n").await;
    assert!(malformed.contains("400"), "{malformed}");
    let oversized = format!(
        "GET /healthz HTTP/1.1\r\nx-long: {}\r\n\r\n",
        "x".repeat(64 * 1024)
    );
    let refusal = status_line(address, oversized.as_bytes()).await;
    assert!(refusal.contains("431"), "{refusal}");
    let valid = status_line(address, b"GET /healthz HTTP/1.1\r\nhost: e\r\n\r\n").await;
    assert!(valid.contains("200"), "{valid}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn entry_ignores_malformed_peer_messages() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let deployment = start().await;
    let peer = deployment.peer_address(0);
    let socket = tokio::net::UdpSocket::bind((peer.ip(), 0))
        .await
        .expect("a socket");
    for bytes in [&b""[..], &b"torn"[..], &[0xff; 1500][..]] {
        socket
            .send_to(bytes, peer)
            .await
            .expect("the datagram is sent");
    }
    let mut stream = tokio::net::TcpStream::connect(peer)
        .await
        .expect("the entry accepts the connection");
    stream
        .write_all(&[0xff; 64])
        .await
        .expect("the bytes are sent");
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut rest)).await;
    assert!(
        closed.is_ok(),
        "the connection with malformed bytes stays open"
    );
    let client = CallerClient::new(deployment.history.clone());
    let result = client
        .call(
            &deployment.entry_address(0).to_string(),
            &request("after", "proofs"),
        )
        .await;
    assert_eq!(result, CallResult::Complete);
}

/// Waits until an entry reports no running requests.
async fn await_no_running_requests(deployment: &RunningDeployment, entry: usize) {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(10);
    loop {
        let running = deployment
            .entry_metric(entry, "dotterelshore_running")
            .await;
        let running = running.expect("the entry reports its metrics");
        if running == 0.0 {
            return;
        }
        let is_late = tokio::time::Instant::now() >= deadline;
        assert!(!is_late, "{running} runs of entry {entry} do not end");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Number of requests whose callers hang up early.
const ABANDONED_REQUESTS: u64 = 12_000;

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn slots_are_released_when_callers_hang_up() {
    let deployment = start().await;
    let client = CallerClient::new(deployment.history.clone());
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..ABANDONED_REQUESTS {
        let entry = usize::try_from(number).unwrap_or_default() % deployment.entry_count();
        let address = deployment.entry_address(entry).to_string();
        let client = client.clone();
        let mut abandoned = request(&format!("hasty-{number}"), "proofs");
        abandoned.idempotent = true;
        abandoned.work.work_ms = number % 12;
        let hang_up_after = Duration::from_micros(500 + number * 7919 % 60_000);
        calls.spawn(async move {
            tokio::time::timeout(hang_up_after, client.call(&address, &abandoned))
                .await
                .is_ok()
        });
        if number % 8 == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    let completed = calls
        .join_all()
        .await
        .into_iter()
        .filter(|is_completed| *is_completed)
        .count();
    assert!(completed > 0, "no call completed");
    for entry in 0..deployment.entry_count() {
        await_no_running_requests(&deployment, entry).await;
    }
    assert_no_violation(&deployment);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn entry_refuses_malformed_store_records_and_keeps_serving() {
    let deployment = start().await;
    let http = HttpClient::new(2, 1024 * 1024);
    let platform = deployment.platform_address().to_string();
    for key in ["instance/stranger", "job/alpha:stranger"] {
        let path = format!("/kv/{key}");
        let malformed = Bytes::from_static(b"{\"not\": \"ours\"}");
        let put = request_to(
            Method::PUT,
            &platform,
            &path,
            &[("if-none-match", "*")],
            malformed,
        );
        let response = http
            .send(put.expect("a valid request"), Duration::from_secs(5))
            .await;
        assert_eq!(response.expect("the record is stored").status.as_u16(), 200);
    }
    let client = CallerClient::new(deployment.history.clone());
    let entry = deployment.entry_address(0).to_string();
    let read = client
        .read_job(
            &entry,
            "alpha:stranger",
            &request("any", "proofs-batch"),
            false,
        )
        .await;
    let problem = read.expect_err("the job can't be read").expect("a refusal");
    assert_eq!(problem.code, 4003);
    assert_eq!(
        client.call(&entry, &request("after", "proofs")).await,
        CallResult::Complete
    );
    let job = client
        .submit(&entry, &request("job-after", "proofs-batch"))
        .await;
    assert!(job.is_ok(), "{job:?}");
}
