//! Loopback addresses of the daemons of a test.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

const CONTROL_PORT: u16 = 7_400;
const LINK_PORT: u16 = 7_401;
const STATUS_PORT: u16 = 9_100;
const CLIENT_PORT: u16 = 4_433;

/// Subnets per test process, so that concurrent processes use different ones.
const SUBNETS_PER_PROCESS: u32 = 8;

static NEXT_SUBNET: AtomicU32 = AtomicU32::new(0);

/// Loopback subnet of a fleet. Each fleet has its own, so that concurrent tests don't interfere.
#[derive(Debug, Clone, Copy)]
pub struct Subnet {
    second_octet: u8,
    third_octet: u8,
}

/// Addresses of a daemon.
#[derive(Debug, Clone, Copy)]
pub struct DaemonAddresses {
    ip: Ipv4Addr,
}

impl Subnet {
    /// Returns a subnet that no other fleet of this process has.
    pub fn unused() -> Self {
        let first = std::process::id() * SUBNETS_PER_PROCESS;
        let number = first + NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = number.to_be_bytes();
        Self {
            second_octet: 64 + high % 128,
            third_octet: low,
        }
    }

    pub fn daemon(self, number: u8) -> DaemonAddresses {
        DaemonAddresses {
            ip: Ipv4Addr::new(127, self.second_octet, self.third_octet, number),
        }
    }
}

impl DaemonAddresses {
    pub fn control(self) -> SocketAddr {
        SocketAddr::from((self.ip, CONTROL_PORT))
    }

    pub fn link(self) -> SocketAddr {
        SocketAddr::from((self.ip, LINK_PORT))
    }

    pub fn status(self) -> SocketAddr {
        SocketAddr::from((self.ip, STATUS_PORT))
    }

    pub fn client(self) -> SocketAddr {
        SocketAddr::from((self.ip, CLIENT_PORT))
    }
}
