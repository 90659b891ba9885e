//! Tests of the wait queue and of the split of a capacity.

use {
    dotterelshore_domain::{
        codes::ResultCode,
        names::TeamName,
        queue::{QueueDiscipline, WaitQueue, WeightedDemand, fair_split, round_split},
        table::WorkClass,
    },
    dotterelshore_testkit::named_cases,
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
};

fn team(name: &str) -> TeamName {
    TeamName::try_from(name).expect("a valid name")
}

fn check_split(capacity: f64, demands: &[(f64, f64)], expected: &[f64]) {
    let demands: Vec<WeightedDemand> = demands
        .iter()
        .map(|(weight, amount)| WeightedDemand {
            weight: *weight,
            amount: *amount,
        })
        .collect();
    let grants = fair_split(capacity, &demands);
    for (grant, expected) in grants.iter().zip(expected) {
        assert!(
            (grant - expected).abs() < 1e-9,
            "{grants:?} are not {expected:?}"
        );
    }
}

named_cases! { check_split:
    split_without_demands_is_empty(8.0, &[], &[]);
    split_divides_capacity_by_weight(8.0, &[(3.0, 100.0), (1.0, 100.0)], &[6.0, 2.0]);
    split_redistributes_unused_capacity(8.0, &[(3.0, 1.0), (1.0, 100.0)], &[1.0, 7.0]);
    split_grants_at_most_the_demand(8.0, &[(1.0, 2.0), (1.0, 3.0)], &[2.0, 3.0]);
    zero_demand_gets_nothing(8.0, &[(5.0, 0.0), (1.0, 9.0)], &[0.0, 8.0]);
    split_of_zero_capacity_grants_nothing(0.0, &[(1.0, 5.0)], &[0.0]);
}

fn check_rounding(grants: &[f64], expected: &[u32]) {
    assert_eq!(round_split(grants), expected);
}

named_cases! { check_rounding:
    rounding_keeps_integers(&[2.0, 3.0], &[2, 3]);
    rounding_favours_the_largest_remainder(&[1.6, 1.4], &[2, 1]);
    rounding_keeps_the_sum(&[0.5, 0.5, 0.5, 0.5], &[1, 1, 0, 0]);
}

proptest! {
    #![proptest_config(Config { cases: 400, rng_seed: RngSeed::Fixed(21), failure_persistence: None, ..Config::default() })]

    #[test]
    fn split_is_fair_and_uses_the_full_capacity(
        capacity in 0.0..200.0_f64,
        raw in prop::collection::vec((1..20_u32, 0..60_u32), 1..12),
    ) {
        let demands: Vec<WeightedDemand> = raw
            .iter()
            .map(|(weight, amount)| WeightedDemand { weight: f64::from(*weight), amount: f64::from(*amount) })
            .collect();
        let grants = fair_split(capacity, &demands);
        let total: f64 = demands.iter().map(|demand| demand.amount).sum();
        let granted: f64 = grants.iter().sum();
        prop_assert!((granted - total.min(capacity)).abs() < 1e-6);
        for (demand, grant) in demands.iter().zip(&grants) {
            prop_assert!(*grant <= demand.amount + 1e-9);
            let unmet = *grant < demand.amount - 1e-6;
            let level = grant / demand.weight;
            let above = |(other, theirs): (&WeightedDemand, &f64)| *theirs > 0.0 && theirs / other.weight > level + 1e-6;
            prop_assert!(!unmet || !demands.iter().zip(&grants).any(above), "an unmet demand got less per weight than another");
        }
    }
}

/// Dequeues `count` items one at a time from a full queue, and counts them by team.
fn dequeued_by_team(
    discipline: QueueDiscipline,
    cost: &[(&str, u32, f64)],
    count: usize,
) -> Vec<u32> {
    let mut queue = WaitQueue::new(discipline);
    for (name, weight, _) in cost {
        for _ in 0..count {
            queue
                .enqueue(&team(name), *weight, WorkClass::Urgent, u32::MAX, ())
                .expect("space in the queue");
        }
    }
    let mut counts = vec![0; cost.len()];
    for _ in 0..count {
        let item = queue.dequeue(|_| true).expect("a queued item");
        let index = cost
            .iter()
            .position(|(name, ..)| *name == item.team.as_str())
            .expect("a known team");
        counts[index] += 1;
        queue.settle_cost(&item.team, cost[index].2);
    }
    counts
}

