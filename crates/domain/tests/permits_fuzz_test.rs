//! Permits against an oracle that only counts: never more running than the ceiling.

#![expect(
    clippy::renamed_function_params,
    reason = "parameters are named after what they are here"
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
struct OracleEntry {
    recorded: u32,
    held: u32,
    running: u32,
}

/// The oracle: plain numbers.
#[derive(Debug, Clone)]
struct PermitOracle {
    ceiling: u32,
    highest: u32,
    entries: Vec<OracleEntry>,
}

#[derive(Debug, Clone)]
enum PermitStep {
    SetCeiling(u32),
    Raise(usize, u32),
    /// A raise whose answer was lost: recorded, and not known to the entry.
    RaiseUnheard(usize, u32),
    Lower(usize, u32),
    HandOver(usize, usize, u32),
    Take(usize),
    End(usize),
    /// The entry is gone and its work has ended.
    Forget(usize),
}

impl PermitOracle {
    fn granted(&self) -> u32 {
        self.entries.iter().map(|entry| entry.recorded).sum()
    }

    fn raise(&mut self, entry: usize, wanted: u32) {
        let free = self.ceiling.saturating_sub(self.granted());
        let recorded = &mut self.entries[entry].recorded;
        *recorded = (*recorded).max(wanted.min(*recorded + free));
    }
}

impl ReferenceStateMachine for PermitOracle {
    type State = Self;
    type Transition = PermitStep;

    fn init_state() -> BoxedStrategy<Self> {
        (1..12_u32)
            .prop_map(|ceiling| Self {
                ceiling,
                highest: ceiling,
                entries: vec![OracleEntry::default(); ENTRIES],
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<PermitStep> {
        let entry = 0..ENTRIES;
        prop_oneof![
            1 => (1..12_u32).prop_map(PermitStep::SetCeiling),
            4 => (entry.clone(), 0..12_u32).prop_map(|(e, n)| PermitStep::Raise(e, n)),
            1 => (entry.clone(), 0..12_u32).prop_map(|(e, n)| PermitStep::RaiseUnheard(e, n)),
            2 => (entry.clone(), 0..6_u32).prop_map(|(e, n)| PermitStep::Lower(e, n)),
            3 => (entry.clone(), entry.clone(), 0..6_u32).prop_map(|(a, b, n)| PermitStep::HandOver(a, b, n)),
            8 => entry.clone().prop_map(PermitStep::Take),
            5 => entry.clone().prop_map(PermitStep::End),
            1 => entry.prop_map(PermitStep::Forget),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &PermitStep) -> bool {
        match step {
            PermitStep::End(entry) => state.entries[*entry].running > 0,
            PermitStep::HandOver(from, to, _) => from != to,
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &PermitStep) -> Self {
        match step {
            PermitStep::SetCeiling(ceiling) => {
                state.ceiling = *ceiling;
                state.highest = state.highest.max(*ceiling);
            }
            PermitStep::Raise(entry, wanted) => {
                state.raise(*entry, *wanted);
                let seen = &mut state.entries[*entry];
                seen.held = seen.held.max(seen.recorded);
            }
            PermitStep::RaiseUnheard(entry, wanted) => state.raise(*entry, *wanted),
            PermitStep::Lower(entry, surplus) => {
                let seen = &mut state.entries[*entry];
                seen.held -= (*surplus).min(seen.held - seen.running);
                seen.recorded = seen.held;
            }
            PermitStep::HandOver(from, to, permits) => {
                let seen = &mut state.entries[*from];
                seen.held -= (*permits).min(seen.held - seen.running);
                let freed = seen.recorded - seen.held;
                seen.recorded = seen.held;
                let wanted = state.entries[*to].recorded + freed;
                state.raise(*to, wanted);
            }
            PermitStep::Take(entry) => {
                let seen = &mut state.entries[*entry];
                seen.running += u32::from(seen.running < seen.held);
            }
            PermitStep::End(entry) => state.entries[*entry].running -= 1,
            PermitStep::Forget(entry) => state.entries[*entry] = OracleEntry::default(),
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
        name: EntryName::try_from(format!("e{number}")).expect("a name"),
        incarnation: number as u64,
    }
}

impl StateMachineTest for PermitSystem {
    type SystemUnderTest = Self;
    type Reference = PermitOracle;

    fn init_test(oracle: &PermitOracle) -> Self {
        Self {
            team: TeamName::try_from("alpha").expect("a name"),
            ledger: PermitLedger::default(),
            stamps: (0..ENTRIES).map(stamp).collect(),
            permits: vec![TeamPermits::default(); ENTRIES],
            ceiling: oracle.ceiling,
        }
    }

    fn apply(mut system: Self, oracle: &PermitOracle, step: PermitStep) -> Self {
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
            PermitStep::RaiseUnheard(entry, wanted) => {
                system
                    .ledger
                    .raise(&team, &system.stamps[entry], wanted, system.ceiling);
            }
            PermitStep::Lower(entry, surplus) => {
                let kept = system.permits[entry].release_idle(surplus);
                system.ledger.lower(&team, &system.stamps[entry], kept);
            }
            PermitStep::HandOver(from, to, permits) => {
                let kept = system.permits[from].release_idle(permits);
                let freed = system.ledger.lower(&team, &system.stamps[from], kept);
                let wanted = system.ledger.held(&team, &system.stamps[to]) + freed;
                system
                    .ledger
                    .raise(&team, &system.stamps[to], wanted, system.ceiling);
            }
            PermitStep::Take(entry) => {
                let taken = system.permits[entry].try_acquire();
                assert_eq!(
                    system.permits[entry].running(),
                    oracle.entries[entry].running,
                    "taken: {taken}"
                );
            }
            PermitStep::End(entry) => system.permits[entry].end_run(),
            PermitStep::Forget(entry) => {
                system.ledger.remove_entry(&system.stamps[entry]);
                system.permits[entry] = TeamPermits::default();
            }
        }
        system
    }

    fn check_invariants(system: &Self, oracle: &PermitOracle) {
        for (number, seen) in oracle.entries.iter().enumerate() {
            assert_eq!(
                system.ledger.held(&system.team, &system.stamps[number]),
                seen.recorded
            );
            assert_eq!(system.permits[number].held(), seen.held);
            assert_eq!(system.permits[number].running(), seen.running);
            assert!(
                seen.held <= seen.recorded,
                "an entry uses more than is recorded for it"
            );
        }
        let running: u32 = system.permits.iter().map(TeamPermits::running).sum();
        assert!(
            running <= oracle.highest,
            "more running than any ceiling there was"
        );
        assert!(running <= system.ledger.granted(&system.team));
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 600, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() })]

    #[test]
    fn permits_never_let_more_run_than_the_ceiling(sequential 1..80 => PermitSystem);
}
