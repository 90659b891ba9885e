//! Who goes next, and how a capacity is split.

use {
    dotterelshore_domain::{
        codes::ResultCode,
        names::TeamName,
        queue::{QueueDiscipline, SplitClaim, WaitQueue, fair_split, round_split},
        table::WorkClass,
    },
    dotterelshore_testkit::named_cases,
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
};

fn team(name: &str) -> TeamName {
    TeamName::try_from(name).expect("a name")
}

fn splits(capacity: f64, claims: &[(f64, f64)], expected: &[f64]) {
    let claims: Vec<SplitClaim> = claims
        .iter()
        .map(|(weight, demand)| SplitClaim {
            weight: *weight,
            demand: *demand,
        })
        .collect();
    let grants = fair_split(capacity, &claims);
    for (grant, expected) in grants.iter().zip(expected) {
        assert!(
            (grant - expected).abs() < 1e-9,
            "{grants:?} are not {expected:?}"
        );
    }
}

named_cases! { splits:
    nothing_to_nobody(8.0, &[], &[]);
    all_of_it_by_weight(8.0, &[(3.0, 100.0), (1.0, 100.0)], &[6.0, 2.0]);
    what_one_leaves_goes_to_the_others(8.0, &[(3.0, 1.0), (1.0, 100.0)], &[1.0, 7.0]);
    no_more_than_is_wanted(8.0, &[(1.0, 2.0), (1.0, 3.0)], &[2.0, 3.0]);
    a_claim_on_nothing_gets_nothing(8.0, &[(5.0, 0.0), (1.0, 9.0)], &[0.0, 8.0]);
    no_capacity(0.0, &[(1.0, 5.0)], &[0.0]);
}

fn rounds(grants: &[f64], expected: &[u32]) {
    assert_eq!(round_split(grants), expected);
}

named_cases! { rounds:
    whole_ones_stay(&[2.0, 3.0], &[2, 3]);
    the_largest_remainder_gets_the_rest(&[1.6, 1.4], &[2, 1]);
    the_sum_is_kept(&[0.5, 0.5, 0.5, 0.5], &[1, 1, 0, 0]);
}

proptest! {
    #![proptest_config(Config { cases: 400, rng_seed: RngSeed::Fixed(21), failure_persistence: None, ..Config::default() })]

    #[test]
    fn a_split_is_fair_and_wastes_nothing(
        capacity in 0.0..200.0_f64,
        raw in prop::collection::vec((1..20_u32, 0..60_u32), 1..12),
    ) {
        let claims: Vec<SplitClaim> = raw
            .iter()
            .map(|(weight, demand)| SplitClaim { weight: f64::from(*weight), demand: f64::from(*demand) })
            .collect();
        let grants = fair_split(capacity, &claims);
        let demand: f64 = claims.iter().map(|claim| claim.demand).sum();
        let granted: f64 = grants.iter().sum();
        prop_assert!((granted - demand.min(capacity)).abs() < 1e-6);
        for (claim, grant) in claims.iter().zip(&grants) {
            prop_assert!(*grant <= claim.demand + 1e-9);
            let unmet = *grant < claim.demand - 1e-6;
            let level = grant / claim.weight;
            let above = |(other, theirs): (&SplitClaim, &f64)| *theirs > 0.0 && theirs / other.weight > level + 1e-6;
            prop_assert!(!unmet || !claims.iter().zip(&grants).any(above), "an unmet claim lies below another");
        }
    }
}

/// Serves a full queue one at a time and counts picks by team.
fn picks(order: QueueDiscipline, cost: &[(&str, u32, f64)], count: usize) -> Vec<u32> {
    let mut queue = WaitQueue::new(order);
    for (name, weight, _) in cost {
        for _ in 0..count {
            queue
                .enqueue(&team(name), *weight, WorkClass::Urgent, u32::MAX, ())
                .expect("there is room");
        }
    }
    let mut counts = vec![0; cost.len()];
    for _ in 0..count {
        let ticket = queue.dequeue(|_| true).expect("somebody waits");
        let index = cost
            .iter()
            .position(|(name, ..)| *name == ticket.team.as_str())
            .expect("a known team");
        counts[index] += 1;
        queue.settle_cost(&ticket.team, cost[index].2);
    }
    counts
}

