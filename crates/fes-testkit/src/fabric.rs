//! Test double of the fabric in front of the entries of one service address.
//!
//! It forwards each client datagram to a random entry, so the datagrams of one flow reach all
//! entries. It has one socket per client, so the entries see distinct client addresses.

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fes_protocol::Error;
use fes_protocol::FastMap;
use fes_protocol::FastSet;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::task::Task;

const MAX_DATAGRAM_BYTES: usize = 65_535;
const SOCKET_BUFFER_BYTES: usize = 4 << 20;
const PERCENT: u32 = 100;

/// Counts of datagrams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FabricCounts {
    /// Datagrams forwarded to an entry.
    pub forwarded: u64,
    /// Datagrams forwarded to a client.
    pub returned: u64,
    /// Datagrams dropped: at random, to or from a blackholed entry or client, or because there is
    /// no entry.
    pub lost: u64,
}

/// A running fabric double for one service address. Clones share it.
#[derive(Debug, Clone)]
pub struct Fabric {
    address: SocketAddr,
    shared: Rc<Shared>,
    _task: Rc<Task>,
}

#[derive(Debug)]
struct Shared {
    socket: UdpSocket,
    state: RefCell<State>,
}

#[derive(Debug)]
struct State {
    entries: Vec<SocketAddr>,
    blackholed_entries: FastSet<SocketAddr>,
    blackholed_clients: FastSet<SocketAddr>,
    clients: FastMap<SocketAddr, ClientPath>,
    loss_percent: u32,
    delay_ms: u64,
    random: ChaCha8Rng,
    counts: FabricCounts,
}

#[derive(Debug)]
struct ClientPath {
    socket: Rc<UdpSocket>,
    _task: Task,
}

impl Fabric {
    /// Starts a fabric that spreads datagrams over `entries`, the client addresses of the entries.
    ///
    /// # Errors
    ///
    /// Returns [`ResultCode::BindFailed`].
    pub fn start(entries: impl IntoIterator<Item = SocketAddr>, seed: u64) -> Result<Self> {
        let socket = bind()?;
        let address = socket.local_addr().map_err(bind_failed)?;
        let shared = Rc::new(Shared {
            socket,
            state: RefCell::new(State {
                entries: entries.into_iter().collect(),
                blackholed_entries: FastSet::default(),
                blackholed_clients: FastSet::default(),
                clients: FastMap::default(),
                loss_percent: 0,
                delay_ms: 0,
                random: ChaCha8Rng::seed_from_u64(seed),
                counts: FabricCounts::default(),
            }),
        });
        let task = Task::spawn(forward_to_entries(Rc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            _task: Rc::new(task),
        })
    }

    /// Returns the service address, to which clients connect.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the entries.
    pub fn set_entries(&self, entries: impl IntoIterator<Item = SocketAddr>) {
        self.shared.state.borrow_mut().entries = entries.into_iter().collect();
    }

    /// Drops this percentage of the datagrams, in each direction.
    pub fn set_loss_percent(&self, percent: u32) {
        self.shared.state.borrow_mut().loss_percent = percent.min(PERCENT);
    }

    /// Delays each datagram by this time, in each direction.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.state.borrow_mut().delay_ms = delay_ms;
    }

    /// Drops all datagrams to and from an entry, without an error to the sender.
    pub fn blackhole_entry(&self, entry: SocketAddr) {
        let mut state = self.shared.state.borrow_mut();
        state.blackholed_entries.insert(entry);
    }

    /// Undoes [`Self::blackhole_entry`].
    pub fn restore_entry(&self, entry: SocketAddr) {
        let mut state = self.shared.state.borrow_mut();
        state.blackholed_entries.remove(&entry);
    }

    /// Removes the state of a client address and drops all its later datagrams. Its open flows
    /// never recover; flows from another port work.
    pub fn blackhole_client(&self, client: SocketAddr) {
        let mut state = self.shared.state.borrow_mut();
        state.blackholed_clients.insert(client);
        state.clients.remove(&client);
    }

    /// Gives a client a new address towards the entries, as a NAT rebinding does.
    pub fn rebind_client(&self, client: SocketAddr) {
        self.shared.state.borrow_mut().clients.remove(&client);
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> FabricCounts {
        self.shared.state.borrow().counts
    }
}

