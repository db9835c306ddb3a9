//! Names of the shared components and the trait for the message enum of a daemon.

use fes_kernel::ComponentName;
use fes_membership::lifecycle::LifecycleAction;
use fes_membership::lifecycle::LifecycleEvent;
use fes_tickets::DistributionAction;
use fes_tickets::DistributionEvent;

/// The daemon itself, which executes the actions of components.
pub const HOST: ComponentName = ComponentName("host");

/// Ticket distribution.
pub const TICKETS: ComponentName = ComponentName("tickets");

/// Lifecycle of the process.
pub const LIFECYCLE: ComponentName = ComponentName("lifecycle");

/// Conversions that the shared components need from a daemon's message enum.
pub trait HostMessage:
    From<DistributionEvent>
    + From<DistributionAction>
    + From<LifecycleEvent>
    + From<LifecycleAction>
    + 'static
{
    /// Returns the event for ticket distribution, if this is one.
    fn into_tickets_event(self) -> Option<DistributionEvent>;

    /// Returns the event for the lifecycle, if this is one.
    fn into_lifecycle_event(self) -> Option<LifecycleEvent>;
}
