//! Statistics over the outcomes of requests.

use fes_protocol::MonoTime;

use crate::sim::Outcome;

/// Returns the nearest-rank percentile of the values, or 0 if there are none.
pub(crate) fn percentile(mut values: Vec<f64>, percent: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let rank = (percent / 100.0 * values.len() as f64).ceil() as usize;
    values[rank.clamp(1, values.len()) - 1]
}

/// Returns the outcomes of requests sent in `from..to`.
pub(crate) fn sent_in(
    outcomes: &[Outcome],
    from: MonoTime,
    to: MonoTime,
) -> impl Iterator<Item = &Outcome> {
    outcomes
        .iter()
        .filter(move |o| o.sent_at >= from && o.sent_at < to)
}

/// Converts a duration from microseconds to milliseconds; `None` becomes infinity.
pub(crate) fn ms_or_infinite(us: Option<u64>) -> f64 {
    us.map_or(f64::INFINITY, |us| us as f64 / 1e3)
}

/// Returns `part` as a share of `whole`, or 0 if both are 0.
pub(crate) fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}
