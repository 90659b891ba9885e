//! The checker reports a violation of each invariant, and none in a valid history.

use {
    dotterelshore_load::checker::{Invariant, check_history},
    dotterelshore_standins::history::{HistoryEvent, HistoryLine},
    dotterelshore_testkit::named_cases,
};

const SECOND_US: u64 = 1_000_000;

fn text(value: &str) -> String {
    value.to_owned()
}

fn sent(id: &str, key: &str, idempotent: bool) -> HistoryEvent {
    HistoryEvent::Sent {
        id: text(id),
        team: text("alpha"),
        queue: text("proofs"),
        key: text(key),
        idempotent,
        entry: text("e0"),
    }
}

fn begun(id: &str, target: &str, team: &str, queue: &str) -> HistoryEvent {
    HistoryEvent::RunBegun {
        target: text(target),
        id: text(id),
        run: text("r"),
        team: text(team),
        queue: text(queue),
    }
}

fn ended(id: &str, target: &str, interrupted: bool) -> HistoryEvent {
    HistoryEvent::RunEnded {
        target: text(target),
        id: text(id),
        run: text("r"),
        team: text("alpha"),
        interrupted,
    }
}

fn answered(id: &str, complete: bool, revision: u64) -> HistoryEvent {
    HistoryEvent::Answered {
        id: text(id),
        complete,
        revision,
        entry: text("e0"),
    }
}

fn refused(id: &str, not_run: bool) -> HistoryEvent {
    HistoryEvent::Refused {
        id: text(id),
        code: 2005,
        not_run,
        entry: text("e0"),
    }
}

fn written(instance: &str, pool: &str, state: &str) -> HistoryEvent {
    HistoryEvent::InstanceWritten {
        instance: text(instance),
        pool: text(pool),
        state: text(state),
    }
}

fn stop(instance: &str, planned: bool) -> HistoryEvent {
    HistoryEvent::StopBegun {
        instance: text(instance),
        planned,
    }
}

fn task_ended(job: &str, finished: bool, interrupted: bool) -> HistoryEvent {
    HistoryEvent::TaskEnded {
        target: text("w0"),
        job: text(job),
        epoch: 1,
        team: text("alpha"),
        finished,
        interrupted,
    }
}

fn applied(revision: u64, recorded_at_us: u64) -> HistoryEvent {
    HistoryEvent::TableApplied {
        revision,
        recorded_at_us,
        in_force: true,
        entries: vec![text("e0")],
    }
}

/// Returns the events that precede every case: one team, one pool of two instances of which one
/// may be unavailable.
fn initial_events() -> Vec<HistoryEvent> {
    vec![
        applied(1, 0),
        HistoryEvent::CeilingSet {
            team: text("alpha"),
            ceiling: 1,
        },
        HistoryEvent::BudgetSet {
            pool: text("proofs"),
            max_unavailable: 1,
        },
        HistoryEvent::KeyGranted {
            key: text("k"),
            team: text("alpha"),
        },
        written("t0", "proofs", "in-service"),
        written("t1", "proofs", "in-service"),
    ]
}

/// Returns the invariants violated in a history whose events are `step_us` apart after the
/// initial ones.
fn violations(step_us: u64, events: Vec<HistoryEvent>) -> Vec<Invariant> {
    let initial = initial_events();
    let count = initial.len() as u64;
    let lines = initial.into_iter().chain(events).enumerate();
    let lines: Vec<HistoryLine> = lines
        .map(|(index, event)| {
            let index = index as u64;
            HistoryLine {
                at_us: index + index.saturating_sub(count) * step_us,
                event,
            }
        })
        .collect();
    let mut found: Vec<Invariant> = check_history(&lines)
        .into_iter()
        .map(|violation| violation.invariant)
        .collect();
    found.dedup();
    found
}

fn assert_violations(step_us: u64, events: Vec<HistoryEvent>, expected: &[Invariant]) {
    assert_eq!(violations(step_us, events), expected);
}