impl State {
    /// Returns the entry for a datagram of `client`, or `None` if the datagram is dropped.
    fn choose_entry(&mut self, client: SocketAddr) -> Option<SocketAddr> {
        if self.blackholed_clients.contains(&client)
            || self.drops_datagram()
            || self.entries.is_empty()
        {
            return None;
        }
        let index = self.random.random_range(0..self.entries.len());
        let entry = self.entries[index];
        (!self.blackholed_entries.contains(&entry)).then_some(entry)
    }

    fn drops_datagram(&mut self) -> bool {
        self.loss_percent > 0 && self.random.random_range(0..PERCENT) < self.loss_percent
    }
}

async fn forward_to_entries(shared: Rc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error reports that an earlier send reached a closed port; the socket remains usable.
        let Ok((length, client)) = shared.socket.recv_from(&mut buffer).await else {
            continue;
        };
        let entry = shared.state.borrow_mut().choose_entry(client);
        let path = entry.and_then(|entry| Some((entry, socket_for_client(&shared, client)?)));
        let Some((entry, socket)) = path else {
            shared.state.borrow_mut().counts.lost += 1;
            continue;
        };
        shared.state.borrow_mut().counts.forwarded += 1;
        let delay_ms = shared.state.borrow().delay_ms;
        if delay_ms == 0 {
            // A send error drops the datagram, which a network may do as well.
            let _ = socket.send_to(&buffer[..length], entry).await;
            continue;
        }
        let datagram = buffer[..length].to_vec();
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(delay_ms)).await;
            let _ = socket.send_to(&datagram, entry).await;
        });
    }
}

async fn forward_to_client(shared: Rc<Shared>, socket: Rc<UdpSocket>, client: SocketAddr) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, entry)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let (is_dropped, delay_ms) = {
            let mut state = shared.state.borrow_mut();
            let is_dropped = state.blackholed_entries.contains(&entry) || state.drops_datagram();
            let counts = &mut state.counts;
            if is_dropped {
                counts.lost += 1;
            } else {
                counts.returned += 1;
            }
            (is_dropped, state.delay_ms)
        };
        if is_dropped {
            continue;
        }
        if delay_ms == 0 {
            let _ = shared.socket.send_to(&buffer[..length], client).await;
            continue;
        }
        let datagram = buffer[..length].to_vec();
        let shared = Rc::clone(&shared);
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(delay_ms)).await;
            let _ = shared.socket.send_to(&datagram, client).await;
        });
    }
}

fn socket_for_client(shared: &Rc<Shared>, client: SocketAddr) -> Option<Rc<UdpSocket>> {
    if let Some(path) = shared.state.borrow().clients.get(&client) {
        return Some(Rc::clone(&path.socket));
    }
    let socket = Rc::new(bind().ok()?);
    let task = Task::spawn(forward_to_client(
        Rc::clone(shared),
        Rc::clone(&socket),
        client,
    ));
    let path = ClientPath {
        socket: Rc::clone(&socket),
        _task: task,
    };
    shared.state.borrow_mut().clients.insert(client, path);
    Some(socket)
}

fn bind() -> Result<UdpSocket> {
    let open = || {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        // The system may grant smaller buffers, which only causes more loss during bursts.
        let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
        let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        UdpSocket::from_std(socket.into())
    };
    open().map_err(bind_failed)
}

fn bind_failed(source: std::io::Error) -> Error {
    let detail = "the fabric double can't bind a loopback port";
    Error::io(ResultCode::BindFailed, detail, source)
}
