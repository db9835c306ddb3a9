//! An h2 connection that many requests share and that is reopened when needed.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// For this long after a failed attempt, further requests fail immediately, so that queued requests
/// don't each wait for a timeout of their own.
const FAILURE_BACKOFF: Duration = Duration::from_millis(100);

/// Attempts that take longer count as failed. Allows for three round trips over a slow, lossy link
/// between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client connection that is shared between requests and opened on demand.
#[derive(Debug, Default)]
pub struct SharedConnection {
    open: RefCell<Option<OpenConnection>>,
    connecting: Mutex<()>,
    failed_until: Cell<Option<Instant>>,
    last_generation: Cell<u64>,
}

#[derive(Debug)]
struct OpenConnection {
    generation: u64,
    sender: SendRequest<Bytes>,
    driver: JoinHandle<()>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl SharedConnection {
    /// Returns a sender that is ready for a request. Opens the connection with `connect` if there
    /// is none; `connect` also returns the future that drives the connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the attempt to connect. No part of a request was sent.
    pub async fn sender<F, D>(&self, connect: impl FnOnce() -> F) -> io::Result<SendRequest<Bytes>>
    where
        F: Future<Output = io::Result<(SendRequest<Bytes>, D)>>,
        D: Future<Output = ()> + 'static,
    {
        if let Some(sender) = self.ready_sender().await {
            return Ok(sender);
        }
        let _connecting = self.connecting.lock().await;
        // Another request may have opened the connection in the meantime.
        if let Some(sender) = self.ready_sender().await {
            return Ok(sender);
        }
        if self
            .failed_until
            .get()
            .is_some_and(|until| Instant::now() < until)
        {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        match tokio::time::timeout(CONNECT_TIMEOUT, connect()).await {
            Ok(Ok((sender, driver))) => {
                self.failed_until.set(None);
                self.store(sender.clone(), driver);
                sender.ready().await.map_err(io::Error::other)
            }
            Ok(Err(e)) => Err(self.record_failure(e)),
            Err(_) => Err(self.record_failure(io::ErrorKind::TimedOut.into())),
        }
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.open.borrow_mut().take();
    }

    async fn ready_sender(&self) -> Option<SendRequest<Bytes>> {
        let (generation, sender) = {
            let open = self.open.borrow();
            let open = open.as_ref()?;
            (open.generation, open.sender.clone())
        };
        if let Ok(sender) = sender.ready().await {
            return Some(sender);
        }
        let mut open = self.open.borrow_mut();
        // Another request may have replaced the connection; the new one stays.
        open.take_if(|open| open.generation == generation);
        None
    }

    fn store(&self, sender: SendRequest<Bytes>, driver: impl Future<Output = ()> + 'static) {
        let generation = self.last_generation.get() + 1;
        self.last_generation.set(generation);
        *self.open.borrow_mut() = Some(OpenConnection {
            generation,
            sender,
            driver: actix_rt::spawn(driver),
        });
    }

    fn record_failure(&self, error: io::Error) -> io::Error {
        self.failed_until
            .set(Some(Instant::now() + FAILURE_BACKOFF));
        error
    }
}
