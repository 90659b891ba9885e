//! The last heartbeat of each entry.

use {
    crate::node::lock,
    dotterelshore_domain::{
        collections::FastMap,
        names::{EntryName, EntryStamp},
    },
    std::{
        net::SocketAddr,
        sync::Mutex,
        time::{Duration, Instant},
    },
};

/// How long an entry counts as live after its last heartbeat.
const HEARTBEAT_TTL: Duration = Duration::from_secs(3);

/// The last heartbeat received from an entry.
#[derive(Debug, Clone)]
pub(crate) struct MemberHeartbeat {
    pub(crate) stamp: EntryStamp,
    pub(crate) table_revision: u64,
    pub(crate) leaving: bool,
    pub(crate) front: SocketAddr,
    pub(crate) received_at: Instant,
}

/// The entries from which a heartbeat was received.
#[derive(Debug, Default)]
pub(crate) struct MemberRegistry {
    members: Mutex<FastMap<EntryName, MemberHeartbeat>>,
}

impl MemberRegistry {
    /// Records a heartbeat, which replaces the previous one of the same entry.
    pub(crate) fn record_heartbeat(&self, heartbeat: MemberHeartbeat) {
        lock(&self.members).insert(heartbeat.stamp.name.clone(), heartbeat);
    }

    /// Returns the address of an entry for callers, if the entry is live and not shutting down.
    pub(crate) fn front_address(&self, name: &EntryName) -> Option<SocketAddr> {
        let members = lock(&self.members);
        let member = members.get(name)?;
        let accepts_requests = !member.leaving && member.received_at.elapsed() < HEARTBEAT_TTL;
        accepts_requests.then_some(member.front)
    }

    /// Returns the entries whose last heartbeat is recent.
    pub(crate) fn live(&self) -> Vec<MemberHeartbeat> {
        let members = lock(&self.members);
        members
            .values()
            .filter(|member| member.received_at.elapsed() < HEARTBEAT_TTL)
            .cloned()
            .collect()
    }

    /// Returns the table revision that an entry incarnation last reported to have in force.
    pub(crate) fn revision_of(&self, stamp: &EntryStamp) -> Option<u64> {
        let members = lock(&self.members);
        members
            .get(&stamp.name)
            .filter(|member| member.stamp == *stamp)
            .map(|member| member.table_revision)
    }
}
