//! What every daemon holds: settings, clock, metrics, health and the log of decisions.

use std::path::PathBuf;
use std::sync::Arc;

use fes_kernel::ProcessClock;
use fes_passthrough::NodeSettings;
use fes_protocol::MonoTime;
use fes_telemetry::Health;
use fes_telemetry::Metrics;

use crate::decision_log::DecisionLog;

/// Shared parts of a daemon.
#[derive(Debug)]
pub struct NodeContext {
    /// Settings at the start.
    pub settings: NodeSettings,
    /// File that was named on the command line, if one was.
    pub settings_path: Option<PathBuf>,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Phase of life.
    pub health: Health,
    /// Log of decisions.
    pub decisions: DecisionLog,
    /// Tells this run of the process from others.
    pub incarnation: u64,
}

impl NodeContext {
    /// Makes the context of a daemon that starts now.
    #[must_use]
    pub fn new(settings: NodeSettings, settings_path: Option<PathBuf>) -> Self {
        let clock = ProcessClock::start();
        let metrics = Arc::new(Metrics::default());
        // The wall clock may jump, so the process id helps to tell two runs apart.
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

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }
}
