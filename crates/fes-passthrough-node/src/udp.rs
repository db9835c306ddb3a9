//! Binding of UDP sockets and batched receiving.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use tokio::net::UdpSocket;

use crate::contain;

/// Maximum length of a datagram from any peer, in bytes.
const MAX_DATAGRAM_BYTES: usize = 4_096;

/// Binds a UDP socket.
///
/// # Errors
///
/// Returns [`ResultCode::BindFailed`] if the address can't be bound.
pub(crate) async fn bind(address: SocketAddrV4) -> Result<UdpSocket> {
    UdpSocket::bind(address).await.map_err(|source| {
        let detail = format!("cannot bind the UDP address {address}");
        Error::io(ResultCode::BindFailed, detail, source)
    })
}

/// Calls `handle` with each received datagram. Never returns, even if `handle` panics. Socket errors, such as a destination
/// port that no process listens on, concern single datagrams and are passed to `on_error`.
pub(crate) async fn receive_all(
    socket: &UdpSocket,
    mut handle: impl FnMut(SocketAddrV4, &[u8]),
    on_error: impl Fn(&io::Error),
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        dispatch(received, &buffer, &mut handle, &on_error);
        loop {
            let received = socket.try_recv_from(&mut buffer);
            if matches!(&received, Err(e) if e.kind() == io::ErrorKind::WouldBlock) {
                break;
            }
            dispatch(received, &buffer, &mut handle, &on_error);
        }
    }
}

fn dispatch(
    received: io::Result<(usize, SocketAddr)>,
    buffer: &[u8],
    handle: &mut impl FnMut(SocketAddrV4, &[u8]),
    on_error: &impl Fn(&io::Error),
) {
    match received {
        Ok((length, SocketAddr::V4(from))) => {
            contain("datagram", || handle(from, &buffer[..length]));
        }
        // Sockets are bound to IPv4 addresses only.
        Ok((_, SocketAddr::V6(_))) => {}
        Err(error) => on_error(&error),
    }
}
