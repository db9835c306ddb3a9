//! Starts and stops an agent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use fes_link::LinkPool;
use fes_link::LinkServer;
use fes_link::LinkTls;
use fes_membership::lifecycle::DrainSource;
use fes_membership::lifecycle::LifecycleEvent;
use fes_protocol::Incarnation;
use fes_protocol::Lifecycle;
use fes_protocol::NodeId;
use fes_protocol::Result;
use fes_protocol::TargetId;
use fes_protocol::Ticket;
use fes_settings::AgentSettings;
use fes_telemetry::FinishedSpan;
use fes_telemetry::StatusServer;
use fes_tickets::DistributionEvent;
use fes_tickets::Endpoint;
use fes_tickets::Snapshot;
use fes_tickets::TicketMessage;
use quinn::AsyncUdpSocket;
use quinn::VarInt;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::AgentCounters;
use crate::build::build_context;
use crate::context::AgentContext;
use crate::tasks::start_links;
use crate::tasks::start_tasks;

const H3_NO_ERROR: u32 = 0x100;

/// The agent daemon.
#[derive(Debug)]
pub struct Agent;

/// Handle of a running agent. Dropping it stops the agent immediately.
pub struct AgentHandle {
    context: Rc<AgentContext>,
    link_server: LinkServer,
    status: StatusServer,
}

impl std::fmt::Debug for AgentHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AgentHandle")
            .field("target", &self.context.settings.target)
            .finish_non_exhaustive()
    }
}

impl Agent {
    /// Starts an agent on the current Actix arbiter.
    ///
    /// # Errors
    ///
    /// Returns [`fes_protocol::ResultCode::BindFailed`] or
    /// [`fes_protocol::ResultCode::SettingsBadCertificate`].
    pub async fn start(settings: AgentSettings) -> Result<AgentHandle> {
        let identity = &settings.node.link_tls;
        let tls = LinkTls::new(
            identity.authorities.clone(),
            identity.certificates.clone(),
            identity.private_key.clone_key(),
        )?;
        let (control_sender, control_receiver) = mpsc::unbounded_channel();
        let context = build_context(settings, LinkPool::new(tls.clone()), control_sender)?;
        let link_server = start_links(&context, &tls)?;
        let status_context = Rc::downgrade(&context);
        let status = StatusServer::start(
            context.settings.node.status_address,
            Arc::clone(&context.metrics),
            context.health.clone(),
            move || {
                status_context
                    .upgrade()
                    .map_or(Value::Null, |context| context.status())
            },
        )
        .await?;
        start_tasks(&context, control_receiver);
        Ok(AgentHandle {
            context,
            link_server,
            status,
        })
    }
}

impl AgentHandle {
    /// Returns the address of the socket for encapsulated datagrams.
    #[must_use]
    pub fn agent_address(&self) -> SocketAddr {
        let bound = self.context.socket.local_addr();
        bound.unwrap_or(self.context.settings.agent_address)
    }

    /// Returns the address that accepts links from other processes.
    #[must_use]
    pub const fn link_address(&self) -> SocketAddr {
        self.link_server.address()
    }

    /// Returns the target that this agent serves.
    #[must_use]
    pub fn target(&self) -> TargetId {
        self.context.settings.target
    }

    /// Returns the incarnation of this process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.context.incarnation
    }

    /// Returns the address of the status server.
    #[must_use]
    pub const fn status_address(&self) -> SocketAddr {
        self.status.address()
    }

    /// Returns the number of peers that accept new work, as far as this agent knows.
    #[must_use]
    pub fn available_peer_count(&self) -> usize {
        let peers = self.context.peers.borrow();
        let available = peers.peers().filter(|(_, state, ..)| state.accepts_work());
        available.count()
    }

    /// Returns the lifecycle state.
    #[must_use]
    pub fn lifecycle(&self) -> Lifecycle {
        self.context.health.lifecycle()
    }

    /// Returns the tickets that are currently applied.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.context.tickets.snapshot()
    }

    /// Applies a ticket and distributes it to other processes, bypassing the platform.
    pub fn inject_ticket(&self, ticket: Arc<Ticket>) {
        let from = Endpoint::Node(NodeId::Agent(self.context.settings.target));
        let message = TicketMessage::Push(vec![ticket]);
        self.context
            .post_tickets(DistributionEvent::Message { from, message });
    }

    /// Returns the most recent finished spans, oldest first.
    #[must_use]
    pub fn recent_spans(&self) -> Vec<FinishedSpan> {
        self.context.tracer.recent_spans()
    }

    /// Returns the current counters.
    #[must_use]
    pub fn counters(&self) -> AgentCounters {
        self.context.snapshot_counters()
    }

    /// Starts a graceful shutdown: refuses new work and completes the work in progress. What is
    /// still open at the drain bound ends with an explicit error. Calling this again doesn't
    /// shorten the drain.
    pub fn stop(&self) {
        // The lifecycle component must know the work in progress when it starts the drain.
        // Otherwise it could assume that there is none.
        let progress = LifecycleEvent::Progress(self.context.work_in_progress());
        self.context.post_lifecycle(progress);
        let drain = LifecycleEvent::Drain(DrainSource::Signal);
        self.context.post_lifecycle(drain);
    }

    /// Waits until a graceful shutdown has completed; returns the exit status of the process.
    pub async fn stopped(&self) -> u8 {
        let mut exit = self.context.exit_status.subscribe();
        let status = exit.wait_for(Option::is_some).await;
        let status = status.map_or(None, |status| *status);
        let mut closed = self.context.closed.subscribe();
        // Can't fail, because `self.context` holds the sender.
        let _ = closed.wait_for(|closed| *closed).await;
        status.unwrap_or(0)
    }

    /// Shuts down gracefully and waits for completion; returns the exit status of the process.
    pub async fn drain(self) -> u8 {
        self.stop();
        self.stopped().await
    }

    /// Stops immediately without sending anything, as a crash would.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for AgentHandle {
    fn drop(&mut self) {
        let context = &self.context;
        context.socket.close();
        context.endpoint.close(VarInt::from_u32(H3_NO_ERROR), b"");
        context.upstream.close();
        context.links.close();
        context.tasks.abort();
        context.tickets.stop();
        context.requests.clear();
        context.driver.clear_effect_handler();
    }
}
