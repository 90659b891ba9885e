//! Tests of the readings of a worker's clock, and of the order of the reports that show it.

use {dotterelshore_domain::schedule::WorkerClock, dotterelshore_testkit::named_cases};

const NOW_MS: u64 = 100_000;
const CLOCK_MS: u64 = 50_000;
const START_MS: u64 = 7;

/// A clock that was read once.
fn read_clock() -> WorkerClock {
    let mut clock = WorkerClock::default();
    let poll = clock.begin_poll();
    assert!(clock.record_report(poll, Some(START_MS), CLOCK_MS, NOW_MS));
    clock
}

fn clock_is_known(age_ms: u64, expected_ms: Option<u64>) {
    let clock = read_clock();
    assert_eq!(clock.now_ms(NOW_MS + age_ms), expected_ms);
    assert_eq!(clock.is_fresh(NOW_MS + age_ms), expected_ms.is_some());
}

named_cases! { clock_is_known:
    clock_goes_on_after_its_reading(200, Some(CLOCK_MS + 200));
    old_reading_times_no_lease(501, None);
}

fn response_shows_restart(clock_ms: u64, expected: bool) {
    assert_eq!(!read_clock().agrees(clock_ms, NOW_MS + 100), expected);
}

named_cases! { response_shows_restart:
    clock_that_goes_on_shows_none(CLOCK_MS + 90, false);
    overtaken_response_shows_none(CLOCK_MS - 400, false);
    clock_that_began_anew_shows_one(300, true);
    clock_far_ahead_shows_one(CLOCK_MS + 60_000, true);
}

/// Of two polls, the report of the later one arrives first.
fn overtaken_report_counts(started_ms: u64, clock_ms: u64, expected: bool) {
    let mut clock = read_clock();
    let (earlier, later) = (clock.begin_poll(), clock.begin_poll());
    assert!(clock.record_report(later, Some(START_MS), CLOCK_MS + 50, NOW_MS + 50));
    assert!(clock.is_overtaken(earlier));
    let counts = clock.record_report(earlier, Some(started_ms), clock_ms, NOW_MS + 60);
    assert_eq!(counts, expected);
}

named_cases! { overtaken_report_counts:
    later_lists_count_though_their_poll_was_earlier(START_MS, CLOCK_MS + 55, true);
    older_lists_do_not_count(START_MS, CLOCK_MS + 40, false);
    lists_of_another_incarnation_do_not_count(START_MS - 1, CLOCK_MS + 55, false);
}

/// Reports of polls that were open when another incarnation was found do not count.
fn open_poll_counts(finds: fn(&mut WorkerClock), expected: bool) {
    let mut clock = read_clock();
    let open = clock.begin_poll();
    finds(&mut clock);
    let counts = clock.record_report(open, Some(START_MS), CLOCK_MS + 90, NOW_MS + 90);
    assert_eq!(counts, expected);
    let next = clock.begin_poll();
    assert!(clock.record_report(next, Some(START_MS + 1), 500, NOW_MS + 100));
}

named_cases! { open_poll_counts:
    open_poll_counts_without_a_restart(|_| {}, true);
    open_poll_does_not_count_after_a_stepped_clock(WorkerClock::forget, false);
    open_poll_does_not_count_after_a_report_of_another_incarnation(
        |clock| {
            let other = clock.begin_poll();
            assert!(clock.record_report(other, Some(START_MS + 1), 300, NOW_MS + 50));
        },
        false
    );
}
