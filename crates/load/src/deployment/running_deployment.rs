//! A deployment while it runs.

use {
    super::{
        child_process::{ChildProcess, ProcessUsage},
        deployment_shape::{DeploymentShape, RACK_SIZE},
        link_relay::{LinkRelay, RelayGate},
    },
    bytes::Bytes,
    dotterelshore_domain::{
        names::{CentreName, EntryStamp, InstanceName, NameFault, PoolName, RackName},
        table::TargetKind,
    },
    dotterelshore_standins::{
        history::{HistoryEvent, HistoryWriter, unix_micros},
        platform::{AddedInstance, FaultMode},
        targets::TargetBehaviour,
    },
    dotterelshore_wire::{
        http_link::{HttpFault, HttpLink, request_to},
        operator_link::{OperatorFault, OperatorLink},
        operator_message::NewInstance,
    },
    hyper::Method,
    serde::Serialize,
    snafu::{ResultExt, Snafu},
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        time::Duration,
    },
};

/// The operators' token of every deployment the harness starts.
pub const OPERATOR_TOKEN: &str = "operators-of-the-harness";
const PLATFORM_PORT: u16 = 4700;
const ENTRY_PORT_FIRST: u16 = 4100;
const PEER_PORT_FIRST: u16 = 4200;
const PLATFORM_RELAY_FIRST: u16 = 4300;
const PEER_RELAY_FIRST: u16 = 5000;
const TARGET_PORT_FIRST: u16 = 10_000;
const TARGET_PORTS_PER_POOL: u16 = 256;
/// Longest wait for a process to answer.
const START_WAIT: Duration = Duration::from_secs(20);
/// Longest control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a deployment did not come up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DeploymentFault {
    /// The system refused.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What was tried.
        what: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A name is none.
    #[snafu(transparent)]
    Name {
        /// Which.
        source: NameFault,
    },
    /// An entry refused.
    #[snafu(transparent)]
    Operator {
        /// What it said.
        source: OperatorFault,
    },
    /// A control call failed.
    #[snafu(transparent)]
    Control {
        /// What it said.
        source: HttpFault,
    },
    /// Something did not happen in time.
    #[snafu(display("{what} did not happen in time"))]
    Late {
        /// What.
        what: String,
    },
}

/// How a deployment is started.
#[derive(Debug, Clone, Default)]
pub struct DeploymentOptions {
    /// More flags for every entry.
    pub entry_flags: Vec<String>,
    /// Whether links between entries, and to the platform, can be cut.
    pub cuttable: bool,
    /// Whether pools stay without targets, as where only the cost of control is measured.
    pub without_targets: bool,
    /// How long a reboot takes; nought for the stand-in's own default.
    pub reboot: Duration,
}

/// What callers see of a deployment: where its entries are, whatever becomes of them.
#[derive(Debug, Clone)]
pub struct DeploymentView {
    /// What it is made of.
    pub shape: DeploymentShape,
    /// The driver's own events.
    pub history: HistoryWriter,
    host: IpAddr,
}

impl DeploymentView {
    /// How many entries there are.
    pub fn entry_count(&self) -> usize {
        self.shape.entries
    }

    /// Where callers reach an entry.
    pub fn entry_address(&self, number: usize) -> SocketAddr {
        entry_address(self.host, number)
    }
}

/// An entry's process and where it is.
#[derive(Debug)]
struct EntryProcess {
    name: String,
    centre: String,
    process: Option<ChildProcess>,
    stamp: Option<EntryStamp>,
    life: u32,
}

/// A deployment while it runs; its processes end when it is dropped.
#[derive(Debug)]
pub struct RunningDeployment {
    /// What it is made of.
    pub shape: DeploymentShape,
    /// Where events are written.
    pub folder: PathBuf,
    /// The driver's own events.
    pub history: HistoryWriter,
    /// An operator's client.
    pub operator: OperatorLink,
    options: DeploymentOptions,
    host: IpAddr,
    entries: Vec<EntryProcess>,
    #[expect(dead_code, reason = "kept to end the process when it is dropped")]
    platform: ChildProcess,
    hosts: Vec<(String, ChildProcess)>,
    peer_gates: Vec<(usize, usize, RelayGate)>,
    platform_gates: Vec<RelayGate>,
    control: HttpLink,
}

