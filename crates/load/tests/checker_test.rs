//! The checker catches a breach of each promise, and nothing in a sound history.

use {
    dotterelshore_load::checker::{Promise, check_history},
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

/// What every case starts from: one team, one pool of two, one may be out.
fn opening() -> Vec<HistoryEvent> {
    vec![
        applied(1, 0),
        HistoryEvent::CeilingSet {
            team: text("alpha"),
            ceiling: 1,
        },
        HistoryEvent::BudgetSet {
            pool: text("proofs"),
            max_out: 1,
        },
        HistoryEvent::KeyGranted {
            key: text("k"),
            team: text("alpha"),
        },
        written("t0", "proofs", "in-service"),
        written("t1", "proofs", "in-service"),
    ]
}

/// The breaches of a history whose events are `step_us` apart after the opening.
fn breaches(step_us: u64, events: Vec<HistoryEvent>) -> Vec<Promise> {
    let opening = opening();
    let count = opening.len() as u64;
    let lines = opening.into_iter().chain(events).enumerate();
    let lines: Vec<HistoryLine> = lines
        .map(|(index, event)| {
            let index = index as u64;
            HistoryLine {
                at_us: index + index.saturating_sub(count) * step_us,
                event,
            }
        })
        .collect();
    let mut found: Vec<Promise> = check_history(&lines)
        .into_iter()
        .map(|breach| breach.promise)
        .collect();
    found.dedup();
    found
}

fn finds(step_us: u64, events: Vec<HistoryEvent>, expected: &[Promise]) {
    assert_eq!(breaches(step_us, events), expected);
}

named_cases! { finds:
    nothing_in_a_sound_run(1, vec![
        sent("a", "k", false), begun("a", "t0", "alpha", "proofs"), ended("a", "t0", false), answered("a", true, 1),
        written("t0", "proofs", "draining"), written("t0", "proofs", "stopped"), stop("t0", true),
        HistoryEvent::Started { instance: text("t0") }, written("t0", "proofs", "in-service"),
        sent("b", "k", true), refused("b", true),
    ], &[]);
    a_second_drain_beyond_the_budget(1, vec![
        written("t0", "proofs", "draining"), written("t1", "proofs", "draining"),
    ], &[Promise::Budget]);
    a_planned_stop_on_top_of_an_old_failure(6 * SECOND_US, vec![
        stop("t0", false), written("t1", "proofs", "draining"),
    ], &[Promise::Budget]);
    work_of_a_pool_that_the_instance_left(1, vec![
        written("t0", "renders", "in-service"), begun("a", "t0", "alpha", "proofs"),
    ], &[Promise::OnePool]);
    a_move_with_work_under_way(1, vec![
        sent("a", "k", true), begun("a", "t0", "alpha", "proofs"), written("t0", "renders", "in-service"),
    ], &[Promise::OnePool]);
    work_for_another_team_than_the_keys(1, vec![
        sent("a", "k", true), begun("a", "t0", "beta", "proofs"),
    ], &[Promise::Keys]);
    work_on_a_key_never_granted(1, vec![
        sent("a", "other", true), begun("a", "t0", "alpha", "proofs"),
    ], &[Promise::Keys]);
    work_on_a_key_withdrawn_long_ago(6 * SECOND_US, vec![
        HistoryEvent::KeyWithdrawn { key: text("k") }, sent("a", "k", true), begun("a", "t0", "alpha", "proofs"),
    ], &[Promise::Keys]);
    more_running_than_the_ceiling(1, vec![
        sent("a", "k", true), begun("a", "t0", "alpha", "proofs"),
        sent("b", "k", true), begun("b", "t1", "alpha", "proofs"),
    ], &[Promise::Ceiling]);
    more_running_than_a_ceiling_lowered_long_ago(13 * SECOND_US, vec![
        HistoryEvent::CeilingSet { team: text("alpha"), ceiling: 2 },
        HistoryEvent::CeilingSet { team: text("alpha"), ceiling: 1 },
        sent("a", "k", true), begun("a", "t0", "alpha", "proofs"),
        sent("b", "k", true), begun("b", "t1", "alpha", "proofs"),
    ], &[Promise::Ceiling]);
    an_answer_to_something_else(1, vec![sent("a", "k", true), answered("a", false, 1)], &[Promise::WholeAnswer]);
    a_refusal_as_not_run_of_what_ran(1, vec![
        sent("a", "k", true), begun("a", "t0", "alpha", "proofs"), ended("a", "t0", false), refused("a", true),
    ], &[Promise::TrueRefusal]);
    non_idempotent_work_run_twice(1, vec![
        sent("a", "k", false), begun("a", "t0", "alpha", "proofs"), ended("a", "t0", false),
        sent("a", "k", false), begun("a", "t1", "alpha", "proofs"),
    ], &[Promise::AtMostOnce]);
    a_job_finished_twice(1, vec![task_ended("j", true, false), task_ended("j", true, false)], &[Promise::AtMostOnce]);
    work_for_a_target_long_after_it_was_leaving(6 * SECOND_US, vec![
        HistoryEvent::Leaving { instance: text("t0") }, sent("a", "k", true), begun("a", "t0", "alpha", "proofs"),
    ], &[Promise::Leaving]);
    work_for_a_target_long_after_its_drain_mark(6 * SECOND_US, vec![
        written("t0", "proofs", "draining"), sent("a", "k", true), begun("a", "t0", "alpha", "proofs"),
    ], &[Promise::Leaving]);
    a_planned_stop_that_cuts_a_request(1, vec![
        sent("a", "k", true), begun("a", "t0", "alpha", "proofs"), stop("t0", true), ended("a", "t0", true),
    ], &[Promise::GracefulStop]);
    a_planned_stop_that_cuts_a_task(1, vec![stop("w0", true), task_ended("j", false, true)], &[Promise::GracefulStop]);
    a_revision_in_force_too_late(13 * SECOND_US, vec![sent("a", "k", true), applied(2, 0)], &[Promise::Table]);
    a_revision_that_reverts(1, vec![
        applied(2, 0), sent("a", "k", true), answered("a", true, 1),
    ], &[Promise::Table]);
}

#[test]
fn every_promise_has_a_breach_that_is_caught() {
    let all = [
        breaches(
            1,
            vec![
                written("t0", "proofs", "draining"),
                written("t1", "proofs", "draining"),
            ],
        ),
        breaches(
            1,
            vec![
                written("t0", "renders", "in-service"),
                begun("a", "t0", "alpha", "proofs"),
            ],
        ),
        breaches(
            1,
            vec![sent("a", "k", true), begun("a", "t0", "beta", "proofs")],
        ),
        breaches(
            1,
            vec![
                begun("a", "t0", "alpha", "proofs"),
                begun("b", "t0", "alpha", "proofs"),
            ],
        ),
        breaches(1, vec![answered("a", false, 1)]),
        breaches(
            1,
            vec![
                sent("a", "k", true),
                begun("a", "t0", "alpha", "proofs"),
                refused("a", true),
            ],
        ),
        breaches(
            1,
            vec![task_ended("j", true, false), task_ended("j", true, false)],
        ),
        breaches(
            6 * SECOND_US,
            vec![
                HistoryEvent::Leaving {
                    instance: text("t0"),
                },
                begun("a", "t0", "alpha", "proofs"),
            ],
        ),
        breaches(1, vec![stop("w0", true), task_ended("j", false, true)]),
        breaches(
            1,
            vec![applied(2, 0), sent("a", "k", true), answered("a", true, 1)],
        ),
    ];
    let mut caught: Vec<Promise> = all.into_iter().flatten().collect();
    caught.sort();
    caught.dedup();
    assert_eq!(caught, Promise::ALL);
}
