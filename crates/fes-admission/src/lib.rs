//! Deadline-aware admission, class estimates, concurrency limit and retry budget.
//!
//! [`AdmissionController`] decides which requests of an agent start, wait or are refused. It does
//! no I/O and reads no clock: the host passes it events with the current time and carries out the
//! returned actions.

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
