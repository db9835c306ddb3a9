//! Messages between the entry's kernel components and its driver.

use fes_kernel::ComponentName;
use fes_membership::TargetLivenessAction;
use fes_membership::TargetLivenessEvent;
use fes_membership::lifecycle::LifecycleAction;
use fes_membership::lifecycle::LifecycleEvent;
use fes_node::HostMessage;
use fes_tickets::DistributionAction;
use fes_tickets::DistributionEvent;

/// Liveness of targets, as this entry sees it.
pub(crate) const VIEW: ComponentName = ComponentName("view");

/// Any message within the entry's kernel.
#[derive(Debug, Clone)]
pub(crate) enum EntryMessage {
    View(TargetLivenessEvent),
    ViewAction(TargetLivenessAction),
    Tickets(DistributionEvent),
    TicketsAction(DistributionAction),
    Lifecycle(LifecycleEvent),
    LifecycleAction(LifecycleAction),
}

impl From<DistributionEvent> for EntryMessage {
    fn from(event: DistributionEvent) -> Self {
        Self::Tickets(event)
    }
}

impl From<DistributionAction> for EntryMessage {
    fn from(action: DistributionAction) -> Self {
        Self::TicketsAction(action)
    }
}

impl From<LifecycleEvent> for EntryMessage {
    fn from(event: LifecycleEvent) -> Self {
        Self::Lifecycle(event)
    }
}

impl From<LifecycleAction> for EntryMessage {
    fn from(action: LifecycleAction) -> Self {
        Self::LifecycleAction(action)
    }
}

impl HostMessage for EntryMessage {
    fn into_tickets_event(self) -> Option<DistributionEvent> {
        match self {
            Self::Tickets(event) => Some(event),
            _ => None,
        }
    }

    fn into_lifecycle_event(self) -> Option<LifecycleEvent> {
        match self {
            Self::Lifecycle(event) => Some(event),
            _ => None,
        }
    }
}
