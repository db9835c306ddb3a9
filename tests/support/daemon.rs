//! Starts and controls a daemon process in tests.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of polls while waiting for a daemon: one minute in total, far more than a start
/// or a drain takes.
const MAX_POLLS: usize = 3_000;

/// A running daemon. It is killed when dropped.
pub struct Daemon {
    binary: String,
    settings: PathBuf,
    child: Child,
    status_address: SocketAddr,
}

impl Daemon {
    pub fn start(binary: &str, settings: &Path, status_address: SocketAddr) -> Self {
        Self {
            binary: binary.to_owned(),
            settings: settings.to_owned(),
            child: spawn(binary, settings),
            status_address,
        }
    }

    /// Restarts the daemon with the same settings after it has exited.
    pub fn restart(&mut self) {
        self.child = spawn(&self.binary, &self.settings);
    }

    /// Waits until the daemon reports that it is ready.
    pub async fn await_ready(&mut self) {
        for _ in 0..MAX_POLLS {
            if let Some(status) = self.child.try_wait().expect("a child can be waited for") {
                panic!("the daemon at {} exited with {status}", self.status_address);
            }
            if self.is_ready().await {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the daemon at {} didn't become ready", self.status_address);
    }

    /// Waits until the daemon exits.
    pub async fn await_exit(&mut self) -> ExitStatus {
        for _ in 0..MAX_POLLS {
            if let Some(status) = self.child.try_wait().expect("a child can be waited for") {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the daemon at {} didn't exit", self.status_address);
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("a child can be waited for");
    }

    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal)
            .expect("a signal can be sent to a child");
    }

    /// Waits until a metric is above 0.
    pub async fn await_metric(&self, name: &str) {
        for _ in 0..MAX_POLLS {
            let reply = self.get("/metrics").await.unwrap_or_default();
            let values = reply
                .lines()
                .filter_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
            if values
                .filter_map(|value| value.parse::<f64>().ok())
                .any(|value| value > 0.0)
            {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!(
            "the daemon at {} reported no value of {name} above 0",
            self.status_address
        );
    }

    async fn is_ready(&self) -> bool {
        let reply = self.get("/readyz").await;
        reply.is_some_and(|reply| reply.starts_with("HTTP/1.1 200"))
    }

    async fn get(&self, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.status_address).await.ok()?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut reply = String::new();
        stream.read_to_string(&mut reply).await.ok()?;
        Some(reply)
    }
}

fn spawn(binary: &str, settings: &Path) -> Child {
    Command::new(binary)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .spawn()
        .expect("the daemon's binary starts")
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Both fail if the daemon has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
