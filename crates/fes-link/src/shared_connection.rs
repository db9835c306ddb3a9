//! One h2 connection that many requests share and that is opened again when needed.

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

/// After a failed attempt, others fail at once for this long, so that many waiting requests don't
/// each wait for a time-out of their own.
const FAILURE_MEMORY: Duration = Duration::from_millis(100);

/// Attempts that take longer count as failed. Covers three round trips over a slow, lossy link
/// between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A shared connection.
#[derive(Debug, Default)]
pub struct SharedConnection {
    open: RefCell<Option<Open>>,
    connecting: Mutex<()>,
    failed_until: Cell<Option<Instant>>,
    next_number: Cell<u64>,
}

#[derive(Debug)]
struct Open {
    number: u64,
    sender: SendRequest<Bytes>,
    driver: JoinHandle<()>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl SharedConnection {
    /// Returns a sender that can take a request, and opens the connection with `connect` if there
    /// is none. `connect` also returns the task that drives the connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the attempt. Nothing of a request was sent.
    pub async fn sender<F, D>(&self, connect: impl FnOnce() -> F) -> io::Result<SendRequest<Bytes>>
    where
        F: Future<Output = io::Result<(SendRequest<Bytes>, D)>>,
        D: Future<Output = ()> + 'static,
    {
        if let Some(sender) = self.ready().await {
            return Ok(sender);
        }
        let _connecting = self.connecting.lock().await;
        // Another request may have opened the connection meanwhile.
        if let Some(sender) = self.ready().await {
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
                self.keep(sender.clone(), driver);
                sender.ready().await.map_err(io::Error::other)
            }
            Ok(Err(e)) => Err(self.failed(e)),
            Err(_) => Err(self.failed(io::ErrorKind::TimedOut.into())),
        }
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.open.borrow_mut().take();
    }

    async fn ready(&self) -> Option<SendRequest<Bytes>> {
        let (number, sender) = {
            let open = self.open.borrow();
            let open = open.as_ref()?;
            (open.number, open.sender.clone())
        };
        if let Ok(sender) = sender.ready().await {
            return Some(sender);
        }
        let mut open = self.open.borrow_mut();
        // A newer connection must stay.
        open.take_if(|open| open.number == number);
        None
    }

    fn keep(&self, sender: SendRequest<Bytes>, driver: impl Future<Output = ()> + 'static) {
        let number = self.next_number.get() + 1;
        self.next_number.set(number);
        *self.open.borrow_mut() = Some(Open {
            number,
            sender,
            driver: actix_rt::spawn(driver),
        });
    }

    fn failed(&self, error: io::Error) -> io::Error {
        self.failed_until.set(Some(Instant::now() + FAILURE_MEMORY));
        error
    }
}
