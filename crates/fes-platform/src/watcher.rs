//! Watches the platform without end, with a delay after failures.

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

const SHORTEST_WAIT_MS: u64 = 20_000;
const LONGEST_WAIT_MS: u64 = 30_000;

/// A reader that waits for tickets. Each watch waits for a random time, so that readers that
/// started together don't renew their watches together.
#[derive(Debug)]
pub struct Watcher {
    client: PlatformClient,
    backoff: Backoff,
    random: ChaCha8Rng,
    started: Instant,
}

impl Watcher {
    /// Makes a watcher that the platform knows as `reader`. `seed` should differ between readers.
    #[must_use]
    pub fn new(address: SocketAddr, reader: impl Into<Arc<str>>, seed: u64) -> Self {
        Self {
            client: PlatformClient::new(address, reader),
            backoff: Backoff::new(seed),
            random: ChaCha8Rng::seed_from_u64(seed),
            started: Instant::now(),
        }
    }

    /// Waits for the next reply to a watch for tickets above `after`. An empty reply shows that
    /// the platform answers. After an error the next call waits before it tries again.
    ///
    /// # Errors
    ///
    /// Returns the error of the watch.
    pub async fn next(&mut self, after: TicketNumber) -> Result<TicketReply> {
        sleep(self.now().until(self.backoff.retry_at())).await;
        let wait_ms = self.random.random_range(SHORTEST_WAIT_MS..=LONGEST_WAIT_MS);
        let reply = self.client.watch_tickets(after, wait_ms).await;
        match &reply {
            // A platform that has lost tickets answers at once, also to the next watch.
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
