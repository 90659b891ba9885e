//! A running deployment.

use {
    super::{
        child_process::{ChildProcess, ProcessUsage},
        control_client::ControlClient,
        deployment_fault::{DeploymentFault, SystemSnafu},
        deployment_shape::DeploymentShape,
        link_proxy::ProxySwitch,
        port_layout::PortLayout,
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

/// Operator token of every deployment that the harness starts.
pub const OPERATOR_TOKEN: &str = "operators-of-the-harness";
/// Timeout for a process to respond after its start.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Options for starting a deployment.
#[derive(Debug, Clone, Default)]
pub struct DeploymentOptions {
    /// Additional command-line flags of every entry.
    pub entry_flags: Vec<String>,
    /// Whether links between entries, and to the platform, run through proxies that can be
    /// partitioned.
    pub partitionable: bool,
    /// Whether no targets are started, for measuring the cost of the control plane alone.
    pub without_targets: bool,
    /// Time that an instance is down during a reboot; zero means the stand-in's default.
    pub reboot_duration: Duration,
}

/// A caller's view of a deployment: the addresses of its entries, which stay the same when an entry
/// restarts.
#[derive(Debug, Clone)]
pub struct DeploymentView {
    /// Composition of the deployment.
    pub shape: DeploymentShape,
    /// Recorder of the load driver's events.
    pub history: HistoryWriter,
    layout: PortLayout,
}

impl DeploymentView {
    /// Returns the number of entries.
    pub fn entry_count(&self) -> usize {
        self.shape.entries
    }

    /// Returns the address at which an entry serves callers.
    pub fn entry_address(&self, number: usize) -> SocketAddr {
        self.layout.entry_address(number)
    }
}

/// An entry's process, data centre and current stamp.
#[derive(Debug)]
pub(super) struct EntryProcess {
    pub(super) name: String,
    pub(super) centre: String,
    pub(super) process: Option<ChildProcess>,
    pub(super) stamp: Option<EntryStamp>,
    pub(super) incarnation: u32,
}

/// A running deployment; its processes are killed on drop.
#[derive(Debug)]
pub struct RunningDeployment {
    /// Composition of the deployment.
    pub shape: DeploymentShape,
    /// Folder of the history and log files.
    pub folder: PathBuf,
    /// Recorder of the load driver's events.
    pub history: HistoryWriter,
    /// Operator client of all entries.
    pub operator: OperatorClient,
    pub(super) options: DeploymentOptions,
    pub(super) layout: PortLayout,
    pub(super) entries: Vec<EntryProcess>,
    #[expect(dead_code, reason = "kept so that the process is killed on drop")]
    platform: ChildProcess,
    pub(super) hosts: Vec<(String, ChildProcess)>,
    pub(super) peer_switches: Vec<(usize, usize, ProxySwitch)>,
    pub(super) platform_switches: Vec<ProxySwitch>,
    pub(super) control: ControlClient,
}

impl RunningDeployment {
    /// Starts every process, applies the table and waits until it is in force.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or the table is not in force in time.
    pub async fn start(
        shape: DeploymentShape,
        options: DeploymentOptions,
    ) -> Result<Self, DeploymentFault> {
        let mark: u32 = rand::random();
        let [first, second, third, _] = mark.to_be_bytes();
        // Every deployment has its own loopback address, so that several can run concurrently. It is
        // drawn from 16 million: with 64,000, thirty concurrent deployments sometimes collided.
        let host = IpAddr::V4(Ipv4Addr::new(
            127,
            first.max(1),
            second,
            third.clamp(1, 254),
        ));
        let layout = PortLayout::new(host);
        let folder =
            std::env::temp_dir().join(format!("dotterelshore-{}-{mark:08x}", std::process::id()));
        std::fs::create_dir_all(&folder).context(SystemSnafu {
            operation: "creating the history folder",
        })?;
        let history =
            HistoryWriter::open(Some(&folder.join("driver.jsonl"))).context(SystemSnafu {
                operation: "opening the history file",
            })?;
        let platform = start_platform(layout, &folder, options.reboot_duration)?;
        let entry_processes = (0..shape.entries).map(|number| EntryProcess {
            name: format!("entry-{}-{number}", shape.centre_of(number)),
            centre: shape.centre_of(number).to_owned(),
            process: None,
            stamp: None,
            incarnation: 0,
        });
        let entries: Vec<EntryProcess> = entry_processes.collect();
        let addresses = (0..shape.entries)
            .map(|number| layout.entry_address(number).to_string())
            .collect();
        let mut deployment = Self {
            operator: OperatorClient::new(addresses, OPERATOR_TOKEN.to_owned()),
            control: ControlClient::new(layout),
            peer_switches: Vec::new(),
            platform_switches: Vec::new(),
            hosts: Vec::new(),
            shape,
            folder,
            history,
            options,
            layout,
            entries,
            platform,
        };
        deployment
            .control
            .await_response(layout.platform_address(), "/control/counts")
            .await?;
        if deployment.options.partitionable {
            deployment.start_proxies().await?;
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

    /// Returns a caller's view of the deployment.
    pub fn view(&self) -> DeploymentView {
        DeploymentView {
            shape: self.shape.clone(),
            history: self.history.clone(),
            layout: self.layout,
        }
    }

    /// Returns the operator token.
    pub fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// Returns the number of entries.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the address at which an entry serves callers.
    pub fn entry_address(&self, number: usize) -> SocketAddr {
        self.layout.entry_address(number)
    }

    /// Returns the address at which an entry serves its peers.
    pub fn peer_address(&self, number: usize) -> SocketAddr {
        self.layout.peer_address(number)
    }

    /// Returns an entry's name.
    pub fn entry_name(&self, number: usize) -> &str {
        &self.entries[number].name
    }

    /// Returns an entry's resource usage so far; zero if it is not running.
    pub fn entry_usage(&self, number: usize) -> ProcessUsage {
        let process = self.entries[number].process.as_ref();
        process.map(ChildProcess::usage).unwrap_or_default()
    }

    /// Returns the value of an entry's unlabelled metric; zero if there is none with this name.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not respond.
    pub async fn entry_metric(&self, number: usize, name: &str) -> Result<f64, DeploymentFault> {
        let response = self
            .control
            .get(self.layout.entry_address(number), "/metrics")
            .await?;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let lines = text
            .lines()
            .filter_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        Ok(lines.filter_map(|value| value.parse::<f64>().ok()).sum())
    }

    /// Returns the numbers of the entries in a data centre.
    pub fn entries_in(&self, centre: &str) -> Vec<usize> {
        (0..self.entries.len())
            .filter(|number| self.entries[*number].centre == centre)
            .collect()
    }

    /// Returns the names of a pool's targets.
    pub fn target_names(&self, pool: &str) -> Vec<String> {
        let size = self
            .shape
            .pools
            .iter()
            .find(|shape| shape.name == pool)
            .map_or(0, |shape| shape.size);
        (0..size).map(|number| format!("{pool}-{number}")).collect()
    }

    /// Returns the address at which a target serves.
    pub fn target_address(&self, pool_number: usize, number: usize) -> SocketAddr {
        self.layout.target_address(pool_number, number)
    }

    /// Returns a pool's index in the shape.
    pub(super) fn pool_number(&self, pool: &str) -> usize {
        let pools = &self.shape.pools;
        pools
            .iter()
            .position(|shape| shape.name == pool)
            .unwrap_or_default()
    }

    /// Returns the address of the platform stand-in.
    pub fn platform_address(&self) -> SocketAddr {
        self.layout.platform_address()
    }

    /// Starts an entry's process, also after an earlier one has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not start or respond in time.
    pub async fn start_entry(&mut self, number: usize) -> Result<(), DeploymentFault> {
        let listen = self.layout.entry_address(number);
        let platform = if self.options.partitionable {
            self.layout.platform_proxy_address(number)
        } else {
            self.layout.platform_address()
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
            self.layout.peer_address(number).to_string(),
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
            .join(format!("{}.{}.log", entry.name, entry.incarnation));
        let process = ChildProcess::start("dotterelshore-entry", &args, &log);
        let process = process.context(SystemSnafu {
            operation: format!("starting {}", entry.name),
        })?;
        self.entries[number].incarnation += 1;
        self.entries[number].process = Some(process);
        self.control.await_response(listen, "/healthz").await?;
        let stamp = self.read_stamp(&log).await?;
        self.entries[number].stamp = Some(stamp.clone());
        let added = AddedInstance {
            name: stamp.to_string(),
            address: listen.to_string(),
            control: String::new(),
        };
        self.control
            .post_to_platform("/control/instances", &[added])
            .await
    }

    async fn read_stamp(&self, log: &std::path::Path) -> Result<EntryStamp, DeploymentFault> {
        let deadline = tokio::time::Instant::now() + START_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let field = text
                .split_whitespace()
                .find_map(|field| field.strip_prefix("entry="))
                .map(str::to_owned);
            if let Some(stamp) = field.and_then(|field| field.parse().ok()) {
                return Ok(stamp);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(DeploymentFault::Failed {
            message: "timed out waiting for the entry's stamp in its log".to_owned(),
        })
    }

    /// Returns the address at which `from` reaches `to`: its own, or that of the proxy between them.
    fn peer_route(&self, from: usize, to: usize) -> SocketAddr {
        if self.options.partitionable {
            self.layout.peer_proxy_address(from, to, self.entries.len())
        } else {
            self.layout.peer_address(to)
        }
    }
}

fn start_platform(
    layout: PortLayout,
    folder: &std::path::Path,
    reboot_duration: Duration,
) -> Result<ChildProcess, DeploymentFault> {
    let listen = layout.platform_address().to_string();
    let history = folder.join("platform.jsonl").display().to_string();
    let mut args = vec![
        "--listen".to_owned(),
        listen,
        "--history".to_owned(),
        history,
    ];
    if !reboot_duration.is_zero() {
        args.extend([
            "--reboot-ms".to_owned(),
            reboot_duration.as_millis().to_string(),
        ]);
    }
    let started = ChildProcess::start("standin-platform", &args, &folder.join("platform.log"));
    started.context(SystemSnafu {
        operation: "starting the platform",
    })
}
