//! Inputs and outputs of the life cycle.

use fes_protocol::Lifecycle;
use fes_protocol::MonoTime;

use super::CutOff;
use super::DrainSource;
use super::WorkInProgress;

/// Input of [`LifecycleMachine`](super::LifecycleMachine).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The process is ready: it listens and has tickets.
    Ready,
    /// A source requests that the process drains. SIGTERM is [`DrainSource::Signal`].
    Drain(DrainSource),
    /// A source withdrew its request. Has no effect for signals and operators.
    Withdrawn(DrainSource),
    /// The work in progress changed. The host reports each change while draining.
    Progress(WorkInProgress),
    /// The process was paused or its clock jumped.
    ClockJumped,
    /// A timer set by [`LifecycleAction::SetTimer`] fired.
    Timer,
}

/// Output that the host carries out, in the returned order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleAction {
    /// Report this state in probes, heartbeats and status.
    Announce(Lifecycle),
    /// Agent: refuse new requests with F2004 and hand off first packets of new flows to a peer.
    /// Requests that were already admitted are completed.
    StopAdmission,
    /// Agent: admit new work again.
    ResumeAdmission,
    /// Tell peers that this process is leaving. Repeated periodically, because datagrams may be
    /// lost.
    SendGoodbye,
    /// Agent: send HTTP/3 GOAWAY on every connection, so that clients send new requests elsewhere.
    SendGoaway,
    /// Deliver [`LifecycleEvent::Timer`] at this time.
    SetTimer(MonoTime),
    /// Agent: the drain bound was reached. Answer started requests with "outcome unknown" (F3007),
    /// refuse queued ones (F2004) and reset streams with an error.
    CutOffWork(CutOff),
    /// Log F7003 with these counts.
    LogCutOff(CutOff),
    /// Agent: close connections without an error and wait until the last packets are acknowledged.
    CloseConnections,
    /// Close sockets.
    CloseSockets,
    /// Exit the process.
    Exit {
        /// Exit status: 0 if no work was cut off, 1 if the drain bound was reached.
        status: u8,
    },
}
