//! Model-based test of permits: the number of concurrent runs never exceeds the highest
//! ceiling so far. The model only counts permits.

#![expect(
    clippy::renamed_function_params,
    reason = "parameters are named after the model and the system under test"
)]

use {
    dotterelshore_domain::{
        names::{EntryName, EntryStamp, TeamName},
        team::{PermitLedger, TeamPermits},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
};

const ENTRIES: usize = 4;

#[derive(Debug, Clone, Default)]
struct EntryModel {
    recorded: u32,
    held: u32,
    running: u32,
}

/// The model: the permits of each entry as numbers.
#[derive(Debug, Clone)]
struct PermitModel {
    ceiling: u32,
    highest_ceiling: u32,
    entries: Vec<EntryModel>,
}

#[derive(Debug, Clone)]
enum PermitStep {
    SetCeiling(u32),
    Raise(usize, u32),
    /// A raise that is recorded in the ledger, but whose response to the entry was lost.
    RaiseWithLostResponse(usize, u32),
    Lower(usize, u32),
    Handover(usize, usize, u32),
    Acquire(usize),
    End(usize),
    /// The entry has terminated and its work has ended.
    RemoveEntry(usize),
}

impl PermitModel {
    fn granted(&self) -> u32 {
        self.entries.iter().map(|entry| entry.recorded).sum()
    }

    fn raise(&mut self, entry: usize, wanted: u32) {
        let free = self.ceiling.saturating_sub(self.granted());
        let recorded = &mut self.entries[entry].recorded;
        *recorded = (*recorded).max(wanted.min(*recorded + free));
    }
}

impl ReferenceStateMachine for PermitModel {
    type State = Self;
    type Transition = PermitStep;

    fn init_state() -> BoxedStrategy<Self> {
        (1..12_u32)
            .prop_map(|ceiling| Self {
                ceiling,
                highest_ceiling: ceiling,
                entries: vec![EntryModel::default(); ENTRIES],
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<PermitStep> {
        let entry = 0..ENTRIES;
        prop_oneof![
            1 => (1..12_u32).prop_map(PermitStep::SetCeiling),
            4 => (entry.clone(), 0..12_u32).prop_map(|(e, n)| PermitStep::Raise(e, n)),
            1 => (entry.clone(), 0..12_u32).prop_map(|(e, n)| PermitStep::RaiseWithLostResponse(e, n)),
            2 => (entry.clone(), 0..6_u32).prop_map(|(e, n)| PermitStep::Lower(e, n)),
            3 => (entry.clone(), entry.clone(), 0..6_u32).prop_map(|(a, b, n)| PermitStep::Handover(a, b, n)),
            8 => entry.clone().prop_map(PermitStep::Acquire),
            5 => entry.clone().prop_map(PermitStep::End),
            1 => entry.prop_map(PermitStep::RemoveEntry),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &PermitStep) -> bool {
        match step {
            PermitStep::End(entry) => state.entries[*entry].running > 0,
            PermitStep::Handover(from, to, _) => from != to,
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &PermitStep) -> Self {
        match step {
            PermitStep::SetCeiling(ceiling) => {
                state.ceiling = *ceiling;
                state.highest_ceiling = state.highest_ceiling.max(*ceiling);
            }
            PermitStep::Raise(entry, wanted) => {
                state.raise(*entry, *wanted);
                let entry_model = &mut state.entries[*entry];
                entry_model.held = entry_model.held.max(entry_model.recorded);
            }
            PermitStep::RaiseWithLostResponse(entry, wanted) => state.raise(*entry, *wanted),
            PermitStep::Lower(entry, surplus) => {
                let entry_model = &mut state.entries[*entry];
                entry_model.held -= (*surplus).min(entry_model.held - entry_model.running);
                entry_model.recorded = entry_model.held;
            }
            PermitStep::Handover(from, to, permits) => {
                let entry_model = &mut state.entries[*from];
                entry_model.held -= (*permits).min(entry_model.held - entry_model.running);
                let freed = entry_model.recorded - entry_model.held;
                entry_model.recorded = entry_model.held;
                let wanted = state.entries[*to].recorded + freed;
                state.raise(*to, wanted);
            }
            PermitStep::Acquire(entry) => {
                let entry_model = &mut state.entries[*entry];
                entry_model.running += u32::from(entry_model.running < entry_model.held);
            }
            PermitStep::End(entry) => state.entries[*entry].running -= 1,
            PermitStep::RemoveEntry(entry) => state.entries[*entry] = EntryModel::default(),
        }
        state
    }
}

struct PermitSystem {
    team: TeamName,
    ledger: PermitLedger,
    stamps: Vec<EntryStamp>,
    permits: Vec<TeamPermits>,
    ceiling: u32,
}

fn stamp(number: usize) -> EntryStamp {
    EntryStamp {
        name: EntryName::try_from(format!("e{number}")).expect("a valid name"),
        incarnation: number as u64,
    }
}

impl StateMachineTest for PermitSystem {
    type SystemUnderTest = Self;
    type Reference = PermitModel;

    fn init_test(model: &PermitModel) -> Self {
        Self {
            team: TeamName::try_from("alpha").expect("a valid name"),
            ledger: PermitLedger::default(),
            stamps: (0..ENTRIES).map(stamp).collect(),
            permits: vec![TeamPermits::default(); ENTRIES],
            ceiling: model.ceiling,
        }
    }

    fn apply(mut system: Self, model: &PermitModel, step: PermitStep) -> Self {
        let team = system.team.clone();
        match step {
            PermitStep::SetCeiling(ceiling) => system.ceiling = ceiling,
            PermitStep::Raise(entry, wanted) => {
                let recorded =
                    system
                        .ledger
                        .raise(&team, &system.stamps[entry], wanted, system.ceiling);
                system.permits[entry].raise_to(recorded);
            }
            PermitStep::RaiseWithLostResponse(entry, wanted) => {
                system
                    .ledger
                    .raise(&team, &system.stamps[entry], wanted, system.ceiling);
            }
            PermitStep::Lower(entry, surplus) => {
                let kept = system.permits[entry].release_idle(surplus);
                system.ledger.lower(&team, &system.stamps[entry], kept);
            }
            PermitStep::Handover(from, to, permits) => {
                let kept = system.permits[from].release_idle(permits);
                let freed = system.ledger.lower(&team, &system.stamps[from], kept);
                let wanted = system.ledger.held(&team, &system.stamps[to]) + freed;
                system
                    .ledger
                    .raise(&team, &system.stamps[to], wanted, system.ceiling);
            }
            PermitStep::Acquire(entry) => {
                let acquired = system.permits[entry].try_acquire();
                assert_eq!(
                    system.permits[entry].running(),
                    model.entries[entry].running,
                    "acquired: {acquired}"
                );
            }
            PermitStep::End(entry) => system.permits[entry].end_run(),
            PermitStep::RemoveEntry(entry) => {
                system.ledger.remove_entry(&system.stamps[entry]);
                system.permits[entry] = TeamPermits::default();
            }
        }
        system
    }

    fn check_invariants(system: &Self, model: &PermitModel) {
        for (number, entry_model) in model.entries.iter().enumerate() {
            assert_eq!(
                system.ledger.held(&system.team, &system.stamps[number]),
                entry_model.recorded
            );
            assert_eq!(system.permits[number].held(), entry_model.held);
            assert_eq!(system.permits[number].running(), entry_model.running);
            assert!(
                entry_model.held <= entry_model.recorded,
                "an entry holds more permits than the ledger records"
            );
        }
        let running: u32 = system.permits.iter().map(TeamPermits::running).sum();
        assert!(
            running <= model.highest_ceiling,
            "more runs than the highest ceiling so far"
        );
        assert!(running <= system.ledger.granted(&system.team));
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 600, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() })]

    #[test]
    fn concurrent_runs_never_exceed_the_highest_ceiling(sequential 1..80 => PermitSystem);
}
