//! The flags and commands.

use {
    clap::{Args, Parser, Subcommand, ValueEnum},
    std::path::PathBuf,
};

/// Operates a dotterelshore deployment: its table, keys, instances and waves.
#[derive(Parser)]
#[command(version, name = "dotterelshore")]
pub(crate) struct CtlArgs {
    /// An entry, HOST:PORT; several separated by commas are tried in order.
    #[arg(
        long,
        global = true,
        env = "DOTTERELSHORE_ENTRIES",
        value_delimiter = ',',
        default_value = "127.0.0.1:4000"
    )]
    pub entry: Vec<String>,
    /// The operators' token.
    #[arg(
        long,
        global = true,
        env = "DOTTERELSHORE_OPERATOR_TOKEN",
        default_value = "",
        hide_env_values = true
    )]
    pub operator_token: String,
    /// Who makes the change, for the history.
    #[arg(long, global = true, env = "USER", default_value = "operator")]
    pub author: String,
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: CtlCommand,
}

/// What to do.
#[derive(Subcommand)]
pub(crate) enum CtlCommand {
    /// Check a declaration without asking any entry.
    Check(DeclarationPath),
    /// Show what applying a declaration would change.
    Diff(DeclarationPath),
    /// Apply a declaration as the next revision.
    Apply {
        #[command(flatten)]
        declaration: DeclarationPath,
        /// Wait until every live entry has it in force.
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
    /// Show the changes still kept.
    History,
    /// Show what each team is getting against its row, what is out, and what is late.
    Status,
    /// Grant and withdraw keys.
    #[command(subcommand)]
    Keys(KeyCommand),
    /// List, add, drain and move instances.
    #[command(subcommand)]
    Instances(InstanceCommand),
    /// Start, pause and watch maintenance waves.
    #[command(subcommand)]
    Waves(WaveCommand),
}

/// A declaration's TOML file.
#[derive(Args)]
pub(crate) struct DeclarationPath {
    /// The declaration's TOML file.
    pub file: PathBuf,
}

/// Grant and withdraw keys.
#[derive(Subcommand)]
pub(crate) enum KeyCommand {
    /// Grant a team a new key; it is printed once and kept nowhere.
    Grant {
        /// The team.
        team: String,
    },
    /// Withdraw a key and wait until no live entry takes it.
    Withdraw {
        /// The key, or the first letters of its digest as `show` prints it.
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
    /// Record new instances from a sheet: name,kind,pool,centre,rack,address.
    Add {
        /// The sheet.
        sheet: PathBuf,
    },
    /// Take an instance out of service, within its pool's budget.
    Drain {
        /// The instance.
        name: String,
    },
    /// Put a drained instance back.
    Resume {
        /// The instance.
        name: String,
    },
    /// Move an instance to another pool once nothing runs on it.
    Move {
        /// The instance.
        name: String,
        /// The pool.
        pool: String,
    },
}

/// Start, pause and watch maintenance waves.
#[derive(Subcommand)]
pub(crate) enum WaveCommand {
    /// Start a wave through every instance of a pool.
    Start {
        /// Its name.
        name: String,
        /// The pool.
        pool: String,
        /// Which instances go next.
        #[arg(long, value_enum, default_value_t = WaveOrderArg::RackTogether)]
        order: WaveOrderArg,
        /// Instances of the budget left unused, against failures.
        #[arg(long, default_value_t = 0)]
        buffer: u32,
        /// Show progress until it is done.
        #[arg(long)]
        watch: bool,
    },
    /// Let a wave finish what it has open and start nothing more.
    Pause {
        /// The wave.
        name: String,
    },
    /// Let a paused wave go on.
    Resume {
        /// The wave.
        name: String,
    },
    /// List every wave.
    List,
    /// Show a wave's progress until it is done.
    Watch {
        /// The wave.
        name: String,
    },
}

/// Which instances of a wave go next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum WaveOrderArg {
    /// Whole racks together, as far as the budget allows.
    RackTogether,
    /// Spread over racks.
    RackSpread,
    /// One instance at a time.
    OneAtATime,
}
