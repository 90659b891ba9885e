//! Every failure case over separate processes with a fixed seed: no invariant is violated, every
//! entry serves again and every accepted job ends.

use {
    dotterelshore_load::runs::{FAILURE_CASES, run_failure},
    dotterelshore_testkit::named_cases,
};

/// Seed of every case.
const SEED: u64 = 1;

fn assert_passes(name: &str) {
    let case = FAILURE_CASES.iter().find(|case| case.name == name);
    let case = case.expect("a case with that name");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let outcome = runtime.block_on(run_failure(*case, SEED));
    let outcome = outcome.expect("the run completes");
    assert!(outcome.report.completed > 0, "no request completed");
    assert_eq!(outcome.failures(), Vec::<String>::new());
}

named_cases! { assert_passes:
    calm("calm");
    wrong_answers("wrong-answers");
    entry_killed("entry-killed");
    entry_killed_twice("entry-killed-twice");
    entry_frozen("entry-frozen");
    entry_ended("entry-ended");
    centres_cut("centres-cut");
    centre_cut_off("centre-cut-off");
    platform_down("platform-down");
    platform_slow("platform-slow");
    answers_lost("answers-lost");
    operators_race("operators-race");
    cancellations("cancellations");
    workers_fail_all("workers-fail-all");
    targets_frozen("targets-frozen");
    targets_leave("targets-leave");
    rack_lost_in_wave("rack-lost-in-wave");
    wave_owner_killed("wave-owner-killed");
    wave_while_platform_down("wave-while-platform-down");
    killed_while_answers_lost("killed-while-answers-lost");
    frozen_while_cut("frozen-while-cut");
    killed_under_long_work("killed-under-long-work");
    waves_race("waves-race");
    instances_move("instances-move");
    key_withdrawn("key-withdrawn");
    ceiling_lowered("ceiling-lowered");
}

#[test]
fn every_case_has_a_test() {
    let tested = include_str!("failure_test.rs");
    for case in FAILURE_CASES {
        assert!(
            tested.contains(&format!("(\"{}\")", case.name)),
            "{}",
            case.name
        );
    }
}
