//! Model-based test of the table log: revisions only increase, and every reader gets the
//! same table, whether from the log or from a snapshot.

#![expect(
    clippy::renamed_function_params,
    reason = "parameters are named after the model and the system under test"
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

/// The model: the weights of the teams by number, and the latest revision.
#[derive(Debug, Clone, Default)]
struct TableModel {
    revision: u64,
    weights: BTreeMap<u32, u32>,
}

#[derive(Debug, Clone)]
enum TableStep {
    /// An operator whose table is `behind` revisions old sets a team's weight; 0 removes the
    /// team.
    Write { behind: u64, team: u32, weight: u32 },
    /// The last change is sent again, as after a lost response.
    Resend,
    /// The log is compacted into the snapshot.
    Compact,
    /// A reader that may be some revisions behind catches up.
    Read,
}

impl ReferenceStateMachine for TableModel {
    type State = Self;
    type Transition = TableStep;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<TableStep> {
        prop_oneof![
            6 => (0..3_u64, 0..TEAMS, 0..4_u32)
                .prop_map(|(behind, team, weight)| TableStep::Write { behind, team, weight }),
            1 => Just(TableStep::Resend),
            1 => Just(TableStep::Compact),
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
    let name = TeamName::try_from(format!("t{team}")).expect("a valid name");
    let row = (weight > 0).then(|| TeamRow {
        name: name.clone(),
        weight,
        ceiling: 1,
    });
    RowChange::Team(name, row)
}

impl TableSystem {
    fn latest(&self) -> FleetTable {
        self.log
            .replay(&self.snapshot)
            .expect("valid changes")
            .expect("a log that reaches back to the snapshot")
    }

    fn catch_up(&mut self) {
        let before = self.reader.revision;
        let from_log = self.log.replay(&self.reader).expect("valid changes");
        self.reader = from_log.unwrap_or_else(|| self.latest());
        assert!(
            self.reader.revision >= before,
            "a reader's revision decreased"
        );
    }
}

impl StateMachineTest for TableSystem {
    type SystemUnderTest = Self;
    type Reference = TableModel;

    fn init_test(_: &TableModel) -> Self {
        Self::default()
    }

    fn apply(mut system: Self, model: &TableModel, step: TableStep) -> Self {
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
                let appended = system.log.append(change.clone()).is_ok();
                let current = base == system.log.revision - u64::from(appended);
                assert_eq!(
                    appended, current,
                    "only a change based on the latest revision is appended"
                );
                if behind > 0 && appended {
                    // The log was still empty, so the base was the latest revision after all.
                    // Undo, because the model applies only writes with `behind` 0.
                    system.log.changes.pop();
                    system.log.revision -= 1;
                    return system;
                }
                if appended {
                    system.last = Some(change);
                }
            }
            TableStep::Resend => {
                if let Some(change) = system.last.clone() {
                    let is_logged = system.log.changes.contains(&change);
                    let again = system.log.append(change).is_ok();
                    assert_eq!(is_logged, again, "a change is appended once");
                }
            }
            TableStep::Compact => {
                system.snapshot = system.latest();
                system.log.compact(system.snapshot.revision);
            }
            TableStep::Read => system.catch_up(),
        }
        assert_eq!(system.log.revision, model.revision);
        system
    }

    fn check_invariants(system: &Self, model: &TableModel) {
        let latest = system.latest();
        assert_eq!(latest.revision, model.revision);
        let mut weights: Vec<(String, u32)> = latest
            .teams
            .values()
            .map(|team| (team.name.to_string(), team.weight))
            .collect();
        weights.sort();
        let expected: Vec<(String, u32)> = model
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
    fn revisions_increase_and_readers_agree(sequential 1..60 => TableSystem);
}
