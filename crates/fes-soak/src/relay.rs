//! Loopback relay between the daemons, which injects link faults.
//!
//! Daemons reach each other at alias addresses, on which the relay listens. The relay forwards a
//! datagram to its daemon from the alias of the sender, so that replies take the same path. Entries
//! communicate directly, because their settings contain each other's real addresses.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use rand::Rng;
use tokio::net::UdpSocket;
use tokio::time::Duration;
use tokio::time::sleep;

use crate::daemon::DaemonId;
use crate::network::NODE_PORT;
use crate::network::Network;

const MAX_DATAGRAM_BYTES: usize = 4_096;
/// Random part of a delay, in percent. It reorders datagrams.
const DELAY_SPREAD_PERCENT: u64 = 50;

/// A fault of the links of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// All datagrams that the daemon sends are lost.
    DropOutgoing(DaemonId),
    /// All datagrams to the daemon are lost.
    DropIncoming(DaemonId),
    /// Datagrams that the daemon sends are delayed by up to this many milliseconds and reordered.
    Delay(DaemonId, u64),
    /// This percentage of the datagrams to the daemon is lost.
    Loss(DaemonId, u32),
}

impl LinkFault {
    /// Returns the daemon whose links are affected.
    pub const fn daemon(self) -> DaemonId {
        match self {
            Self::DropOutgoing(daemon)
            | Self::DropIncoming(daemon)
            | Self::Delay(daemon, _)
            | Self::Loss(daemon, _) => daemon,
        }
    }
}

struct Alias {
    daemon: DaemonId,
    daemon_address: SocketAddrV4,
    socket: UdpSocket,
}

/// The relay.
pub struct Relay {
    aliases: Vec<Alias>,
    index_by_ip: HashMap<Ipv4Addr, usize>,
    faults: RefCell<Vec<LinkFault>>,
}

impl Relay {
    /// Starts the relay between the daemons.
    pub async fn start(
        network: Network,
        daemons: impl Iterator<Item = DaemonId>,
    ) -> std::io::Result<Rc<Self>> {
        let mut aliases = Vec::new();
        for daemon in daemons {
            let alias = SocketAddrV4::new(network.alias(daemon), NODE_PORT);
            aliases.push(Alias {
                daemon,
                daemon_address: SocketAddrV4::new(network.daemon(daemon), NODE_PORT),
                socket: UdpSocket::bind(alias).await?,
            });
        }
        let numbered = aliases.iter().enumerate();
        let index_by_ip = numbered.map(|(index, alias)| (*alias.daemon_address.ip(), index));
        let relay = Rc::new(Self {
            index_by_ip: index_by_ip.collect(),
            aliases,
            faults: RefCell::default(),
        });
        for index in 0..relay.aliases.len() {
            let relay = Rc::clone(&relay);
            actix_rt::spawn(async move { relay.receive(index).await });
        }
        Ok(relay)
    }

    /// Starts a fault.
    pub fn start_fault(&self, fault: LinkFault) {
        self.faults.borrow_mut().push(fault);
    }

    /// Ends a fault.
    pub fn end_fault(&self, fault: LinkFault) {
        let mut faults = self.faults.borrow_mut();
        if let Some(index) = faults.iter().position(|other| *other == fault) {
            faults.remove(index);
        }
    }

    async fn receive(self: Rc<Self>, to: usize) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let received = self.aliases[to].socket.recv_from(&mut buffer).await;
            // An error here means that a daemon is down.
            let Ok((length, SocketAddr::V4(sender))) = received else {
                continue;
            };
            if let Some(from) = self.index_by_ip.get(sender.ip()).copied() {
                self.forward(from, to, buffer[..length].to_vec());
            }
        }
    }

    fn forward(self: &Rc<Self>, from: usize, to: usize, datagram: Vec<u8>) {
        let Some(delay_ms) = self.delay_ms(self.aliases[from].daemon, self.aliases[to].daemon)
        else {
            return;
        };
        if delay_ms == 0 {
            self.send(from, to, &datagram);
            return;
        }
        let relay = Rc::clone(self);
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(delay_ms)).await;
            relay.send(from, to, &datagram);
        });
    }

    fn send(&self, from: usize, to: usize, datagram: &[u8]) {
        let destination = SocketAddr::V4(self.aliases[to].daemon_address);
        // A datagram that can't be sent is lost, as on a real network.
        let _ = self.aliases[from].socket.try_send_to(datagram, destination);
    }

    /// Returns the delay of a datagram in milliseconds, or `None` if it is lost.
    fn delay_ms(&self, from: DaemonId, to: DaemonId) -> Option<u64> {
        let mut random = rand::rng();
        let mut delay_ms = 0;
        for fault in &*self.faults.borrow() {
            match *fault {
                LinkFault::DropOutgoing(daemon) if daemon == from => return None,
                LinkFault::DropIncoming(daemon) if daemon == to => return None,
                LinkFault::Delay(daemon, by_ms) if daemon == from => {
                    let spread_ms = by_ms * DELAY_SPREAD_PERCENT / 100;
                    delay_ms += by_ms - random.random_range(0..=spread_ms);
                }
                LinkFault::Loss(daemon, percent)
                    if daemon == to && random.random_range(0..100) < percent =>
                {
                    return None;
                }
                _ => {}
            }
        }
        Some(delay_ms)
    }
}