impl RunningDeployment {
    /// Starts every process, applies the table and waits until it is in force.
    ///
    /// # Errors
    ///
    /// What did not come up.
    pub async fn start(
        shape: DeploymentShape,
        options: DeploymentOptions,
    ) -> Result<Self, DeploymentFault> {
        let mark: u32 = rand::random();
        let [first, second, ..] = mark.to_be_bytes();
        // Every deployment has a loopback address of its own, so that several can run at once.
        let host = IpAddr::V4(Ipv4Addr::new(127, first.clamp(1, 250), second, 1));
        let folder =
            std::env::temp_dir().join(format!("dotterelshore-{}-{mark:08x}", std::process::id()));
        std::fs::create_dir_all(&folder).context(SystemSnafu {
            what: "making a folder for events",
        })?;
        let history = HistoryWriter::open(Some(&folder.join("driver.jsonl")))
            .context(SystemSnafu { what: "events" })?;
        let platform = start_platform(host, &folder, options.reboot)?;
        let entry_names = (0..shape.entries).map(|number| EntryProcess {
            name: format!("entry-{}-{number}", shape.centre_of(number)),
            centre: shape.centre_of(number).to_owned(),
            process: None,
            stamp: None,
            life: 0,
        });
        let entries: Vec<EntryProcess> = entry_names.collect();
        let addresses = (0..shape.entries)
            .map(|number| entry_address(host, number).to_string())
            .collect();
        let mut deployment = Self {
            operator: OperatorLink::new(addresses, OPERATOR_TOKEN.to_owned()),
            control: HttpLink::new(4, 1024 * 1024),
            peer_gates: Vec::new(),
            platform_gates: Vec::new(),
            hosts: Vec::new(),
            shape,
            folder,
            history,
            options,
            host,
            entries,
            platform,
        };
        deployment.await_platform().await?;
        if deployment.options.cuttable {
            deployment.start_relays().await?;
        }
        if !deployment.options.without_targets {
            deployment.start_targets().await?;
        }
        for number in 0..deployment.entries.len() {
            deployment.start_entry(number).await?;
        }
        deployment.set_up().await?;
        Ok(deployment)
    }

    /// What callers see of it.
    pub fn view(&self) -> DeploymentView {
        DeploymentView {
            shape: self.shape.clone(),
            history: self.history.clone(),
            host: self.host,
        }
    }

    /// The operators' token.
    pub fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// How many entries there are.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Where callers reach an entry.
    pub fn entry_address(&self, number: usize) -> SocketAddr {
        entry_address(self.host, number)
    }

    /// Where other entries reach an entry.
    pub fn peer_address(&self, number: usize) -> SocketAddr {
        peer_address(self.host, number)
    }

    /// An entry's name.
    pub fn entry_name(&self, number: usize) -> &str {
        &self.entries[number].name
    }

    /// What an entry has used so far; nought for one that does not run.
    pub fn entry_usage(&self, number: usize) -> ProcessUsage {
        let process = self.entries[number].process.as_ref();
        process.map(ChildProcess::usage).unwrap_or_default()
    }

    /// A figure that an entry counts, by its name in the metrics.
    ///
    /// # Errors
    ///
    /// The entry did not answer.
    pub async fn entry_metric(&self, number: usize, name: &str) -> Result<f64, DeploymentFault> {
        let authority = entry_address(self.host, number).to_string();
        let request = request_to(Method::GET, &authority, "/metrics", &[], Bytes::new())?;
        let answer = self.control.send(request, CONTROL_TIMEOUT).await?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let lines = text
            .lines()
            .filter_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        Ok(lines.filter_map(|value| value.parse::<f64>().ok()).sum())
    }

    /// The entries of a data centre.
    pub fn entries_of(&self, centre: &str) -> Vec<usize> {
        (0..self.entries.len())
            .filter(|number| self.entries[*number].centre == centre)
            .collect()
    }

    /// The names of a pool's targets.
    pub fn targets_of(&self, pool: &str) -> Vec<String> {
        let size = self
            .shape
            .pools
            .iter()
            .find(|shape| shape.name == pool)
            .map_or(0, |shape| shape.size);
        (0..size).map(|number| format!("{pool}-{number}")).collect()
    }

    /// Where a target answers.
    pub fn target_address(&self, pool_number: usize, number: usize) -> SocketAddr {
        let port = control_port(pool_number) + 1 + u16::try_from(number).unwrap_or_default();
        SocketAddr::new(self.host, port)
    }

    /// Where the platform answers.
    pub fn platform_address(&self) -> SocketAddr {
        SocketAddr::new(self.host, PLATFORM_PORT)
    }

