//! A deployment while it runs.

use {
    super::{
        child_process::{ChildProcess, ProcessUsage},
        control_link::ControlLink,
        deployment_fault::{DeploymentFault, SystemSnafu},
        deployment_shape::DeploymentShape,
        link_relay::RelayGate,
        port_plan::PortPlan,
    },
    dotterelshore_domain::names::EntryStamp,
    dotterelshore_standins::{history::HistoryWriter, platform::AddedInstance},
    dotterelshore_wire::operator_client::OperatorClient,
    snafu::ResultExt,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        time::Duration,
    },
};

/// The operators' token of every deployment the harness starts.
pub const OPERATOR_TOKEN: &str = "operators-of-the-harness";
/// Longest wait for a process to answer.
pub(super) const START_WAIT: Duration = Duration::from_secs(20);
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
    plan: PortPlan,
}

impl DeploymentView {
    /// How many entries there are.
    pub fn entry_count(&self) -> usize {
        self.shape.entries
    }

    /// Where callers reach an entry.
    pub fn entry_address(&self, number: usize) -> SocketAddr {
        self.plan.entry(number)
    }
}

/// An entry's process and where it is.
#[derive(Debug)]
pub(super) struct EntryProcess {
    pub(super) name: String,
    pub(super) centre: String,
    pub(super) process: Option<ChildProcess>,
    pub(super) stamp: Option<EntryStamp>,
    pub(super) life: u32,
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
    pub operator: OperatorClient,
    pub(super) options: DeploymentOptions,
    pub(super) plan: PortPlan,
    pub(super) entries: Vec<EntryProcess>,
    #[expect(dead_code, reason = "kept to end the process when it is dropped")]
    platform: ChildProcess,
    pub(super) hosts: Vec<(String, ChildProcess)>,
    pub(super) peer_gates: Vec<(usize, usize, RelayGate)>,
    pub(super) platform_gates: Vec<RelayGate>,
    pub(super) control: ControlLink,
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
        let [first, second, third, _] = mark.to_be_bytes();
        // Every deployment has a loopback address of its own, so that several can run at once;
        // drawn from sixteen million, since thirty at once drew the same of 64,000 now and then.
        let host = IpAddr::V4(Ipv4Addr::new(
            127,
            first.max(1),
            second,
            third.clamp(1, 254),
        ));
        let plan = PortPlan::new(host);
        let folder =
            std::env::temp_dir().join(format!("dotterelshore-{}-{mark:08x}", std::process::id()));
        std::fs::create_dir_all(&folder).context(SystemSnafu {
            what: "making a folder for events",
        })?;
        let history = HistoryWriter::open(Some(&folder.join("driver.jsonl")))
            .context(SystemSnafu { what: "events" })?;
        let platform = start_platform(plan, &folder, options.reboot)?;
        let entry_names = (0..shape.entries).map(|number| EntryProcess {
            name: format!("entry-{}-{number}", shape.centre_of(number)),
            centre: shape.centre_of(number).to_owned(),
            process: None,
            stamp: None,
            life: 0,
        });
        let entries: Vec<EntryProcess> = entry_names.collect();
        let addresses = (0..shape.entries)
            .map(|number| plan.entry(number).to_string())
            .collect();
        let mut deployment = Self {
            operator: OperatorClient::new(addresses, OPERATOR_TOKEN.to_owned()),
            control: ControlLink::new(plan),
            peer_gates: Vec::new(),
            platform_gates: Vec::new(),
            hosts: Vec::new(),
            shape,
            folder,
            history,
            options,
            plan,
            entries,
            platform,
        };
        deployment
            .control
            .await_answer(plan.platform(), "/control/counts")
            .await?;
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
            plan: self.plan,
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
        self.plan.entry(number)
    }

    /// Where other entries reach an entry.
    pub fn peer_address(&self, number: usize) -> SocketAddr {
        self.plan.peer(number)
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
        let answer = self
            .control
            .read(self.plan.entry(number), "/metrics")
            .await?;
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
        self.plan.target(pool_number, number)
    }

    /// A pool's number in the shape.
    pub(super) fn pool_number(&self, pool: &str) -> usize {
        let pools = &self.shape.pools;
        pools
            .iter()
            .position(|shape| shape.name == pool)
            .unwrap_or_default()
    }

    /// Where the platform answers.
    pub fn platform_address(&self) -> SocketAddr {
        self.plan.platform()
    }

    /// Starts an entry in the place of one that ended.
    ///
    /// # Errors
    ///
    /// It did not come up.
    pub async fn start_entry(&mut self, number: usize) -> Result<(), DeploymentFault> {
        let listen = self.plan.entry(number);
        let platform = if self.options.cuttable {
            self.plan.platform_relay(number)
        } else {
            self.plan.platform()
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
            self.plan.peer(number).to_string(),
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
        self.control.await_answer(listen, "/healthz").await?;
        let stamp = self.read_stamp(&log).await?;
        self.entries[number].stamp = Some(stamp.clone());
        let added = AddedInstance {
            name: stamp.to_string(),
            address: listen.to_string(),
            control: String::new(),
        };
        self.control
            .tell_platform("/control/instances", &[added])
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

    /// Where `from` reaches `to`: directly, or through a link that can be cut.
    fn peer_route(&self, from: usize, to: usize) -> SocketAddr {
        if self.options.cuttable {
            self.plan.peer_relay(from, to, self.entries.len())
        } else {
            self.plan.peer(to)
        }
    }
}

fn start_platform(
    plan: PortPlan,
    folder: &std::path::Path,
    reboot: Duration,
) -> Result<ChildProcess, DeploymentFault> {
    let listen = plan.platform().to_string();
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
