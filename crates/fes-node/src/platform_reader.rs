//! Executes reads and watches of the platform.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use fes_platform::PlatformClient;
use fes_platform::TicketReply;
use fes_protocol::Result;
use fes_protocol::TicketNumber;
use fes_tickets::DistributionEvent;
use fes_tickets::PlatformAnswer;
use fes_tickets::PlatformRead;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

/// Executes platform reads. At most one is in flight.
#[derive(Debug)]
pub(crate) struct PlatformReader {
    client: Rc<Mutex<PlatformClient>>,
    is_failing: Rc<Cell<bool>>,
    in_flight: RefCell<Option<JoinHandle<()>>>,
}

impl PlatformReader {
    pub(crate) fn new(client: PlatformClient) -> Self {
        Self {
            client: Rc::new(Mutex::new(client)),
            is_failing: Rc::default(),
            in_flight: RefCell::new(None),
        }
    }

    /// Starts a read and cancels the one in flight, if any.
    pub(crate) fn start(&self, read: PlatformRead, post: Rc<dyn Fn(DistributionEvent)>) {
        let client = Rc::clone(&self.client);
        let is_failing = Rc::clone(&self.is_failing);
        let task = actix_rt::spawn(async move {
            let answer = execute_read(&client, read).await;
            post(match answer {
                Ok(answer) => {
                    if is_failing.replace(false) {
                        log::info!("platform: the platform answers again");
                    }
                    DistributionEvent::PlatformAnswered(answer)
                }
                Err(e) => {
                    // One warning per outage; a metric counts all failures.
                    if is_failing.replace(true) {
                        log::debug!("platform: {e}");
                    } else {
                        log::warn!("platform: {e}");
                    }
                    DistributionEvent::PlatformFailed
                }
            });
        });
        if let Some(earlier) = self.in_flight.borrow_mut().replace(task) {
            earlier.abort();
        }
    }
}

impl Drop for PlatformReader {
    fn drop(&mut self) {
        if let Some(task) = self.in_flight.borrow_mut().take() {
            task.abort();
        }
    }
}

async fn execute_read(
    client: &Mutex<PlatformClient>,
    read: PlatformRead,
) -> Result<PlatformAnswer> {
    let mut client = client.lock().await;
    match read {
        PlatformRead::Full => {
            let reply = client.read_tickets(TicketNumber(0)).await?;
            Ok(to_answer(reply, TicketNumber(0)))
        }
        // The platform has no index of its own; ticket numbers serve as the index.
        PlatformRead::Watch {
            after_index,
            wait_ms,
        } => {
            let after = TicketNumber(after_index);
            let reply = client.watch_tickets(after, u64::from(wait_ms)).await?;
            Ok(to_answer(reply, after))
        }
    }
}

fn to_answer(reply: TicketReply, after: TicketNumber) -> PlatformAnswer {
    for rejected in &reply.rejected {
        let number = rejected.number.map(|number| number.to_string());
        let number = number.as_deref().unwrap_or("without a valid number");
        for fault in &rejected.faults {
            log::error!("platform: ticket {number} was rejected: {fault}");
        }
    }
    let last_number = reply.tickets.last().map_or(after, |ticket| ticket.number);
    let highest = reply.highest.unwrap_or(last_number);
    PlatformAnswer {
        index: highest.0,
        highest,
        tickets: reply.tickets.into_iter().map(Arc::new).collect(),
    }
}
