//! Validated settings of an entry.

use {
    super::entry_args::{EntryArgs, PermitSplit, QueueDisciplineArg, TargetChoice},
    dotterelshore_domain::{
        names::{CentreName, EntryName},
        queue::QueueDiscipline,
    },
    dotterelshore_wire::peer_message::PeerAddress,
    snafu::Snafu,
    std::{fmt, net::SocketAddr, time::Duration},
};

/// Smallest length of the operators' token, in characters.
const TOKEN_CHARS_MIN: usize = 8;

/// All faults of the settings, reported together.
#[derive(Debug, Snafu)]
#[snafu(display("the settings are invalid:\n  {}", faults.join("\n  ")))]
pub(crate) struct SettingsFault {
    faults: Vec<String>,
}

/// Validated settings of an entry.
#[derive(Clone)]
pub(crate) struct EntrySettings {
    pub name: EntryName,
    pub centre: CentreName,
    pub listen: SocketAddr,
    pub peer_listen: SocketAddr,
    pub peers: Vec<PeerAddress>,
    pub platform: String,
    pub cluster: u32,
    pub operator_token: String,
    pub executor_slots: u32,
    pub worker_tasks: u32,
    pub body_bytes_max: usize,
    pub answer_bytes_max: usize,
    pub store_timeout: Duration,
    pub retry_ratio: f64,
    pub claim_retention: Duration,
    pub job_retention: Duration,
    pub task_lease: Duration,
    pub key_trust: Option<Duration>,
    pub shutdown_timeout: Duration,
    pub queue_discipline: QueueDiscipline,
    pub permit_split: PermitSplit,
    pub target_choice: TargetChoice,
    pub early_refusal: bool,
    pub spill: bool,
    pub forward: bool,
}

impl fmt::Debug for EntrySettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntrySettings")
            .field("name", &self.name)
            .field("listen", &self.listen)
            .finish_non_exhaustive()
    }
}

impl EntrySettings {
    /// Whether every entry keeps an equal share of each ceiling.
    pub(crate) fn has_fixed_permits(&self) -> bool {
        self.permit_split == PermitSplit::Fixed
    }
}

impl TryFrom<EntryArgs> for EntrySettings {
    type Error = SettingsFault;

    fn try_from(args: EntryArgs) -> Result<Self, SettingsFault> {
        let mut faults = Vec::new();
        let name = EntryName::try_from(args.name.as_str())
            .map_err(|fault| faults.push(format!("--name: {fault}")));
        let centre = CentreName::try_from(args.data_centre.as_str())
            .map_err(|fault| faults.push(format!("--data-centre: {fault}")));
        check_numbers(&args, &mut faults);
        check_addresses(&args, &mut faults);
        if args.operator_token.chars().count() < TOKEN_CHARS_MIN {
            faults.push(format!(
                "--operator-token: give at least {TOKEN_CHARS_MIN} characters"
            ));
        }
        let (Ok(name), Ok(centre), true) = (name, centre, faults.is_empty()) else {
            return Err(SettingsFault { faults });
        };
        Ok(Self {
            peers: args
                .peers
                .into_iter()
                .filter(|peer| peer.name != name)
                .collect(),
            name,
            centre,
            listen: args.listen,
            peer_listen: args.peer_listen,
            platform: args.platform,
            cluster: args.cluster,
            operator_token: args.operator_token,
            executor_slots: args.executor_slots,
            worker_tasks: args.worker_tasks,
            body_bytes_max: args.body_bytes_max,
            answer_bytes_max: args.answer_bytes_max,
            store_timeout: Duration::from_millis(args.store_timeout_ms),
            retry_ratio: args.retry_ratio,
            claim_retention: Duration::from_secs(args.claim_retention_s),
            job_retention: Duration::from_secs(args.job_retention_s),
            task_lease: Duration::from_millis(args.task_lease_ms),
            key_trust: (args.key_trust_s > 0).then(|| Duration::from_secs(args.key_trust_s)),
            shutdown_timeout: Duration::from_secs(args.shutdown_s),
            queue_discipline: match args.line_order {
                QueueDisciplineArg::WeightedFair => QueueDiscipline::WeightedFair,
                QueueDisciplineArg::FirstCome => QueueDiscipline::FirstCome,
            },
            permit_split: args.permit_split,
            target_choice: args.target_choice,
            early_refusal: args.early_refusal,
            spill: args.spill,
            forward: args.forward,
        })
    }
}

fn check_numbers(args: &EntryArgs, faults: &mut Vec<String>) {
    let positive = [
        ("--executor-slots", u64::from(args.executor_slots)),
        ("--worker-tasks", u64::from(args.worker_tasks)),
        ("--body-bytes-max", args.body_bytes_max as u64),
        ("--answer-bytes-max", args.answer_bytes_max as u64),
        ("--store-timeout-ms", args.store_timeout_ms),
        ("--claim-retention-s", args.claim_retention_s),
        ("--job-retention-s", args.job_retention_s),
        ("--task-lease-ms", args.task_lease_ms),
    ];
    for (flag, _) in positive.iter().filter(|(_, value)| *value == 0) {
        faults.push(format!("{flag}: give at least 1"));
    }
    if !(0.0..=1.0).contains(&args.retry_ratio) {
        faults.push("--retry-ratio: give a number from 0 to 1".to_owned());
    }
}

fn check_addresses(args: &EntryArgs, faults: &mut Vec<String>) {
    if args.listen == args.peer_listen {
        faults.push("--peer-listen: it must differ from --listen".to_owned());
    }
    let has_port = args
        .platform
        .rsplit_once(':')
        .is_some_and(|(_, port)| port.parse::<u16>().is_ok());
    if !has_port {
        faults.push("--platform: write HOST:PORT".to_owned());
    }
    for (index, peer) in args.peers.iter().enumerate() {
        if args.peers[..index]
            .iter()
            .any(|other| other.name == peer.name)
        {
            faults.push(format!("--peer: '{}' is named twice", peer.name));
        }
    }
}
