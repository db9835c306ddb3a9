//! Upper bound of the number of requests that any scheduler can answer in time.
//!
//! Requests that are sent in a window and answered in time run between the start of the window and
//! its end plus the latency goal. Their work can't exceed what all slots can do in that time, and the
//! largest number of requests within a given work are the shortest ones. A scheduler that reached
//! this bound would refuse all longer requests, so that it isn't a figure to aim for.

use fes_protocol::MonoTime;

use super::fleet::Target;
use super::fleet::total_capacity;
use super::load::Request;
use super::scenario::MEASURED_FROM;
use super::scenario::MEASURED_TO;

/// Lengths of the windows; the lowest bound counts. Short windows follow a burst, in long ones the
/// time after the end matters less.
const WINDOWS_US: [u64; 3] = [1_000_000, 4_000_000, 12_000_000];

/// Returns the bound as a share of the measured requests.
pub(crate) fn bound_in_time(requests: &[Request], targets: &[Target]) -> f64 {
    let in_window = |from: MonoTime, to: MonoTime| {
        let sent = |request: &&Request| request.sent_at >= from && request.sent_at < to;
        requests.iter().filter(sent).collect::<Vec<&Request>>()
    };
    let all = in_window(MEASURED_FROM, MEASURED_TO).len();
    let lowest = WINDOWS_US.iter().map(|window_us| {
        let mut from = MEASURED_FROM;
        let mut count = 0;
        while from < MEASURED_TO {
            let to = from.plus_us(*window_us).min(MEASURED_TO);
            count += max_in_time(&in_window(from, to), targets, to.us_since(from));
            from = to;
        }
        count
    });
    lowest.min().unwrap_or(0) as f64 / all.max(1) as f64
}

/// Returns the number of shortest requests that fit into the slots of a window.
fn max_in_time(requests: &[&Request], targets: &[Target], window_us: u64) -> usize {
    let can_be_in_time = |request: &&&Request| {
        let runs = targets.iter().map(|target| target.run_us(request.work_us));
        runs.min().is_some_and(|run_us| run_us <= goal_us(request))
    };
    let feasible = requests.iter().filter(can_be_in_time);
    let mut works_us: Vec<u64> = feasible.map(|request| request.work_us).collect();
    works_us.sort_unstable();
    let longest_goal_us = requests.iter().map(|request| goal_us(request)).max();
    let time_us = window_us + longest_goal_us.unwrap_or(0);
    let mut remaining_us = time_us as f64 * total_capacity(targets);
    let fits = |work_us: &u64| {
        remaining_us -= *work_us as f64;
        remaining_us >= 0.0
    };
    works_us.into_iter().take_while(fits).count()
}

const fn goal_us(request: &Request) -> u64 {
    request.goal_at.us_since(request.sent_at)
}