named_cases! { assert_violations:
    valid_history_has_no_violation(1, vec![
        sent("a", "k", false), begun("a", "t0", "alpha", "proofs"), ended("a", "t0", false), answered("a", true, 1),
        written("t0", "proofs", "draining"), written("t0", "proofs", "stopped"), stop("t0", true),
        HistoryEvent::Started { instance: text("t0") }, written("t0", "proofs", "in-service"),
        sent("b", "k", true), refused("b", true),
    ], &[]);
    second_drain_exceeds_budget(1, vec![
        written("t0", "proofs", "draining"), written("t1", "proofs", "draining"),
    ], &[Invariant::Budget]);
    drain_after_unplanned_stop_exceeds_budget(6 * SECOND_US, vec![
        stop("t0", false), written("t1", "proofs", "draining"),
    ], &[Invariant::Budget]);
    run_of_former_pool_violates_one_pool(1, vec![
        written("t0", "renders", "in-service"), begun("a", "t0", "alpha", "proofs"),
    ], &[Invariant::OnePool]);
    move_of_busy_instance_violates_one_pool(1, vec![
        sent("a", "k", true), begun("a", "t0", "alpha", "proofs"), written("t0", "renders", "in-service"),
    ], &[Invariant::OnePool]);
    run_for_other_team_than_key_violates_keys(1, vec![
        sent("a", "k", true), begun("a", "t0", "beta", "proofs"),
    ], &[Invariant::Keys]);
    run_on_unknown_key_violates_keys(1, vec![
        sent("a", "other", true), begun("a", "t0", "alpha", "proofs"),
    ], &[Invariant::Keys]);
    run_on_withdrawn_key_violates_keys(6 * SECOND_US, vec![
        HistoryEvent::KeyWithdrawn { key: text("k") }, sent("a", "k", true), begun("a", "t0", "alpha", "proofs"),
    ], &[Invariant::Keys]);
    run_beyond_ceiling_violates_ceiling(1, vec![
        sent("a", "k", true), begun("a", "t0", "alpha", "proofs"),
        sent("b", "k", true), begun("b", "t1", "alpha", "proofs"),
    ], &[Invariant::Ceiling]);
    run_beyond_lowered_ceiling_violates_ceiling(13 * SECOND_US, vec![
        HistoryEvent::CeilingSet { team: text("alpha"), ceiling: 2 },
        HistoryEvent::CeilingSet { team: text("alpha"), ceiling: 1 },
        sent("a", "k", true), begun("a", "t0", "alpha", "proofs"),
        sent("b", "k", true), begun("b", "t1", "alpha", "proofs"),
    ], &[Invariant::Ceiling]);
    mismatched_response_violates_whole_answer(1, vec![sent("a", "k", true), answered("a", false, 1)], &[Invariant::WholeAnswer]);
    refusal_of_request_that_ran_violates_true_refusal(1, vec![
        sent("a", "k", true), begun("a", "t0", "alpha", "proofs"), ended("a", "t0", false), refused("a", true),
    ], &[Invariant::TrueRefusal]);
    second_run_of_non_idempotent_request_violates_at_most_once(1, vec![
        sent("a", "k", false), begun("a", "t0", "alpha", "proofs"), ended("a", "t0", false),
        sent("a", "k", false), begun("a", "t1", "alpha", "proofs"),
    ], &[Invariant::AtMostOnce]);
    second_finish_of_job_violates_at_most_once(1, vec![task_ended("j", true, false), task_ended("j", true, false)], &[Invariant::AtMostOnce]);
    run_on_leaving_target_violates_leaving(6 * SECOND_US, vec![
        HistoryEvent::Leaving { instance: text("t0") }, sent("a", "k", true), begun("a", "t0", "alpha", "proofs"),
    ], &[Invariant::Leaving]);
    run_on_draining_target_violates_leaving(6 * SECOND_US, vec![
        written("t0", "proofs", "draining"), sent("a", "k", true), begun("a", "t0", "alpha", "proofs"),
    ], &[Invariant::Leaving]);
    planned_stop_during_run_violates_graceful_stop(1, vec![
        sent("a", "k", true), begun("a", "t0", "alpha", "proofs"), stop("t0", true), ended("a", "t0", true),
    ], &[Invariant::GracefulStop]);
    planned_stop_during_task_violates_graceful_stop(1, vec![stop("w0", true), task_ended("j", false, true)], &[Invariant::GracefulStop]);
    late_revision_violates_table(13 * SECOND_US, vec![sent("a", "k", true), applied(2, 0)], &[Invariant::Table]);
    response_under_old_revision_violates_table(1, vec![
        applied(2, 0), sent("a", "k", true), answered("a", true, 1),
    ], &[Invariant::Table]);
}

#[test]
fn every_invariant_has_a_violation_that_is_reported() {
    let all = [
        violations(
            1,
            vec![
                written("t0", "proofs", "draining"),
                written("t1", "proofs", "draining"),
            ],
        ),
        violations(
            1,
            vec![
                written("t0", "renders", "in-service"),
                begun("a", "t0", "alpha", "proofs"),
            ],
        ),
        violations(
            1,
            vec![sent("a", "k", true), begun("a", "t0", "beta", "proofs")],
        ),
        violations(
            1,
            vec![
                begun("a", "t0", "alpha", "proofs"),
                begun("b", "t0", "alpha", "proofs"),
            ],
        ),
        violations(1, vec![answered("a", false, 1)]),
        violations(
            1,
            vec![
                sent("a", "k", true),
                begun("a", "t0", "alpha", "proofs"),
                refused("a", true),
            ],
        ),
        violations(
            1,
            vec![task_ended("j", true, false), task_ended("j", true, false)],
        ),
        violations(
            6 * SECOND_US,
            vec![
                HistoryEvent::Leaving {
                    instance: text("t0"),
                },
                begun("a", "t0", "alpha", "proofs"),
            ],
        ),
        violations(1, vec![stop("w0", true), task_ended("j", false, true)]),
        violations(
            1,
            vec![applied(2, 0), sent("a", "k", true), answered("a", true, 1)],
        ),
    ];
    let mut reported: Vec<Invariant> = all.into_iter().flatten().collect();
    reported.sort();
    reported.dedup();
    assert_eq!(reported, Invariant::ALL);
}
