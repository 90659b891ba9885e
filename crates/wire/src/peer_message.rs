//! What entries tell each other.

use {
    dotterelshore_domain::{
        fleet::InstanceRecord,
        names::{EntryName, EntryStamp, JobName, PoolName, TeamName},
        table::FleetTable,
    },
    serde::{Deserialize, Serialize},
};

/// A team's demand on a pool in one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDemand {
    /// The team.
    pub team: TeamName,
    /// Waiting and running there.
    pub demand: u32,
}

/// A team's demand on a pool in one entry, and the permits to spare there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolDemand {
    /// The team.
    pub team: TeamName,
    /// Waiting and running there.
    pub demand: u32,
    /// Permits that nothing uses there.
    pub idle: u32,
}

/// What an entry that is short of a team's permits asks of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitRequest {
    /// The team.
    pub team: TeamName,
    /// Permits it lacks.
    pub lacking: u32,
    /// Permits it holds.
    pub held: u32,
    /// Waiting and running there.
    pub demand: u32,
}

/// What a team has in one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamName,
    /// Permits held.
    pub held: u32,
    /// Runs under way.
    pub running: u32,
    /// Waiting for a turn.
    pub waiting: u32,
    /// Milliseconds of slots used since the entry started.
    pub used_ms: u64,
    /// Runs that ended since the entry started.
    pub ended: u64,
    /// Refused for lateness since the entry started.
    pub late: u64,
}

/// A datagram: said again soon, so that a lost one does no harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerNotice {
    /// It lives, and has this revision of the table in force.
    Heartbeat {
        /// The table's revision.
        table_revision: u64,
        /// How long ago the table was known to be the newest, in milliseconds.
        confirmed_age_ms: u64,
        /// Whether it is shutting down.
        leaving: bool,
        /// Where callers reach it.
        front: std::net::SocketAddr,
    },
    /// What its teams would use of a pool.
    Demand {
        /// The pool.
        pool: PoolName,
        /// Whether the pool is busy enough there that the others should tell theirs.
        wanted: bool,
        /// The teams with demand, here or elsewhere.
        teams: Vec<PoolDemand>,
    },
}

/// A datagram with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerDatagram {
    /// The deployment both belong to.
    pub cluster: u32,
    /// The life of the entry that sent it.
    pub from: EntryStamp,
    /// What it says.
    pub notice: PeerNotice,
}

/// A question over a peer's connection; each has one reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerCall {
    /// Who is calling; the first call on each connection.
    Hello {
        /// The deployment the caller belongs to.
        cluster: u32,
        /// The caller.
        from: EntryStamp,
    },
    /// Asks for the table, if it is newer.
    TableAfter {
        /// The revision the caller has.
        revision: u64,
    },
    /// Asks that the instance be sent nothing more, and how much runs there.
    DrainCheck {
        /// The instance's record, marked as draining.
        record: InstanceRecord,
        /// The record's version.
        version: u64,
    },
    /// Asks the peer to hand over idle permits through the ledger.
    PermitsWanted {
        /// Who wants them.
        to: EntryStamp,
        /// What it is short of.
        wants: Vec<PermitRequest>,
    },
    /// Asks what each team has here.
    Usage,
    /// Hands over a job whose record names the peer as its home.
    JobHanded {
        /// The job.
        job: JobName,
    },
    /// Says that a cancellation was recorded.
    JobCancelled {
        /// The job.
        job: JobName,
    },
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerReply {
    /// Who answers; the reply to `Hello`.
    Welcome {
        /// The entry that answers.
        from: EntryStamp,
    },
    /// The whole table, newer than what the caller has.
    Table(Box<FleetTable>),
    /// The caller's table is as new as any here.
    TableCurrent,
    /// The instance gets nothing more from here; so many still run.
    Drained {
        /// Runs that have not ended.
        running: u32,
    },
    /// Permits handed over, by team.
    PermitsGiven(Vec<TeamDemand>),
    /// What each team has here.
    Usage(Vec<TeamUsage>),
    /// Noted.
    Noted,
    /// The caller is not of this deployment.
    Foreign,
}

/// A peer by name and address, as settings give it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// The peer.
    pub name: EntryName,
    /// Host and port, the same for UDP and TCP.
    pub address: std::net::SocketAddr,
}

/// Why a text names no peer.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("'{text}' names no peer: write NAME=IP:PORT"))]
pub struct PeerAddressFault {
    text: String,
}

impl std::str::FromStr for PeerAddress {
    type Err = PeerAddressFault;

    fn from_str(text: &str) -> Result<Self, PeerAddressFault> {
        let parsed = text.split_once('=').and_then(|(name, address)| {
            Some(Self {
                name: EntryName::try_from(name).ok()?,
                address: address.parse().ok()?,
            })
        });
        parsed.ok_or_else(|| PeerAddressFault {
            text: text.to_owned(),
        })
    }
}
