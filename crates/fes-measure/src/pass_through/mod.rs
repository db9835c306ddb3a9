//! Experiment `pass-through`: the decisions on pass-through flows in virtual time, compared with
//! simpler policies and with a ceiling.
//!
//! Placement and the agents' queues run the production code. Reports, openings, slots and run times
//! are modelled; packets, losses, processes and the network aren't.

mod agent;
mod bound;
mod ceiling;
mod entry;
mod fleet;
mod flow_policy;
mod load;
mod outcome;
mod report;
mod run;
mod scenario;
mod simulation;

pub use flow_policy::FlowPolicy;
pub use load::RequestClass;
pub use report::ClassResult;
pub use report::PassThroughReport;
pub use report::PolicyResult;
pub use report::ScenarioResult;
pub use run::run_pass_through;
pub use scenario::FlowScenario;
