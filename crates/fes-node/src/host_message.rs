//! Names of the shared components, and their messages within a daemon's message enum.

use fes_kernel::ComponentName;
use fes_membership::lifecycle::LifecycleAction;
use fes_membership::lifecycle::LifecycleEvent;
use fes_tickets::DistributionAction;
use fes_tickets::DistributionEvent;

/// The daemon itself, which carries out actions.
pub const HOST: ComponentName = ComponentName("host");

/// Distribution of tickets.
pub const TICKETS: ComponentName = ComponentName("tickets");

/// Life cycle of the process.
pub const LIFECYCLE: ComponentName = ComponentName("lifecycle");

/// A daemon's message enum, as far as the shared components need it.
pub trait HostMessage:
    From<DistributionEvent>
    + From<DistributionAction>
    + From<LifecycleEvent>
    + From<LifecycleAction>
    + 'static
{
    /// Returns the event for the distribution of tickets, if this is one.
    fn into_tickets_event(self) -> Option<DistributionEvent>;

    /// Returns the event for the life cycle, if this is one.
    fn into_lifecycle_event(self) -> Option<LifecycleEvent>;
}
