//! Model-based test of claims: only one ticket at a time holds an identifier. The model
//! is a map.

#![expect(
    clippy::renamed_function_params,
    reason = "parameters are named after the model and the system under test"
)]

use {
    dotterelshore_domain::{
        names::{RequestName, TeamName},
        request::ClaimShard,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    std::collections::BTreeMap,
};

const RETENTION_MS: u64 = 1000;

#[derive(Debug, Clone, Default)]
struct ClaimModel {
    now_ms: u64,
    claimed_ids: BTreeMap<(u32, u32), (u64, u64)>,
}

#[derive(Debug, Clone)]
enum ClaimStep {
    Claim { team: u32, id: u32, ticket: u64 },
    Release { team: u32, id: u32, ticket: u64 },
    AdvanceClock(u64),
}

impl ReferenceStateMachine for ClaimModel {
    type State = Self;
    type Transition = ClaimStep;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<ClaimStep> {
        let target = (0..2_u32, 0..6_u32, 0..4_u64);
        prop_oneof![
            6 => target.clone().prop_map(|(team, id, ticket)| ClaimStep::Claim { team, id, ticket }),
            2 => target.prop_map(|(team, id, ticket)| ClaimStep::Release { team, id, ticket }),
            1 => (0..RETENTION_MS).prop_map(ClaimStep::AdvanceClock),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &ClaimStep) -> Self {
        match *step {
            ClaimStep::Claim { team, id, ticket } => {
                let now = state.now_ms;
                if !state.claimed_ids.contains_key(&(team, id)) {
                    state
                        .claimed_ids
                        .retain(|_, (_, at)| *at + RETENTION_MS >= now);
                    state.claimed_ids.insert((team, id), (ticket, now));
                }
            }
            ClaimStep::Release { team, id, ticket } => {
                if state
                    .claimed_ids
                    .get(&(team, id))
                    .is_some_and(|(held, _)| *held == ticket)
                {
                    state.claimed_ids.remove(&(team, id));
                }
            }
            ClaimStep::AdvanceClock(ms) => state.now_ms += ms,
        }
        state
    }
}

struct ClaimSystem {
    shard: ClaimShard,
    now_ms: u64,
}

fn names(team: u32, id: u32) -> (TeamName, RequestName) {
    let team = TeamName::try_from(format!("t{team}")).expect("a valid name");
    (
        team,
        RequestName::try_from(format!("r{id}")).expect("a valid name"),
    )
}

impl StateMachineTest for ClaimSystem {
    type SystemUnderTest = Self;
    type Reference = ClaimModel;

    fn init_test(_: &ClaimModel) -> Self {
        Self {
            shard: ClaimShard::default(),
            now_ms: 0,
        }
    }

    fn apply(mut system: Self, model: &ClaimModel, step: ClaimStep) -> Self {
        match step {
            ClaimStep::Claim { team, id, ticket } => {
                let (team_name, name) = names(team, id);
                let claimed =
                    system
                        .shard
                        .claim(&team_name, &name, ticket, system.now_ms, RETENTION_MS);
                let owner = model.claimed_ids[&(team, id)].0;
                assert_eq!(
                    claimed.is_ok(),
                    owner == ticket,
                    "a claim succeeds only for the ticket that holds the identifier"
                );
            }
            ClaimStep::Release { team, id, ticket } => {
                let (team, name) = names(team, id);
                system.shard.release(&team, &name, ticket);
            }
            ClaimStep::AdvanceClock(ms) => system.now_ms += ms,
        }
        system
    }

    fn check_invariants(system: &Self, model: &ClaimModel) {
        assert_eq!(system.shard.len(), model.claimed_ids.len());
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 500, rng_seed: RngSeed::Fixed(15), failure_persistence: None, ..Config::default() })]

    #[test]
    fn identifier_is_claimed_by_one_ticket(sequential 1..60 => ClaimSystem);
}
