//! The whole path on an emulated platform: separate processes, real sockets.

mod stage;

use {
    bytes::Bytes,
    dotterelshore_emulator::{SchedulerProcess, StoreTrouble},
    dotterelshore_testkit::named_cases,
    hyper::Method,
    nix::sys::signal::Signal,
    serde_json::json,
    stage::{FleetStage, lasting, program, run, two_steps},
    std::time::Duration,
};

/// By the users' rules a cancelled job's tasks are gone after this time.
const CANCEL_TIME: Duration = Duration::from_millis(3_400);
/// By the users' rules a configuration is in force after this time.
const CONFIG_TIME: Duration = Duration::from_secs(2);
/// By the users' rules a process ends within this time of SIGTERM.
const GRACE_TIME: Duration = Duration::from_secs(6);

/// A job is accepted at one entry, runs, and is shown as ended at every entry.
fn job_ends(text: &'static str, end: &'static str, tasks_done: usize) {
    run(async {
        let stage = FleetStage::start(3, 2).await;
        let job = "00000000000000a1";
        let accepted = stage.submit(job, &two_steps(text, 3)).await;
        assert_eq!(accepted.status, 200, "{accepted:?}");
        assert!(stage.reaches(job, end).await, "never {end}");
        for node in &stage.nodes {
            let told = stage.fleet.state(node, job).await;
            assert_eq!(told.body["state"], end, "at {}", node.front());
        }
        let done = (0..2).flat_map(|step| (0..3).map(move |index| (step, index)));
        let done =
            done.filter(|(step, index)| stage.fleet.is_done(&format!("{job}.0.{step}.{index}")));
        assert_eq!(done.count(), tasks_done);
        stage.check();
    });
}

named_cases! { job_ends:
    a_job_of_two_steps_completes("works", "completed", 6);
    a_job_that_can_never_be_done_fails("fails", "failed", 0);
}

/// A call that can't be served is answered at once, with the right status; a caller that is
/// told to come back does so.
fn call_answered(method: &Method, path: &str, key: Option<&str>, body: &str, status: u16) {
    run(async {
        let stage = FleetStage::start(1, 1).await;
        let body = Bytes::from(body.to_owned());
        let call = async || {
            let (method, body) = (method.clone(), body.clone());
            stage
                .fleet
                .call(&stage.nodes[0], method, path, key, body)
                .await
        };
        let mut answer = call().await;
        while answer.status == 503 {
            let pause = answer.retry_after_s.expect("told when to come back");
            tokio::time::sleep(Duration::from_secs(u64::from(pause))).await;
            answer = call().await;
        }
        assert_eq!(answer.status, status, "{answer:?}");
        assert_eq!(stage.fleet.starts(), 0, "nothing runs");
    });
}

const KEY: Option<&str> = Some("k-of-the-team");
const CYCLE: &str = r#"{"task_spec":"x","steps":[{"count":1,"after":[0]}]}"#;
const NO_TASKS: &str = r#"{"task_spec":"x","steps":[{"count":0}]}"#;

named_cases! { call_answered:
    an_unknown_queue(&Method::GET, "/nowhere/0000000000000001", KEY, "", 404);
    an_unknown_key(&Method::GET, "/keyed/0000000000000001", Some("wrong"), "", 401);
    no_key(&Method::POST, "/keyed/0000000000000001", None, "{}", 401);
    an_open_queue_takes_no_key(&Method::GET, "/open/", None, "", 200);
    an_unknown_job(&Method::GET, "/keyed/0000000000000001", KEY, "", 410);
    cancelling_an_unknown_job(&Method::DELETE, "/keyed/0000000000000001", KEY, "", 410);
    a_body_that_is_no_job(&Method::POST, "/keyed/0000000000000001", KEY, "no json", 400);
    steps_that_wait_for_themselves(&Method::POST, "/keyed/0000000000000001", KEY, CYCLE, 400);
    a_step_without_tasks(&Method::POST, "/keyed/0000000000000001", KEY, NO_TASKS, 400);
}

