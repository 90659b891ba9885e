//! End-to-end tests of scheduler processes on an emulated platform, over real sockets.

mod cancel_rule;
mod fixture;
mod owner_lookup;

use {
    bytes::Bytes,
    cancel_rule::CANCEL_TIMEOUT,
    dotterelshore_emulator::{SchedulerProcess, StoreFaultMode},
    dotterelshore_testkit::named_cases,
    fixture::{FleetFixture, SETTLE_TIMEOUT, long_running, program, run_test, two_steps},
    hyper::Method,
    nix::sys::signal::Signal,
    serde_json::json,
    std::time::Duration,
};

/// By the users' rules a configuration is in force after this time.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);
/// By the users' rules a process ends within this time after SIGTERM.
const GRACE_TIMEOUT: Duration = Duration::from_secs(6);

/// Jobs start and are shown to end while no watch of the store shows anything.
#[test]
fn jobs_complete_while_watches_are_silent() {
    run_test(async {
        let fixture = FleetFixture::start(3, 2).await;
        fixture
            .fleet
            .set_store_fault_mode(StoreFaultMode::SilentWatches);
        for (number, node) in fixture.nodes.iter().enumerate() {
            let job = format!("00000000000000{number}f");
            let body = two_steps("works", 3);
            let accepted = fixture.fleet.submit(node, &job, &body).await;
            assert_eq!(accepted.status, 200, "{accepted:?}");
            assert!(fixture.reaches_state(&job, "completed").await, "{job}");
        }
        assert_eq!(fixture.fleet.starts(), 18, "each task once");
        fixture.assert_no_violations();
    });
}

/// An owner takes over from an earlier version, which stored all worker snapshots in one record.
#[test]
fn worker_snapshots_of_an_earlier_version_are_replaced() {
    run_test(async {
        let key = "dotterelshore/held";
        let fixture = FleetFixture::start(2, 2).await;
        fixture.fleet.put_malformed(key, b"[]");
        let owner = fixture.nodes.iter();
        let owner = owner.filter(|node| node.log().contains("event=ownership-won"));
        owner.for_each(|node| node.signal(Signal::SIGKILL));
        let is_replaced = fixture.wait_until(fixture::SETTLE_TIMEOUT, async || {
            fixture.fleet.stored_value(key).is_none()
        });
        assert!(is_replaced.await, "the record is still there");
        assert!(
            !fixture
                .fleet
                .stored_values("dotterelshore/held/")
                .is_empty()
        );
        let job = "00000000000000f1";
        assert_eq!(
            fixture.submit(job, &two_steps("works", 2)).await.status,
            200
        );
        assert!(fixture.reaches_state(job, "completed").await);
    });
}

/// A job is accepted at one entry, runs, and every entry reports its end.
fn job_ends(text: &'static str, end: &'static str, tasks_done: usize) {
    run_test(async {
        let fixture = FleetFixture::start(3, 2).await;
        let job = "00000000000000a1";
        let accepted = fixture.submit(job, &two_steps(text, 3)).await;
        assert_eq!(accepted.status, 200, "{accepted:?}");
        assert!(fixture.reaches_state(job, end).await, "never {end}");
        for node in &fixture.nodes {
            let response = fixture.fleet.state(node, job).await;
            assert_eq!(response.body["state"], end, "at {}", node.front());
        }
        let done = (0..2).flat_map(|step| (0..3).map(move |index| (step, index)));
        let done =
            done.filter(|(step, index)| fixture.fleet.is_done(&format!("{job}.0.{step}.{index}")));
        assert_eq!(done.count(), tasks_done);
        fixture.assert_no_violations();
    });
}

named_cases! { job_ends:
    job_of_two_steps_completes("works", "completed", 6);
    job_with_failing_tasks_fails("fails", "failed", 0);
}

