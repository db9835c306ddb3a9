//! UDP sockets for encapsulated and client datagrams.

use std::net::SocketAddr;

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::net::UdpSocket;

/// Requested size of the socket buffers, in bytes: room for a burst of a few thousand datagrams
/// while the process handles other work. The operating system may grant less.
const SOCKET_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Binds a non-blocking UDP socket with large buffers.
///
/// # Errors
///
/// Returns [`ResultCode::BindFailed`].
pub fn bind_udp(address: SocketAddr) -> Result<UdpSocket> {
    try_bind(address).map_err(|e| {
        Error::io(
            ResultCode::BindFailed,
            format!("binding UDP {address} failed"),
            e,
        )
    })
}

fn try_bind(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    // The operating system's limit may be lower; the socket works with smaller buffers.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}
