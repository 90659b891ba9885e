//! The failure cases.

use {
    super::failure_run::{FailureCase, FailureRun, FaultFuture},
    crate::deployment::DeploymentFault,
    dotterelshore_domain::{
        codes::ResultCode,
        names::{InstanceName, KeyDigest, PoolName, TeamName, WaveName},
        table::RowChange,
        wave::{WaveOrder, WavePlan},
    },
    dotterelshore_standins::{
        history::{HistoryEvent, unix_micros},
        platform::FaultMode,
        targets::TargetBehaviour,
    },
    dotterelshore_wire::{
        operator_client::OperatorClient,
        operator_message::{MoveRequest, WaveRequest},
    },
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);
const HALF_SECOND: Duration = Duration::from_millis(500);
/// Timeout for a table revision to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(12);

/// All failure cases, in the order in which they run.
pub const FAILURE_CASES: &[FailureCase] = &[
    case("calm", calm),
    FailureCase {
        fault_fraction: 0.15,
        ..case("wrong-answers", calm)
    },
    FailureCase {
        may_lose_responses: true,
        ..case("entry-killed", entry_killed)
    },
    FailureCase {
        may_lose_responses: true,
        ..case("entry-killed-twice", entry_killed_twice)
    },
    case("entry-frozen", entry_frozen),
    case("entry-ended", entry_ended),
    case("centres-cut", centres_cut),
    case("centre-cut-off", centre_cut_off),
    case("platform-down", platform_down),
    case("platform-slow", platform_slow),
    case("answers-lost", answers_lost),
    case("operators-race", operators_race),
    FailureCase {
        cancelled_fraction: 0.6,
        ..case("cancellations", calm)
    },
    case("workers-fail-all", workers_fail_all),
    case("targets-frozen", targets_frozen),
    case("targets-leave", targets_leave),
    FailureCase {
        waves: true,
        ..case("rack-lost-in-wave", rack_lost_in_wave)
    },
    FailureCase {
        waves: true,
        may_lose_responses: true,
        ..case("wave-owner-killed", entry_killed)
    },
    FailureCase {
        waves: true,
        ..case("wave-while-platform-down", platform_down)
    },
    FailureCase {
        waves: true,
        may_lose_responses: true,
        ..case("killed-while-answers-lost", killed_while_answers_lost)
    },
    case("frozen-while-cut", frozen_while_cut),
    FailureCase {
        rate: 14.0,
        mean_work_duration: Duration::from_millis(900),
        may_lose_responses: true,
        ..case("killed-under-long-work", killed_under_long_work)
    },
    FailureCase {
        waves: true,
        ..case("waves-race", waves_race)
    },
    FailureCase {
        rate: 50.0,
        mean_work_duration: Duration::from_millis(400),
        ..case("instances-move", instances_move)
    },
    FailureCase {
        duration: Duration::from_secs(9),
        ..case("key-withdrawn", key_withdrawn)
    },
    FailureCase {
        duration: Duration::from_secs(17),
        ..case("ceiling-lowered", ceiling_lowered)
    },
];

const fn case(
    name: &'static str,
    fault: for<'a> fn(&'a mut FailureRun) -> FaultFuture<'a>,
) -> FailureCase {
    FailureCase {
        name,
        fault,
        fault_fraction: 0.0,
        waves: false,
        cancelled_fraction: 0.05,
        duration: Duration::from_secs(6),
        rate: 160.0,
        mean_work_duration: Duration::from_millis(70),
        may_lose_responses: false,
    }
}

fn calm(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        tokio::time::sleep(run.seeded_pause(SECOND)).await;
        Ok(())
    })
}

fn entry_killed(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        tokio::time::sleep(run.seeded_pause(SECOND)).await;
        run.deployment.kill_entry(0, HALF_SECOND).await?;
        tokio::time::sleep(SECOND).await;
        run.deployment.start_entry(0).await
    })
}

fn entry_killed_twice(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        for _ in 0..2 {
            tokio::time::sleep(run.seeded_pause(HALF_SECOND)).await;
            run.deployment.kill_entry(1, HALF_SECOND).await?;
            run.deployment.start_entry(1).await?;
        }
        Ok(())
    })
}

fn entry_frozen(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        tokio::time::sleep(run.seeded_pause(HALF_SECOND)).await;
        run.deployment.set_entry_frozen(0, true);
        tokio::time::sleep(2 * SECOND).await;
        run.deployment.set_entry_frozen(0, false);
        Ok(())
    })
}

