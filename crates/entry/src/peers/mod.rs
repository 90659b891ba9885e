//! Messages between entries: heartbeats and demand in datagrams, calls over one connection each.

mod member_registry;
mod peer_link;
mod peer_notices;
mod peer_registry;
mod peer_server;

pub(crate) use {
    member_registry::{MemberHeartbeat, MemberRegistry},
    peer_notices::broadcast,
    peer_registry::{PeerRegistry, call, start},
};