fn check_shares(discipline: QueueDiscipline, teams: &[(&str, u32, f64)], expected: &[f64]) {
    let counts = dequeued_by_team(discipline, teams, 1000);
    let work: f64 = counts
        .iter()
        .zip(teams)
        .map(|(count, (.., cost))| f64::from(*count) * cost)
        .sum();
    for ((count, (name, _, cost)), expected) in counts.iter().zip(teams).zip(expected) {
        let got = f64::from(*count) * cost / work;
        assert!(
            (got - expected).abs() < 0.02,
            "{name} got a share of {got} instead of {expected}"
        );
    }
}

named_cases! { check_shares:
    weighted_fair_serves_by_weight(QueueDiscipline::WeightedFair, &[("a", 3, 0.1), ("b", 1, 0.1)], &[0.75, 0.25]);
    weighted_fair_counts_cost_not_items(QueueDiscipline::WeightedFair, &[("a", 1, 0.4), ("b", 1, 0.1)], &[0.5, 0.5]);
    first_come_ignores_weights(QueueDiscipline::FirstCome, &[("a", 3, 0.1), ("b", 1, 0.1)], &[1.0, 0.0]);
}

#[test]
fn urgent_work_goes_first_without_starving_batch_work() {
    let mut queue = WaitQueue::new(QueueDiscipline::WeightedFair);
    for _ in 0..20 {
        queue
            .enqueue(&team("a"), 1, WorkClass::Batch, 100, ())
            .expect("space in the queue");
        queue
            .enqueue(&team("a"), 1, WorkClass::Urgent, 100, ())
            .expect("space in the queue");
    }
    let classes: Vec<WorkClass> = (0..16)
        .map(|_| queue.dequeue(|_| true).expect("a queued item").class)
        .collect();
    let batch: Vec<usize> = (0..16)
        .filter(|index| classes[*index] == WorkClass::Batch)
        .collect();
    assert_eq!(batch, [7, 15]);
}

#[test]
fn full_queue_refuses_and_one_team_cannot_fill_it() {
    let mut queue = WaitQueue::new(QueueDiscipline::WeightedFair);
    queue
        .enqueue(&team("b"), 1, WorkClass::Urgent, 10, ())
        .expect("space in the queue");
    for _ in 0..5 {
        queue
            .enqueue(&team("a"), 1, WorkClass::Urgent, 10, ())
            .expect("space in the queue");
    }
    let refused = queue
        .enqueue(&team("a"), 1, WorkClass::Urgent, 10, ())
        .expect_err("the team has half of the queue");
    assert_eq!(refused.code, ResultCode::TeamQueueFull);
    for _ in 0..4 {
        queue
            .enqueue(&team("b"), 1, WorkClass::Urgent, 10, ())
            .expect("space in the queue");
    }
    let refused = queue
        .enqueue(&team("c"), 1, WorkClass::Urgent, 10, ())
        .expect_err("the queue is full");
    assert_eq!(refused.code, ResultCode::QueueFull);
}

#[test]
fn idle_team_accumulates_no_credit() {
    let mut queue = WaitQueue::new(QueueDiscipline::WeightedFair);
    for _ in 0..200 {
        queue
            .enqueue(&team("a"), 1, WorkClass::Urgent, 1000, ())
            .expect("space in the queue");
    }
    for _ in 0..100 {
        queue.dequeue(|_| true).expect("a queued item");
        queue.settle_cost(&team("a"), 0.05);
    }
    for _ in 0..100 {
        queue
            .enqueue(&team("b"), 1, WorkClass::Urgent, 1000, ())
            .expect("space in the queue");
    }
    let dequeued: Vec<TeamName> = (0..20)
        .map(|_| queue.dequeue(|_| true).expect("a queued item").team)
        .collect();
    let from_idle_team = dequeued.iter().filter(|name| name.as_str() == "b").count();
    assert!(
        (9..=11).contains(&from_idle_team),
        "{from_idle_team} of 20 items are of the team that was idle"
    );
}

#[test]
fn removed_item_is_not_dequeued() {
    let mut queue = WaitQueue::new(QueueDiscipline::WeightedFair);
    let first = queue
        .enqueue(&team("a"), 1, WorkClass::Urgent, 10, ())
        .expect("space in the queue");
    let second = queue
        .enqueue(&team("a"), 1, WorkClass::Urgent, 10, ())
        .expect("space in the queue");
    assert!(queue.remove(&team("a"), first));
    assert!(!queue.remove(&team("a"), first));
    assert_eq!(
        queue.dequeue(|_| true).expect("a queued item").number,
        second
    );
    assert_eq!(queue.waiting(), 0);
    assert!(queue.dequeue(|_| true).is_none());
}
