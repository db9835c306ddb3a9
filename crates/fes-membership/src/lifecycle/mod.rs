//! Life cycle of a process, `Starting → Serving → Draining → Stopped`, and its graceful stop.

mod action;
mod machine;
mod probe;
mod process;
mod source;
mod work;

pub use action::LifecycleAction;
pub use action::LifecycleEvent;
pub use machine::LifecycleMachine;
pub use machine::LifecycleSettings;
pub use machine::Role;
pub use probe::ProbeReport;
pub use process::Draining;
pub use process::Process;
pub use process::Serving;
pub use process::Starting;
pub use process::Stopped;
pub use source::DrainSource;
pub use source::DrainSources;
pub use work::CutOff;
pub use work::WorkInProgress;
