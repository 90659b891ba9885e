//! Separate processes serve requests, a job, a wave and an operator.

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
        driver::{ArrivalPlan, CallResult, CallerLink, EntryChoice, SentRequest, run_load},
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
        reboot: Duration::from_millis(200),
        ..DeploymentOptions::default()
    };
    RunningDeployment::start(DeploymentShape::small(), options)
        .await
        .expect("a deployment comes up")
}

fn request(id: &str, queue: &str) -> SentRequest {
    SentRequest {
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

fn assert_no_breach(deployment: &RunningDeployment) {
    let lines = read_folder(&deployment.folder).expect("the history can be read");
    assert!(!lines.is_empty());
    assert_eq!(check_history(&lines), []);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_whole_while_a_wave_runs() {
    let deployment = start().await;
    let form = WaveRequest {
        name: WaveName::try_from("w1").expect("a name"),
        pool: PoolName::try_from("proofs").expect("a name"),
        plan: WavePlan {
            order: WaveOrder::RackTogether,
            buffer: 0,
        },
    };
    deployment
        .operator
        .start_wave(&form)
        .await
        .expect("the wave starts");
    let plan = ArrivalPlan {
        length: Duration::from_secs(3),
        ..ArrivalPlan::default()
    };
    let report = run_load(&deployment.view(), &plan, EntryChoice::InTurn).await;
    assert_eq!(
        (report.answered, report.wrong, report.lost),
        (report.sent, 0, 0),
        "{report:?}"
    );
    let until = tokio::time::Instant::now() + Duration::from_secs(20);
    loop {
        let waves = deployment.operator.waves().await.expect("waves are listed");
        if waves[0].status == WaveStatus::Done {
            assert_eq!(waves[0].done.len(), 4);
            break;
        }
        assert!(
            tokio::time::Instant::now() < until,
            "the wave does not end: {waves:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_no_breach(&deployment);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_accepted_runs_and_finishes_once() {
    let deployment = start().await;
    let link = CallerLink::new(deployment.history.clone());
    let job = request("job-1", "proofs-batch");
    let entry = deployment.entry_address(0).to_string();
    let accepted = link.submit(&entry, &job).await.expect("it is accepted");
    let again = link
        .submit(&deployment.entry_address(1).to_string(), &job)
        .await;
    assert_eq!(again.expect("the same job").job, accepted.job);
    let other = deployment.entry_address(2).to_string();
    let until = tokio::time::Instant::now() + Duration::from_secs(10);
    let ended = loop {
        let read = link
            .read_job(&other, accepted.job.as_str(), &job, false)
            .await;
        let read = read.expect("it can be read");
        if read.state.is_terminal() {
            break read.state;
        }
        assert!(
            tokio::time::Instant::now() < until,
            "the job does not end: {read:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(ended, JobState::Finished("done:n-job-1".to_owned()));
    assert_no_breach(&deployment);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_resubmission_through_another_entry_does_not_run_again() {
    let deployment = start().await;
    let link = CallerLink::new(deployment.history.clone());
    let once = request("once", "proofs");
    let first = link
        .call(&deployment.entry_address(0).to_string(), &once)
        .await;
    assert_eq!(first, CallResult::Whole);
    let second = link
        .call(&deployment.entry_address(1).to_string(), &once)
        .await;
    assert!(
        matches!(&second, CallResult::Refused(problem) if problem.code == 3006),
        "{second:?}"
    );
    assert_no_breach(&deployment);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_working_everywhere() {
    let deployment = start().await;
    let link = CallerLink::new(deployment.history.clone());
    let digest = KeyDigest::of("key-of-alpha");
    let drop_key = |_: &_| Ok(vec![RowChange::Key(digest.clone(), None)]);
    let revision = deployment
        .operator
        .change_rows("test", drop_key)
        .await
        .expect("it is recorded");
    let revision = revision.expect("something changed");
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
        let result = link.call(&address, &request("late", "proofs")).await;
        assert!(
            matches!(&result, CallResult::Refused(problem) if problem.code == 1007),
            "{result:?}"
        );
    }
    assert_no_breach(&deployment);
}

/// One bad call and the code it must get.
struct BadCall {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: Bytes,
    code: u16,
}

fn bad_calls() -> Vec<BadCall> {
    let keyed = || vec![("authorization", "Bearer key-of-alpha")];
    let call = |name, path, headers, code| BadCall {
        name,
        method: Method::POST,
        path,
        headers,
        body: Bytes::from_static(b"{}"),
        code,
    };
    let with = |mut headers: Vec<(&'static str, &'static str)>, more| {
        headers.push(more);
        headers
    };
    vec![
        call("no such path", "/v1/nothing", keyed(), 1004),
        call(
            "unknown queue",
            "/v1/queues/nowhere/requests",
            keyed(),
            1005,
        ),
        call("bad queue name", "/v1/queues/a%20b/requests", keyed(), 1001),
        call("no key", "/v1/queues/proofs/requests", vec![], 1006),
        call(
            "unknown key",
            "/v1/queues/proofs/requests",
            vec![("authorization", "Bearer made-up")],
            1007,
        ),
        call(
            "no bearer",
            "/v1/queues/proofs/requests",
            vec![("authorization", "Basic abc")],
            1001,
        ),
        call(
            "key of another team",
            "/v1/queues/proofs/requests",
            with(keyed(), ("x-team", "beta")),
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
            "bad timeout",
            "/v1/queues/proofs/requests",
            with(keyed(), ("request-timeout", "soon")),
            1001,
        ),
        call(
            "bad mark",
            "/v1/queues/proofs/requests",
            with(keyed(), ("idempotent", "perhaps")),
            1001,
        ),
        call(
            "bad identifier",
            "/v1/queues/proofs/requests",
            with(keyed(), ("idempotency-key", "a b")),
            1001,
        ),
        BadCall {
            method: Method::DELETE,
            ..call("bad method", "/v1/queues/proofs/requests", keyed(), 1010)
        },
        BadCall {
            body: Bytes::from(vec![b'x'; 5 * 1024 * 1024]),
            ..call("large body", "/v1/queues/proofs/requests", keyed(), 1003)
        },
        BadCall {
            method: Method::GET,
            ..call("unknown job", "/v1/jobs/alpha:none", keyed(), 5001)
        },
        call("operators only", "/operator/v1/table", keyed(), 1011),
    ]
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn each_bad_call_gets_its_own_code_and_loses_nothing() {
    let deployment = start().await;
    let http = HttpClient::new(4, 1024 * 1024);
    let entry = deployment.entry_address(0).to_string();
    for bad in bad_calls() {
        let sent = request_to(bad.method, &entry, bad.path, &bad.headers, bad.body);
        let answer = http
            .send(sent.expect("a request"), Duration::from_secs(5))
            .await;
        let answer = answer.unwrap_or_else(|fault| panic!("{}: {fault}", bad.name));
        let problem: ProblemDetails = serde_json::from_slice(&answer.body)
            .unwrap_or_else(|error| panic!("{}: {error}", bad.name));
        assert_eq!(problem.code, bad.code, "{}: {}", bad.name, problem.detail);
        assert_eq!(
            answer.header("content-type"),
            Some("application/problem+json")
        );
        assert_eq!(answer.status.as_u16(), problem.status, "{}", bad.name);
    }
    let link = CallerLink::new(deployment.history.clone());
    let result = link.call(&entry, &request("after", "proofs")).await;
    assert_eq!(result, CallResult::Whole);
    assert_no_breach(&deployment);
}

/// Sends bytes as they are and reads the status line that comes back.
async fn status_line(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("it accepts");
    stream.write_all(bytes).await.expect("it reads");
    let mut answer = vec![0; 64];
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut answer)).await;
    let read = read.expect("it answers in time").expect("it answers");
    String::from_utf8_lossy(&answer[..read])
        .lines()
        .next()
        .unwrap_or_default()
        .to_owned()
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_are_no_http_or_too_long_are_refused_and_the_entry_goes_on() {
    let deployment = start().await;
    let address = deployment.entry_address(0);
    let garbage = status_line(address, b"\x16\x03\x01 this is no http\r\n\r\n").await;
    assert!(garbage.contains("400"), "{garbage}");
    let long = format!(
        "GET /healthz HTTP/1.1\r\nx-long: {}\r\n\r\n",
        "x".repeat(64 * 1024)
    );
    let too_long = status_line(address, long.as_bytes()).await;
    assert!(too_long.contains("431"), "{too_long}");
    let fine = status_line(address, b"GET /healthz HTTP/1.1\r\nhost: e\r\n\r\n").await;
    assert!(fine.contains("200"), "{fine}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn torn_and_foreign_messages_between_entries_change_nothing() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let deployment = start().await;
    let peer = deployment.peer_address(0);
    let socket = tokio::net::UdpSocket::bind((peer.ip(), 0))
        .await
        .expect("a socket");
    for bytes in [&b""[..], &b"torn"[..], &[0xff; 1500][..]] {
        socket.send_to(bytes, peer).await.expect("it is sent");
    }
    let mut stream = tokio::net::TcpStream::connect(peer)
        .await
        .expect("it accepts");
    stream.write_all(&[0xff; 64]).await.expect("it reads");
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "a foreign connection stays open");
    let link = CallerLink::new(deployment.history.clone());
    let result = link
        .call(
            &deployment.entry_address(0).to_string(),
            &request("after", "proofs"),
        )
        .await;
    assert_eq!(result, CallResult::Whole);
}

/// Waits until an entry says that nothing runs for it any more.
async fn await_nothing_running(deployment: &RunningDeployment, entry: usize) {
    let until = tokio::time::Instant::now() + Duration::from_secs(10);
    loop {
        let running = deployment
            .entry_metric(entry, "dotterelshore_running")
            .await;
        let running = running.expect("the entry tells its metrics");
        if running == 0.0 {
            return;
        }
        let late = tokio::time::Instant::now() >= until;
        assert!(!late, "{running} runs of entry {entry} never end");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Requests whose callers hang up soon.
const HASTY_REQUESTS: u64 = 12_000;

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_who_hang_up_leave_no_slot_taken() {
    let deployment = start().await;
    let link = CallerLink::new(deployment.history.clone());
    let mut open = tokio::task::JoinSet::new();
    for number in 0..HASTY_REQUESTS {
        let entry = usize::try_from(number).unwrap_or_default() % deployment.entry_count();
        let address = deployment.entry_address(entry).to_string();
        let link = link.clone();
        let mut hasty = request(&format!("hasty-{number}"), "proofs");
        hasty.idempotent = true;
        hasty.work.work_ms = number % 12;
        let patience = Duration::from_micros(500 + number * 7919 % 60_000);
        open.spawn(async move {
            tokio::time::timeout(patience, link.call(&address, &hasty))
                .await
                .is_ok()
        });
        if number % 8 == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    let answered = open
        .join_all()
        .await
        .into_iter()
        .filter(|whole| *whole)
        .count();
    assert!(answered > 0, "nobody was answered");
    for entry in 0..deployment.entry_count() {
        await_nothing_running(&deployment, entry).await;
    }
    assert_no_breach(&deployment);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn records_that_are_not_ours_are_refused_and_stop_nothing() {
    let deployment = start().await;
    let http = HttpClient::new(2, 1024 * 1024);
    let platform = deployment.platform_address().to_string();
    for key in ["instance/stranger", "job/alpha:stranger"] {
        let path = format!("/kv/{key}");
        let garbage = Bytes::from_static(b"{\"not\": \"ours\"}");
        let put = request_to(
            Method::PUT,
            &platform,
            &path,
            &[("if-none-match", "*")],
            garbage,
        );
        let answer = http
            .send(put.expect("a request"), Duration::from_secs(5))
            .await;
        assert_eq!(answer.expect("it is stored").status.as_u16(), 200);
    }
    let link = CallerLink::new(deployment.history.clone());
    let entry = deployment.entry_address(0).to_string();
    let read = link
        .read_job(
            &entry,
            "alpha:stranger",
            &request("any", "proofs-batch"),
            false,
        )
        .await;
    let problem = read.expect_err("it can't be read").expect("a refusal");
    assert_eq!(problem.code, 4003);
    assert_eq!(
        link.call(&entry, &request("after", "proofs")).await,
        CallResult::Whole
    );
    let job = link
        .submit(&entry, &request("job-after", "proofs-batch"))
        .await;
    assert!(job.is_ok(), "{job:?}");
}
