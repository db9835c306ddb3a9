//! Containment of panics, so that one unexpected event doesn't end the handling of all others.

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

use fes_telemetry::log_target;

/// Calls `handle` and returns whether it completed. If it panics, the panic is logged, and the event
/// named `event` has no further effect.
///
/// Without this, the task that receives datagrams would end while the process still reports that it
/// is ready. What a process knows of flows is soft state: a flow whose record is left incomplete is
/// searched for or opened again.
pub fn contain(event: &str, handle: impl FnOnce()) -> bool {
    let is_completed = catch_unwind(AssertUnwindSafe(handle)).is_ok();
    if !is_completed {
        log::error!(target: log_target::FLOWS, "event=panic handling={event}");
    }
    is_completed
}
