//! Phases of a recovery after all processes were lost, from their log lines.

mod distribution;
mod log_record;
mod observation;
mod phase;
mod process_log;
mod recovery;
mod render;
mod restart;

pub use distribution::Distribution;
pub use phase::Phase;
pub use phase::PhaseTimes;
pub use phase::Role;
pub use recovery::Timeline;
pub use recovery::recovery_timeline;
pub use render::render_timeline;
pub use render::timeline_to_json;
