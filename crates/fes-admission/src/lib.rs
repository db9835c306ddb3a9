//! Deadline-aware admission, class estimates, concurrency limit and retry budget.
//!
//! [`AdmissionController`] decides for one agent which request starts, waits or is refused. It has no clock
//! and no socket: the host passes `(now, event)` and carries out the returned actions.

mod admission_controller;
mod capacity;
mod class;
mod class_table;
mod demand;
mod forecast;
mod limit;
mod message;
mod queue;
mod retry_budget;
mod running;
mod settings;
mod slow_start;

pub use admission_controller::AdmissionController;
pub use capacity::CapacityEstimator;
pub use class::ClassName;
pub use class_table::ClassIndex;
pub use class_table::ClassTable;
pub use demand::DemandEstimator;
pub use limit::ConcurrencyLimit;
pub use message::AdmissionAction;
pub use message::AdmissionEvent;
pub use message::Load;
pub use message::RequestOrigin;
pub use retry_budget::RetryBudget;
pub use settings::AdmissionSettings;
pub use settings::ClassPrior;
pub use slow_start::SlowStart;
