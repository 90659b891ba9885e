//! Model-based test of the job record: a job ends once, and never under two epochs.

#![expect(
    clippy::renamed_function_params,
    reason = "parameters are named after the model and the system under test"
)]

use {
    dotterelshore_domain::{
        job::{JobRecord, JobState, RunPlace},
        names::{EntryName, EntryStamp, InstanceName, JobName, QueueName, TeamName},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
};

/// The model: the running epoch, and how the job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
struct JobModel {
    epoch: u64,
    running: bool,
    owner: u64,
    cancel_requested: bool,
    failures: u32,
    end: Option<&'static str>,
}

#[derive(Debug, Clone)]
enum JobStep {
    Start(u64),
    Finish(u64),
    Fail(u64),
    Undo(u64),
    Cancel,
    Reassign(u64),
}

impl ReferenceStateMachine for JobModel {
    type State = Self;
    type Transition = JobStep;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            epoch: 0,
            running: false,
            owner: 0,
            cancel_requested: false,
            failures: 0,
            end: None,
        })
        .boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<JobStep> {
        let epochs = state.epoch.saturating_sub(2)..state.epoch + 2;
        prop_oneof![
            4 => (0..3_u64).prop_map(JobStep::Start),
            2 => epochs.clone().prop_map(JobStep::Finish),
            3 => epochs.clone().prop_map(JobStep::Fail),
            2 => epochs.prop_map(JobStep::Undo),
            1 => Just(JobStep::Cancel),
            2 => (0..3_u64).prop_map(JobStep::Reassign),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &JobStep) -> Self {
        let runs = |epoch: u64| state.running && state.epoch == epoch;
        match *step {
            JobStep::Start(entry)
                if !state.running && state.end.is_none() && state.owner == entry =>
            {
                state.running = true;
                state.epoch += 1;
            }
            JobStep::Finish(epoch) if runs(epoch) => {
                state.running = false;
                state.end = Some("finished");
            }
            JobStep::Fail(epoch) if runs(epoch) => {
                state.running = false;
                state.failures += 1;
                if state.cancel_requested {
                    state.end = Some("cancelled");
                } else if state.failures == 4 {
                    state.end = Some("failed");
                }
            }
            JobStep::Undo(epoch) if runs(epoch) => {
                state.running = false;
                if state.cancel_requested {
                    state.end = Some("cancelled");
                }
            }
            JobStep::Cancel if state.running => state.cancel_requested = true,
            JobStep::Cancel if state.end.is_none() => state.end = Some("cancelled"),
            JobStep::Reassign(entry) if state.end.is_none() => state.owner = entry,
            _ => {}
        }
        state
    }
}

struct JobSystem(JobRecord);

fn stamp(number: u64) -> EntryStamp {
    EntryStamp {
        name: EntryName::try_from("e").expect("a valid name"),
        incarnation: number,
    }
}

impl StateMachineTest for JobSystem {
    type SystemUnderTest = Self;
    type Reference = JobModel;

    fn init_test(_: &JobModel) -> Self {
        Self(JobRecord::new(
            JobName::try_from("j").expect("a valid name"),
            TeamName::try_from("t").expect("a valid name"),
            QueueName::try_from("q").expect("a valid name"),
            String::new(),
            stamp(0),
        ))
    }

    fn apply(mut system: Self, _: &JobModel, step: JobStep) -> Self {
        let record = &mut system.0;
        let before = record.clone();
        let refused = match step {
            JobStep::Start(entry) => {
                let worker = InstanceName::try_from("w").expect("a valid name");
                record
                    .start(RunPlace {
                        worker,
                        entry: stamp(entry),
                    })
                    .is_err()
            }
            JobStep::Finish(epoch) => record.finish(epoch, "done".to_owned()).is_err(),
            JobStep::Fail(epoch) => record.fail_run(epoch, "why").is_err(),
            JobStep::Undo(epoch) => record.undo_start(epoch).is_err(),
            JobStep::Cancel => record.cancel().is_err(),
            JobStep::Reassign(entry) => record.reassign(stamp(entry)).is_err(),
        };
        assert!(
            !refused || before == *record,
            "a refused transition changed the record"
        );
        assert!(
            !before.state.is_terminal() || before.state == record.state,
            "the state of an ended job changed"
        );
        system
    }

    fn check_invariants(system: &Self, model: &JobModel) {
        let record = &system.0;
        assert_eq!(record.epoch, model.epoch);
        let end = match &record.state {
            JobState::Waiting | JobState::Running(_) => None,
            JobState::Finished(_) => Some("finished"),
            JobState::Failed(_) => Some("failed"),
            JobState::Cancelled => Some("cancelled"),
        };
        assert_eq!(end, model.end);
        assert_eq!(matches!(record.state, JobState::Running(_)), model.running);
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 800, rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..Config::default() })]

    #[test]
    fn job_ends_once_and_under_one_epoch(sequential 1..60 => JobSystem);
}
