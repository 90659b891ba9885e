//! Tests of the time after which a call is repeated.

use {
    dotterelshore_domain::retry::AnswerDelay, dotterelshore_testkit::named_cases,
    std::time::Duration,
};

/// After answers that took `usual_ms`, a call's first repeat comes within these bounds, and each
/// further one after one and a half times the pause.
fn repeat_follows_usual_answers(usual_ms: &[u64], earliest_ms: u64, latest_ms: u64) {
    let mut delay = AnswerDelay::default();
    for took_ms in usual_ms.iter().cycle().take(100) {
        delay.record(Duration::from_millis(*took_ms));
    }
    let first = delay.repeat_after(0);
    let expected = Duration::from_millis(earliest_ms)..=Duration::from_millis(latest_ms);
    assert!(expected.contains(&first), "{first:?}");
    assert_eq!(delay.repeat_after(1), first.mul_f64(1.5));
    assert_eq!(delay.repeat_after(2), first.mul_f64(2.25));
}

named_cases! { repeat_follows_usual_answers:
    call_without_known_answers_is_repeated_soon(&[], 10, 50);
    call_to_quick_store_is_not_repeated_within_round_trips(&[4, 6], 20, 50);
    call_to_slow_store_waits_for_its_usual_answer(&[200, 220], 201, 250);
    call_to_unsteady_store_waits_for_its_late_answers(&[10, 10, 10, 120], 121, 250);
    call_is_repeated_before_callers_give_up(&[900], 250, 250);
}
