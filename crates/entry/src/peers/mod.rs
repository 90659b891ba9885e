//! The other entries: heartbeats, notices, and calls over one connection each.

mod member_book;
mod peer_answers;
mod peer_book;
mod peer_link;
mod peer_notices;

pub(crate) use {
    member_book::{HeardMember, MemberBook},
    peer_book::{PeerBook, call, start},
    peer_notices::tell_all,
};
