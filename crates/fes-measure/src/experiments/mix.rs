//! Request mixes and target speeds shared by experiments.
//!
//! A mix has short requests and, in some experiments, stragglers: a few long requests that delay
//! the short ones behind them.

use crate::Profile;
use crate::sim::MixComponent;
use crate::sim::Variates;

/// Share of stragglers in the head-of-line experiment.
pub(crate) const STRAGGLER_SHARE: f64 = 0.02;

/// Service time of a straggler as a multiple of that of a short request.
pub(crate) const STRAGGLER_FACTOR: f64 = 50.0;

/// Client timeout for a straggler, in milliseconds.
const STRAGGLER_TIMEOUT_MS: u64 = 30_000;

/// Returns the short requests: repeatable queries and non-repeatable requests.
pub(crate) fn short_classes(profile: &Profile) -> Vec<MixComponent> {
    let class = |name, share, repeatable| MixComponent {
        name,
        share,
        service_us: profile.short_service_us,
        timeout_ms: profile.short_timeout_ms,
        repeatable,
        has_prior: true,
        long: false,
    };
    let non_repeatable = profile.non_repeatable_share;
    vec![
        class(profile.query_class, 1.0 - non_repeatable, true),
        class(profile.non_repeatable_class, non_repeatable, false),
    ]
}

/// Returns the short requests with stragglers in a class of their own.
pub(crate) fn straggler_classes(profile: &Profile) -> Vec<MixComponent> {
    let mut classes = short_classes(profile);
    for class in &mut classes {
        class.share *= 1.0 - STRAGGLER_SHARE;
    }
    classes.push(MixComponent {
        name: profile.long_class,
        share: STRAGGLER_SHARE,
        service_us: profile.short_service_us * STRAGGLER_FACTOR,
        timeout_ms: STRAGGLER_TIMEOUT_MS,
        repeatable: true,
        has_prior: true,
        long: true,
    });
    classes
}

/// Returns the short requests with stragglers that share the class of the short queries, so that
/// admission can't tell them apart.
pub(crate) fn hidden_straggler_classes(profile: &Profile) -> Vec<MixComponent> {
    let mut classes = straggler_classes(profile);
    for class in classes.iter_mut().filter(|class| class.long) {
        class.name = profile.query_class;
        class.has_prior = false;
    }
    classes
}

/// Returns target speeds in the ratio 1:2:4, in seeded order.
pub(crate) fn mixed_speeds(profile: &Profile, seed: u64) -> Vec<f64> {
    let mut speeds: Vec<f64> = (0..profile.targets)
        .map(|i| [1.0, 2.0, 4.0][i % 3])
        .collect();
    Variates::new(seed, 20).shuffle(&mut speeds);
    speeds
}
