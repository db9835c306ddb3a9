//! Repeated watches (long polls) of the platform, with a backoff after failures.

use std::net::SocketAddr;
use std::sync::Arc;

use fes_protocol::MonoTime;
use fes_protocol::Result;
use fes_protocol::TicketNumber;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::Backoff;
use crate::PlatformClient;
use crate::TicketReply;

const MIN_WATCH_MS: u64 = 20_000;
const MAX_WATCH_MS: u64 = 30_000;

/// Watches the platform for new tickets. The maximum duration of each watch is random, so that
/// readers that started together don't renew their watches together.
#[derive(Debug)]
pub struct Watcher {
    client: PlatformClient,
    backoff: Backoff,
    rng: ChaCha8Rng,
    started: Instant,
}

impl Watcher {
    /// Creates a watcher that sends `reader` as its name. `seed` should differ between readers.
    #[must_use]
    pub fn new(address: SocketAddr, reader: impl Into<Arc<str>>, seed: u64) -> Self {
        Self {
            client: PlatformClient::new(address, reader),
            backoff: Backoff::new(seed),
            rng: ChaCha8Rng::seed_from_u64(seed),
            started: Instant::now(),
        }
    }

    /// Watches for tickets above `after` and returns the reply. An empty reply shows that the
    /// platform is reachable. After an error or a stale reply the next call first waits for the
    /// backoff delay.
    ///
    /// # Errors
    ///
    /// Returns the error of the watch.
    pub async fn next(&mut self, after: TicketNumber) -> Result<TicketReply> {
        sleep(self.now().until(self.backoff.retry_at())).await;
        let wait_ms = self.rng.random_range(MIN_WATCH_MS..=MAX_WATCH_MS);
        let reply = self.client.watch_tickets(after, wait_ms).await;
        match &reply {
            // A platform that lost tickets replies to every watch immediately, so that watches
            // without a delay would form a busy loop.
            Ok(reply) if reply.is_stale(after) => self.backoff.record_failure(self.now()),
            Ok(_) => self.backoff.record_success(),
            Err(_) => self.backoff.record_failure(self.now()),
        }
        reply
    }

    fn now(&self) -> MonoTime {
        let elapsed = self.started.elapsed().as_micros();
        MonoTime::from_us(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}
