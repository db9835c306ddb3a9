//! Carries out what the distribution of tickets decides.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use fes_link::LinkPool;
use fes_link::LinkRequest;
use fes_link::Tasks;
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

/// What the daemon itself has to do.
#[derive(Debug, Clone)]
pub enum TicketNews {
    /// A new state is in force.
    InForce(Arc<Snapshot>),
    /// The process holds what it needs to serve.
    Ready,
}

type Post = Rc<dyn Fn(DistributionEvent)>;

/// Links, platform reads and digests of one process.
pub struct TicketHost {
    node: NodeId,
    distribution: Rc<RefCell<Distribution>>,
    links: Rc<TicketLinks>,
    platform: PlatformReader,
    /// Reads the list of VMs while a watch keeps the other connection busy.
    vms: Mutex<PlatformClient>,
    post: RefCell<Option<Post>>,
    tasks: Tasks,
}

impl std::fmt::Debug for TicketHost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TicketHost").finish_non_exhaustive()
    }
}

impl TicketHost {
    /// Makes the host of the process `node`.
    #[must_use]
    pub fn new(
        now: fes_protocol::MonoTime,
        node: NodeId,
        settings: &NodeSettings,
        links: LinkPool,
        random_seed: u64,
    ) -> Self {
        let distribution = DistributionSettings {
            node,
            data_centre: settings.data_centre.clone(),
            seed_peers: settings.seed_peers.clone(),
            random_seed,
        };
        let client = PlatformClient::new(settings.platform_address, node.to_string());
        Self {
            node,
            distribution: Rc::new(RefCell::new(Distribution::new(now, distribution))),
            links: Rc::new(TicketLinks::new(node, links)),
            platform: PlatformReader::new(client),
            vms: Mutex::new(PlatformClient::new(
                settings.platform_address,
                node.to_string(),
            )),
            post: RefCell::new(None),
            tasks: Tasks::default(),
        }
    }

    /// Sets how events reach the component.
    pub fn on_event(&self, post: impl Fn(DistributionEvent) + 'static) {
        *self.post.borrow_mut() = Some(Rc::new(post));
    }

    /// Ends everything in progress.
    pub fn stop(&self) {
        self.tasks.abort();
        self.post.borrow_mut().take();
    }

    /// Returns the distribution.
    #[must_use]
    pub const fn distribution(&self) -> &Rc<RefCell<Distribution>> {
        &self.distribution
    }

    /// Returns the state in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.distribution.borrow().snapshot()
    }

    /// Reads the list of VMs, if this process is one of the platform's readers.
    ///
    /// # Errors
    ///
    /// Returns the platform's error.
    pub async fn read_vms(&self) -> Result<Option<Vec<ListedVm>>> {
        if !self.distribution.borrow().is_reader() {
            return Ok(None);
        }
        self.vms.lock().await.read_vms().await.map(Some)
    }

    /// Returns where a process listens.
    #[must_use]
    pub fn addresses(&self, node: NodeId) -> Option<NodeAddresses> {
        self.distribution.borrow().directory().addresses(node)
    }

    /// Carries out an action; returns what is left to the daemon.
    pub fn carry_out(
        &self,
        action: DistributionAction,
        send_control: impl FnOnce(SocketAddr, &ControlMessage),
    ) -> Option<TicketNews> {
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
            DistributionAction::InForce { snapshot, .. } => Some(TicketNews::InForce(snapshot)),
            DistributionAction::Ready => Some(TicketNews::Ready),
            DistributionAction::Report(report) => {
                log::warn!("tickets: {}: {report}", report.code());
                None
            }
        }
    }

    /// Serves a message of another process.
    pub async fn serve(&self, request: LinkRequest) {
        let Some(post) = self.post.borrow().clone() else {
            request.responder.reject();
            return;
        };
        let deliver = |from, message| post(DistributionEvent::Message { from, message });
        if let Err(e) = self.links.serve(request, deliver).await {
            log::debug!("tickets: message dropped: {e}");
        }
    }

    fn send(&self, to: Endpoint, message: TicketMessage) {
        if to == Endpoint::Node(self.node) {
            return;
        }
        let Some(message) = self.links.keep_answer(to, message) else {
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
                Ok(answers) => {
                    for message in answers {
                        post(DistributionEvent::Message { from: to, message });
                    }
                }
                Err(e) => log::debug!("tickets: message to {to}: {e}"),
            }
        });
    }
}
