//! A pool's ledger against an oracle that keeps a plain set: the budget holds.

#![expect(
    clippy::renamed_function_params,
    reason = "parameters are named after what they are here"
)]

use {
    dotterelshore_domain::{
        fleet::PoolLedger,
        names::{InstanceName, WaveName},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    std::collections::{BTreeMap, BTreeSet},
};

const INSTANCES: usize = 6;
const HOLDERS: usize = 3;

#[derive(Debug, Clone)]
struct LedgerOracle {
    max_out: u32,
    missing: u32,
    tokens: BTreeMap<usize, usize>,
    failed: BTreeSet<usize>,
}

#[derive(Debug, Clone)]
enum LedgerStep {
    Begin { instance: usize, holder: usize },
    End { instance: usize, holder: usize },
    Fail(usize),
    Heal(usize),
    Missing(u32),
}

impl LedgerOracle {
    fn out(&self) -> usize {
        let planned: BTreeSet<usize> = self.tokens.keys().copied().collect();
        planned.union(&self.failed).count() + self.missing as usize
    }

    /// Whether one more may go, where the one asked for may be out for another cause.
    fn may_begin(&self, instance: usize, holder: usize) -> bool {
        if let Some(held) = self.tokens.get(&instance) {
            return *held == holder;
        }
        let mut others = self.clone();
        others.failed.remove(&instance);
        others.out() < self.max_out as usize
    }
}

impl ReferenceStateMachine for LedgerOracle {
    type State = Self;
    type Transition = LedgerStep;

    fn init_state() -> BoxedStrategy<Self> {
        (0..4_u32)
            .prop_map(|max_out| Self {
                max_out,
                missing: 0,
                tokens: BTreeMap::new(),
                failed: BTreeSet::new(),
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<LedgerStep> {
        prop_oneof![
            6 => (0..INSTANCES, 0..HOLDERS).prop_map(|(instance, holder)| LedgerStep::Begin { instance, holder }),
            4 => (0..INSTANCES, 0..HOLDERS).prop_map(|(instance, holder)| LedgerStep::End { instance, holder }),
            2 => (0..INSTANCES).prop_map(LedgerStep::Fail),
            2 => (0..INSTANCES).prop_map(LedgerStep::Heal),
            1 => (0..2_u32).prop_map(LedgerStep::Missing),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &LedgerStep) -> Self {
        match step {
            LedgerStep::Begin { instance, holder } => {
                if state.may_begin(*instance, *holder) {
                    state.tokens.insert(*instance, *holder);
                }
            }
            LedgerStep::End { instance, holder } => {
                if state.tokens.get(instance) == Some(holder) {
                    state.tokens.remove(instance);
                }
            }
            LedgerStep::Fail(instance) => {
                state.failed.insert(*instance);
            }
            LedgerStep::Heal(instance) => {
                state.failed.remove(instance);
            }
            LedgerStep::Missing(missing) => state.missing = *missing,
        }
        state
    }
}

struct LedgerSystem {
    ledger: PoolLedger,
    failed: BTreeSet<usize>,
    missing: u32,
}

fn instance(number: usize) -> InstanceName {
    InstanceName::try_from(format!("i{number}")).expect("a name")
}

fn holder(number: usize) -> WaveName {
    WaveName::try_from(format!("w{number}")).expect("a name")
}

impl StateMachineTest for LedgerSystem {
    type SystemUnderTest = Self;
    type Reference = LedgerOracle;

    fn init_test(_: &LedgerOracle) -> Self {
        Self {
            ledger: PoolLedger::default(),
            failed: BTreeSet::new(),
            missing: 0,
        }
    }

    fn apply(mut system: Self, oracle: &LedgerOracle, step: LedgerStep) -> Self {
        match step {
            LedgerStep::Begin {
                instance: number,
                holder: by,
            } => {
                let failed: Vec<InstanceName> =
                    system.failed.iter().copied().map(instance).collect();
                let begun = system.ledger.begin_drain(
                    &instance(number),
                    &holder(by),
                    &failed,
                    system.missing,
                    oracle.max_out,
                );
                assert_eq!(begun.is_ok(), oracle.tokens.get(&number) == Some(&by));
            }
            LedgerStep::End {
                instance: number,
                holder: by,
            } => system.ledger.end_drain(&instance(number), &holder(by)),
            LedgerStep::Fail(number) => {
                system.failed.insert(number);
            }
            LedgerStep::Heal(number) => {
                system.failed.remove(&number);
            }
            LedgerStep::Missing(missing) => system.missing = missing,
        }
        system
    }

    fn check_invariants(system: &Self, oracle: &LedgerOracle) {
        let out: BTreeSet<InstanceName> = system.ledger.instances_out().cloned().collect();
        let expected: BTreeSet<InstanceName> =
            oracle.tokens.keys().copied().map(instance).collect();
        assert_eq!(out, expected);
        assert!(
            out.len() <= oracle.max_out as usize,
            "more planned stops than the budget"
        );
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 600, rng_seed: RngSeed::Fixed(12), failure_persistence: None, ..Config::default() })]

    #[test]
    fn the_ledger_never_grants_beyond_the_budget(sequential 1..60 => LedgerSystem);
}
