//! State shared by the tasks of a daemon: settings, clock, metrics, health and decision log.

use std::path::PathBuf;
use std::sync::Arc;

use fes_kernel::ProcessClock;
use fes_passthrough::NodeSettings;
use fes_protocol::MonoTime;
use fes_telemetry::Health;
use fes_telemetry::Metrics;

use crate::decision_log::DecisionLog;

/// State shared by the tasks of a daemon.
#[derive(Debug)]
pub struct NodeContext {
    /// Settings at the start of the process.
    pub settings: NodeSettings,
    /// Settings file named on the command line, if any.
    pub settings_path: Option<PathBuf>,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Lifecycle state, as reported by the readiness page.
    pub health: Health,
    /// Decision log.
    pub decisions: DecisionLog,
    /// Identifies this run of the process.
    pub incarnation: u64,
}

impl NodeContext {
    /// Creates the context of a daemon and starts its clock.
    #[must_use]
    pub fn new(settings: NodeSettings, settings_path: Option<PathBuf>) -> Self {
        let clock = ProcessClock::start();
        let metrics = Arc::new(Metrics::default());
        // The wall clock may jump, so the process ID is included to distinguish two runs.
        let incarnation = (clock.wall().as_ms() << 16) ^ u64::from(std::process::id());
        Self {
            settings,
            settings_path,
            clock,
            decisions: DecisionLog::new(Arc::clone(&metrics)),
            metrics,
            health: Health::default(),
            incarnation,
        }
    }

    /// Returns the time since the start of the process.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }
}
