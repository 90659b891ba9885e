//! From started processes to a deployment that serves.

use {
    super::{
        child_process::ChildProcess,
        deployment_fault::{DeploymentFault, SystemSnafu},
        deployment_shape::RACK_SIZE,
        link_relay::{LinkRelay, RelayGate},
        running_deployment::{OPERATOR_TOKEN, RunningDeployment, START_WAIT},
    },
    dotterelshore_domain::{
        names::{CentreName, InstanceName, PoolName, RackName},
        table::TargetKind,
    },
    dotterelshore_standins::{
        history::{HistoryEvent, unix_micros},
        platform::AddedInstance,
    },
    dotterelshore_wire::{operator_client::OperatorClient, operator_message::NewInstance},
    snafu::ResultExt,
    std::time::Duration,
};

impl RunningDeployment {
    pub(super) async fn start_relays(&mut self) -> Result<(), DeploymentFault> {
        let relay = || SystemSnafu {
            what: "starting a relay",
        };
        for from in 0..self.entries.len() {
            let gate = RelayGate::default();
            let address = self.plan.platform_relay(from);
            LinkRelay::start_tcp(address, self.plan.platform(), gate.clone())
                .await
                .context(relay())?;
            self.platform_gates.push(gate);
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                let gate = RelayGate::default();
                let address = self.plan.peer_relay(from, to, self.entries.len());
                LinkRelay::start_tcp(address, self.plan.peer(to), gate.clone())
                    .await
                    .context(relay())?;
                LinkRelay::start_udp(address, self.plan.peer(to), gate.clone())
                    .await
                    .context(relay())?;
                self.peer_gates.push((from, to, gate));
            }
        }
        Ok(())
    }

    pub(super) async fn start_targets(&mut self) -> Result<(), DeploymentFault> {
        let mut listed = Vec::new();
        for (pool_number, pool) in self.shape.pools.clone().iter().enumerate() {
            let names = self.targets_of(&pool.name);
            let control = self.plan.control(pool_number);
            let kind = if pool.kind == TargetKind::Executor {
                "executor"
            } else {
                "worker"
            };
            let slots = if pool.kind == TargetKind::Executor {
                "8"
            } else {
                "4"
            };
            let history = self.folder.join(format!("targets-{}.jsonl", pool.name));
            let args = [
                "--kind".to_owned(),
                kind.to_owned(),
                "--names".to_owned(),
                names.join(","),
                "--host".to_owned(),
                self.plan.host().to_string(),
                "--port".to_owned(),
                control.port().to_string(),
                "--slots".to_owned(),
                slots.to_owned(),
                "--history".to_owned(),
                history.display().to_string(),
            ];
            let log = self.folder.join(format!("targets-{}.log", pool.name));
            let process = ChildProcess::start("standin-targets", &args, &log);
            self.hosts.push((
                pool.name.clone(),
                process.context(SystemSnafu {
                    what: "starting targets",
                })?,
            ));
            for (number, name) in names.into_iter().enumerate() {
                let address = self.target_address(pool_number, number).to_string();
                listed.push(AddedInstance {
                    name,
                    address,
                    control: control.to_string(),
                });
            }
        }
        for pool_number in 0..self.shape.pools.len() {
            self.control
                .await_answer(self.plan.control(pool_number), "/")
                .await?;
        }
        self.control
            .tell_platform("/control/instances", &listed)
            .await
    }

    /// Applies the table and records the instances.
    pub(super) async fn set_up(&self) -> Result<(), DeploymentFault> {
        let rows = self.shape.rows()?;
        let recorded_at_us = unix_micros();
        let revision = self
            .operator
            .change_rows("harness", |_| Ok(rows.clone()))
            .await?
            .unwrap_or_default();
        let report = self.operator.await_revision(revision, START_WAIT).await?;
        if !report.awaiting.is_empty() {
            return Err(DeploymentFault::Late {
                what: format!("revision {revision} in force at {:?}", report.awaiting),
            });
        }
        self.note_table(revision, recorded_at_us);
        if self.options.without_targets {
            return Ok(());
        }
        self.operator.add_instances(&self.new_instances()?).await?;
        for number in 0..self.entries.len() {
            self.await_instances(number).await?;
        }
        Ok(())
    }

    fn note_table(&self, revision: u64, recorded_at_us: u64) {
        let entries = self
            .entries
            .iter()
            .map(|entry| entry.name.clone())
            .collect();
        self.history.record(HistoryEvent::TableApplied {
            revision,
            recorded_at_us,
            in_force: true,
            entries,
        });
        for team in &self.shape.teams {
            self.history.record(HistoryEvent::CeilingSet {
                team: team.name.clone(),
                ceiling: team.ceiling,
            });
            self.history.record(HistoryEvent::KeyGranted {
                key: team.key(),
                team: team.name.clone(),
            });
        }
        for pool in &self.shape.pools {
            if let Some(spill) = &pool.spill {
                self.history.record(HistoryEvent::SpillSet {
                    queue: pool.name.clone(),
                    pool: spill.clone(),
                });
            }
            self.history.record(HistoryEvent::BudgetSet {
                pool: pool.name.clone(),
                max_out: pool.max_out,
            });
        }
    }

    fn new_instances(&self) -> Result<Vec<NewInstance>, DeploymentFault> {
        let mut instances = Vec::new();
        for (pool_number, pool) in self.shape.pools.iter().enumerate() {
            for (number, name) in self.targets_of(&pool.name).into_iter().enumerate() {
                instances.push(NewInstance {
                    name: InstanceName::try_from(name)?,
                    kind: pool.kind,
                    pool: PoolName::try_from(pool.name.as_str())?,
                    centre: CentreName::try_from(self.shape.centre_of(number))?,
                    rack: RackName::try_from(format!("{}-rack-{}", pool.name, number / RACK_SIZE))?,
                    address: self.target_address(pool_number, number).to_string(),
                });
            }
        }
        Ok(instances)
    }

    async fn await_instances(&self, number: usize) -> Result<(), DeploymentFault> {
        let wanted: usize = self.shape.pools.iter().map(|pool| pool.size).sum();
        let link = OperatorClient::new(
            vec![self.entry_address(number).to_string()],
            OPERATOR_TOKEN.to_owned(),
        );
        let until = tokio::time::Instant::now() + START_WAIT;
        while tokio::time::Instant::now() < until {
            if link.instances().await?.len() >= wanted {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(DeploymentFault::Late {
            what: format!("the instances at {}", self.entries[number].name),
        })
    }
}