/// A call is answered with this status, after retries if the response has a `Retry-After`.
fn call_answered(method: &Method, path: &str, key: Option<&str>, body: &str, status: u16) {
    run_test(async {
        let fixture = FleetFixture::start(1, 1).await;
        let body = Bytes::from(body.to_owned());
        let call = async || {
            let (method, body) = (method.clone(), body.clone());
            fixture
                .fleet
                .call(&fixture.nodes[0], method, path, key, body)
                .await
        };
        let mut response = call().await;
        while response.status == 503 {
            let pause = response.retry_after_s.expect("a Retry-After header");
            tokio::time::sleep(Duration::from_secs(u64::from(pause))).await;
            response = call().await;
        }
        assert_eq!(response.status, status, "{response:?}");
        assert_eq!(fixture.fleet.starts(), 0, "nothing runs");
    });
}

const KEY: Option<&str> = Some("k-of-the-team");
const CYCLE: &str = r#"{"task_spec":"x","steps":[{"count":1,"after":[0]}]}"#;
const NO_TASKS: &str = r#"{"task_spec":"x","steps":[{"count":0}]}"#;

named_cases! { call_answered:
    unknown_queue_is_not_found(&Method::GET, "/nowhere/0000000000000001", KEY, "", 404);
    unknown_key_is_unauthorized(&Method::GET, "/keyed/0000000000000001", Some("wrong"), "", 401);
    missing_key_is_unauthorized(&Method::POST, "/keyed/0000000000000001", None, "{}", 401);
    public_queue_needs_no_key(&Method::GET, "/open/", None, "", 200);
    state_of_unknown_job_is_gone(&Method::GET, "/keyed/0000000000000001", KEY, "", 410);
    cancel_of_unknown_job_is_gone(&Method::DELETE, "/keyed/0000000000000001", KEY, "", 410);
    malformed_body_is_refused(&Method::POST, "/keyed/0000000000000001", KEY, "no json", 400);
    cyclic_steps_are_refused(&Method::POST, "/keyed/0000000000000001", KEY, CYCLE, 400);
    step_without_tasks_is_refused(&Method::POST, "/keyed/0000000000000001", KEY, NO_TASKS, 400);
}