fn entry_ended(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        tokio::time::sleep(run.seeded_pause(SECOND)).await;
        run.deployment
            .terminate_entry(2, Duration::from_secs(30))
            .await?;
        run.deployment.start_entry(2).await
    })
}

/// A network partition separates the two data centres for 2 s; both still reach the platform.
fn centres_cut(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        let east = run.deployment.entries_in("east");
        let west = run.deployment.entries_in("west");
        tokio::time::sleep(run.seeded_pause(HALF_SECOND)).await;
        run.deployment.set_partitioned(&east, &west, true);
        tokio::time::sleep(2 * SECOND).await;
        run.deployment.set_partitioned(&east, &west, false);
        Ok(())
    })
}

/// A network partition separates one data centre from the other and from the platform for 3 s.
fn centre_cut_off(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        let east = run.deployment.entries_in("east");
        let west = run.deployment.entries_in("west");
        tokio::time::sleep(run.seeded_pause(HALF_SECOND)).await;
        run.set_isolated(&west, &east, true);
        tokio::time::sleep(3 * SECOND).await;
        run.set_isolated(&west, &east, false);
        Ok(())
    })
}

fn platform_down(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        tokio::time::sleep(run.seeded_pause(HALF_SECOND)).await;
        run.deployment
            .set_platform_mode(FaultMode {
                down: true,
                ..FaultMode::default()
            })
            .await?;
        tokio::time::sleep(3 * SECOND).await;
        run.deployment.set_platform_mode(FaultMode::default()).await
    })
}

/// Platform calls take longer than the entries' timeout of 1500 ms for 3 s, so that writes take
/// effect after the entries have given up on them. Then they take 150 ms for 1 s.
fn platform_slow(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        tokio::time::sleep(run.seeded_pause(HALF_SECOND)).await;
        run.deployment
            .set_platform_mode(FaultMode {
                slow_ms: 1800,
                ..FaultMode::default()
            })
            .await?;
        tokio::time::sleep(3 * SECOND).await;
        run.deployment
            .set_platform_mode(FaultMode {
                slow_ms: 150,
                ..FaultMode::default()
            })
            .await?;
        tokio::time::sleep(SECOND).await;
        run.deployment.set_platform_mode(FaultMode::default()).await
    })
}

fn answers_lost(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        let mode = FaultMode {
            lose_fraction: 0.3,
            list_lag_ms: 400,
            ..FaultMode::default()
        };
        run.deployment.set_platform_mode(mode).await?;
        tokio::time::sleep(4 * SECOND).await;
        run.deployment.set_platform_mode(FaultMode::default()).await
    })
}

/// Operators at different entries change the same row concurrently.
fn operators_race(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        let mut operators = tokio::task::JoinSet::new();
        for operator in 0..4_u32 {
            let entry = run.deployment.entry_address(operator as usize).to_string();
            let client =
                OperatorClient::new(vec![entry], run.deployment.operator_token().to_owned());
            operators.spawn(async move {
                let mut revisions = Vec::new();
                for change in 0..5 {
                    revisions.push(set_ceiling(&client, "alpha", 14 - operator - change).await?);
                }
                Ok::<_, DeploymentFault>(revisions)
            });
        }
        let mut revisions = Vec::new();
        while let Some(joined) = operators.join_next().await {
            revisions.extend(joined.map_err(|error| DeploymentFault::Failed {
                message: format!("an operator task failed: {error}"),
            })??);
        }
        revisions.sort_unstable();
        let count_before = revisions.len();
        revisions.dedup();
        if revisions.len() != count_before {
            return Err(DeploymentFault::Failed {
                message: "two operators received the same revision".to_owned(),
            });
        }
        let last = revisions.last().copied().unwrap_or_default();
        run.await_revision(last).await
    })
}

fn workers_fail_all(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        let failing = TargetBehaviour {
            fail_all: true,
            ..TargetBehaviour::default()
        };
        for pool in ["proofs-batch", "proofs"] {
            for target in run.deployment.target_names(pool).into_iter().take(2) {
                run.deployment
                    .set_target_behaviour(pool, &target, failing)
                    .await?;
            }
        }
        tokio::time::sleep(4 * SECOND).await;
        for pool in ["proofs-batch", "proofs"] {
            for target in run.deployment.target_names(pool).into_iter().take(2) {
                run.deployment
                    .set_target_behaviour(pool, &target, TargetBehaviour::default())
                    .await?;
            }
        }
        Ok(())
    })
}

