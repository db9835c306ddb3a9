//! Request mixes and speeds that experiments share.

use crate::Profile;
use crate::sim::ClassMix;
use crate::sim::Variates;

/// Share of stragglers in the head-of-line experiment.
pub(crate) const STRAGGLER_SHARE: f64 = 0.02;

/// Length of a straggler as a multiple of the usual length.
pub(crate) const STRAGGLER_FACTOR: f64 = 50.0;

/// Time that clients wait for a straggler, in milliseconds.
const STRAGGLER_PATIENCE_MS: u64 = 30_000;

/// Returns the usual requests: queries and entries.
pub(crate) fn short_classes(profile: &Profile) -> Vec<ClassMix> {
    let class = |name, share, repeatable| ClassMix {
        name,
        share,
        service_us: profile.short_service_us,
        patience_ms: profile.short_timeout_ms,
        repeatable,
        has_prior: true,
        long: false,
    };
    let entries = profile.non_repeatable_share;
    vec![
        class(profile.query_class, 1.0 - entries, true),
        class(profile.non_repeatable_class, entries, false),
    ]
}

/// Returns the usual requests with stragglers among them.
pub(crate) fn straggler_classes(profile: &Profile) -> Vec<ClassMix> {
    let mut classes = short_classes(profile);
    for class in &mut classes {
        class.share *= 1.0 - STRAGGLER_SHARE;
    }
    classes.push(ClassMix {
        name: profile.long_class,
        share: STRAGGLER_SHARE,
        service_us: profile.short_service_us * STRAGGLER_FACTOR,
        patience_ms: STRAGGLER_PATIENCE_MS,
        repeatable: true,
        has_prior: true,
        long: true,
    });
    classes
}

/// Returns the usual requests with stragglers that no class tells apart from them.
pub(crate) fn hidden_straggler_classes(profile: &Profile) -> Vec<ClassMix> {
    let mut classes = straggler_classes(profile);
    for class in classes.iter_mut().filter(|class| class.long) {
        class.name = profile.query_class;
        class.has_prior = false;
    }
    classes
}

/// Returns speeds in the ratio 1:2:4, in seeded order.
pub(crate) fn mixed_speeds(profile: &Profile, seed: u64) -> Vec<f64> {
    let mut speeds: Vec<f64> = (0..profile.targets)
        .map(|i| [1.0, 2.0, 4.0][i % 3])
        .collect();
    Variates::new(seed, 20).shuffle(&mut speeds);
    speeds
}
