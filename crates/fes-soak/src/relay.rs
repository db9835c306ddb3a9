//! Loopback relay between the daemons, which harms their links.
//!
//! Each daemon is reached by others at an alias that belongs to the relay. A datagram to an alias
//! goes on to its daemon from the alias of the sender, so that answers come back the same way.
//! Entries reach each other directly, since they know each other's own addresses by the settings.

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

use crate::fleet::DaemonId;
use crate::network::NODE_PORT;
use crate::network::Network;

const MAX_DATAGRAM_BYTES: usize = 4_096;
/// Delayed datagrams overtake each other within this share of the delay, in percent.
const DELAY_SPREAD_PERCENT: u64 = 50;

/// Harm to the links of one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing that it sends arrives.
    DropOutgoing(DaemonId),
    /// Nothing that is sent to it arrives.
    DropIncoming(DaemonId),
    /// What it sends is late by up to this many milliseconds, and out of order.
    Delay(DaemonId, u64),
    /// Of what is sent to it, this many percent are lost.
    Loss(DaemonId, u32),
}

impl LinkFault {
    /// Returns the daemon whose links are harmed.
    pub const fn daemon(self) -> DaemonId {
        match self {
            Self::DropOutgoing(place)
            | Self::DropIncoming(place)
            | Self::Delay(place, _)
            | Self::Loss(place, _) => place,
        }
    }
}

struct Alias {
    place: DaemonId,
    real: SocketAddrV4,
    socket: UdpSocket,
}

/// The relay.
pub struct Relay {
    aliases: Vec<Alias>,
    by_real: HashMap<Ipv4Addr, usize>,
    faults: RefCell<Vec<LinkFault>>,
}

impl Relay {
    /// Starts the relay of all daemons.
    pub async fn start(
        network: Network,
        places: impl Iterator<Item = DaemonId>,
    ) -> std::io::Result<Rc<Self>> {
        let mut aliases = Vec::new();
        for place in places {
            let alias = SocketAddrV4::new(network.alias(place), NODE_PORT);
            aliases.push(Alias {
                place,
                real: SocketAddrV4::new(network.daemon(place), NODE_PORT),
                socket: UdpSocket::bind(alias).await?,
            });
        }
        let numbered = aliases.iter().enumerate();
        let by_real = numbered.map(|(index, alias)| (*alias.real.ip(), index));
        let relay = Rc::new(Self {
            by_real: by_real.collect(),
            aliases,
            faults: RefCell::default(),
        });
        for index in 0..relay.aliases.len() {
            let relay = Rc::clone(&relay);
            actix_rt::spawn(async move { relay.receive(index).await });
        }
        Ok(relay)
    }

    /// Begins to harm links.
    pub fn start_fault(&self, fault: LinkFault) {
        self.faults.borrow_mut().push(fault);
    }

    /// Mends what `start_fault` harmed.
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
            // An error here tells of a daemon that is down.
            let Ok((length, SocketAddr::V4(sender))) = received else {
                continue;
            };
            if let Some(from) = self.by_real.get(sender.ip()).copied() {
                self.pass_on(from, to, buffer[..length].to_vec());
            }
        }
    }

    fn pass_on(self: &Rc<Self>, from: usize, to: usize, datagram: Vec<u8>) {
        let Some(delay_ms) = self.delay_ms(self.aliases[from].place, self.aliases[to].place) else {
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
        let real = SocketAddr::V4(self.aliases[to].real);
        // A datagram that can't be sent is lost, as on any network.
        let _ = self.aliases[from].socket.try_send_to(datagram, real);
    }

    /// Returns the delay of a datagram in milliseconds, or nothing if it is lost.
    fn delay_ms(&self, from: DaemonId, to: DaemonId) -> Option<u64> {
        let mut random = rand::rng();
        let mut delay_ms = 0;
        for fault in &*self.faults.borrow() {
            match *fault {
                LinkFault::DropOutgoing(place) if place == from => return None,
                LinkFault::DropIncoming(place) if place == to => return None,
                LinkFault::Delay(place, by_ms) if place == from => {
                    let spread_ms = by_ms * DELAY_SPREAD_PERCENT / 100;
                    delay_ms += by_ms - random.random_range(0..=spread_ms);
                }
                LinkFault::Loss(place, percent)
                    if place == to && random.random_range(0..100) < percent =>
                {
                    return None;
                }
                _ => {}
            }
        }
        Some(delay_ms)
    }
}