fn targets_frozen(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        tokio::time::sleep(run.seeded_pause(HALF_SECOND)).await;
        run.deployment.set_targets_frozen("proofs", true);
        run.deployment.set_targets_frozen("proofs-batch", true);
        tokio::time::sleep(4 * SECOND + HALF_SECOND).await;
        run.deployment.set_targets_frozen("proofs", false);
        run.deployment.set_targets_frozen("proofs-batch", false);
        Ok(())
    })
}

fn targets_leave(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        let mode = FaultMode {
            list_lag_ms: 800,
            ..FaultMode::default()
        };
        run.deployment.set_platform_mode(mode).await?;
        for pool in ["proofs-batch", "proofs"] {
            for target in run.deployment.target_names(pool).into_iter().take(2) {
                run.deployment.announce_leaving(&target).await?;
            }
        }
        tokio::time::sleep(2 * SECOND).await;
        Ok(())
    })
}

/// One rack in each of two pools fails while waves run, and recovers after 2 s.
fn rack_lost_in_wave(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        tokio::time::sleep(run.seeded_pause(HALF_SECOND)).await;
        for pool in ["proofs-batch", "proofs"] {
            for target in run.deployment.target_names(pool).into_iter().take(4) {
                run.deployment.set_target_down(pool, &target, true).await?;
            }
        }
        tokio::time::sleep(2 * SECOND).await;
        for pool in ["proofs-batch", "proofs"] {
            for target in run.deployment.target_names(pool).into_iter().take(4) {
                run.deployment.set_target_down(pool, &target, false).await?;
            }
        }
        Ok(())
    })
}

fn killed_while_answers_lost(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        let mode = FaultMode {
            lose_fraction: 0.2,
            ..FaultMode::default()
        };
        run.deployment.set_platform_mode(mode).await?;
        tokio::time::sleep(run.seeded_pause(HALF_SECOND)).await;
        run.deployment.kill_entry(0, HALF_SECOND).await?;
        tokio::time::sleep(SECOND).await;
        run.deployment.start_entry(0).await?;
        tokio::time::sleep(SECOND).await;
        run.deployment.set_platform_mode(FaultMode::default()).await
    })
}

fn frozen_while_cut(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        let east = run.deployment.entries_in("east");
        let west = run.deployment.entries_in("west");
        run.set_isolated(&west, &east, true);
        tokio::time::sleep(run.seeded_pause(HALF_SECOND)).await;
        run.deployment.set_entry_frozen(east[0], true);
        tokio::time::sleep(2 * SECOND).await;
        run.set_isolated(&west, &east, false);
        tokio::time::sleep(HALF_SECOND).await;
        run.deployment.set_entry_frozen(east[0], false);
        Ok(())
    })
}

/// Two entries are killed and at once listed as removed while their work continues at the targets.
fn killed_under_long_work(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        for entry in [1, 2] {
            tokio::time::sleep(run.seeded_pause(SECOND)).await;
            run.deployment.kill_entry(entry, Duration::ZERO).await?;
        }
        run.deployment.start_entry(1).await?;
        run.deployment.start_entry(2).await
    })
}

/// Operators at several entries start waves in the same pools and drain and resume instances.
fn waves_race(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        let mut operators = tokio::task::JoinSet::new();
        for number in 1..run.deployment.entry_count() {
            let entry = run.deployment.entry_address(number).to_string();
            let client =
                OperatorClient::new(vec![entry], run.deployment.operator_token().to_owned());
            operators.spawn(async move {
                for pool in ["proofs", "plates"] {
                    let request = WaveRequest {
                        name: WaveName::try_from(format!("race-{number}-{pool}"))?,
                        pool: PoolName::try_from(pool)?,
                        plan: WavePlan {
                            order: WaveOrder::RackTogether,
                            buffer: 0,
                        },
                    };
                    client.start_wave(&request).await?;
                }
                for step in 0..10 {
                    let name = InstanceName::try_from(format!("proofs-{}", (number + step) % 8))?;
                    if client.set_drained(&name, true).await.is_ok() {
                        tokio::time::sleep(Duration::from_millis(30)).await;
                        client.set_drained(&name, false).await?;
                    }
                }
                Ok::<_, DeploymentFault>(())
            });
        }
        while let Some(joined) = operators.join_next().await {
            joined.map_err(|error| DeploymentFault::Failed {
                message: format!("an operator task failed: {error}"),
            })??;
        }
        Ok(())
    })
}

