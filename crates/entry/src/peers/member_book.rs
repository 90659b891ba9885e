//! Which entries were heard, and what they have in force.

use {
    crate::node::lock,
    dotterelshore_domain::{
        collections::FastMap,
        names::{EntryName, EntryStamp},
    },
    std::{
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
    pub(crate) heard: Instant,
}

/// The entries that were heard.
#[derive(Debug, Default)]
pub(crate) struct MemberBook {
    members: Mutex<FastMap<EntryName, HeardMember>>,
}

impl MemberBook {
    /// Notes a heartbeat.
    pub(crate) fn hear(&self, stamp: EntryStamp, table_revision: u64, leaving: bool) {
        let member = HeardMember {
            stamp,
            table_revision,
            leaving,
            heard: Instant::now(),
        };
        lock(&self.members).insert(member.stamp.name.clone(), member);
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
