//! Experiments on virtual time that compare policies, with reports and plots.
//!
//! [`run()`] drives the production code for routing, admission and key prefixes with seeded
//! simulations of clients, upstreams and the network. Its output is deterministic: the same
//! arguments produce the same bytes.
//!
//! [`pass_through`] does the same for pass-through flows.
//!
//! [`capacity`] measures costs on this machine instead.

pub mod capacity;
pub mod pass_through;

mod disciplines;
mod experiment;
mod experiments;
mod flows;
mod plot;
mod policy;
mod profile;
mod report;
mod run;
mod sim;
mod table;

pub use disciplines::DisciplineResult;
pub use disciplines::compare_disciplines;
pub use experiment::Experiment;
pub use plot::write_plots;
pub use plot::write_series;
pub use policy::Policy;
pub use profile::Profile;
pub use report::Bound;
pub use report::Figure;
pub use report::Report;
pub use report::Series;
pub use run::run;