/// Instances move to another pool within the budgets, and one of them moves back.
fn instances_move(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        for (target, pool) in [
            ("proofs-0", "plates"),
            ("proofs-1", "plates"),
            ("plates-0", "proofs"),
        ] {
            run.move_instance(target, pool).await?;
        }
        tokio::time::sleep(SECOND).await;
        run.move_instance("proofs-0", "proofs").await?;
        tokio::time::sleep(SECOND).await;
        Ok(())
    })
}

fn key_withdrawn(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        tokio::time::sleep(run.seeded_pause(HALF_SECOND)).await;
        let key = run.deployment.shape.teams[0].key();
        let drop_key = RowChange::Key(KeyDigest::of(&key), None);
        let change = run
            .deployment
            .operator
            .change_rows("failures", |_| Ok(vec![drop_key.clone()]));
        let revision = change.await?.unwrap_or_default();
        run.deployment
            .history
            .record(HistoryEvent::KeyWithdrawn { key });
        run.await_revision(revision).await
    })
}

/// A ceiling is lowered far below the number of running requests.
fn ceiling_lowered(run: &mut FailureRun) -> FaultFuture<'_> {
    Box::pin(async move {
        tokio::time::sleep(run.seeded_pause(HALF_SECOND)).await;
        let revision = set_ceiling(&run.deployment.operator, "alpha", 4).await?;
        run.deployment.history.record(HistoryEvent::CeilingSet {
            team: "alpha".to_owned(),
            ceiling: 4,
        });
        run.await_revision(revision).await
    })
}

async fn set_ceiling(
    client: &OperatorClient,
    team: &str,
    ceiling: u32,
) -> Result<u64, DeploymentFault> {
    let team = TeamName::try_from(team)?;
    let revision = client
        .change_rows("racer", |table| {
            let mut row = table.teams[&team].clone();
            row.ceiling = ceiling;
            // A new weight makes every call a real change, even if another operator has already set
            // this ceiling.
            row.weight = 1 + (row.weight + 1) % 5;
            Ok(vec![RowChange::Team(team.clone(), Some(row))])
        })
        .await?;
    Ok(revision.unwrap_or_default())
}

impl FailureRun {
    /// Returns a pause derived from the seed, between 0.5 and 1.5 times `mean`.
    fn seeded_pause(&self, mean: Duration) -> Duration {
        let factor =
            u32::try_from(self.seed.wrapping_mul(0x9E37_79B9) >> 7 & 0xFF).unwrap_or_default();
        mean / 2 + mean * factor / 255
    }

    /// Creates or heals a partition between a group of entries and both the others and the platform.
    fn set_isolated(&self, group: &[usize], others: &[usize], isolated: bool) {
        self.deployment.set_partitioned(group, others, isolated);
        for entry in group {
            self.deployment.set_platform_partitioned(*entry, isolated);
        }
    }

    /// Moves an instance; retries for 5 s while the budget or its work prevents the move.
    async fn move_instance(&self, target: &str, pool: &str) -> Result<(), DeploymentFault> {
        let name = InstanceName::try_from(target)?;
        let request = MoveRequest {
            pool: PoolName::try_from(pool)?,
        };
        for _ in 0..50 {
            match self
                .deployment
                .operator
                .move_instance(&name, &request)
                .await
            {
                Err(fault)
                    if fault.is(ResultCode::BudgetSpent) || fault.is(ResultCode::InstanceBusy) =>
                {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
                result => return Ok(result.map(drop)?),
            }
        }
        Err(DeploymentFault::Failed {
            message: format!(
                "timed out moving {target}: the pool's budget or running work prevents it"
            ),
        })
    }

    /// Waits until a revision is in force, or the timeout has elapsed, and records the report.
    async fn await_revision(&self, revision: u64) -> Result<(), DeploymentFault> {
        let recorded_at_us = unix_micros();
        let report = self
            .deployment
            .operator
            .await_revision(revision, IN_FORCE_TIMEOUT)
            .await?;
        self.deployment.history.record(HistoryEvent::TableApplied {
            revision,
            recorded_at_us,
            in_force: report.awaiting.is_empty(),
            entries: report.confirmed.iter().map(ToString::to_string).collect(),
        });
        Ok(())
    }
}
