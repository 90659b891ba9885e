//! The flags and environment variables of an entry.

use {clap::Parser, dotterelshore_wire::peer_message::PeerAddress, std::net::SocketAddr};

/// An entry of dotterelshore: admits, queues and dispatches work, and maintains the fleet.
#[derive(Parser)]
#[command(version, name = "dotterelshore-entry")]
pub(crate) struct EntryArgs {
    /// Name of this entry, unique in the deployment.
    #[arg(long, env = "DOTTERELSHORE_NAME")]
    pub name: String,
    /// Data centre this entry stands in.
    #[arg(long, env = "DOTTERELSHORE_DATA_CENTRE")]
    pub data_centre: String,
    /// Where callers and operators connect, IP:PORT.
    #[arg(long, env = "DOTTERELSHORE_LISTEN", default_value = "127.0.0.1:4000")]
    pub listen: SocketAddr,
    /// Where other entries connect over TCP and UDP, IP:PORT.
    #[arg(
        long,
        env = "DOTTERELSHORE_PEER_LISTEN",
        default_value = "127.0.0.1:4001"
    )]
    pub peer_listen: SocketAddr,
    /// Another entry, NAME=IP:PORT; once for each, or separated by commas.
    #[arg(long = "peer", env = "DOTTERELSHORE_PEERS", value_delimiter = ',')]
    pub peers: Vec<PeerAddress>,
    /// The platform's service, HOST:PORT.
    #[arg(long, env = "DOTTERELSHORE_PLATFORM", default_value = "127.0.0.1:4700")]
    pub platform: String,
    /// Number that all entries of a deployment share.
    #[arg(long, env = "DOTTERELSHORE_CLUSTER", default_value_t = 1)]
    pub cluster: u32,
    /// Token that operators show.
    #[arg(long, env = "DOTTERELSHORE_OPERATOR_TOKEN", hide_env_values = true)]
    pub operator_token: String,
    /// Slots of an executor.
    #[arg(long, env = "DOTTERELSHORE_EXECUTOR_SLOTS", default_value_t = 8)]
    pub executor_slots: u32,
    /// Tasks a worker runs at once.
    #[arg(long, env = "DOTTERELSHORE_WORKER_TASKS", default_value_t = 4)]
    pub worker_tasks: u32,
    /// Largest request body taken, in bytes.
    #[arg(long, env = "DOTTERELSHORE_BODY_BYTES_MAX", default_value_t = 4 * 1024 * 1024)]
    pub body_bytes_max: usize,
    /// Largest answer passed on, in bytes.
    #[arg(long, env = "DOTTERELSHORE_ANSWER_BYTES_MAX", default_value_t = 16 * 1024 * 1024)]
    pub answer_bytes_max: usize,
    /// Longest call to the platform, in milliseconds.
    #[arg(long, env = "DOTTERELSHORE_STORE_TIMEOUT_MS", default_value_t = 1500)]
    pub store_timeout_ms: u64,
    /// Retries allowed for each first try.
    #[arg(long, env = "DOTTERELSHORE_RETRY_RATIO", default_value_t = 0.1)]
    pub retry_ratio: f64,
    /// How long identifiers of non-idempotent requests are kept, in seconds.
    #[arg(long, env = "DOTTERELSHORE_CLAIM_RETENTION_S", default_value_t = 3600)]
    pub claim_retention_s: u64,
    /// How long the record of a job that ended is kept, in seconds.
    #[arg(long, env = "DOTTERELSHORE_JOB_RETENTION_S", default_value_t = 86_400)]
    pub job_retention_s: u64,
    /// How long a task's lease lasts without renewal, in milliseconds.
    #[arg(long, env = "DOTTERELSHORE_TASK_LEASE_MS", default_value_t = 10_000)]
    pub task_lease_ms: u64,
    /// Refuse keyed work when the table was not confirmed for this long, in seconds;
    /// 0 serves on the last known table.
    #[arg(long, env = "DOTTERELSHORE_KEY_TRUST_S", default_value_t = 0)]
    pub key_trust_s: u64,
    /// Longest wait for open requests on shutdown, in seconds.
    #[arg(long, env = "DOTTERELSHORE_SHUTDOWN_S", default_value_t = 30)]
    pub shutdown_s: u64,
    /// Order in which waiting teams go: weighted-fair or first-come.
    #[arg(long, env = "DOTTERELSHORE_LINE_ORDER", value_enum, default_value_t = LineOrderArg::WeightedFair)]
    pub line_order: LineOrderArg,
    /// How ceilings are split among entries: on-demand or fixed.
    #[arg(long, env = "DOTTERELSHORE_PERMIT_SPLIT", value_enum, default_value_t = PermitSplit::OnDemand)]
    pub permit_split: PermitSplit,
    /// How targets are chosen: least-busy or round-robin.
    #[arg(long, env = "DOTTERELSHORE_TARGET_CHOICE", value_enum, default_value_t = TargetChoice::LeastBusy)]
    pub target_choice: TargetChoice,
    /// Whether a request that can't start before its deadline is refused at once.
    #[arg(long, env = "DOTTERELSHORE_EARLY_REFUSAL", default_value_t = true, action = clap::ArgAction::Set)]
    pub early_refusal: bool,
    /// Whether queues spill to the pool that their row names.
    #[arg(long, env = "DOTTERELSHORE_SPILL", default_value_t = true, action = clap::ArgAction::Set)]
    pub spill: bool,
    /// Whether a request that finds no permit free is forwarded to an entry that has some.
    #[arg(long, env = "DOTTERELSHORE_FORWARD", default_value_t = true, action = clap::ArgAction::Set)]
    pub forward: bool,
    /// Least severe events logged: error, warn, info, debug.
    #[arg(long, env = "DOTTERELSHORE_LOG", default_value = "info")]
    pub log: log::LevelFilter,
}

/// Order in which waiting teams go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum LineOrderArg {
    /// The team with least work done for its weight first.
    WeightedFair,
    /// First come, first served.
    FirstCome,
}

/// How ceilings are split among entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum PermitSplit {
    /// Permits move to where they are wanted.
    OnDemand,
    /// Every entry keeps an equal part.
    Fixed,
}

/// How targets are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum TargetChoice {
    /// The one with fewest busy slots, near ones first.
    LeastBusy,
    /// Each in turn.
    RoundRobin,
}
