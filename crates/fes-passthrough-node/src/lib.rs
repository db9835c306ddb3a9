//! Lightweight daemons for pass-through flows. They add sockets, timers, signals, logs and metrics
//! to the state machines of `fes_passthrough`.

mod agent_daemon;
mod containment;
mod decision_log;
mod entry_daemon;
mod explain_logs;
mod list_plan;
mod list_watcher;
mod log_line;
mod node_context;
mod reply_era;
mod settings_watch;
mod signals;
mod status_command;
mod target_probe;
mod timeline;
mod timeline_command;
mod timing;
mod udp;

pub use agent_daemon::run_agent;
pub use containment::contain;
pub use decision_log::DecisionLog;
pub use entry_daemon::run_entry;
pub use explain_logs::Explanation;
pub use explain_logs::explain;
pub use explain_logs::render;
pub use list_plan::ListPlan;
pub use list_plan::NextRead;
pub use log_line::LogLine;
pub use node_context::NodeContext;
pub use reply_era::ReplyEra;
pub use settings_watch::load_settings;
pub use settings_watch::load_settings_at_start;
pub use status_command::fetch_status;
pub use target_probe::TargetProbe;
pub use timeline::Distribution;
pub use timeline::Phase;
pub use timeline::PhaseTimes;
pub use timeline::Role;
pub use timeline::Timeline;
pub use timeline::recovery_timeline;
pub use timeline::render_timeline;
pub use timeline::timeline_to_json;
pub use timeline_command::timeline_of_files;
