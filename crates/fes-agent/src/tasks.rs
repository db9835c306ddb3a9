//! Background tasks of an agent.

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

use crate::context::AgentContext;
use crate::decisions::IdempotencyEvent;
use crate::decisions::SchedulerEvent;
use crate::http3_server::accept_connections;
use crate::quic::ControlDatagram;
use crate::relay::REQUEST_KIND;
use crate::relay::serve_peer;

/// Period of the upstream connection checks. Each check reopens a lost connection.
const UPSTREAM_PROBE_PERIOD: Duration = Duration::from_millis(200);

/// Period at which load and drain progress are reported to the components.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Accepts links from other processes.
pub(crate) fn start_links(context: &Rc<AgentContext>, tls: &LinkTls) -> Result<LinkServer> {
    let weak = Rc::downgrade(context);
    let handler = Rc::new(move |request: LinkRequest| {
        let context = weak.upgrade();
        let serving: Pin<Box<dyn Future<Output = ()>>> = Box::pin(async move {
            match context {
                Some(context) => serve_link(context, request).await,
                None => request.responder.reject(),
            }
        });
        serving
    });
    LinkServer::start(context.settings.node.link_address, tls, handler)
}

async fn serve_link(context: Rc<AgentContext>, request: LinkRequest) {
    match request.kind.as_str() {
        REQUEST_KIND => serve_peer(context, request).await,
        TICKETS_KIND => context.tickets.serve(request).await,
        _ => request.responder.reject(),
    }
}

/// Starts all tasks that run for the lifetime of the agent.
pub(crate) fn start_tasks(
    context: &Rc<AgentContext>,
    datagrams: UnboundedReceiver<ControlDatagram>,
) {
    let handler_context = Rc::downgrade(context);
    context.driver.on_effect(move |effect| {
        if let Some(context) = handler_context.upgrade() {
            context.on_effect(effect);
        }
    });
    let ticket_context = Rc::downgrade(context);
    context.tickets.on_event(move |event| {
        if let Some(context) = ticket_context.upgrade() {
            context.post_tickets(event);
        }
    });
    let driver = context.driver.clone();
    context.spawn(async move { driver.run_timers().await });
    context.spawn(accept_connections(Rc::clone(context)));
    context.spawn(receive_control(Rc::clone(context), datagrams));
    context.spawn(watch_upstream(Rc::clone(context)));
    context.spawn(report_periodically(Rc::clone(context)));
    let clock_context = Rc::clone(context);
    context.spawn(async move {
        let clock = clock_context.clock();
        watch_clock(clock, |event| {
            log::warn!("agent: {}: {event:?}", ResultCode::ClockJumped);
            clock_context.metrics.clock_jumps.inc();
            clock_context.post_peers(PeerTableEvent::ClockJumped);
            clock_context.post_tickets(DistributionEvent::ClockJumped);
            clock_context.post_lifecycle(LifecycleEvent::ClockJumped);
        })
        .await;
    });
    context.post_tickets(DistributionEvent::Tick);
    context.post_peers(PeerTableEvent::Tick);
}

async fn receive_control(
    context: Rc<AgentContext>,
    mut datagrams: UnboundedReceiver<ControlDatagram>,
) {
    while let Some(datagram) = datagrams.recv().await {
        context.on_control(datagram);
    }
}

/// Keeps the upstream connection open and reports its state to admission. Every check is reported,
/// not only changes: between two checks, a request may have reported the upstream as down although
/// both checks succeed.
async fn watch_upstream(context: Rc<AgentContext>) {
    loop {
        context.post_scheduler(match context.upstream.ready().await {
            Ok(_) => SchedulerEvent::UpstreamUp,
            Err(_) => SchedulerEvent::UpstreamDown,
        });
        tokio::time::sleep(UPSTREAM_PROBE_PERIOD).await;
    }
}

/// Reports load and drain progress to the components, and updates the metrics.
async fn report_periodically(context: Rc<AgentContext>) {
    loop {
        let load = context.scheduler_status.borrow().load;
        context.post_peers(PeerTableEvent::Load(PeerLoad {
            capacity_milli: load.capacity_milli,
            demand_milli: load.demand_milli,
            queue_wait_ms: load.queue_wait_ms,
            long_wait_ms: load.long_wait_ms,
            flow_count: context.flows_open.get(),
            key_issue_ms: context.now().as_ms(),
        }));
        let spare_milli = load.capacity_milli.saturating_sub(load.demand_milli);
        context.post_idempotency(IdempotencyEvent::SpareCapacity(spare_milli));
        context.update_peers();
        context.update_metrics();
        context.post_lifecycle(LifecycleEvent::Progress(context.work_in_progress()));
        tokio::select! {
            () = tokio::time::sleep(REPORT_PERIOD) => {}
            () = work_ended_while_draining(&context) => {}
        }
    }
}

/// Waits until a request or flow ends while the agent is draining.
async fn work_ended_while_draining(context: &AgentContext) {
    loop {
        context.work_ended.notified().await;
        if context.is_draining() {
            return;
        }
    }
}
