//! One daemon process.

use std::net::SocketAddr;
use std::path::Path;
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

/// Polls after which a daemon is given up; far above what a start or a drain takes.
const MAX_POLLS: usize = 3_000;

/// A running daemon; killed when dropped.
pub struct Daemon {
    child: Child,
    status_address: SocketAddr,
}

impl Daemon {
    pub fn start(binary: &str, settings: &Path, status_address: SocketAddr) -> Self {
        let child = Command::new(binary)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .spawn()
            .expect("the daemon's binary starts");
        Self {
            child,
            status_address,
        }
    }

    /// Waits until the daemon says that it serves.
    pub async fn await_ready(&mut self) {
        for _ in 0..MAX_POLLS {
            if let Some(status) = self.child.try_wait().expect("a child can be waited for") {
                panic!("the daemon at {} ended with {status}", self.status_address);
            }
            if self.is_ready().await {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the daemon at {} never became ready", self.status_address);
    }

    /// Waits until the daemon has ended by itself.
    pub async fn await_end(&mut self) -> ExitStatus {
        for _ in 0..MAX_POLLS {
            if let Some(status) = self.child.try_wait().expect("a child can be waited for") {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the daemon at {} never ended", self.status_address);
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
        kill_process(Pid::from_child(&self.child), signal).expect("own child takes signals");
    }

    async fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.status_address).await else {
            return false;
        };
        let request = b"GET /readyz HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n";
        let mut reply = Vec::new();
        let sent = stream.write_all(request).await;
        sent.is_ok()
            && stream.read_to_end(&mut reply).await.is_ok()
            && reply.starts_with(b"HTTP/1.1 200")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Both fail for a daemon that has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
