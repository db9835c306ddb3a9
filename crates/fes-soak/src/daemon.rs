//! Daemon processes, which are started, signalled and awaited by their process ID.

use std::fmt;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use fes_adapter::stand_in::SettingsValues;
use fes_adapter::stand_in::encode_settings;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::time::Duration;
use tokio::time::Instant;

use crate::network::CLIENT_PORT;
use crate::network::DATA_CENTRE;
use crate::network::FROM_TARGET_PORT;
use crate::network::NODE_PORT;
use crate::network::Network;
use crate::network::READY_PORT;
use crate::network::TARGET_PORT;

/// Number of seed entries in the settings.
const SEED_ENTRY_COUNT: usize = 3;
const STOP_GRACE_S: u32 = 6;

/// Identifies a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonId {
    /// An entry.
    Entry(usize),
    /// The agent of a target.
    Agent(usize),
}

impl fmt::Display for DaemonId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Entry(index) => write!(f, "entry-{index}"),
            Self::Agent(index) => write!(f, "agent-{index}"),
        }
    }
}

/// A daemon process. It is killed when this value is dropped.
pub struct Daemon {
    id: DaemonId,
    settings_path: PathBuf,
    /// Settings for restarts. They differ from those of the first start in `is_first_start`.
    restart_settings: String,
    has_started: bool,
    program: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    is_exit_expected: bool,
    /// Time between the exit of the process and its next start, if it is to be started again.
    restart_gap: Option<Duration>,
    exited_at: Option<Instant>,
}

impl Daemon {
    /// Writes the settings of the daemon and starts it for the first time.
    pub fn start(
        id: DaemonId,
        network: Network,
        entries: usize,
        service: &str,
        program: &Path,
        directory: &Path,
    ) -> std::io::Result<Self> {
        let name = id.to_string();
        let settings_path = directory.join(format!("{name}.toml"));
        let settings =
            |is_first_start| daemon_settings(&name, id, network, entries, service, is_first_start);
        std::fs::write(&settings_path, settings(true))?;
        let mut daemon = Self {
            id,
            settings_path,
            restart_settings: settings(false),
            has_started: false,
            program: program.into(),
            log_path: directory.join(format!("{name}.log")),
            child: None,
            is_exit_expected: false,
            restart_gap: None,
            exited_at: None,
        };
        daemon.spawn()?;
        Ok(daemon)
    }

    /// Starts the process, unless it is running. One that was told to stop is started again once
    /// it has exited.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        if self.is_running() {
            if self.is_exit_expected {
                self.restart_gap.get_or_insert(Duration::ZERO);
            }
            return Ok(());
        }
        if self.has_started {
            std::fs::write(&self.settings_path, &self.restart_settings)?;
        }
        self.has_started = true;
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path)?;
        let command = match self.id {
            DaemonId::Entry(_) => "entry",
            DaemonId::Agent(_) => "agent",
        };
        let child = Command::new(&self.program)
            .arg(command)
            .arg("--settings")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        self.is_exit_expected = false;
        self.restart_gap = None;
        self.exited_at = None;
        Ok(())
    }

    /// Restarts the process as planned: it receives SIGTERM, and [`Self::is_restart_due`] is true
    /// once it has exited and the gap has passed.
    pub fn restart(&mut self, gap_ms: u64) {
        if self.is_running() {
            self.restart_gap = Some(Duration::from_millis(gap_ms));
            self.signal(Signal::TERM);
        }
    }

    /// Returns whether the process is to be started again now.
    pub fn is_restart_due(&mut self) -> bool {
        let Some(gap) = self.restart_gap else {
            return false;
        };
        if self.is_running() {
            return false;
        }
        let exited_at = *self.exited_at.get_or_insert_with(Instant::now);
        exited_at.elapsed() >= gap
    }

    /// Sends a signal to the process, if it is running.
    pub fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        self.is_exit_expected |= matches!(signal, Signal::KILL | Signal::TERM);
        let id = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // Fails only if the process has just exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns a description of the exit of the process, if it exited without a signal from the
    /// soak.
    pub fn unexpected_exit(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok()??;
        self.child = None;
        (!self.is_exit_expected).then(|| format!("{} exited unexpectedly: {status}", self.id))
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Kills only this process, by its ID. It may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn daemon_settings(
    name: &str,
    id: DaemonId,
    network: Network,
    entries: usize,
    service: &str,
    is_first_start: bool,
) -> String {
    let (vm, target) = match id {
        DaemonId::Entry(index) => (network.entry(index), None),
        DaemonId::Agent(index) => {
            let target = (service.to_owned(), TARGET_PORT, FROM_TARGET_PORT);
            (network.target(index), Some(target))
        }
    };
    encode_settings(&SettingsValues {
        name: name.to_owned(),
        data_centre: DATA_CENTRE.to_owned(),
        is_first_start,
        vm,
        seed_entries: (0..entries.min(SEED_ENTRY_COUNT))
            .map(|i| network.entry(i))
            .collect(),
        client_port: CLIENT_PORT,
        status_port: READY_PORT,
        node_port: NODE_PORT,
        target,
        store: network.store(),
        stop_grace_s: STOP_GRACE_S,
    })
}
