//! Start-up of a deployment: proxies, targets, table and instance records.

use {
    super::{
        child_process::ChildProcess,
        deployment_fault::{DeploymentFault, SystemSnafu},
        deployment_shape::RACK_SIZE,
        link_proxy::{LinkProxy, ProxySwitch},
        running_deployment::{OPERATOR_TOKEN, RunningDeployment, START_TIMEOUT},
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
    pub(super) async fn start_proxies(&mut self) -> Result<(), DeploymentFault> {
        let start_context = || SystemSnafu {
            operation: "starting a proxy",
        };
        for from in 0..self.entries.len() {
            let switch = ProxySwitch::default();
            let address = self.layout.platform_proxy_address(from);
            LinkProxy::start_tcp(address, self.layout.platform_address(), switch.clone())
                .await
                .context(start_context())?;
            self.platform_switches.push(switch);
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                let switch = ProxySwitch::default();
                let address = self.layout.peer_proxy_address(from, to, self.entries.len());
                LinkProxy::start_tcp(address, self.layout.peer_address(to), switch.clone())
                    .await
                    .context(start_context())?;
                LinkProxy::start_udp(address, self.layout.peer_address(to), switch.clone())
                    .await
                    .context(start_context())?;
                self.peer_switches.push((from, to, switch));
            }
        }
        Ok(())
    }

    pub(super) async fn start_targets(&mut self) -> Result<(), DeploymentFault> {
        let mut added = Vec::new();
        for (pool_number, pool) in self.shape.pools.clone().iter().enumerate() {
            let names = self.target_names(&pool.name);
            let control = self.layout.control_address(pool_number);
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
                self.layout.host().to_string(),
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
                    operation: "starting targets",
                })?,
            ));
            for (number, name) in names.into_iter().enumerate() {
                let address = self.target_address(pool_number, number).to_string();
                added.push(AddedInstance {
                    name,
                    address,
                    control: control.to_string(),
                });
            }
        }
        for pool_number in 0..self.shape.pools.len() {
            self.control
                .await_response(self.layout.control_address(pool_number), "/")
                .await?;
        }
        self.control
            .post_to_platform("/control/instances", &added)
            .await
    }

    /// Applies the table, records the instances and waits until every entry lists them.
    pub(super) async fn set_up(&self) -> Result<(), DeploymentFault> {
        let rows = self.shape.rows()?;
        let recorded_at_us = unix_micros();
        let revision = self
            .operator
            .change_rows("harness", |_| Ok(rows.clone()))
            .await?
            .unwrap_or_default();
        let report = self
            .operator
            .await_revision(revision, START_TIMEOUT)
            .await?;
        if !report.awaiting.is_empty() {
            return Err(DeploymentFault::Failed {
                message: format!(
                    "timed out waiting for revision {revision} to be in force at {:?}",
                    report.awaiting
                ),
            });
        }
        self.record_table(revision, recorded_at_us);
        if self.options.without_targets {
            return Ok(());
        }
        self.operator.add_instances(&self.new_instances()?).await?;
        for number in 0..self.entries.len() {
            self.await_instances(number).await?;
        }
        Ok(())
    }

    fn record_table(&self, revision: u64, recorded_at_us: u64) {
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
                max_unavailable: pool.max_unavailable,
            });
        }
    }

    fn new_instances(&self) -> Result<Vec<NewInstance>, DeploymentFault> {
        let mut instances = Vec::new();
        for (pool_number, pool) in self.shape.pools.iter().enumerate() {
            for (number, name) in self.target_names(&pool.name).into_iter().enumerate() {
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
        let expected: usize = self.shape.pools.iter().map(|pool| pool.size).sum();
        let client = OperatorClient::new(
            vec![self.entry_address(number).to_string()],
            OPERATOR_TOKEN.to_owned(),
        );
        let deadline = tokio::time::Instant::now() + START_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if client.instances().await?.len() >= expected {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(DeploymentFault::Failed {
            message: format!(
                "timed out waiting for {} to list the instances",
                self.entries[number].name
            ),
        })
    }
}
