//! Finds the restarts of all processes in their logs.

use fes_protocol::FastSet;

use crate::timeline::process_log::ProcessLog;

/// Time within which at least half of the processes start in a restart of all processes.
const RESTART_SPREAD_MS: i64 = 3_000;

/// Time range of a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Restart {
    pub(super) first_start_at_ms: i64,
    /// First start of the next restart, if there is one.
    pub(super) next_restart_at_ms: Option<i64>,
}

#[derive(Debug, Clone, Copy)]
struct Start {
    at_ms: i64,
    process: usize,
}

/// Returns the restart that begins with the first start at or after `from_ms`, or the last restart
/// of at least half of the processes.
pub(super) fn find_restart(processes: &[ProcessLog<'_>], from_ms: Option<i64>) -> Option<Restart> {
    let starts = starts_by_time(processes);
    let restarts = restarts_of_half(&starts, processes.len());
    let first_start_at_ms = match from_ms {
        Some(from_ms) => starts.iter().find(|start| start.at_ms >= from_ms)?.at_ms,
        None => *restarts.last()?,
    };
    // A single process may start shortly before the others.
    let is_later = |at_ms: &i64| *at_ms > first_start_at_ms + RESTART_SPREAD_MS;
    Some(Restart {
        first_start_at_ms,
        next_restart_at_ms: restarts.into_iter().find(is_later),
    })
}

fn starts_by_time(processes: &[ProcessLog<'_>]) -> Vec<Start> {
    let mut starts = Vec::new();
    for (process, log) in processes.iter().enumerate() {
        let start = |at_ms| Start { at_ms, process };
        starts.extend(log.starts().map(|record| start(record.at_ms)));
    }
    starts.sort_by_key(|start| start.at_ms);
    starts
}

/// Returns the times of the first starts of all restarts, in ascending order.
fn restarts_of_half(starts: &[Start], process_count: usize) -> Vec<i64> {
    let mut restarts = Vec::new();
    let mut earlier = starts;
    while let Some(first) = last_restart(earlier, process_count) {
        restarts.push(earlier[first].at_ms);
        earlier = &earlier[..first];
    }
    restarts.reverse();
    restarts
}

/// Returns the index of the first start of the last restart.
fn last_restart(starts: &[Start], process_count: usize) -> Option<usize> {
    let is_restart = |index: &usize| started_in_spread(starts, *index).len() * 2 >= process_count;
    let index = (0..starts.len()).rev().find(is_restart)?;
    let mut started = started_in_spread(starts, index);
    let mut first = index;
    for (index, start) in starts[..index].iter().enumerate().rev() {
        if starts[first].at_ms - start.at_ms > RESTART_SPREAD_MS {
            break;
        }
        // A process that starts again belongs to this restart with its last start. Its earlier one
        // may be part of a roll-out or of an earlier restart.
        if started.insert(start.process) {
            first = index;
        }
    }
    Some(first)
}

/// Returns the processes that start within the spread from a start on.
fn started_in_spread(starts: &[Start], index: usize) -> FastSet<usize> {
    let ends_at_ms = starts[index].at_ms + RESTART_SPREAD_MS;
    let in_spread = starts[index..]
        .iter()
        .take_while(|start| start.at_ms <= ends_at_ms);
    in_spread.map(|start| start.process).collect()
}
