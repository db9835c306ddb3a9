//! Percentiles and windows of outcomes.

use fes_protocol::MonoTime;

use crate::sim::Outcome;

/// Returns the percentile of values, 0 if there are none.
pub(crate) fn percentile(mut values: Vec<f64>, percent: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let rank = (percent / 100.0 * values.len() as f64).ceil() as usize;
    values[rank.clamp(1, values.len()) - 1]
}

/// Returns outcomes of requests that were sent in the window.
pub(crate) fn sent_in(
    outcomes: &[Outcome],
    from: MonoTime,
    to: MonoTime,
) -> impl Iterator<Item = &Outcome> {
    outcomes
        .iter()
        .filter(move |o| o.sent_at >= from && o.sent_at < to)
}

/// Returns a duration in milliseconds, infinite if it never ended.
pub(crate) fn ms_or_never(us: Option<u64>) -> f64 {
    us.map_or(f64::INFINITY, |us| us as f64 / 1e3)
}

/// Returns a share, 0 if there is nothing to divide.
pub(crate) fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}