    /// Kills an entry and, after `listed_after`, has the platform's list say that it is gone.
    ///
    /// # Errors
    ///
    /// The platform's stand-in did not take it.
    pub async fn kill_entry(
        &mut self,
        number: usize,
        listed_after: Duration,
    ) -> Result<(), DeploymentFault> {
        if let Some(mut process) = self.entries[number].process.take() {
            process.kill();
        }
        tokio::time::sleep(listed_after).await;
        self.list_gone(number).await
    }

    /// Ends an entry gracefully and has the list say that it is gone.
    ///
    /// # Errors
    ///
    /// It did not end in time, or the platform's stand-in did not take it.
    pub async fn terminate_entry(
        &mut self,
        number: usize,
        wait: Duration,
    ) -> Result<(), DeploymentFault> {
        let Some(mut process) = self.entries[number].process.take() else {
            return Ok(());
        };
        let ended = tokio::task::spawn_blocking(move || process.terminate(wait))
            .await
            .unwrap_or(false);
        self.list_gone(number).await?;
        if ended {
            Ok(())
        } else {
            Err(DeploymentFault::Late {
                what: format!("the end of {}", self.entries[number].name),
            })
        }
    }

    /// Freezes an entry, or thaws it.
    pub fn set_frozen(&self, number: usize, frozen: bool) {
        if let Some(process) = &self.entries[number].process {
            if frozen {
                process.freeze();
            } else {
                process.thaw();
            }
        }
    }

    /// Freezes the targets of a pool, or thaws them.
    pub fn set_targets_frozen(&self, pool: &str, frozen: bool) {
        for (_, process) in self.hosts.iter().filter(|(name, _)| name == pool) {
            if frozen {
                process.freeze();
            } else {
                process.thaw();
            }
        }
    }

    /// Cuts every link between two groups of entries, or opens them.
    pub fn set_cut(&self, some: &[usize], others: &[usize], cut: bool) {
        let between = |from: &usize, to: &usize| {
            (some.contains(from) && others.contains(to))
                || (some.contains(to) && others.contains(from))
        };
        for (_, _, gate) in self
            .peer_gates
            .iter()
            .filter(|(from, to, _)| between(from, to))
        {
            gate.set_open(!cut);
        }
    }

    /// Cuts an entry from the platform, or opens the link.
    pub fn set_platform_cut(&self, number: usize, cut: bool) {
        if let Some(gate) = self.platform_gates.get(number) {
            gate.set_open(!cut);
        }
    }

    /// Has the platform misbehave.
    ///
    /// # Errors
    ///
    /// The stand-in did not take it.
    pub async fn set_platform_mode(&self, mode: FaultMode) -> Result<(), DeploymentFault> {
        self.tell_platform("/control/mode", &mode).await
    }

    /// Has a target misbehave.
    ///
    /// # Errors
    ///
    /// The stand-in did not take it.
    pub async fn set_behaviour(
        &self,
        pool: &str,
        target: &str,
        behaviour: TargetBehaviour,
    ) -> Result<(), DeploymentFault> {
        let path = format!("/targets/{target}/behave");
        self.tell_control(pool, &path, &behaviour).await
    }

    /// Stops a target without warning, as when its rack fails, or starts it again.
    ///
    /// # Errors
    ///
    /// A stand-in did not take it.
    pub async fn set_target_down(
        &self,
        pool: &str,
        target: &str,
        down: bool,
    ) -> Result<(), DeploymentFault> {
        let verb = if down { "stop" } else { "start" };
        self.tell_control(pool, &format!("/targets/{target}/{verb}"), &())
            .await?;
        let life = if down { "down" } else { "live" };
        self.tell_platform(&format!("/control/instances/{target}/{life}"), &())
            .await
    }

    /// Has the platform announce that a target leaves.
    ///
    /// # Errors
    ///
    /// The stand-in did not take it.
    pub async fn announce_leaving(&self, target: &str) -> Result<(), DeploymentFault> {
        self.tell_platform(&format!("/control/instances/{target}/leaving"), &())
            .await
    }

    /// Calls that the platform counted, by kind.
    ///
    /// # Errors
    ///
    /// The stand-in did not answer.
    pub async fn platform_counts(
        &self,
    ) -> Result<std::collections::BTreeMap<String, u64>, DeploymentFault> {
        let authority = self.platform_address().to_string();
        let request = request_to(
            Method::GET,
            &authority,
            "/control/counts",
            &[],
            Bytes::new(),
        )?;
        let answer = self.control.send(request, CONTROL_TIMEOUT).await?;
        Ok(serde_json::from_slice(&answer.body).unwrap_or_default())
    }

