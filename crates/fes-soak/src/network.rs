//! Loopback addresses of a soak.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use crate::daemon::DaemonId;

/// Port at which entries receive packets of clients, and clients receive packets of targets.
pub const CLIENT_PORT: u16 = 8_172;
/// Port of the status address of a daemon, which answers readiness probes.
pub const READY_PORT: u16 = 8_167;
/// Port for messages between daemons.
pub const NODE_PORT: u16 = 7_720;
/// Port at which a target receives packets from its agent.
pub const TARGET_PORT: u16 = 8_165;
/// Port at which an agent receives packets from its target.
pub const FROM_TARGET_PORT: u16 = 8_162;
pub const STORE_PORT: u16 = 8_169;

/// Name of the service to which the routes lead.
pub const SERVICE: &str = "s";
/// Name of the service to which the route of the clients that reuse ports leads at times.
pub const OTHER_SERVICE: &str = "u";
/// Name of the only data centre.
pub const DATA_CENTRE: &str = "z";

/// Loopback addresses of a soak test. Concurrent soak tests use different subnets.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    /// Second byte of the addresses.
    pub subnet: u8,
}

impl Network {
    /// Returns the address of an entry.
    pub fn entry(self, index: usize) -> Ipv4Addr {
        self.address(1, index)
    }

    /// Returns the address of a target and its agent.
    pub fn target(self, index: usize) -> Ipv4Addr {
        self.address(2, index)
    }

    /// Returns the address at which a daemon receives messages.
    pub fn daemon(self, id: DaemonId) -> Ipv4Addr {
        match id {
            DaemonId::Entry(index) => self.entry(index),
            DaemonId::Agent(index) => self.target(index),
        }
    }

    /// Returns the address at which the relay receives messages for a daemon.
    pub fn alias(self, id: DaemonId) -> Ipv4Addr {
        match id {
            DaemonId::Entry(index) => self.address(5, index),
            DaemonId::Agent(index) => self.address(6, index),
        }
    }

    /// Returns the address of all clients.
    pub fn clients(self) -> Ipv4Addr {
        self.address(3, 0)
    }

    /// Returns the address of the store.
    pub fn store(self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(4, 0), STORE_PORT)
    }

    fn address(self, kind: u8, index: usize) -> Ipv4Addr {
        let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, self.subnet, kind, last)
    }
}

/// Destination address of the route for streams.
pub fn stream_destination() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Destination address of the route for non-repeatable requests.
pub fn non_repeatable_destination() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 80)
}

/// Destination address of the route that moves between services, for clients that reuse ports.
pub fn moving_destination() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_443)
}
