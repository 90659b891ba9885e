//! Which entries were heard, and what they have in force.

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

/// How long an entry counts as live after it was last heard.
const LIFE_AFTER_HEARD: Duration = Duration::from_secs(3);

/// An entry as it was last heard.
#[derive(Debug, Clone)]
pub(crate) struct HeardMember {
    pub(crate) stamp: EntryStamp,
    pub(crate) table_revision: u64,
    pub(crate) leaving: bool,
    pub(crate) front: SocketAddr,
    pub(crate) heard: Instant,
}

/// The entries that were heard.
#[derive(Debug, Default)]
pub(crate) struct MemberBook {
    members: Mutex<FastMap<EntryName, HeardMember>>,
}

impl MemberBook {
    /// Notes a heartbeat.
    pub(crate) fn hear(&self, member: HeardMember) {
        lock(&self.members).insert(member.stamp.name.clone(), member);
    }

    /// Where callers reach an entry that was heard lately and is not leaving.
    pub(crate) fn front_of(&self, name: &EntryName) -> Option<SocketAddr> {
        let members = lock(&self.members);
        let member = members.get(name)?;
        let serves = !member.leaving && member.heard.elapsed() < LIFE_AFTER_HEARD;
        serves.then_some(member.front)
    }

    /// The entries heard lately.
    pub(crate) fn live(&self) -> Vec<HeardMember> {
        let members = lock(&self.members);
        members
            .values()
            .filter(|member| member.heard.elapsed() < LIFE_AFTER_HEARD)
            .cloned()
            .collect()
    }

    /// The revision that a life of an entry last said it has in force.
    pub(crate) fn revision_of(&self, stamp: &EntryStamp) -> Option<u64> {
        let members = lock(&self.members);
        members
            .get(&stamp.name)
            .filter(|member| member.stamp == *stamp)
            .map(|member| member.table_revision)
    }
}
