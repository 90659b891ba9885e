//! Tests of the entries that carry the owner's calls to workers, as separate processes.

mod fixture;

use {
    dotterelshore_testkit::named_cases,
    fixture::{FleetFixture, SETTLE_TIMEOUT, long_running, run_test, two_steps},
    nix::sys::signal::Signal,
    serde_json::json,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Cores of each process: so few that each entry but the owner carries the calls to one worker,
/// and the owner calls the rest.
const CORES: f64 = 0.0101;
const NODES: usize = 4;
const WORKERS: usize = 6;
/// Longer than the owner waits for a silent delegate, shorter than a worker's lease.
const FREEZE: Duration = Duration::from_secs(2);
/// Tasks on each worker that end at once; a response lists at most 500 ends.
const ENDING_TASKS: usize = 600;
/// Longer than a task of the emulated workers takes.
const TASK_TIME: Duration = Duration::from_millis(400);
/// Time after which every call that a delegate still sends has arrived.
const CALLS_SETTLE: Duration = Duration::from_millis(1_500);

/// Starts processes and waits until the owner's calls are carried by the others.
async fn start_delegating() -> FleetFixture {
    let fixture = FleetFixture::start_with_cores(NODES, WORKERS, CORES).await;
    let has_delegates = fixture.wait_until(SETTLE_TIMEOUT, async || {
        let delegates = fixture.nodes.iter();
        let delegates = delegates.filter(|node| node.log().contains("event=delegated"));
        delegates.count() == NODES - 1
    });
    if !has_delegates.await {
        fixture.print_logs();
        panic!("the owner delegates no calls");
    }
    fixture
}

/// The position of the process that owns the schedule.
fn owner(fixture: &FleetFixture) -> usize {
    let mut nodes = fixture.nodes.iter();
    let owner = nodes.position(|node| node.log().contains("event=ownership-won"));
    owner.expect("an owner")
}

#[test]
fn owner_of_a_small_fleet_delegates_no_calls() {
    run_test(async {
        let fixture = FleetFixture::start(NODES, WORKERS).await;
        let job = "00000000000000d0";
        assert_eq!(
            fixture.submit(job, &two_steps("works", 12)).await.status,
            200
        );
        assert!(fixture.reaches_state(job, "completed").await);
        let mut nodes = fixture.nodes.iter();
        assert!(!nodes.any(|node| node.log().contains("event=delegated")));
    });
}

#[test]
fn job_completes_through_delegates() {
    run_test(async {
        let fixture = start_delegating().await;
        let job = "00000000000000d1";
        let accepted = fixture.submit(job, &two_steps("works", 12)).await;
        assert_eq!(accepted.status, 200, "{accepted:?}");
        assert!(fixture.reaches_state(job, "completed").await);
        assert_eq!(fixture.fleet.starts(), 24, "each task once");
        fixture.assert_no_violations();
    });
}

/// Jobs complete, each task once at a time, while processes are lost.
fn processes_lost(signal: Signal, is_owner: bool) {
    run_test(async {
        let mut fixture = start_delegating().await;
        let lasting = "00000000000000d2";
        assert_eq!(fixture.submit(lasting, &long_running(6)).await.status, 200);
        assert!(fixture.reaches_state(lasting, "running").await);
        let job = "00000000000000d3";
        let accepted = fixture.submit(job, &two_steps("works", 18)).await;
        assert_eq!(accepted.status, 200, "{accepted:?}");
        let owner = owner(&fixture);
        let lost: Vec<_> = (0..NODES)
            .filter(|node| (*node == owner) == is_owner)
            .collect();
        for node in &lost {
            fixture.nodes[*node].signal(signal);
        }
        if signal == Signal::SIGSTOP {
            tokio::time::sleep(FREEZE).await;
            for node in &lost {
                fixture.nodes[*node].signal(Signal::SIGCONT);
            }
        } else {
            for node in &lost {
                fixture.nodes[*node].restart();
            }
        }
        assert!(fixture.reaches_state(job, "completed").await, "{job}");
        assert!(fixture.reaches_state(lasting, "running").await);
        let all_run = fixture.wait_until(SETTLE_TIMEOUT, async || fixture.fleet.running() == 6);
        assert!(all_run.await, "{:?}", fixture.fleet.running_tasks());
        fixture.assert_no_violations();
    });
}

named_cases! { processes_lost:
    jobs_complete_after_delegates_are_killed(Signal::SIGKILL, false);
    jobs_complete_after_delegates_are_stopped(Signal::SIGTERM, false);
    jobs_complete_after_delegates_are_frozen(Signal::SIGSTOP, false);
    jobs_complete_after_owner_with_delegates_is_killed(Signal::SIGKILL, true);
    jobs_complete_after_owner_with_delegates_is_stopped(Signal::SIGTERM, true);
    jobs_complete_after_owner_with_delegates_is_frozen(Signal::SIGSTOP, true);
}

#[test]
fn runs_go_on_while_their_delegates_are_frozen() {
    run_test(async {
        let fixture = start_delegating().await;
        let lasting = "00000000000000d4";
        assert_eq!(fixture.submit(lasting, &long_running(6)).await.status, 200);
        let all_run = fixture.wait_until(SETTLE_TIMEOUT, async || fixture.fleet.running() == 6);
        assert!(all_run.await);
        let owner = owner(&fixture);
        let delegates = || (0..NODES).filter(|node| *node != owner);
        for node in delegates() {
            fixture.nodes[node].signal(Signal::SIGSTOP);
        }
        // Longer than the longest lease of a worker.
        tokio::time::sleep(Duration::from_secs(7)).await;
        for node in delegates() {
            fixture.nodes[node].signal(Signal::SIGCONT);
        }
        assert_eq!(fixture.fleet.starts(), 6, "no run was lost");
        fixture.assert_no_violations();
    });
}

#[test]
fn woken_delegate_sends_no_old_order() {
    run_test(async {
        let fixture = start_delegating().await;
        let owner = owner(&fixture);
        let delegates = || (0..NODES).filter(|node| *node != owner);
        for node in delegates() {
            fixture.nodes[node].signal(Signal::SIGSTOP);
        }
        let job = "00000000000000d5";
        let body = two_steps("works", 12);
        let accepted = fixture
            .fleet
            .submit(&fixture.nodes[owner], job, &body)
            .await;
        assert_eq!(accepted.status, 200, "{accepted:?}");
        let completed = fixture.wait_until(SETTLE_TIMEOUT, async || {
            let response = fixture.fleet.state(&fixture.nodes[owner], job).await;
            response.body["state"] == "completed"
        });
        assert!(
            completed.await,
            "the owner reaches the workers without delegates"
        );
        for node in delegates() {
            fixture.nodes[node].signal(Signal::SIGCONT);
        }
        tokio::time::sleep(CALLS_SETTLE).await;
        assert_eq!(
            fixture.fleet.outdated_starts(),
            0,
            "orders of a frozen delegate"
        );
        fixture.assert_no_violations();
    });
}

/// The call that makes an entry a delegate, as a frame.
const CARRY_CALLS: [u8; 5] = [0, 0, 0, 1, 7];

/// Bytes of a peer that are no sound message end its connection and nothing else.
fn odd_peer_ends_its_connection_only(bytes: &[u8]) {
    run_test(async {
        let mut fixture = FleetFixture::start(2, 2).await;
        for node in &fixture.nodes {
            let mut stream = TcpStream::connect(node.peers()).await.expect("a peer");
            stream.write_all(bytes).await.expect("written");
            let mut rest = Vec::new();
            let ended = tokio::time::timeout(SETTLE_TIMEOUT, stream.read_to_end(&mut rest));
            assert!(ended.await.is_ok(), "the connection is still open");
        }
        let job = "00000000000000d6";
        assert_eq!(
            fixture.submit(job, &two_steps("works", 4)).await.status,
            200
        );
        assert!(fixture.reaches_state(job, "completed").await);
        assert_eq!(fixture.fleet.starts(), 8, "each task once");
        for node in &mut fixture.nodes {
            assert!(node.ended().is_none(), "a process ended:\n{}", node.log());
        }
    });
}

named_cases! { odd_peer_ends_its_connection_only:
    unknown_call_ends_the_connection(&[0, 0, 0, 1, 99]);
    too_large_frame_ends_the_connection(&[255, 255, 255, 255, 1]);
    trailing_bytes_end_the_connection(&[0, 0, 0, 2, 7, 7]);
    text_ends_the_connection(b"GET / HTTP/1.1\r\n\r\n");
    silent_owner_ends_its_link(&CARRY_CALLS);
    malformed_calls_end_the_link(&[&CARRY_CALLS[..], &[0, 0, 0, 4, 255, 255, 255, 255]].concat());
    absurd_number_of_calls_ends_the_link(
        &[&CARRY_CALLS[..], &[0, 0, 0, 6, 1, 255, 255, 255, 255, 15]].concat()
    );
    call_of_unknown_kind_ends_the_link(
        &[&CARRY_CALLS[..], &[0, 0, 0, 9, 1, 1, 1, 1, b'w', 1, b'a', 1, 77]].concat()
    );
}

/// Tasks whose ends their worker did not list yet started again (review case 1).
fn each_task_starts_once(start: impl AsyncFnOnce() -> FleetFixture, workers: usize) {
    run_test(async {
        let fixture = start().await;
        fixture.fleet.hold_tasks(true);
        let job = "00000000000000d6";
        let step = json!({
            "count": ENDING_TASKS, "anti_affinity": ENDING_TASKS / workers,
            "cpu": 50, "mem_mb": 10, "estimate_ms": 250,
        });
        let body = json!({"task_spec": "works", "steps": vec![step; workers]});
        assert_eq!(fixture.submit(job, &body).await.status, 200);
        let tasks = ENDING_TASKS * workers;
        let all_run = fixture.wait_until(SETTLE_TIMEOUT, async || fixture.fleet.running() == tasks);
        assert!(all_run.await, "{} run", fixture.fleet.running());
        tokio::time::sleep(TASK_TIME).await;
        fixture.fleet.hold_tasks(false);
        assert!(fixture.reaches_state(job, "completed").await);
        assert_eq!(fixture.fleet.unacknowledged_max(), ENDING_TASKS);
        assert_eq!(fixture.fleet.starts(), tasks, "each task once");
        fixture.assert_no_violations();
    });
}

named_cases! { each_task_starts_once:
    each_task_starts_once_beyond_the_listed_ends(
        async || FleetFixture::start(2, 1).await, 1);
    each_task_starts_once_beyond_the_listed_ends_through_delegates(start_delegating, WORKERS);
}
