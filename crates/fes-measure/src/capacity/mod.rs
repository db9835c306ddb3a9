//! Capacity: cost per role at the design size, extrapolated from costs measured on this machine.

mod budget;
mod design_size;
mod fit;
mod measurement;
mod resident_memory;
mod slope;

mod control_messages;
mod convergence;
mod datagram;
mod idempotency;
mod membership;
mod pass_through;
mod routing;
mod tickets;

mod report;
mod run;

pub use budget::Budget;
pub use budget::BudgetLine;
pub use budget::Role;
pub use design_size::DesignSize;
pub use fit::LinearFit;
pub use fit::Point;
pub use report::CapacityReport;
pub use routing::DecisionCost;
pub use routing::decision_cost;
pub use run::run_capacity;
pub use slope::Slope;
