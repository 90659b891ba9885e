//! Messages between entries.

use {
    dotterelshore_domain::{
        fleet::InstanceRecord,
        names::{EntryName, EntryStamp, JobName, PoolName, TeamName},
        table::FleetTable,
    },
    serde::{Deserialize, Serialize},
};

/// A count for one team: its demand in an entry, or the permits handed over to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamCount {
    /// The team.
    pub team: TeamName,
    /// Number of waiting and running work items, or of permits.
    #[serde(rename = "demand")]
    pub count: u32,
}

/// A team's demand on a pool in one entry, and its idle permits there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolDemand {
    /// The team.
    pub team: TeamName,
    /// Number of waiting and running work items.
    pub demand: u32,
    /// Number of unused permits.
    pub idle: u32,
}

/// A request for permits of a team, sent by an entry that lacks them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitRequest {
    /// The team.
    pub team: TeamName,
    /// Number of permits it lacks.
    pub lacking: u32,
    /// Number of permits it holds.
    pub held: u32,
    /// Number of waiting and running work items.
    pub demand: u32,
}

/// The usage of a team in one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamName,
    /// Number of permits held.
    pub held: u32,
    /// Number of runs in progress.
    pub running: u32,
    /// Number of queued work items.
    pub waiting: u32,
    /// Slot time used since the entry started, in milliseconds.
    pub used_ms: u64,
    /// Number of runs that ended since the entry started.
    pub ended: u64,
    /// Number of refusals since the entry started, because a deadline had passed or was too
    /// near.
    pub late: u64,
}

/// The content of a datagram. Notices are repeated, so that losing one does no harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerNotice {
    /// The sender is alive, with this revision of the table in force.
    Heartbeat {
        /// The table's revision.
        table_revision: u64,
        /// Time since the table was last known to be the latest, in milliseconds.
        confirmed_age_ms: u64,
        /// Whether the sender is shutting down.
        leaving: bool,
        /// Address of the sender's HTTP server for callers.
        front: std::net::SocketAddr,
    },
    /// The demand of the sender's teams on a pool.
    Demand {
        /// The pool.
        pool: PoolName,
        /// Whether the pool is so busy there that the other entries should report their
        /// demand.
        wanted: bool,
        /// The teams with demand, at the sender or elsewhere.
        teams: Vec<PoolDemand>,
    },
}

/// A datagram with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerDatagram {
    /// Identifier of the sender's deployment.
    pub cluster: u32,
    /// The sending entry.
    pub from: EntryStamp,
    /// The content.
    pub notice: PeerNotice,
}

/// A call over a peer connection; each has one reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerCall {
    /// Identifies the caller; the first call on each connection.
    Hello {
        /// Identifier of the caller's deployment.
        cluster: u32,
        /// The caller.
        from: EntryStamp,
    },
    /// Requests the table if it is newer than the caller's.
    TableAfter {
        /// The revision of the caller's table.
        revision: u64,
    },
    /// Asks the peer to send no more work to the instance and to report the number of its
    /// runs there.
    DrainCheck {
        /// The instance's record, marked as draining.
        record: InstanceRecord,
        /// The record's version.
        version: u64,
    },
    /// Requests the transfer of idle permits through the ledger.
    PermitsWanted {
        /// The requesting entry.
        to: EntryStamp,
        /// The permits requested, by team.
        wants: Vec<PermitRequest>,
    },
    /// Requests the usage of each team.
    Usage,
    /// Hands over a job whose record names the peer as its owner.
    JobHanded {
        /// The job.
        job: JobName,
    },
    /// Notifies the peer that the cancellation of a job was recorded.
    JobCancelled {
        /// The job.
        job: JobName,
    },
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerReply {
    /// Identifies the responder; the reply to `Hello`.
    Welcome {
        /// The responding entry.
        from: EntryStamp,
    },
    /// The complete table, newer than the caller's.
    Table(Box<FleetTable>),
    /// The caller's table is not older than the responder's.
    TableCurrent,
    /// The responder sends no more work to the instance.
    Drained {
        /// Number of its runs on the instance that have not ended.
        running: u32,
    },
    /// Permits handed over, by team.
    PermitsGiven(Vec<TeamCount>),
    /// The usage of each team.
    Usage(Vec<TeamUsage>),
    /// The call was received; it has no result.
    Noted,
    /// The caller belongs to another deployment.
    Foreign,
}

/// The name and address of a peer, as given in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Name of the peer.
    pub name: EntryName,
    /// Host and port, the same for UDP and TCP.
    pub address: std::net::SocketAddr,
}

/// Error for a text that is not a valid peer address.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("'{text}' is not a peer address: expected NAME=IP:PORT"))]
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