fn shares(order: QueueDiscipline, teams: &[(&str, u32, f64)], expected: &[f64]) {
    let counts = picks(order, teams, 1000);
    let work: f64 = counts
        .iter()
        .zip(teams)
        .map(|(count, (.., cost))| f64::from(*count) * cost)
        .sum();
    for ((count, (name, _, cost)), expected) in counts.iter().zip(teams).zip(expected) {
        let got = f64::from(*count) * cost / work;
        assert!(
            (got - expected).abs() < 0.02,
            "{name} got {got}, and {expected} was due"
        );
    }
}

named_cases! { shares:
    by_weight(QueueDiscipline::WeightedFair, &[("a", 3, 0.1), ("b", 1, 0.1)], &[0.75, 0.25]);
    by_work_done_not_by_count(QueueDiscipline::WeightedFair, &[("a", 1, 0.4), ("b", 1, 0.1)], &[0.5, 0.5]);
    the_baseline_knows_no_weights(QueueDiscipline::FirstCome, &[("a", 3, 0.1), ("b", 1, 0.1)], &[1.0, 0.0]);
}

#[test]
fn urgent_work_passes_batch_work_and_batch_work_does_not_starve() {
    let mut queue = WaitQueue::new(QueueDiscipline::WeightedFair);
    for _ in 0..20 {
        queue
            .enqueue(&team("a"), 1, WorkClass::Batch, 100, ())
            .expect("there is room");
        queue
            .enqueue(&team("a"), 1, WorkClass::Urgent, 100, ())
            .expect("there is room");
    }
    let classes: Vec<WorkClass> = (0..16)
        .map(|_| queue.dequeue(|_| true).expect("somebody waits").class)
        .collect();
    let batch: Vec<usize> = (0..16)
        .filter(|index| classes[*index] == WorkClass::Batch)
        .collect();
    assert_eq!(batch, [7, 15]);
}

#[test]
fn a_full_line_refuses_and_one_team_cannot_fill_it() {
    let mut queue = WaitQueue::new(QueueDiscipline::WeightedFair);
    queue
        .enqueue(&team("b"), 1, WorkClass::Urgent, 10, ())
        .expect("there is room");
    for _ in 0..5 {
        queue
            .enqueue(&team("a"), 1, WorkClass::Urgent, 10, ())
            .expect("there is room");
    }
    let refused = queue
        .enqueue(&team("a"), 1, WorkClass::Urgent, 10, ())
        .expect_err("half is taken");
    assert_eq!(refused.code, ResultCode::TeamQueueFull);
    for _ in 0..4 {
        queue
            .enqueue(&team("b"), 1, WorkClass::Urgent, 10, ())
            .expect("there is room");
    }
    let refused = queue
        .enqueue(&team("c"), 1, WorkClass::Urgent, 10, ())
        .expect_err("all is taken");
    assert_eq!(refused.code, ResultCode::QueueFull);
}

#[test]
fn a_team_that_was_idle_saves_nothing_up() {
    let mut queue = WaitQueue::new(QueueDiscipline::WeightedFair);
    for _ in 0..200 {
        queue
            .enqueue(&team("a"), 1, WorkClass::Urgent, 1000, ())
            .expect("there is room");
    }
    for _ in 0..100 {
        queue.dequeue(|_| true).expect("somebody waits");
        queue.settle_cost(&team("a"), 0.05);
    }
    for _ in 0..100 {
        queue
            .enqueue(&team("b"), 1, WorkClass::Urgent, 1000, ())
            .expect("there is room");
    }
    let late: Vec<TeamName> = (0..20)
        .map(|_| queue.dequeue(|_| true).expect("somebody waits").team)
        .collect();
    let late_comers = late.iter().filter(|name| name.as_str() == "b").count();
    assert!(
        (9..=11).contains(&late_comers),
        "{late_comers} of 20 went to the team that was idle"
    );
}

#[test]
fn who_leaves_the_line_is_not_picked() {
    let mut queue = WaitQueue::new(QueueDiscipline::WeightedFair);
    let first = queue
        .enqueue(&team("a"), 1, WorkClass::Urgent, 10, ())
        .expect("there is room");
    let second = queue
        .enqueue(&team("a"), 1, WorkClass::Urgent, 10, ())
        .expect("there is room");
    assert!(queue.remove(&team("a"), first));
    assert!(!queue.remove(&team("a"), first));
    assert_eq!(queue.dequeue(|_| true).expect("one is left").number, second);
    assert_eq!(queue.waiting(), 0);
    assert!(queue.dequeue(|_| true).is_none());
}
