//! Where each process of a deployment listens.

use std::net::{IpAddr, SocketAddr};

const PLATFORM_PORT: u16 = 4700;
const ENTRY_PORT_FIRST: u16 = 4100;
const PEER_PORT_FIRST: u16 = 4200;
const PLATFORM_RELAY_FIRST: u16 = 4300;
const PEER_RELAY_FIRST: u16 = 5000;
const TARGET_PORT_FIRST: u16 = 10_000;
const TARGET_PORTS_PER_POOL: u16 = 256;

/// The addresses of a deployment: one loopback address, a port for each purpose.
#[derive(Debug, Clone, Copy)]
pub(super) struct PortPlan {
    host: IpAddr,
}

impl PortPlan {
    /// The plan on a loopback address.
    pub(super) fn new(host: IpAddr) -> Self {
        Self { host }
    }

    /// The loopback address.
    pub(super) fn host(self) -> IpAddr {
        self.host
    }

    /// Where callers reach an entry.
    pub(super) fn entry(self, number: usize) -> SocketAddr {
        self.at(ENTRY_PORT_FIRST, number)
    }

    /// Where other entries reach an entry.
    pub(super) fn peer(self, number: usize) -> SocketAddr {
        self.at(PEER_PORT_FIRST, number)
    }

    /// Where the platform answers.
    pub(super) fn platform(self) -> SocketAddr {
        self.at(PLATFORM_PORT, 0)
    }

    /// The link of an entry to the platform that can be cut.
    pub(super) fn platform_relay(self, entry: usize) -> SocketAddr {
        self.at(PLATFORM_RELAY_FIRST, entry)
    }

    /// The link from one of `entries` entries to another that can be cut.
    pub(super) fn peer_relay(self, from: usize, to: usize, entries: usize) -> SocketAddr {
        self.at(PEER_RELAY_FIRST, from * entries + to)
    }

    /// Where a pool's targets are controlled.
    pub(super) fn control(self, pool: usize) -> SocketAddr {
        self.at(TARGET_PORT_FIRST, pool * usize::from(TARGET_PORTS_PER_POOL))
    }

    /// Where a target answers.
    pub(super) fn target(self, pool: usize, number: usize) -> SocketAddr {
        let control = self.control(pool);
        self.at(control.port(), 1 + number)
    }

    fn at(self, first: u16, number: usize) -> SocketAddr {
        SocketAddr::new(self.host, first + u16::try_from(number).unwrap_or_default())
    }
}