    /// Starts an entry in the place of one that ended.
    ///
    /// # Errors
    ///
    /// It did not come up.
    pub async fn start_entry(&mut self, number: usize) -> Result<(), DeploymentFault> {
        let listen = entry_address(self.host, number);
        let platform = if self.options.cuttable {
            SocketAddr::new(self.host, PLATFORM_RELAY_FIRST + to_port(number))
        } else {
            self.platform_address()
        };
        let entry = &self.entries[number];
        let mut args: Vec<String> = vec![
            "--name".into(),
            entry.name.clone(),
            "--data-centre".into(),
            entry.centre.clone(),
            "--listen".into(),
            listen.to_string(),
            "--peer-listen".into(),
            peer_address(self.host, number).to_string(),
            "--platform".into(),
            platform.to_string(),
            "--operator-token".into(),
            OPERATOR_TOKEN.into(),
        ];
        for other in (0..self.entries.len()).filter(|other| *other != number) {
            args.push("--peer".into());
            args.push(format!(
                "{}={}",
                self.entries[other].name,
                self.peer_route(number, other)
            ));
        }
        args.extend(self.options.entry_flags.iter().cloned());
        let log = self
            .folder
            .join(format!("{}.{}.log", entry.name, entry.life));
        let process = ChildProcess::start("dotterelshore-entry", &args, &log);
        let process = process.context(SystemSnafu {
            what: format!("starting {}", entry.name),
        })?;
        self.entries[number].life += 1;
        self.entries[number].process = Some(process);
        self.await_answer(listen, "/healthz").await?;
        let stamp = self.read_stamp(&log).await?;
        self.entries[number].stamp = Some(stamp.clone());
        let added = AddedInstance {
            name: stamp.to_string(),
            address: listen.to_string(),
            control: String::new(),
        };
        self.tell_platform("/control/instances", &[added]).await
    }

    /// Waits until an entry says that it has a table.
    ///
    /// # Errors
    ///
    /// It does not in time.
    pub async fn await_ready(&self, number: usize) -> Result<(), DeploymentFault> {
        self.await_answer(entry_address(self.host, number), "/readyz")
            .await
    }

