//! Service while the store does not answer each write.

mod fixture;

use {
    dotterelshore_emulator::{SchedulerProcess, StoreFaultMode},
    dotterelshore_testkit::named_cases,
    fixture::{FleetFixture, long_running, run_test, two_steps},
    std::time::{Duration, Instant},
};

/// Jobs submitted one after the other.
const JOBS: usize = 16;
/// A job that runs all the while.
const LASTING_JOB: &str = "00000000000000f0";
/// Until when a completion has value by the users' rules: three times 1.6 times the chain of two
/// tasks of 250 ms, and the target latency of 600 ms.
const LATE_TIME: Duration = Duration::from_millis(4_200);

/// Jobs complete while they have value, under one owner, although some writes and renewals get no
/// answer.
fn jobs_complete_in_time(mode: StoreFaultMode) {
    run_test(async {
        let fixture = FleetFixture::start(3, 2).await;
        let lasting = fixture.submit(LASTING_JOB, &long_running(1)).await;
        assert_eq!(lasting.status, 200, "{lasting:?}");
        fixture.fleet.set_store_fault_mode(mode);
        for number in 0..JOBS {
            let job = format!("00000000000000{number:02x}");
            let submitted = Instant::now();
            let accepted = fixture.submit(&job, &two_steps("works", 2)).await;
            assert_eq!(accepted.status, 200, "{accepted:?}");
            assert!(fixture.reaches_state(&job, "completed").await, "{job}");
            let took = submitted.elapsed();
            assert!(took < LATE_TIME, "{job} took {took:?}");
        }
        fixture.fleet.set_store_fault_mode(StoreFaultMode::None);
        let logs = fixture.nodes.iter().map(SchedulerProcess::log);
        let owners = logs.map(|log| log.matches("event=ownership-won ").count());
        assert_eq!(owners.sum::<usize>(), 1, "ownership changed");
        assert!(fixture.reaches_state(LASTING_JOB, "running").await);
        fixture.assert_no_violations();
    });
}

named_cases! { jobs_complete_in_time:
    jobs_complete_in_time_while_store_loses_answers(StoreFaultMode::LostAnswers(0.4));
    jobs_complete_in_time_while_store_writes_late(StoreFaultMode::LateWrites(0.4));
}
