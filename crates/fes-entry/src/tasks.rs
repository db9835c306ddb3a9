//! Background tasks of an entry.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use fes_link::LinkRequest;
use fes_link::LinkServer;
use fes_link::LinkTls;
use fes_membership::TargetLivenessEvent;
use fes_membership::VmHint;
use fes_membership::VmState;
use fes_membership::lifecycle::LifecycleEvent;
use fes_node::TICKETS_KIND;
use fes_node::watch_clock;
use fes_platform::ListedVmState;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_tickets::DistributionEvent;

use crate::context::EntryContext;
use crate::data_plane::run_control;
use crate::data_plane::run_service;

/// Period at which metrics are updated and drain progress is reported.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Period at which readers poll the list of VMs. Fifteen readers make three reads per second.
const VM_LIST_POLL_PERIOD: Duration = Duration::from_secs(5);

/// Accepts links from other processes.
pub(crate) fn start_links(context: &Rc<EntryContext>, tls: &LinkTls) -> Result<LinkServer> {
    let weak = Rc::downgrade(context);
    let handler = Rc::new(move |request: LinkRequest| {
        let context = weak.upgrade();
        let serving: Pin<Box<dyn Future<Output = ()>>> = Box::pin(async move {
            match context {
                Some(context) if request.kind == TICKETS_KIND => {
                    context.tickets.serve(request).await
                }
                _ => request.responder.reject(),
            }
        });
        serving
    });
    LinkServer::start(context.settings.node.link_address, tls, handler)
}

/// Starts all tasks that run for the lifetime of the entry.
pub(crate) fn start_tasks(context: &Rc<EntryContext>) {
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
    context
        .tasks
        .spawn(async move { driver.run_timers().await });
    for index in 0..context.plane.services.len() {
        context
            .tasks
            .spawn(run_service(Rc::clone(&context.plane), index));
    }
    let control_context = Rc::clone(context);
    let on_control = move |message, from, sender| control_context.on_control(message, from, sender);
    context
        .tasks
        .spawn(run_control(Rc::clone(&context.plane), on_control));
    context.tasks.spawn(report_periodically(Rc::clone(context)));
    context.tasks.spawn(report_clock_jumps(Rc::clone(context)));
    context.tasks.spawn(poll_vm_list(Rc::clone(context)));
    context.post_tickets(DistributionEvent::Tick);
    context.post_view(TargetLivenessEvent::Tick);
}

async fn report_periodically(context: Rc<EntryContext>) {
    loop {
        context.update_metrics();
        context.post_lifecycle(LifecycleEvent::Progress(context.work_in_progress()));
        tokio::time::sleep(REPORT_PERIOD).await;
    }
}

/// Polls the list of VMs. It is only a hint about targets that should get no new flows.
async fn poll_vm_list(context: Rc<EntryContext>) {
    loop {
        tokio::time::sleep(VM_LIST_POLL_PERIOD).await;
        match context.tickets.read_vms().await {
            Ok(Some(vms)) => {
                let hints = vms.into_iter().map(|vm| VmHint {
                    vm: vm.vm,
                    state: match vm.state {
                        ListedVmState::Live => VmState::Live,
                        ListedVmState::Leaving => VmState::Leaving,
                    },
                });
                context.post_view(TargetLivenessEvent::VmList(hints.collect()));
            }
            Ok(None) => {}
            Err(e) => log::debug!("entry: reading the list of VMs failed: {e}"),
        }
    }
}

async fn report_clock_jumps(context: Rc<EntryContext>) {
    let clock = context.driver.clock();
    watch_clock(clock, |event| {
        log::warn!("entry: {}: {event:?}", ResultCode::ClockJumped);
        context.metrics.clock_jumps.inc();
        context.post_view(TargetLivenessEvent::ClockJumped);
        context.post_tickets(DistributionEvent::ClockJumped);
        context.post_lifecycle(LifecycleEvent::ClockJumped);
    })
    .await;
}
