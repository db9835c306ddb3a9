//! Executes the actions of ticket distribution.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use fes_link::LinkPool;
use fes_link::LinkRequest;
use fes_link::TaskSet;
use fes_platform::ListedVm;
use fes_platform::PlatformClient;
use fes_protocol::ControlMessage;
use fes_protocol::NodeId;
use fes_protocol::Result;
use fes_settings::NodeSettings;
use fes_tickets::Distribution;
use fes_tickets::DistributionAction;
use fes_tickets::DistributionEvent;
use fes_tickets::DistributionSettings;
use fes_tickets::Endpoint;
use fes_tickets::NodeAddresses;
use fes_tickets::Snapshot;
use fes_tickets::TicketMessage;
use tokio::sync::Mutex;

use crate::TicketLinks;
use crate::platform_reader::PlatformReader;

/// Result of an action that the daemon has to handle itself.
#[derive(Debug, Clone)]
pub enum TicketNotification {
    /// A new snapshot is in force.
    InForce(Arc<Snapshot>),
    /// The process has the tickets that it needs to serve.
    Ready,
}

type EventHandler = Rc<dyn Fn(DistributionEvent)>;

/// Executes link messages, platform reads and digests for the ticket distribution of one process.
pub struct TicketHost {
    node: NodeId,
    distribution: Rc<RefCell<Distribution>>,
    links: Rc<TicketLinks>,
    platform: PlatformReader,
    /// Reads the list of VMs. A client of its own, because a watch occupies the connection of
    /// `platform`.
    vm_list_client: Mutex<PlatformClient>,
    post: RefCell<Option<EventHandler>>,
    tasks: TaskSet,
}

impl std::fmt::Debug for TicketHost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TicketHost").finish_non_exhaustive()
    }
}

impl TicketHost {
    /// Creates the ticket host of the process `node`.
    #[must_use]
    pub fn new(
        now: fes_protocol::MonoTime,
        node: NodeId,
        settings: &NodeSettings,
        links: LinkPool,
        random_seed: u64,
    ) -> Self {
        let distribution_settings = DistributionSettings {
            node,
            data_centre: settings.data_centre.clone(),
            seed_peers: settings.seed_peers.clone(),
            random_seed,
        };
        let client = PlatformClient::new(settings.platform_address, node.to_string());
        Self {
            node,
            distribution: Rc::new(RefCell::new(Distribution::new(now, distribution_settings))),
            links: Rc::new(TicketLinks::new(node, links)),
            platform: PlatformReader::new(client),
            vm_list_client: Mutex::new(PlatformClient::new(
                settings.platform_address,
                node.to_string(),
            )),
            post: RefCell::new(None),
            tasks: TaskSet::default(),
        }
    }

    /// Sets the handler that delivers events to the tickets component.
    pub fn on_event(&self, post: impl Fn(DistributionEvent) + 'static) {
        *self.post.borrow_mut() = Some(Rc::new(post));
    }

    /// Aborts pending link messages and drops the event handler.
    pub fn stop(&self) {
        self.tasks.abort();
        self.post.borrow_mut().take();
    }

    /// Returns the ticket distribution state.
    #[must_use]
    pub const fn distribution(&self) -> &Rc<RefCell<Distribution>> {
        &self.distribution
    }

    /// Returns the snapshot in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.distribution.borrow().snapshot()
    }

    /// Reads the list of VMs. Returns `None` if this process isn't one of the platform's readers.
    ///
    /// # Errors
    ///
    /// Returns the platform's error.
    pub async fn read_vms(&self) -> Result<Option<Vec<ListedVm>>> {
        if !self.distribution.borrow().is_reader() {
            return Ok(None);
        }
        self.vm_list_client.lock().await.read_vms().await.map(Some)
    }

    /// Returns the addresses at which a process listens, if they are known.
    #[must_use]
    pub fn addresses(&self, node: NodeId) -> Option<NodeAddresses> {
        self.distribution.borrow().directory().addresses(node)
    }

    /// Executes an action. Returns a notification if the daemon has to act on it too.
    pub fn execute(
        &self,
        action: DistributionAction,
        send_control: impl FnOnce(SocketAddr, &ControlMessage),
    ) -> Option<TicketNotification> {
        match action {
            DistributionAction::SendDigest { to, digest } => {
                if let Some(addresses) = self.addresses(to) {
                    let message = ControlMessage::TicketDigest(digest);
                    send_control(addresses.control, &message);
                }
                None
            }
            DistributionAction::Send { to, message } => {
                self.send(to, message);
                None
            }
            DistributionAction::ReadPlatform(read) => {
                if let Some(post) = self.post.borrow().clone() {
                    self.platform.start(read, post);
                }
                None
            }
            DistributionAction::InForce { snapshot, .. } => {
                Some(TicketNotification::InForce(snapshot))
            }
            DistributionAction::Ready => Some(TicketNotification::Ready),
            DistributionAction::Report(report) => {
                log::warn!("tickets: {}: {report}", report.code());
                None
            }
        }
    }

    /// Handles a link message from another process.
    pub async fn serve(&self, request: LinkRequest) {
        let Some(post) = self.post.borrow().clone() else {
            request.responder.reject();
            return;
        };
        let deliver = |from, message| post(DistributionEvent::Message { from, message });
        if let Err(e) = self.links.serve(request, deliver).await {
            log::debug!("tickets: handling a received message failed: {e}");
        }
    }

    fn send(&self, to: Endpoint, message: TicketMessage) {
        if to == Endpoint::Node(self.node) {
            return;
        }
        let Some(message) = self.links.collect_reply(to, message) else {
            return;
        };
        let address = match to {
            Endpoint::Seed(address) => Some(address),
            Endpoint::Node(node) => self.addresses(node).map(|addresses| addresses.link),
        };
        let (Some(address), Some(post)) = (address, self.post.borrow().clone()) else {
            return;
        };
        let links = Rc::clone(&self.links);
        self.tasks.spawn(async move {
            match links.send(address, &message).await {
                Ok(replies) => {
                    for message in replies {
                        post(DistributionEvent::Message { from: to, message });
                    }
                }
                Err(e) => log::debug!("tickets: sending a message to {to} failed: {e}"),
            }
        });
    }
}
