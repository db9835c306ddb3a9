//! Tasks of an entry.

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
use fes_platform::VmHintState;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_tickets::DistributionEvent;

use crate::core::EntryCore;
use crate::data_plane::run_control;
use crate::data_plane::run_service;

/// Period at which metrics and the progress of a drain are reported.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Period at which readers ask for the list of VMs. Fifteen readers make three reads per second.
const VM_LIST_PERIOD: Duration = Duration::from_secs(5);

/// Accepts links from other processes.
pub(crate) fn start_links(core: &Rc<EntryCore>, tls: &LinkTls) -> Result<LinkServer> {
    let weak = Rc::downgrade(core);
    let handler = Rc::new(move |request: LinkRequest| {
        let core = weak.upgrade();
        let serving: Pin<Box<dyn Future<Output = ()>>> = Box::pin(async move {
            match core {
                Some(core) if request.kind == TICKETS_KIND => core.tickets.serve(request).await,
                _ => request.responder.reject(),
            }
        });
        serving
    });
    LinkServer::start(core.settings.node.link_address, tls, handler)
}

/// Starts all tasks that run as long as the entry.
pub(crate) fn start_tasks(core: &Rc<EntryCore>) {
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
    core.tasks.spawn(async move { driver.run_timers().await });
    for index in 0..core.plane.services.len() {
        core.tasks.spawn(run_service(Rc::clone(&core.plane), index));
    }
    let control_core = Rc::clone(core);
    let on_control = move |message, from, sender| control_core.on_control(message, from, sender);
    core.tasks
        .spawn(run_control(Rc::clone(&core.plane), on_control));
    core.tasks.spawn(report(Rc::clone(core)));
    core.tasks.spawn(watch(Rc::clone(core)));
    core.tasks.spawn(read_vms(Rc::clone(core)));
    core.post_tickets(DistributionEvent::Tick);
    core.post_view(TargetLivenessEvent::Tick);
}

async fn report(core: Rc<EntryCore>) {
    loop {
        core.update_metrics();
        core.post_lifecycle(LifecycleEvent::Progress(core.work_in_progress()));
        tokio::time::sleep(REPORT_PERIOD).await;
    }
}

/// Reads the list of VMs, which is only a hint about where not to place new flows.
async fn read_vms(core: Rc<EntryCore>) {
    loop {
        tokio::time::sleep(VM_LIST_PERIOD).await;
        match core.tickets.read_vms().await {
            Ok(Some(vms)) => {
                let hints = vms.into_iter().map(|vm| VmHint {
                    vm: vm.vm,
                    state: match vm.state {
                        VmHintState::Live => VmState::Live,
                        VmHintState::Leaving => VmState::Leaving,
                    },
                });
                core.post_view(TargetLivenessEvent::VmList(hints.collect()));
            }
            Ok(None) => {}
            Err(e) => log::debug!("entry: list of VMs: {e}"),
        }
    }
}

async fn watch(core: Rc<EntryCore>) {
    let clock = core.driver.clock();
    watch_clock(clock, |event| {
        log::warn!("entry: {}: {event:?}", ResultCode::ClockJumped);
        core.metrics.clock_jumps.inc();
        core.post_view(TargetLivenessEvent::ClockJumped);
        core.post_tickets(DistributionEvent::ClockJumped);
        core.post_lifecycle(LifecycleEvent::ClockJumped);
    })
    .await;
}
