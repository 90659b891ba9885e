//! Tests of when an owner hands over, and of how it lags.

use {
    dotterelshore_domain::schedule::OwnerPace, dotterelshore_testkit::named_cases,
    std::time::Duration,
};

/// Time between records, in milliseconds.
const PERIOD_MS: u64 = 50;
/// Steps in each.
const STEPS: u64 = 400;

/// Plays steps of a duration for a time from `now_ms` on, and returns when it ends.
fn play(pace: &mut OwnerPace, step_us: u64, for_ms: u64, mut now_ms: u64) -> u64 {
    let until_ms = now_ms + for_ms;
    while now_ms < until_ms {
        now_ms += PERIOD_MS;
        pace.record_steps(STEPS, Duration::from_micros(step_us * STEPS), now_ms);
    }
    now_ms
}

/// After usual steps, steps of a duration go on for a time; the owner then counts as slowed or not.
fn owner_is_slowed(usual_us: u64, step_us: u64, for_ms: u64, expected: bool) {
    let mut pace = OwnerPace::default();
    let now_ms = play(&mut pace, usual_us, 5_000, 0);
    play(&mut pace, step_us, for_ms, now_ms);
    assert_eq!(pace.is_slowed(), expected);
}

named_cases! { owner_is_slowed:
    owner_on_a_slowed_processor_hands_over(10, 50, 1_000, true);
    owner_that_is_slowed_for_a_moment_goes_on(10, 50, 200, false);
    owner_under_load_goes_on(10, 18, 5_000, false);
    owner_on_a_slow_machine_goes_on(50, 50, 5_000, false);
}

#[test]
fn owner_whose_processor_recovers_goes_on() {
    let mut pace = OwnerPace::default();
    let now_ms = play(&mut pace, 10, 5_000, 0);
    let now_ms = play(&mut pace, 50, 300, now_ms);
    play(&mut pace, 10, 1_000, now_ms);
    assert!(!pace.is_slowed());
}

#[test]
fn owner_of_a_small_fleet_goes_on_after_one_long_step() {
    let mut pace = OwnerPace::default();
    let now_ms = play(&mut pace, 10, 5_000, 0);
    pace.record_steps(STEPS * 2, Duration::from_millis(80), now_ms);
    for later_ms in 1..10 {
        pace.record_steps(10, Duration::from_micros(100), now_ms + later_ms * 100);
    }
    assert!(!pace.is_slowed());
}

/// An owner whose timers fire this late pauses this long after a poll.
fn poll_pause(delay_ms: u64, pause_ms: u64) {
    let mut pace = OwnerPace::default();
    for _ in 0..100 {
        pace.record_timer_delay(Duration::from_millis(delay_ms));
    }
    assert_eq!(pace.poll_pause().as_millis(), u128::from(pause_ms));
}

named_cases! { poll_pause:
    owner_that_keeps_up_polls_soon(0, 35);
    owner_that_lags_polls_later(50, 135);
    owner_that_lags_far_still_polls(5_000, 300);
}
