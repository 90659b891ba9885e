//! Model-based test of the pool ledger: disruptions never exceed the availability budget.
//! The model keeps the tokens in a map and the failed instances in a set.

#![expect(
    clippy::renamed_function_params,
    reason = "parameters are named after the model and the system under test"
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
struct LedgerModel {
    max_out: u32,
    missing: u32,
    tokens: BTreeMap<usize, usize>,
    failed: BTreeSet<usize>,
}

#[derive(Debug, Clone)]
enum LedgerStep {
    Acquire { instance: usize, holder: usize },
    Release { instance: usize, holder: usize },
    Fail(usize),
    Recover(usize),
    Missing(u32),
}

impl LedgerModel {
    fn out_count(&self) -> usize {
        let planned: BTreeSet<usize> = self.tokens.keys().copied().collect();
        planned.union(&self.failed).count() + self.missing as usize
    }

    /// Whether the holder can acquire the token of the instance, which may have failed already.
    fn can_acquire(&self, instance: usize, holder: usize) -> bool {
        if let Some(current) = self.tokens.get(&instance) {
            return *current == holder;
        }
        let mut others = self.clone();
        others.failed.remove(&instance);
        others.out_count() < self.max_out as usize
    }
}

impl ReferenceStateMachine for LedgerModel {
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
            6 => (0..INSTANCES, 0..HOLDERS).prop_map(|(instance, holder)| LedgerStep::Acquire { instance, holder }),
            4 => (0..INSTANCES, 0..HOLDERS).prop_map(|(instance, holder)| LedgerStep::Release { instance, holder }),
            2 => (0..INSTANCES).prop_map(LedgerStep::Fail),
            2 => (0..INSTANCES).prop_map(LedgerStep::Recover),
            1 => (0..2_u32).prop_map(LedgerStep::Missing),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &LedgerStep) -> Self {
        match step {
            LedgerStep::Acquire { instance, holder } => {
                if state.can_acquire(*instance, *holder) {
                    state.tokens.insert(*instance, *holder);
                }
            }
            LedgerStep::Release { instance, holder } => {
                if state.tokens.get(instance) == Some(holder) {
                    state.tokens.remove(instance);
                }
            }
            LedgerStep::Fail(instance) => {
                state.failed.insert(*instance);
            }
            LedgerStep::Recover(instance) => {
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
    InstanceName::try_from(format!("i{number}")).expect("a valid name")
}

fn holder(number: usize) -> WaveName {
    WaveName::try_from(format!("w{number}")).expect("a valid name")
}

impl StateMachineTest for LedgerSystem {
    type SystemUnderTest = Self;
    type Reference = LedgerModel;

    fn init_test(_: &LedgerModel) -> Self {
        Self {
            ledger: PoolLedger::default(),
            failed: BTreeSet::new(),
            missing: 0,
        }
    }

    fn apply(mut system: Self, model: &LedgerModel, step: LedgerStep) -> Self {
        match step {
            LedgerStep::Acquire {
                instance: number,
                holder: holder_number,
            } => {
                let failed: Vec<InstanceName> =
                    system.failed.iter().copied().map(instance).collect();
                let acquired = system.ledger.acquire_token(
                    &instance(number),
                    &holder(holder_number),
                    &failed,
                    system.missing,
                    model.max_out,
                );
                assert_eq!(
                    acquired.is_ok(),
                    model.tokens.get(&number) == Some(&holder_number)
                );
            }
            LedgerStep::Release {
                instance: number,
                holder: holder_number,
            } => system
                .ledger
                .release_token(&instance(number), &holder(holder_number)),
            LedgerStep::Fail(number) => {
                system.failed.insert(number);
            }
            LedgerStep::Recover(number) => {
                system.failed.remove(&number);
            }
            LedgerStep::Missing(missing) => system.missing = missing,
        }
        system
    }

    fn check_invariants(system: &Self, model: &LedgerModel) {
        let out: BTreeSet<InstanceName> = system.ledger.instances_out().cloned().collect();
        let expected: BTreeSet<InstanceName> = model.tokens.keys().copied().map(instance).collect();
        assert_eq!(out, expected);
        assert!(
            out.len() <= model.max_out as usize,
            "more disruptions than the budget"
        );
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 600, rng_seed: RngSeed::Fixed(12), failure_persistence: None, ..Config::default() })]

    #[test]
    fn ledger_never_exceeds_the_availability_budget(sequential 1..60 => LedgerSystem);
}
