//! Listening addresses of a deployment's processes.

use std::net::{IpAddr, SocketAddr};

const PLATFORM_PORT: u16 = 4700;
const ENTRY_PORT_FIRST: u16 = 4100;
const PEER_PORT_FIRST: u16 = 4200;
const PLATFORM_PROXY_PORT_FIRST: u16 = 4300;
const PEER_PROXY_PORT_FIRST: u16 = 5000;
const TARGET_PORT_FIRST: u16 = 10_000;
const TARGET_PORTS_PER_POOL: u16 = 256;

/// Addresses of a deployment: one loopback address and a port range for each kind of process.
#[derive(Debug, Clone, Copy)]
pub(super) struct PortLayout {
    host: IpAddr,
}

impl PortLayout {
    /// Creates the layout for a loopback address.
    pub(super) fn new(host: IpAddr) -> Self {
        Self { host }
    }

    /// Returns the loopback address.
    pub(super) fn host(self) -> IpAddr {
        self.host
    }

    /// Returns the address at which an entry serves callers.
    pub(super) fn entry_address(self, number: usize) -> SocketAddr {
        self.address(ENTRY_PORT_FIRST, number)
    }

    /// Returns the address at which an entry serves its peers.
    pub(super) fn peer_address(self, number: usize) -> SocketAddr {
        self.address(PEER_PORT_FIRST, number)
    }

    /// Returns the address of the platform stand-in.
    pub(super) fn platform_address(self) -> SocketAddr {
        self.address(PLATFORM_PORT, 0)
    }

    /// Returns the address of the proxy from an entry to the platform.
    pub(super) fn platform_proxy_address(self, entry: usize) -> SocketAddr {
        self.address(PLATFORM_PROXY_PORT_FIRST, entry)
    }

    /// Returns the address of the proxy from one of `entries` entries to another.
    pub(super) fn peer_proxy_address(self, from: usize, to: usize, entries: usize) -> SocketAddr {
        self.address(PEER_PROXY_PORT_FIRST, from * entries + to)
    }

    /// Returns the address of the control interface of a pool's targets.
    pub(super) fn control_address(self, pool: usize) -> SocketAddr {
        self.address(TARGET_PORT_FIRST, pool * usize::from(TARGET_PORTS_PER_POOL))
    }

    /// Returns the address at which a target serves.
    pub(super) fn target_address(self, pool: usize, number: usize) -> SocketAddr {
        let control = self.control_address(pool);
        self.address(control.port(), 1 + number)
    }

    fn address(self, first: u16, number: usize) -> SocketAddr {
        SocketAddr::new(self.host, first + u16::try_from(number).unwrap_or_default())
    }
}