/// Repeats of a submission, at any entry and however late, result in one job.
fn repeats_are_one_job(entries: usize, repeats: usize) {
    run_test(async {
        let fixture = FleetFixture::start(entries, 2).await;
        let job = "00000000000000b1";
        for number in 0..repeats {
            let node = &fixture.nodes[number % entries];
            let response = fixture
                .fleet
                .submit(node, job, &two_steps("works", 2))
                .await;
            assert_eq!(response.status, 200);
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        assert!(fixture.reaches_state(job, "completed").await);
        assert_eq!(fixture.fleet.starts(), 4, "each task once");
        fixture.assert_no_violations();
    });
}

named_cases! { repeats_are_one_job:
    repeats_at_one_entry_are_one_job(1, 4);
    repeats_at_every_entry_are_one_job(3, 9);
}

/// Jobs accepted before and during a store fault complete after it, each once.
fn store_fault(mode: StoreFaultMode, compact: bool) {
    run_test(async {
        let fixture = FleetFixture::start(3, 2).await;
        let before = "00000000000000c1";
        assert_eq!(
            fixture.submit(before, &two_steps("works", 4)).await.status,
            200
        );
        fixture.fleet.set_store_fault_mode(mode);
        let during = fixture
            .fleet
            .submit(
                &fixture.nodes[1],
                "00000000000000c2",
                &two_steps("works", 2),
            )
            .await;
        assert!(matches!(during.status, 200 | 503 | 504), "{during:?}");
        if during.status == 503 {
            assert!(during.retry_after_s.is_some(), "a Retry-After header");
        }
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        if compact {
            fixture.fleet.compact_store();
        }
        fixture.fleet.set_store_fault_mode(StoreFaultMode::None);
        let after = "00000000000000c3";
        assert_eq!(
            fixture.submit(after, &two_steps("works", 2)).await.status,
            200
        );
        assert!(
            fixture.reaches_state(before, "completed").await,
            "accepted before"
        );
        assert!(
            fixture.reaches_state(after, "completed").await,
            "accepted after"
        );
        if during.status == 200 {
            assert!(fixture.reaches_state("00000000000000c2", "completed").await);
        }
        fixture.assert_no_violations();
    });
}

named_cases! { store_fault:
    jobs_complete_after_store_refuses_calls(StoreFaultMode::Busy, false);
    jobs_complete_after_store_is_silent(StoreFaultMode::Silent, false);
    jobs_complete_after_store_is_slow(StoreFaultMode::Slow(Duration::from_millis(240)), false);
    jobs_complete_after_store_loses_answers(StoreFaultMode::LostAnswers(0.4), false);
    jobs_complete_after_store_writes_late(StoreFaultMode::LateWrites(0.4), false);
    jobs_complete_after_store_compacts_history(StoreFaultMode::None, true);
    jobs_complete_after_store_compacts_history_in_outage(StoreFaultMode::Silent, true);
}

/// Jobs complete, each once, although processes end while they run.
fn processes_end(signal: Signal, all_at_once: bool) {
    run_test(async {
        let mut fixture = FleetFixture::start(3, 2).await;
        let jobs: Vec<String> = (0..6)
            .map(|number| format!("00000000000000d{number}"))
            .collect();
        for job in &jobs {
            assert_eq!(
                fixture.submit(job, &two_steps("works", 4)).await.status,
                200
            );
        }
        let count = fixture.nodes.len();
        for node in &mut fixture.nodes {
            node.signal(signal);
            if !all_at_once {
                node.restart();
                tokio::time::sleep(Duration::from_millis(400)).await;
            }
        }
        if all_at_once {
            for number in 0..count {
                fixture.nodes[number].restart();
            }
        }
        for job in &jobs {
            assert!(
                fixture.reaches_state(job, "completed").await,
                "{job} never completes"
            );
        }
        fixture.assert_no_violations();
    });
}

named_cases! { processes_end:
    jobs_complete_after_rolling_kill(Signal::SIGKILL, false);
    jobs_complete_after_kill_of_all_processes(Signal::SIGKILL, true);
    jobs_complete_after_rolling_stop(Signal::SIGTERM, false);
}

/// A long-running job keeps all its tasks running until it is cancelled, also after a worker
/// crashes. After the cancellation no task of it runs or starts.
fn long_running_job(crash: bool) {
    run_test(async {
        let fixture = FleetFixture::start(2, 3).await;
        let job = "00000000000000e1";
        assert_eq!(fixture.submit(job, &long_running(3)).await.status, 200);
        let all_run = async || fixture.fleet.running() == 3;
        assert!(
            fixture.wait_until(fixture::SETTLE_TIMEOUT, all_run).await,
            "all run"
        );
        if crash {
            let worker = fixture.fleet.busy_worker().expect("a worker with a run");
            fixture.fleet.crash_worker(worker);
            assert!(fixture.fleet.running() < 3, "one crashed");
            assert!(
                fixture.wait_until(fixture::SETTLE_TIMEOUT, all_run).await,
                "all run again"
            );
        }
        assert_eq!(
            fixture.fleet.cancel(&fixture.nodes[1], job).await.status,
            200
        );
        let stopped = fixture.wait_until(CANCEL_TIMEOUT, async || fixture.fleet.running() == 0);
        assert!(stopped.await, "cancelled");
        let starts = fixture.fleet.starts();
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(
            fixture.fleet.starts(),
            starts,
            "nothing starts after the cancellation"
        );
        assert!(fixture.reaches_state(job, "cancelled").await);
        fixture.assert_no_violations();
    });
}

named_cases! { long_running_job:
    long_running_job_runs_until_cancelled(false);
    long_running_job_survives_worker_crash(true);
}

/// Tasks of a cancelled job start no later than this, by the users' rules.
const CANCEL_START_TIMEOUT: Duration = Duration::from_secs(3);
/// Time in which a job's record is sent to the store, and not executed if writes are late.
const LATE_SUBMIT_TIME: Duration = Duration::from_millis(200);
/// Time until late writes are executed, and a start would follow.
const LATE_RECORD_TIME: Duration = Duration::from_secs(4);
/// How long the owner's store endpoint is silent: long enough for the next watch to arrive.
const SILENT_TIME: Duration = Duration::from_millis(60);
/// Time in which the entries find each other.
const CANCEL_SETTLE_TIME: Duration = Duration::from_secs(4);

/// The owner applies a cancellation in time although its watch waits on a silent connection:
/// until then it would also start tasks of the job.
fn cancel_is_applied_in_time(is_silent: bool) {
    run_test(async {
        let fixture = FleetFixture::start(0, 3).await;
        let endpoint = fixture.fleet.open_store_endpoint().await;
        let folder = fixture.folder.path();
        let owner = SchedulerProcess::start_with_endpoint(&endpoint, program(), folder, "owner");
        let is_owner = fixture.wait_until(fixture::SETTLE_TIMEOUT, async || {
            owner.log().contains("event=schedule-read")
        });
        assert!(is_owner.await, "it owns the schedule:\n{}", owner.log());
        let other = SchedulerProcess::start(&fixture.fleet, program(), folder, "other");
        tokio::time::sleep(CANCEL_SETTLE_TIME).await;
        let job = "00000000000000e2";
        let accepted = fixture.fleet.submit(&other, job, &long_running(3)).await;
        assert_eq!(accepted.status, 200, "{accepted:?}");
        let all_run = async || fixture.fleet.running() == 3;
        let settled = fixture.wait_until(fixture::SETTLE_TIMEOUT, all_run);
        assert!(settled.await, "all run");
        tokio::time::sleep(Duration::from_secs(1)).await;
        if is_silent {
            endpoint.set_fault_mode(StoreFaultMode::Silent);
        }
        let later = two_steps("works", 1);
        let accepted = fixture.fleet.submit(&other, "00000000000000e3", &later);
        assert_eq!(accepted.await.status, 200, "the change ends the watch");
        tokio::time::sleep(SILENT_TIME).await;
        endpoint.set_fault_mode(StoreFaultMode::None);
        assert_eq!(fixture.fleet.cancel(&other, job).await.status, 200);
        let acknowledged = std::time::Instant::now();
        let stopped = fixture.wait_until(fixture::SETTLE_TIMEOUT, async || {
            fixture.fleet.running() == 0
        });
        assert!(stopped.await, "it stops");
        let took = acknowledged.elapsed();
        assert!(took < CANCEL_START_TIMEOUT, "{took:?}\n{}", owner.log());
        fixture.assert_no_violations();
    });
}

named_cases! { cancel_is_applied_in_time:
    cancel_is_applied_in_time_with_sound_watch(false);
    cancel_is_applied_in_time_with_silent_watch(true);
}

/// A job whose cancellation was answered does not start, although its record was written late,
/// after the cancellation.
#[test]
fn job_recorded_after_its_cancel_starts_nothing() {
    run_test(async {
        let fixture = FleetFixture::start(1, 1).await;
        let node = &fixture.nodes[0];
        let job = "00000000000000e4";
        let late = StoreFaultMode::LateWrites(1.0);
        fixture.fleet.set_store_fault_mode(late);
        let body = two_steps("works", 1);
        let submitted = fixture.fleet.submit(node, job, &body);
        let submitted = tokio::time::timeout(LATE_SUBMIT_TIME, submitted).await;
        fixture.fleet.set_store_fault_mode(StoreFaultMode::None);
        assert!(submitted.is_err(), "the caller leaves early");
        let cancelled = fixture.fleet.cancel(node, job).await;
        assert!(matches!(cancelled.status, 200 | 410), "{cancelled:?}");
        tokio::time::sleep(LATE_RECORD_TIME).await;
        let starts = fixture.fleet.starts();
        assert_eq!(starts, 0, "{cancelled:?}\n{}", node.log());
    });
}

/// A new configuration is in force in time: a revoked key no longer works.
fn revoked_key(entries: usize) {
    run_test(async {
        let fixture = FleetFixture::start(entries, 1).await;
        fixture.fleet.configure(2, &["another"]);
        tokio::time::sleep(CONFIG_TIMEOUT).await;
        for node in &fixture.nodes {
            let response = fixture.fleet.state(node, "0000000000000001").await;
            assert_eq!(response.status, 401, "at {}", node.front());
        }
    });
}

named_cases! { revoked_key:
    revoked_key_fails_at_every_entry(3);
}

/// Malformed records of other writers are skipped, and jobs still run.
fn malformed_record(key: &str, bytes: &'static [u8]) {
    run_test(async {
        let fixture = FleetFixture::start(2, 2).await;
        fixture.fleet.put_malformed(key, bytes);
        let job = "00000000000000f1";
        assert_eq!(
            fixture.submit(job, &two_steps("works", 2)).await.status,
            200
        );
        assert!(fixture.reaches_state(job, "completed").await);
        fixture.assert_no_violations();
    });
}

named_cases! { malformed_record:
    worker_that_is_no_json_is_skipped("servers/i-9", b"\xff\xfe");
    worker_without_fields_is_skipped("servers/i-9", b"{\"service\":\"proofs\"}");
    worker_in_unknown_state_is_skipped("servers/i-0", b"{\"service\":\"proofs\",\"address\":\"a\",\"zone\":\"z\",\"state\":\"odd\",\"capacity\":{}}");
    configuration_that_is_no_json_is_skipped("op/config", b"not a configuration");
    malformed_job_is_skipped("dotterelshore/job/00000000000000ff", b"torn");
}

/// SIGTERM ends a process in time and with success, and the other processes go on.
fn graceful_end(job_running: bool) {
    run_test(async {
        let mut fixture = FleetFixture::start(2, 2).await;
        if job_running {
            let accepted = fixture
                .submit("00000000000000a7", &two_steps("works", 4))
                .await;
            assert_eq!(accepted.status, 200);
        }
        fixture.nodes[0].signal(Signal::SIGTERM);
        let mut first = fixture.nodes.remove(0);
        let until = std::time::Instant::now() + GRACE_TIMEOUT;
        while first.ended().is_none() && std::time::Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(first.ended(), Some(true), "{}", first.log());
        assert!(first.log().contains("event=stopped"), "{}", first.log());
        if job_running {
            assert!(fixture.reaches_state("00000000000000a7", "completed").await);
        }
        fixture.assert_no_violations();
    });
}

/// An owner ends in time also while a store fault prevents its handover and a caller keeps a
/// connection open.
fn graceful_end_without_store(mode: StoreFaultMode) {
    run_test(async {
        let mut fixture = FleetFixture::start(2, 1).await;
        fixture.fleet.set_store_fault_mode(mode);
        let open = tokio::net::TcpStream::connect(fixture.nodes[0].front())
            .await
            .expect("the front accepts connections");
        fixture.nodes[0].signal(Signal::SIGTERM);
        let mut first = fixture.nodes.remove(0);
        let until = std::time::Instant::now() + GRACE_TIMEOUT;
        while first.ended().is_none() && std::time::Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(first.ended(), Some(true), "{}", first.log());
        assert!(first.log().contains("event=stopped"), "{}", first.log());
        drop(open);
        fixture.fleet.set_store_fault_mode(StoreFaultMode::None);
        fixture.assert_no_violations();
    });
}

named_cases! { graceful_end_without_store:
    owner_ends_in_time_while_store_is_silent(StoreFaultMode::Silent);
    owner_ends_in_time_while_store_is_slow(StoreFaultMode::Slow(Duration::from_millis(600)));
}

named_cases! { graceful_end:
    idle_process_ends_in_time(false);
    process_with_running_job_ends_in_time(true);
}

/// The metrics page contains this line.
fn metrics_page(line: &'static str) {
    run_test(async {
        let fixture = FleetFixture::start(1, 1).await;
        let http = dotterelshore_wire::http_client::HttpClient::new(1, 1 << 20);
        let request = dotterelshore_wire::http_client::request_to(
            Method::GET,
            fixture.nodes[0].metrics(),
            "/metrics",
            &[],
            Bytes::new(),
        );
        let response = http
            .send(request.expect("a request"), Duration::from_secs(2))
            .await;
        let text = String::from_utf8_lossy(&response.expect("the page").body).into_owned();
        assert!(text.contains(line), "{text}");
    });
}

named_cases! { metrics_page:
    metrics_count_refusals_by_reason("dotterelshore_refusals_total{reason=\"no-job\"} ");
    metrics_count_answers_by_call("dotterelshore_answer_seconds_count{call=\"look\",status=\"410\"} ");
    metrics_show_configuration_version("dotterelshore_config_version 1");
}

/// A body above the operators' limit, or a task text above the product's, is refused.
fn body_limit(bytes: usize, status: u16) {
    run_test(async {
        let fixture = FleetFixture::start(1, 1).await;
        let text = "x".repeat(bytes);
        let body = json!({"task_spec": text, "steps": [{"count": 1}]});
        let response = fixture
            .fleet
            .submit(&fixture.nodes[0], "00000000000000a9", &body)
            .await;
        assert_eq!(response.status, status, "{response:?}");
    });
}

named_cases! { body_limit:
    longest_task_text_is_accepted(4_000, 200);
    longer_task_text_is_refused(4_001, 400);
    too_large_body_is_refused(70_000, 413);
}

/// How long an entry may take to detect that the store does not answer it and to find a relay: two
/// probes, and the timeout of a call to a silent store.
const PATH_TIMEOUT: Duration = Duration::from_secs(4);
/// Entries have read the other entries' rows within this time after their start.
const ENTRY_ROWS_TIME: Duration = Duration::from_secs(6);

/// An entry that the store does not answer serves its callers through another entry, also while
/// the owner is frozen, and stays ready.
fn entry_without_store_serves(mode: StoreFaultMode) {
    run_test(async {
        let mut fixture = FleetFixture::start(1, 1).await;
        // The entries started below would claim the schedule too.
        let owns = async || fixture.owner() == Some(0);
        assert!(fixture.wait_until(SETTLE_TIMEOUT, owns).await, "an owner");
        let endpoints = [
            fixture.fleet.open_store_endpoint().await,
            fixture.fleet.open_store_endpoint().await,
        ];
        for (number, endpoint) in endpoints.iter().enumerate() {
            let name = format!("by-door-{number}");
            let node = SchedulerProcess::start_with_endpoint(
                endpoint,
                program(),
                fixture.folder.path(),
                &name,
            );
            fixture.nodes.push(node);
        }
        tokio::time::sleep(ENTRY_ROWS_TIME).await;
        endpoints[1].set_fault_mode(mode);
        let owner = fixture.owner().expect("an owner");
        fixture.nodes[owner].signal(Signal::SIGSTOP);
        let without_store = &fixture.nodes[2];
        let job = "00000000000000d1";
        let accepted = fixture.wait_until(PATH_TIMEOUT, async || {
            let response = fixture
                .fleet
                .submit(without_store, job, &two_steps("works", 2))
                .await;
            response.status == 200
        });
        assert!(accepted.await, "it records jobs\n{}", without_store.log());
        // The store answers watches that wait since before the fault, which proves nothing about
        // new calls.
        fixture.fleet.configure(2, &["k-of-the-team"]);
        let known = fixture.fleet.state(without_store, job).await;
        assert_eq!(
            known.status,
            200,
            "it knows the job: {known:?}\n{}",
            without_store.log()
        );
        let unknown = fixture.fleet.state(without_store, "00000000000000d2").await;
        assert_eq!(
            unknown.status,
            410,
            "and that another one does not exist: {unknown:?}\n{}",
            without_store.log()
        );
        assert_eq!(fixture.fleet.readiness(without_store).await, 200);
        let log = without_store.log();
        assert!(!log.contains("now=Direct"), "it keeps its relay\n{log}");
        fixture.nodes[owner].signal(Signal::SIGCONT);
        fixture.assert_no_violations();
    });
}

named_cases! { entry_without_store_serves:
    entry_uses_relay_while_store_is_busy(StoreFaultMode::Busy);
    entry_uses_relay_while_store_is_silent(StoreFaultMode::Silent);
}

/// An entry that reaches neither the store nor other entries is not ready and refuses at once. In
/// an outage of the store for all entries, each stays ready.
fn readiness_without_store(are_others_frozen: bool, ready: u16) {
    run_test(async {
        let mut fixture = FleetFixture::start(3, 1).await;
        let endpoint = fixture.fleet.open_store_endpoint().await;
        let cut = SchedulerProcess::start_with_endpoint(
            &endpoint,
            program(),
            fixture.folder.path(),
            "cut",
        );
        tokio::time::sleep(ENTRY_ROWS_TIME).await;
        let before = fixture.fleet.readiness(&cut).await;
        assert_eq!(before, 200, "before:\n{}", cut.log());
        endpoint.set_fault_mode(StoreFaultMode::Silent);
        if are_others_frozen {
            for node in &fixture.nodes {
                node.signal(Signal::SIGSTOP);
            }
        } else {
            fixture.fleet.set_store_fault_mode(StoreFaultMode::Silent);
        }
        let is_logged = fixture.wait_until(PATH_TIMEOUT, async || {
            let path = if are_others_frozen {
                "CutOff"
            } else {
                "Outage"
            };
            cut.log().contains(&format!("now={path}"))
        });
        assert!(is_logged.await, "{}", cut.log());
        assert_eq!(fixture.fleet.readiness(&cut).await, ready);
        let began = std::time::Instant::now();
        let refused = fixture
            .fleet
            .submit(&cut, "00000000000000d3", &two_steps("works", 1))
            .await;
        assert_eq!(refused.status, 503, "{refused:?}\n{}", cut.log());
        assert!(refused.retry_after_s.is_some(), "a Retry-After header");
        assert!(began.elapsed() < Duration::from_millis(300), "at once");
        endpoint.set_fault_mode(StoreFaultMode::None);
        fixture.fleet.set_store_fault_mode(StoreFaultMode::None);
        for node in &fixture.nodes {
            node.signal(Signal::SIGCONT);
        }
        let is_ready = fixture.wait_until(PATH_TIMEOUT, async || {
            fixture.fleet.readiness(&cut).await == 200
        });
        assert!(is_ready.await, "ready again");
        fixture.nodes.push(cut);
        fixture.assert_no_violations();
    });
}

named_cases! { readiness_without_store:
    entry_that_is_cut_off_is_not_ready(true, 503);
    entry_stays_ready_in_store_outage(false, 200);
}

/// Jobs of a queue that needs advice run on the workers that the adviser names, and every start
/// order carries its ticket.
fn advised_job_ends(workers: usize, tasks: u32) {
    run_test(async {
        let fixture = FleetFixture::start(2, workers).await;
        let job = "00000000000000e1";
        let accepted = fixture
            .fleet
            .submit_advised(&fixture.nodes[0], job, &two_steps("advised", tasks))
            .await;
        assert_eq!(accepted.status, 200, "{accepted:?}");
        let path = format!("/advised/{job}");
        let completed = fixture.wait_until(fixture::SETTLE_TIMEOUT, async || {
            let response = fixture
                .fleet
                .call(&fixture.nodes[0], Method::GET, &path, KEY, Bytes::new())
                .await;
            response.body["state"] == "completed"
        });
        assert!(completed.await, "{}", fixture.nodes[0].log());
        assert!(
            fixture.fleet.advice_requests_answered() >= 2,
            "one request per step"
        );
        fixture.assert_no_violations();
    });
}

named_cases! { advised_job_ends:
    advised_job_completes_on_single_worker(1, 2);
    advised_job_completes_on_half_of_workers(4, 8);
}
