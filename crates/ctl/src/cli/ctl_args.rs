//! Command-line flags and subcommands.

use {
    clap::{Args, Parser, Subcommand, ValueEnum},
    std::path::PathBuf,
};

/// Operates a dotterelshore deployment: its table, keys, instances and waves.
#[derive(Parser)]
#[command(version, name = "dotterelshore")]
pub(crate) struct CtlArgs {
    /// Address of an entry, HOST:PORT; several, separated by commas, are tried in order.
    #[arg(
        long,
        global = true,
        env = "DOTTERELSHORE_ENTRIES",
        value_delimiter = ',',
        default_value = "127.0.0.1:4000"
    )]
    pub entry: Vec<String>,
    /// Bearer token of the operators.
    #[arg(
        long,
        global = true,
        env = "DOTTERELSHORE_OPERATOR_TOKEN",
        default_value = "",
        hide_env_values = true
    )]
    pub operator_token: String,
    /// Author of a change, as shown in the history.
    #[arg(long, global = true, env = "USER", default_value = "operator")]
    pub author: String,
    /// Print results as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// The command to run.
    #[command(subcommand)]
    pub command: CtlCommand,
}

/// A command and its arguments.
#[derive(Subcommand)]
pub(crate) enum CtlCommand {
    /// Check a declaration without contacting an entry.
    Check(DeclarationPath),
    /// Show what applying a declaration would change.
    Diff(DeclarationPath),
    /// Apply a declaration as the next revision.
    Apply {
        #[command(flatten)]
        declaration: DeclarationPath,
        /// Wait until the revision is in force at every live entry.
        #[arg(long)]
        wait: bool,
        /// Longest wait, in seconds.
        #[arg(long, default_value_t = 12)]
        wait_s: u64,
    },
    /// Show the table in force, or write it as a declaration.
    Show {
        /// Folder to write fleet.toml, teams.csv and pools.csv into.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Show the retained changes of the table.
    History,
    /// Show the usage and share of each team, the state of each pool, and waves.
    Status,
    /// Grant and withdraw API keys.
    #[command(subcommand)]
    Keys(KeyCommand),
    /// List, add, drain and move instances.
    #[command(subcommand)]
    Instances(InstanceCommand),
    /// Start, pause and watch maintenance waves.
    #[command(subcommand)]
    Waves(WaveCommand),
}

/// Path of a declaration.
#[derive(Args)]
pub(crate) struct DeclarationPath {
    /// TOML file of the declaration.
    pub file: PathBuf,
}

/// Grant and withdraw API keys.
#[derive(Subcommand)]
pub(crate) enum KeyCommand {
    /// Grant a team a new key; it is printed once and only its digest is stored.
    Grant {
        /// Name of the team.
        team: String,
    },
    /// Withdraw a key, and wait until no live entry accepts it.
    Withdraw {
        /// The key, or a prefix of its digest as printed by `show`.
        key: String,
        /// Longest wait, in seconds.
        #[arg(long, default_value_t = 5)]
        wait_s: u64,
    },
}

/// List, add, drain and move instances.
#[derive(Subcommand)]
pub(crate) enum InstanceCommand {
    /// List every instance.
    List,
    /// Record new instances from a CSV file with the columns name,kind,pool,centre,rack,address.
    Add {
        /// CSV file of the instances, with a header line.
        sheet: PathBuf,
    },
    /// Drain an instance and keep it out of service, within its pool's availability budget.
    Drain {
        /// Name of the instance.
        name: String,
    },
    /// Put a drained instance back into service.
    Resume {
        /// Name of the instance.
        name: String,
    },
    /// Drain an instance and move it to another pool.
    Move {
        /// Name of the instance.
        name: String,
        /// Name of the pool to move it to.
        pool: String,
    },
}

/// Start, pause and watch maintenance waves.
#[derive(Subcommand)]
pub(crate) enum WaveCommand {
    /// Start a wave through every instance of a pool.
    Start {
        /// Name of the new wave.
        name: String,
        /// Name of the pool.
        pool: String,
        /// Order in which instances are maintained.
        #[arg(long, value_enum, default_value_t = WaveOrderArg::RackTogether)]
        order: WaveOrderArg,
        /// Instances of the availability budget to keep unused, as a reserve for failures.
        #[arg(long, default_value_t = 0)]
        buffer: u32,
        /// Show progress until it is done.
        #[arg(long)]
        watch: bool,
    },
    /// Pause a wave; instances in progress are finished.
    Pause {
        /// Name of the wave.
        name: String,
    },
    /// Resume a paused wave.
    Resume {
        /// Name of the wave.
        name: String,
    },
    /// List every wave.
    List,
    /// Show a wave's progress until it is done.
    Watch {
        /// Name of the wave.
        name: String,
    },
}

/// Order in which the instances of a wave are maintained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum WaveOrderArg {
    /// Rack by rack, as far as the availability budget allows.
    RackTogether,
    /// Spread over racks.
    RackSpread,
    /// One instance at a time.
    OneAtATime,
}