/// Repeats of a submission, at any entry and however late, are one job.
fn repeats_are_one_job(entries: usize, repeats: usize) {
    run(async {
        let stage = FleetStage::start(entries, 2).await;
        let job = "00000000000000b1";
        for number in 0..repeats {
            let node = &stage.nodes[number % entries];
            let answer = stage.fleet.submit(node, job, &two_steps("works", 2)).await;
            assert_eq!(answer.status, 200);
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        assert!(stage.reaches(job, "completed").await);
        assert_eq!(stage.fleet.starts(), 4, "each task once");
        stage.check();
    });
}

named_cases! { repeats_are_one_job:
    at_one_entry(1, 4);
    at_each_entry(3, 9);
}

/// Jobs accepted before and during trouble of the store are done after it, each once.
fn store_trouble(trouble: StoreTrouble, compact: bool) {
    run(async {
        let stage = FleetStage::start(3, 2).await;
        let before = "00000000000000c1";
        assert_eq!(
            stage.submit(before, &two_steps("works", 4)).await.status,
            200
        );
        stage.fleet.trouble_store(trouble);
        let during = stage
            .fleet
            .submit(&stage.nodes[1], "00000000000000c2", &two_steps("works", 2))
            .await;
        assert!(matches!(during.status, 200 | 503 | 504), "{during:?}");
        if during.status == 503 {
            assert!(during.retry_after_s.is_some(), "told when to come back");
        }
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        if compact {
            stage.fleet.compact_store();
        }
        stage.fleet.trouble_store(StoreTrouble::None);
        let after = "00000000000000c3";
        assert_eq!(
            stage.submit(after, &two_steps("works", 2)).await.status,
            200
        );
        assert!(stage.reaches(before, "completed").await, "accepted before");
        assert!(stage.reaches(after, "completed").await, "accepted after");
        if during.status == 200 {
            assert!(stage.reaches("00000000000000c2", "completed").await);
        }
        stage.check();
    });
}

named_cases! { store_trouble:
    the_store_refuses(StoreTrouble::Busy, false);
    the_store_is_silent(StoreTrouble::Silent, false);
    the_store_is_slow(StoreTrouble::Slow(Duration::from_millis(240)), false);
    answers_are_lost(StoreTrouble::LosesAnswers(0.4), false);
    writes_come_late(StoreTrouble::LateWrites(0.4), false);
    the_history_is_forgotten(StoreTrouble::None, true);
    the_history_is_forgotten_in_an_outage(StoreTrouble::Silent, true);
}

/// Processes end while jobs run: the jobs are done all the same, each once.
fn processes_end(signal: Signal, all_at_once: bool) {
    run(async {
        let mut stage = FleetStage::start(3, 2).await;
        let jobs: Vec<String> = (0..6)
            .map(|number| format!("00000000000000d{number}"))
            .collect();
        for job in &jobs {
            assert_eq!(stage.submit(job, &two_steps("works", 4)).await.status, 200);
        }
        let count = stage.nodes.len();
        for node in &mut stage.nodes {
            node.signal(signal);
            if !all_at_once {
                node.restart();
                tokio::time::sleep(Duration::from_millis(400)).await;
            }
        }
        if all_at_once {
            for number in 0..count {
                stage.nodes[number].restart();
            }
        }
        for job in &jobs {
            assert!(stage.reaches(job, "completed").await, "{job} never ends");
        }
        stage.check();
    });
}

named_cases! { processes_end:
    killed_in_turn(Signal::SIGKILL, false);
    killed_all_at_once(Signal::SIGKILL, true);
    stopped_in_turn(Signal::SIGTERM, false);
}

/// A job whose tasks last is kept at work whatever becomes of one worker, until it is
/// cancelled; then nothing of it runs or starts.
fn lasting_job(crash: bool) {
    run(async {
        let stage = FleetStage::start(2, 3).await;
        let job = "00000000000000e1";
        assert_eq!(stage.submit(job, &lasting(3)).await.status, 200);
        let at_work = async || stage.fleet.running() == 3;
        assert!(stage.within(stage::SETTLE, at_work).await, "all at work");
        if crash {
            stage.fleet.crash_worker(0);
            assert!(stage.fleet.running() < 3, "one crashed");
            assert!(
                stage.within(stage::SETTLE, at_work).await,
                "all at work again"
            );
        }
        assert_eq!(stage.fleet.cancel(&stage.nodes[1], job).await.status, 200);
        let gone = stage.within(CANCEL_TIME, async || stage.fleet.running() == 0);
        assert!(gone.await, "cancelled");
        let starts = stage.fleet.starts();
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(stage.fleet.starts(), starts, "nothing starts after");
        assert!(stage.reaches(job, "cancelled").await);
        stage.check();
    });
}

named_cases! { lasting_job:
    it_lasts_until_it_is_cancelled(false);
    it_lasts_through_a_crash(true);
}

/// A configuration is in force in time: a withdrawn key no longer works.
fn withdrawn_key(entries: usize) {
    run(async {
        let stage = FleetStage::start(entries, 1).await;
        stage.fleet.configure(2, &["another"]);
        tokio::time::sleep(CONFIG_TIME).await;
        for node in &stage.nodes {
            let answer = stage.fleet.state(node, "0000000000000001").await;
            assert_eq!(answer.status, 401, "at {}", node.front());
        }
    });
}

named_cases! { withdrawn_key:
    at_every_entry(3);
}

/// Entries of other writers are left out, and what is around them is served.
fn foreign_entries(key: &str, bytes: &'static [u8]) {
    run(async {
        let stage = FleetStage::start(2, 2).await;
        stage.fleet.litter(key, bytes);
        let job = "00000000000000f1";
        assert_eq!(stage.submit(job, &two_steps("works", 2)).await.status, 200);
        assert!(stage.reaches(job, "completed").await);
        stage.check();
    });
}

named_cases! { foreign_entries:
    a_worker_that_is_no_json("servers/i-9", b"\xff\xfe");
    a_worker_without_fields("servers/i-9", b"{\"service\":\"proofs\"}");
    a_worker_in_an_unknown_state("servers/i-0", b"{\"service\":\"proofs\",\"address\":\"a\",\"zone\":\"z\",\"state\":\"odd\",\"capacity\":{}}");
    a_configuration_that_is_no_json("op/config", b"not a configuration");
    a_job_that_is_no_job("dotterelshore/job/00000000000000ff", b"torn");
}

/// SIGTERM ends a process in time and with success, and others go on.
fn graceful_end(job_running: bool) {
    run(async {
        let mut stage = FleetStage::start(2, 2).await;
        if job_running {
            let accepted = stage
                .submit("00000000000000a7", &two_steps("works", 4))
                .await;
            assert_eq!(accepted.status, 200);
        }
        stage.nodes[0].signal(Signal::SIGTERM);
        let mut first = stage.nodes.remove(0);
        let until = std::time::Instant::now() + GRACE_TIME;
        while first.ended().is_none() && std::time::Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(first.ended(), Some(true), "{}", first.log());
        assert!(first.log().contains("event=stopped"), "{}", first.log());
        if job_running {
            assert!(stage.reaches("00000000000000a7", "completed").await);
        }
        stage.check();
    });
}

/// An owner ends in time also while the store is silent, so that it can't hand over, and a
/// caller keeps a connection open.
fn graceful_end_without_store(trouble: StoreTrouble) {
    run(async {
        let mut stage = FleetStage::start(2, 1).await;
        stage.fleet.trouble_store(trouble);
        let open = tokio::net::TcpStream::connect(stage.nodes[0].front())
            .await
            .expect("it takes connections");
        stage.nodes[0].signal(Signal::SIGTERM);
        let mut first = stage.nodes.remove(0);
        let until = std::time::Instant::now() + GRACE_TIME;
        while first.ended().is_none() && std::time::Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(first.ended(), Some(true), "{}", first.log());
        assert!(first.log().contains("event=stopped"), "{}", first.log());
        drop(open);
        stage.fleet.trouble_store(StoreTrouble::None);
        stage.check();
    });
}

named_cases! { graceful_end_without_store:
    while_it_is_silent(StoreTrouble::Silent);
    while_it_is_slow(StoreTrouble::Slow(Duration::from_millis(600)));
}

named_cases! { graceful_end:
    with_nothing_to_do(false);
    with_a_job_running(true);
}

/// The metrics page tells what was counted.
fn metrics_page(line: &'static str) {
    run(async {
        let stage = FleetStage::start(1, 1).await;
        let http = dotterelshore_wire::http_client::HttpClient::new(1, 1 << 20);
        let request = dotterelshore_wire::http_client::request_to(
            Method::GET,
            stage.nodes[0].metrics(),
            "/metrics",
            &[],
            Bytes::new(),
        );
        let answer = http
            .send(request.expect("a request"), Duration::from_secs(2))
            .await;
        let text = String::from_utf8_lossy(&answer.expect("the page").body).into_owned();
        assert!(text.contains(line), "{text}");
    });
}

named_cases! { metrics_page:
    refusals_by_reason("dotterelshore_refusals_total{reason=\"no-job\"} ");
    answers_by_call("dotterelshore_answer_seconds_count{call=\"look\",status=\"410\"} ");
    the_version_in_force("dotterelshore_config_version 1");
}

/// What every pool has, the larger part of a job's plan, is not told to strangers: a body
/// larger than the operators allow is refused.
fn body_limit(bytes: usize, status: u16) {
    run(async {
        let stage = FleetStage::start(1, 1).await;
        let text = "x".repeat(bytes);
        let body = json!({"task_spec": text, "steps": [{"count": 1}]});
        let answer = stage
            .fleet
            .submit(&stage.nodes[0], "00000000000000a9", &body)
            .await;
        assert_eq!(answer.status, status, "{answer:?}");
    });
}

named_cases! { body_limit:
    the_longest_task_text(4_000, 200);
    too_long_a_task_text(4_001, 400);
    too_large_a_body(70_000, 413);
}

/// How long an entry may take to notice that the store turns it away, and to find a way: two
/// looks, and the time that a silent store takes to be given up.
const WAY_TIME: Duration = Duration::from_secs(4);
/// Entries read where the others are within this time of their start.
const ROLL_TIME: Duration = Duration::from_secs(6);

/// An entry that the store turns away serves its callers through another one, also while the
/// owner is frozen, and stays ready.
fn turned_away_entry_serves(trouble: StoreTrouble) {
    run(async {
        let mut stage = FleetStage::start(1, 1).await;
        let doors = [stage.fleet.open_door().await, stage.fleet.open_door().await];
        for (number, door) in doors.iter().enumerate() {
            let name = format!("by-door-{number}");
            let node = SchedulerProcess::start_by(door, program(), stage.folder.path(), &name);
            stage.nodes.push(node);
        }
        tokio::time::sleep(ROLL_TIME).await;
        doors[1].trouble(trouble);
        stage.nodes[0].signal(Signal::SIGSTOP);
        let turned_away = &stage.nodes[2];
        let job = "00000000000000d1";
        let accepted = stage.within(WAY_TIME, async || {
            let answer = stage
                .fleet
                .submit(turned_away, job, &two_steps("works", 2))
                .await;
            answer.status == 200
        });
        assert!(accepted.await, "it records jobs\n{}", turned_away.log());
        let known = stage.fleet.state(turned_away, job).await;
        assert_eq!(known.status, 200, "it knows the job: {known:?}");
        let unknown = stage.fleet.state(turned_away, "00000000000000d2").await;
        assert_eq!(unknown.status, 410, "and that there is no other");
        assert_eq!(stage.fleet.readiness(turned_away).await, 200);
        stage.nodes[0].signal(Signal::SIGCONT);
        stage.check();
    });
}

named_cases! { turned_away_entry_serves:
    through_another_while_the_store_is_busy(StoreTrouble::Busy);
    through_another_while_the_store_is_silent(StoreTrouble::Silent);
}

/// An entry that reaches neither the store nor other entries leaves the rotation and refuses
/// at once; in an outage that all share each stays in it.
fn lost_store_and_rotation(others_gone: bool, ready: u16) {
    run(async {
        let mut stage = FleetStage::start(3, 1).await;
        let door = stage.fleet.open_door().await;
        let cut = SchedulerProcess::start_by(&door, program(), stage.folder.path(), "cut");
        tokio::time::sleep(ROLL_TIME).await;
        assert_eq!(stage.fleet.readiness(&cut).await, 200, "before");
        door.trouble(StoreTrouble::Silent);
        if others_gone {
            for node in &stage.nodes {
                node.signal(Signal::SIGSTOP);
            }
        } else {
            stage.fleet.trouble_store(StoreTrouble::Silent);
        }
        let told = stage.within(WAY_TIME, async || {
            let path = if others_gone { "CutOff" } else { "Outage" };
            cut.log().contains(&format!("now={path}"))
        });
        assert!(told.await, "{}", cut.log());
        assert_eq!(stage.fleet.readiness(&cut).await, ready);
        let began = std::time::Instant::now();
        let refused = stage
            .fleet
            .submit(&cut, "00000000000000d3", &two_steps("works", 1))
            .await;
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.retry_after_s.is_some(), "told when to come back");
        assert!(began.elapsed() < Duration::from_millis(300), "at once");
        door.trouble(StoreTrouble::None);
        stage.fleet.trouble_store(StoreTrouble::None);
        for node in &stage.nodes {
            node.signal(Signal::SIGCONT);
        }
        let back = stage.within(WAY_TIME, async || stage.fleet.readiness(&cut).await == 200);
        assert!(back.await, "back in rotation");
        stage.nodes.push(cut);
        stage.check();
    });
}

named_cases! { lost_store_and_rotation:
    one_that_is_cut_off_leaves(true, 503);
    in_an_outage_all_stay(false, 200);
}

/// Jobs of a queue that takes advice run where the adviser lets them, with its tickets, and no
/// start goes out without one.
fn advised_job_ends(workers: usize, tasks: u32) {
    run(async {
        let stage = FleetStage::start(2, workers).await;
        let job = "00000000000000e1";
        let accepted = stage
            .fleet
            .submit_advised(&stage.nodes[0], job, &two_steps("advised", tasks))
            .await;
        assert_eq!(accepted.status, 200, "{accepted:?}");
        let path = format!("/advised/{job}");
        let completed = stage.within(stage::SETTLE, async || {
            let told = stage
                .fleet
                .call(&stage.nodes[0], Method::GET, &path, KEY, Bytes::new())
                .await;
            told.body["state"] == "completed"
        });
        assert!(completed.await, "{}", stage.nodes[0].log());
        assert!(stage.fleet.advice_given() >= 2, "one question a step");
        stage.check();
    });
}

named_cases! { advised_job_ends:
    on_the_only_worker_named(1, 2);
    on_half_of_the_workers(4, 8);
}
