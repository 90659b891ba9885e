//! Command-line flags and environment variables of an entry.

use {clap::Parser, dotterelshore_wire::peer_message::PeerAddress, std::net::SocketAddr};

/// An entry of dotterelshore: admits, queues and dispatches work, and maintains the fleet.
#[derive(Parser)]
#[command(version, name = "dotterelshore-entry")]
pub(crate) struct EntryArgs {
    /// Name of this entry, unique in the deployment.
    #[arg(long, env = "DOTTERELSHORE_NAME")]
    pub name: String,
    /// Data centre in which this entry runs.
    #[arg(long, env = "DOTTERELSHORE_DATA_CENTRE")]
    pub data_centre: String,
    /// Address on which callers and operators connect, IP:PORT.
    #[arg(long, env = "DOTTERELSHORE_LISTEN", default_value = "127.0.0.1:4000")]
    pub listen: SocketAddr,
    /// Address on which other entries connect over TCP and UDP, IP:PORT.
    #[arg(
        long,
        env = "DOTTERELSHORE_PEER_LISTEN",
        default_value = "127.0.0.1:4001"
    )]
    pub peer_listen: SocketAddr,
    /// Another entry, NAME=IP:PORT; repeat the flag or separate entries by commas.
    #[arg(long = "peer", env = "DOTTERELSHORE_PEERS", value_delimiter = ',')]
    pub peers: Vec<PeerAddress>,
    /// Address of the platform's API, HOST:PORT.
    #[arg(long, env = "DOTTERELSHORE_PLATFORM", default_value = "127.0.0.1:4700")]
    pub platform: String,
    /// Cluster number, the same for all entries of a deployment.
    #[arg(long, env = "DOTTERELSHORE_CLUSTER", default_value_t = 1)]
    pub cluster: u32,
    /// Bearer token of the operators.
    #[arg(long, env = "DOTTERELSHORE_OPERATOR_TOKEN", hide_env_values = true)]
    pub operator_token: String,
    /// Number of slots of each executor.
    #[arg(long, env = "DOTTERELSHORE_EXECUTOR_SLOTS", default_value_t = 8)]
    pub executor_slots: u32,
    /// Number of tasks each worker runs at once.
    #[arg(long, env = "DOTTERELSHORE_WORKER_TASKS", default_value_t = 4)]
    pub worker_tasks: u32,
    /// Largest accepted request body, in bytes.
    #[arg(long, env = "DOTTERELSHORE_BODY_BYTES_MAX", default_value_t = 4 * 1024 * 1024)]
    pub body_bytes_max: usize,
    /// Largest accepted response of a target, in bytes.
    #[arg(long, env = "DOTTERELSHORE_ANSWER_BYTES_MAX", default_value_t = 16 * 1024 * 1024)]
    pub answer_bytes_max: usize,
    /// Timeout of a call to the platform, in milliseconds.
    #[arg(long, env = "DOTTERELSHORE_STORE_TIMEOUT_MS", default_value_t = 1500)]
    pub store_timeout_ms: u64,
    /// Retries allowed per first attempt, as a fraction from 0 to 1.
    #[arg(long, env = "DOTTERELSHORE_RETRY_RATIO", default_value_t = 0.1)]
    pub retry_ratio: f64,
    /// Retention of the identifiers of non-idempotent requests, in seconds.
    #[arg(long, env = "DOTTERELSHORE_CLAIM_RETENTION_S", default_value_t = 3600)]
    pub claim_retention_s: u64,
    /// Retention of the records of jobs that have ended, in seconds.
    #[arg(long, env = "DOTTERELSHORE_JOB_RETENTION_S", default_value_t = 86_400)]
    pub job_retention_s: u64,
    /// Duration of a task's lease without renewal, in milliseconds.
    #[arg(long, env = "DOTTERELSHORE_TASK_LEASE_MS", default_value_t = 10_000)]
    pub task_lease_ms: u64,
    /// Refuse requests with a key if the table was not confirmed for this long, in seconds;
    /// 0 always accepts them on the last known table.
    #[arg(long, env = "DOTTERELSHORE_KEY_TRUST_S", default_value_t = 0)]
    pub key_trust_s: u64,
    /// Longest wait for open requests during shutdown, in seconds.
    #[arg(long, env = "DOTTERELSHORE_SHUTDOWN_S", default_value_t = 30)]
    pub shutdown_s: u64,
    /// Order in which waiting work is started: weighted-fair or first-come.
    #[arg(long, env = "DOTTERELSHORE_LINE_ORDER", value_enum, default_value_t = QueueDisciplineArg::WeightedFair)]
    pub line_order: QueueDisciplineArg,
    /// How ceilings are split among entries: on-demand or fixed.
    #[arg(long, env = "DOTTERELSHORE_PERMIT_SPLIT", value_enum, default_value_t = PermitSplit::OnDemand)]
    pub permit_split: PermitSplit,
    /// How targets are chosen: least-busy or round-robin.
    #[arg(long, env = "DOTTERELSHORE_TARGET_CHOICE", value_enum, default_value_t = TargetChoice::LeastBusy)]
    pub target_choice: TargetChoice,
    /// Refuse a request at once if it is not expected to start early enough for its deadline.
    #[arg(long, env = "DOTTERELSHORE_EARLY_REFUSAL", default_value_t = true, action = clap::ArgAction::Set)]
    pub early_refusal: bool,
    /// Let queues spill to the pool that their row names.
    #[arg(long, env = "DOTTERELSHORE_SPILL", default_value_t = true, action = clap::ArgAction::Set)]
    pub spill: bool,
    /// Forward a request without a free permit to an entry that has idle ones.
    #[arg(long, env = "DOTTERELSHORE_FORWARD", default_value_t = true, action = clap::ArgAction::Set)]
    pub forward: bool,
    /// Least severe level that is logged: error, warn, info or debug.
    #[arg(long, env = "DOTTERELSHORE_LOG", default_value = "info")]
    pub log: log::LevelFilter,
}

/// Order in which waiting work is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum QueueDisciplineArg {
    /// The team with the least usage for its weight goes first.
    WeightedFair,
    /// First come, first served.
    FirstCome,
}

/// How ceilings are split among entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum PermitSplit {
    /// Permits move to the entries with demand.
    OnDemand,
    /// Every entry keeps an equal share.
    Fixed,
}

/// How targets are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum TargetChoice {
    /// The target with the fewest busy slots, those in the same data centre first.
    LeastBusy,
    /// Each target in rotation.
    RoundRobin,
}
