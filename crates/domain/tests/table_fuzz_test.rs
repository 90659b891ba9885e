//! The table's log against an oracle that keeps every change: revisions only rise, and
//! every reader comes to the same table, from the log or from a snapshot.

#![expect(
    clippy::renamed_function_params,
    reason = "parameters are named after what they are here"
)]

use {
    dotterelshore_domain::{
        names::TeamName,
        table::{FleetTable, RowChange, TableChange, TableLog, TeamRow},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    std::collections::BTreeMap,
};

const TEAMS: u32 = 5;

/// The oracle: a team's weight by its number, and the count of changes taken.
#[derive(Debug, Clone, Default)]
struct TableOracle {
    revision: u64,
    weights: BTreeMap<u32, u32>,
}

#[derive(Debug, Clone)]
enum TableStep {
    /// An operator who read revision `base` sets a team's weight, nought to drop it.
    Write { behind: u64, team: u32, weight: u32 },
    /// The same change sent once more, as after a lost answer.
    WriteAgain,
    /// The changes are folded into the snapshot.
    Fold,
    /// A reader that may be some revisions behind catches up.
    Read,
}

impl ReferenceStateMachine for TableOracle {
    type State = Self;
    type Transition = TableStep;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<TableStep> {
        prop_oneof![
            6 => (0..3_u64, 0..TEAMS, 0..4_u32)
                .prop_map(|(behind, team, weight)| TableStep::Write { behind, team, weight }),
            1 => Just(TableStep::WriteAgain),
            1 => Just(TableStep::Fold),
            3 => Just(TableStep::Read),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &TableStep) -> Self {
        if let TableStep::Write {
            behind: 0,
            team,
            weight,
        } = step
        {
            state.revision += 1;
            if *weight == 0 {
                state.weights.remove(team);
            } else {
                state.weights.insert(*team, *weight);
            }
        }
        state
    }
}

#[derive(Default)]
struct TableSystem {
    log: TableLog,
    snapshot: FleetTable,
    reader: FleetTable,
    last: Option<TableChange>,
    tokens: u64,
}

fn row(team: u32, weight: u32) -> RowChange {
    let name = TeamName::try_from(format!("t{team}")).expect("a name");
    let row = (weight > 0).then(|| TeamRow {
        name: name.clone(),
        weight,
        ceiling: 1,
    });
    RowChange::Team(name, row)
}

impl TableSystem {
    fn newest(&self) -> FleetTable {
        self.log
            .replay(&self.snapshot)
            .expect("sound changes")
            .expect("the snapshot reaches")
    }

    fn catch_up(&mut self) {
        let before = self.reader.revision;
        let from_head = self.log.replay(&self.reader).expect("sound changes");
        self.reader = from_head.unwrap_or_else(|| self.newest());
        assert!(self.reader.revision >= before, "a reader's table went back");
    }
}

impl StateMachineTest for TableSystem {
    type SystemUnderTest = Self;
    type Reference = TableOracle;

    fn init_test(_: &TableOracle) -> Self {
        Self::default()
    }

    fn apply(mut system: Self, oracle: &TableOracle, step: TableStep) -> Self {
        match step {
            TableStep::Write {
                behind,
                team,
                weight,
            } => {
                system.tokens += 1;
                let base = system.log.revision.saturating_sub(behind);
                let change = TableChange {
                    revision: base + 1,
                    token: system.tokens,
                    author: String::new(),
                    at_ms: 0,
                    rows: vec![row(team, weight)],
                };
                let taken = system.log.append(change.clone()).is_ok();
                let current = base == system.log.revision - u64::from(taken);
                assert_eq!(
                    taken, current,
                    "only a change made on the newest revision is taken"
                );
                if behind > 0 && taken {
                    // Nothing was older yet: undo, as the oracle knows only newest writes.
                    system.log.changes.pop();
                    system.log.revision -= 1;
                    return system;
                }
                if taken {
                    system.last = Some(change);
                }
            }
            TableStep::WriteAgain => {
                if let Some(change) = system.last.clone() {
                    let kept = system.log.changes.contains(&change);
                    let again = system.log.append(change).is_ok();
                    assert_eq!(kept, again, "a change is taken once");
                }
            }
            TableStep::Fold => {
                system.snapshot = system.newest();
                system.log.compact(system.snapshot.revision);
            }
            TableStep::Read => system.catch_up(),
        }
        assert_eq!(system.log.revision, oracle.revision);
        system
    }

    fn check_invariants(system: &Self, oracle: &TableOracle) {
        let newest = system.newest();
        assert_eq!(newest.revision, oracle.revision);
        let mut weights: Vec<(String, u32)> = newest
            .teams
            .values()
            .map(|team| (team.name.to_string(), team.weight))
            .collect();
        weights.sort();
        let expected: Vec<(String, u32)> = oracle
            .weights
            .iter()
            .map(|(team, weight)| (format!("t{team}"), *weight))
            .collect();
        assert_eq!(weights, expected);
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 500, rng_seed: RngSeed::Fixed(14), failure_persistence: None, ..Config::default() })]

    #[test]
    fn revisions_rise_and_readers_agree(sequential 1..60 => TableSystem);
}
