//! What the life cycle reacts to and what a daemon has to do.

use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;

use super::CutOff;
use super::DrainSource;
use super::WorkInProgress;

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The process is ready: it listens, and holds tickets.
    Ready,
    /// A source says that the process is leaving. SIGTERM is [`DrainSource::Signal`].
    Drain(DrainSource),
    /// A source no longer says so. Has no effect on signals and operators' orders.
    Withdrawn(DrainSource),
    /// The work in progress changed. A daemon reports it after each change while draining.
    Progress(WorkInProgress),
    /// The process was paused or its clock jumped.
    ClockJumped,
    /// A timer that was set is due.
    Timer,
}

/// What the daemon has to do, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleAction {
    /// Say this state in probes, heartbeats and status.
    Announce(Lifecycle),
    /// Agent: refuse new requests with F2004 and pass first packets of new flows on to a peer.
    /// Requests admitted before are completed.
    StopAdmission,
    /// Agent: take new work again.
    ResumeAdmission,
    /// Tell peers that this process leaves. Sent again by timer, because datagrams may be lost.
    SendGoodbye,
    /// Agent: send HTTP/3 GOAWAY on every connection, so that clients send new requests elsewhere.
    SendGoaway,
    /// Report [`LifecycleEvent::Timer`] at this time.
    SetTimer(MonoTime),
    /// Agent: the drain bound passed. Answer started requests "outcome unknown" (F3007), refuse
    /// queued ones (F2004), reset streams with an error.
    CutOffWork(CutOff),
    /// Log F7003 with these counts.
    LogCutOff(CutOff),
    /// Agent: close connections without an error and wait until the last packets are acknowledged.
    CloseConnections,
    /// Close sockets.
    CloseSockets,
    /// End the process with this status.
    Exit {
        /// 0: nothing was cut off; 1: the drain bound passed.
        status: u8,
    },
}
