//! The daemons as processes: started, signalled and awaited by their ids.

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

use crate::network::CLIENT_PORT;
use crate::network::DATA_CENTRE;
use crate::network::FROM_TARGET_PORT;
use crate::network::NODE_PORT;
use crate::network::Network;
use crate::network::READY_PORT;
use crate::network::SERVICE;
use crate::network::TARGET_PORT;

/// Entries that settings name.
const SEEDS: usize = 3;
const STOP_GRACE_S: u32 = 6;

/// A place for a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonId {
    /// An entry.
    Entry(usize),
    /// The agent beside a target.
    Agent(usize),
}

/// A daemon's process, which ends with this value.
pub struct Daemon {
    place: DaemonId,
    settings: PathBuf,
    /// Settings from the second start on.
    later_settings: String,
    was_started: bool,
    program: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    is_end_expected: bool,
}

impl Daemon {
    /// Writes the daemon's settings and starts it for the first time.
    pub fn start(
        place: DaemonId,
        network: Network,
        entries: usize,
        program: &Path,
        folder: &Path,
    ) -> std::io::Result<Self> {
        let name = match place {
            DaemonId::Entry(index) => format!("entry-{index}"),
            DaemonId::Agent(index) => format!("agent-{index}"),
        };
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(
            &settings,
            settings_text(&name, place, network, entries, true),
        )?;
        let mut daemon = Self {
            place,
            settings,
            later_settings: settings_text(&name, place, network, entries, false),
            was_started: false,
            program: program.into(),
            log: folder.join(format!("{name}.log")),
            child: None,
            is_end_expected: false,
        };
        daemon.spawn()?;
        Ok(daemon)
    }

    /// Starts the process, unless it runs.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        if self.was_started {
            std::fs::write(&self.settings, &self.later_settings)?;
        }
        self.was_started = true;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let command = match self.place {
            DaemonId::Entry(_) => "entry",
            DaemonId::Agent(_) => "agent",
        };
        let child = Command::new(&self.program)
            .arg(command)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        self.is_end_expected = false;
        Ok(())
    }

    /// Sends a signal to the process that was started last.
    pub fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        self.is_end_expected |= matches!(signal, Signal::KILL | Signal::TERM);
        let id = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // A process that has just ended can't be signalled.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns how the process ended, if it did so by itself.
    pub fn unexpected_end(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok()??;
        self.child = None;
        (!self.is_end_expected).then(|| format!("{:?} ended by itself: {status}", self.place))
    }

    fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Only this process is ended, by its id; it may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn settings_text(
    name: &str,
    place: DaemonId,
    network: Network,
    entries: usize,
    is_first: bool,
) -> String {
    let (vm, target) = match place {
        DaemonId::Entry(index) => (network.entry(index), None),
        DaemonId::Agent(index) => {
            let target = (SERVICE.to_owned(), TARGET_PORT, FROM_TARGET_PORT);
            (network.target(index), Some(target))
        }
    };
    encode_settings(&SettingsValues {
        name: name.to_owned(),
        data_centre: DATA_CENTRE.to_owned(),
        is_first_start: is_first,
        vm,
        seed_entries: (0..entries.min(SEEDS)).map(|i| network.entry(i)).collect(),
        client_port: CLIENT_PORT,
        status_port: READY_PORT,
        node_port: NODE_PORT,
        target,
        store: network.store(),
        stop_grace_s: STOP_GRACE_S,
    })
}
