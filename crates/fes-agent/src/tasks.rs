//! Tasks of an agent.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use fes_link::LinkRequest;
use fes_link::LinkServer;
use fes_link::LinkTls;
use fes_membership::PeerLoad;
use fes_membership::PeerTableEvent;
use fes_membership::lifecycle::LifecycleEvent;
use fes_node::TICKETS_KIND;
use fes_node::watch_clock;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_tickets::DistributionEvent;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::core::AgentCore;
use crate::decisions::KeysEvent;
use crate::decisions::WorkEvent;
use crate::http3_server::accept_connections;
use crate::quic::ControlDatagram;
use crate::relay::REQUEST_KIND;
use crate::relay::serve_peer;

/// Period at which a lost upstream connection is tried again.
const UPSTREAM_PROBE: Duration = Duration::from_millis(200);

/// Period at which load and progress are reported to the components.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Accepts links from other processes.
pub(crate) fn start_links(core: &Rc<AgentCore>, tls: &LinkTls) -> Result<LinkServer> {
    let weak = Rc::downgrade(core);
    let handler = Rc::new(move |request: LinkRequest| {
        let core = weak.upgrade();
        let serving: Pin<Box<dyn Future<Output = ()>>> = Box::pin(async move {
            match core {
                Some(core) => serve_link(core, request).await,
                None => request.responder.reject(),
            }
        });
        serving
    });
    LinkServer::start(core.settings.node.link_address, tls, handler)
}

async fn serve_link(core: Rc<AgentCore>, request: LinkRequest) {
    match request.kind.as_str() {
        REQUEST_KIND => serve_peer(core, request).await,
        TICKETS_KIND => core.tickets.serve(request).await,
        _ => request.responder.reject(),
    }
}

/// Starts all tasks that run as long as the agent.
pub(crate) fn start_tasks(core: &Rc<AgentCore>, datagrams: UnboundedReceiver<ControlDatagram>) {
    let handler_core = Rc::downgrade(core);
    core.driver.on_effect(move |effect| {
        if let Some(core) = handler_core.upgrade() {
            core.on_effect(effect);
        }
    });
    let ticket_core = Rc::downgrade(core);
    core.tickets.on_event(move |event| {
        if let Some(core) = ticket_core.upgrade() {
            core.post_tickets(event);
        }
    });
    let driver = core.driver.clone();
    core.spawn(async move { driver.run_timers().await });
    core.spawn(accept_connections(Rc::clone(core)));
    core.spawn(receive_control(Rc::clone(core), datagrams));
    core.spawn(watch_upstream(Rc::clone(core)));
    core.spawn(report(Rc::clone(core)));
    let clock_core = Rc::clone(core);
    core.spawn(async move {
        let clock = clock_core.clock();
        watch_clock(clock, |event| {
            log::warn!("agent: {}: {event:?}", ResultCode::ClockJumped);
            clock_core.metrics.clock_jumps.inc();
            clock_core.post_peers(PeerTableEvent::ClockJumped);
            clock_core.post_tickets(DistributionEvent::ClockJumped);
            clock_core.post_lifecycle(LifecycleEvent::ClockJumped);
        })
        .await;
    });
    core.post_tickets(DistributionEvent::Tick);
    core.post_peers(PeerTableEvent::Tick);
}

async fn receive_control(core: Rc<AgentCore>, mut datagrams: UnboundedReceiver<ControlDatagram>) {
    while let Some(datagram) = datagrams.recv().await {
        core.on_control(datagram);
    }
}

/// Opens the upstream connection before it is needed and tells admission whether there is one.
/// Admission hears it each time, because a request may have found the connection lost and open
/// again between two looks.
async fn watch_upstream(core: Rc<AgentCore>) {
    loop {
        core.post_work(match core.upstream.ready().await {
            Ok(_) => WorkEvent::UpstreamUp,
            Err(_) => WorkEvent::UpstreamDown,
        });
        tokio::time::sleep(UPSTREAM_PROBE).await;
    }
}

/// Tells the components what the agent carries and how a drain goes on.
async fn report(core: Rc<AgentCore>) {
    loop {
        let load = core.work.borrow().load;
        core.post_peers(PeerTableEvent::Load(PeerLoad {
            capacity_milli: load.capacity_milli,
            demand_milli: load.demand_milli,
            queue_wait_ms: load.queue_wait_ms,
            long_wait_ms: load.long_wait_ms,
            flow_count: core.flows_open.get(),
            key_issue_ms: core.now().as_ms(),
        }));
        let spare_milli = load.capacity_milli.saturating_sub(load.demand_milli);
        core.post_keys(KeysEvent::OwnSpare(spare_milli));
        core.update_peers();
        core.update_metrics();
        core.post_lifecycle(LifecycleEvent::Progress(core.work_in_progress()));
        tokio::select! {
            () = tokio::time::sleep(REPORT_PERIOD) => {}
            () = drain_progress(&core) => {}
        }
    }
}

/// Resolves when a request ends while the agent drains.
async fn drain_progress(core: &AgentCore) {
    loop {
        core.ended.notified().await;
        if core.is_draining() {
            return;
        }
    }
}