    async fn read_stamp(&self, log: &std::path::Path) -> Result<EntryStamp, DeploymentFault> {
        let until = tokio::time::Instant::now() + START_WAIT;
        while tokio::time::Instant::now() < until {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let word = text
                .split_whitespace()
                .find_map(|word| word.strip_prefix("entry="))
                .map(str::to_owned);
            if let Some(stamp) = word.and_then(|word| word.parse().ok()) {
                return Ok(stamp);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(DeploymentFault::Late {
            what: "an entry's stamp in its log".to_owned(),
        })
    }

    async fn list_gone(&self, number: usize) -> Result<(), DeploymentFault> {
        let Some(stamp) = &self.entries[number].stamp else {
            return Ok(());
        };
        self.tell_platform(&format!("/control/instances/{stamp}/gone"), &())
            .await
    }

    /// Where `from` reaches `to`: directly, or through a link that can be cut.
    fn peer_route(&self, from: usize, to: usize) -> SocketAddr {
        if self.options.cuttable {
            self.relay_address(from, to)
        } else {
            peer_address(self.host, to)
        }
    }

    fn relay_address(&self, from: usize, to: usize) -> SocketAddr {
        SocketAddr::new(
            self.host,
            PEER_RELAY_FIRST + to_port(from * self.entries.len() + to),
        )
    }

    async fn start_relays(&mut self) -> Result<(), DeploymentFault> {
        let relay = || SystemSnafu {
            what: "starting a relay",
        };
        for from in 0..self.entries.len() {
            let gate = RelayGate::default();
            let address = SocketAddr::new(self.host, PLATFORM_RELAY_FIRST + to_port(from));
            LinkRelay::start_tcp(address, self.platform_address(), gate.clone())
                .await
                .context(relay())?;
            self.platform_gates.push(gate);
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                let gate = RelayGate::default();
                let address = self.relay_address(from, to);
                LinkRelay::start_tcp(address, peer_address(self.host, to), gate.clone())
                    .await
                    .context(relay())?;
                LinkRelay::start_udp(address, peer_address(self.host, to), gate.clone())
                    .await
                    .context(relay())?;
                self.peer_gates.push((from, to, gate));
            }
        }
        Ok(())
    }

    async fn start_targets(&mut self) -> Result<(), DeploymentFault> {
        let mut listed = Vec::new();
        for (pool_number, pool) in self.shape.pools.clone().iter().enumerate() {
            let names = self.targets_of(&pool.name);
            let control = SocketAddr::new(self.host, control_port(pool_number));
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
                self.host.to_string(),
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
            self.await_answer(SocketAddr::new(self.host, control_port(pool_number)), "/")
                .await?;
        }
        self.tell_platform("/control/instances", &listed).await
    }

    /// Applies the table and records the instances.
    async fn set_up(&self) -> Result<(), DeploymentFault> {
        let rows = self.shape.rows()?;
        let recorded_at_us = unix_micros();
        let revision = self
            .operator
            .change_rows("harness", |_| Ok(rows.clone()))
            .await?
            .unwrap_or_default();
        let report = self.operator.await_force(revision, START_WAIT).await?;
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
        self.history.note(HistoryEvent::TableApplied {
            revision,
            recorded_at_us,
            in_force: true,
            entries,
        });
        for team in &self.shape.teams {
            self.history.note(HistoryEvent::CeilingSet {
                team: team.name.clone(),
                ceiling: team.ceiling,
            });
            self.history.note(HistoryEvent::KeyGranted {
                key: team.key(),
                team: team.name.clone(),
            });
        }
        for pool in &self.shape.pools {
            if let Some(spill) = &pool.spill {
                self.history.note(HistoryEvent::SpillSet {
                    queue: pool.name.clone(),
                    pool: spill.clone(),
                });
            }
            self.history.note(HistoryEvent::BudgetSet {
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
        let link = OperatorLink::new(
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

    async fn await_platform(&self) -> Result<(), DeploymentFault> {
        self.await_answer(self.platform_address(), "/control/counts")
            .await
    }

    async fn await_answer(&self, address: SocketAddr, path: &str) -> Result<(), DeploymentFault> {
        let until = tokio::time::Instant::now() + START_WAIT;
        let authority = address.to_string();
        while tokio::time::Instant::now() < until {
            let request = request_to(Method::GET, &authority, path, &[], Bytes::new())?;
            let answer = self.control.send(request, CONTROL_TIMEOUT).await;
            if answer.is_ok_and(|answer| answer.status.as_u16() != 503) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(15)).await;
        }
        Err(DeploymentFault::Late {
            what: format!("an answer of {address}{path}"),
        })
    }

    async fn tell_platform(
        &self,
        path: &str,
        body: &(impl Serialize + ?Sized),
    ) -> Result<(), DeploymentFault> {
        self.tell(&self.platform_address().to_string(), path, body)
            .await
    }

    async fn tell_control(
        &self,
        pool: &str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(), DeploymentFault> {
        let number = self
            .shape
            .pools
            .iter()
            .position(|shape| shape.name == pool)
            .unwrap_or_default();
        self.tell(
            &SocketAddr::new(self.host, control_port(number)).to_string(),
            path,
            body,
        )
        .await
    }

    async fn tell(
        &self,
        authority: &str,
        path: &str,
        body: &(impl Serialize + ?Sized),
    ) -> Result<(), DeploymentFault> {
        let bytes = serde_json::to_vec(body).unwrap_or_default();
        let request = request_to(Method::POST, authority, path, &[], Bytes::from(bytes))?;
        let answer = self.control.send(request, CONTROL_TIMEOUT).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(HttpFault::NoAnswer {
            detail: format!("{path}: status {}", answer.status),
        }
        .into())
    }
}

fn start_platform(
    host: IpAddr,
    folder: &std::path::Path,
    reboot: Duration,
) -> Result<ChildProcess, DeploymentFault> {
    let listen = SocketAddr::new(host, PLATFORM_PORT).to_string();
    let history = folder.join("platform.jsonl").display().to_string();
    let mut args = vec![
        "--listen".to_owned(),
        listen,
        "--history".to_owned(),
        history,
    ];
    if !reboot.is_zero() {
        args.extend(["--reboot-ms".to_owned(), reboot.as_millis().to_string()]);
    }
    let started = ChildProcess::start("standin-platform", &args, &folder.join("platform.log"));
    started.context(SystemSnafu {
        what: "starting the platform",
    })
}

fn to_port(number: usize) -> u16 {
    u16::try_from(number).unwrap_or_default()
}

fn entry_address(host: IpAddr, number: usize) -> SocketAddr {
    SocketAddr::new(host, ENTRY_PORT_FIRST + to_port(number))
}

fn peer_address(host: IpAddr, number: usize) -> SocketAddr {
    SocketAddr::new(host, PEER_PORT_FIRST + to_port(number))
}

fn control_port(pool_number: usize) -> u16 {
    TARGET_PORT_FIRST + TARGET_PORTS_PER_POOL * to_port(pool_number)
}
