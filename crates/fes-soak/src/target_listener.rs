//! TCP listener of a target's test double. An agent connects to it to find out whether the target
//! has ended.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::net::TcpListener;

/// Accepts connections at the address of a target while the target runs. The socket is closed
/// immediately when the target stops, since a new target may start at the address at once.
pub struct TargetListener {
    address: SocketAddrV4,
    listener: RefCell<Option<TcpListener>>,
}

impl TargetListener {
    /// Creates the listener, which accepts nothing yet.
    pub const fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            listener: RefCell::new(None),
        }
    }

    /// Starts to accept connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        self.listener.replace(Some(listener));
        Ok(())
    }

    /// Closes the connections that the operating system has accepted. They carry no data.
    pub fn close_connections(&self) {
        let listener = self.listener.borrow();
        while listener.as_ref().is_some_and(|l| l.accept().is_ok()) {}
    }

    /// Stops to accept connections, so that they are refused.
    pub fn stop(&self) {
        self.listener.replace(None);
    }
}
