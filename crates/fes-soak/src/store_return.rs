//! Plans returns of the store from older copies of its data.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::plan::Fault;
use crate::plan::PlannedFault;

/// Limits of the age of the copy.
const MIN_COPY_AGE_MS: u64 = 300;
const MAX_COPY_AGE_MS: u64 = 4_000;
/// Limits of the time for which the store is unavailable.
const MIN_ABSENCE_MS: u64 = 100;
const MAX_ABSENCE_MS: u64 = 800;
/// Longest time from the return until the operator has written again.
const MAX_REWRITE_MS: u64 = 1_500;
const MAX_PAUSE_MS: u64 = 3_000;

/// Plans returns one after the other from the start of the load until `faults_ms`.
pub fn plan_returns(random: &mut ChaCha8Rng, faults_ms: u64) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut copied_ms = random.random_range(0..MIN_COPY_AGE_MS);
    loop {
        let lost_ms = copied_ms + random.random_range(MIN_COPY_AGE_MS..MAX_COPY_AGE_MS);
        let back_ms = lost_ms + random.random_range(MIN_ABSENCE_MS..MAX_ABSENCE_MS);
        let rewritten_ms = back_ms + random.random_range(0..MAX_REWRITE_MS);
        if rewritten_ms >= faults_ms {
            return faults;
        }
        faults.extend([
            planned(copied_ms, copied_ms, Fault::CopyStore),
            planned(lost_ms, back_ms, Fault::ReturnFromCopy),
            planned(rewritten_ms, rewritten_ms, Fault::RewriteRoutes),
        ]);
        copied_ms = rewritten_ms + random.random_range(0..MAX_PAUSE_MS);
    }
}

const fn planned(start_ms: u64, end_ms: u64, fault: Fault) -> PlannedFault {
    PlannedFault {
        start_ms,
        end_ms,
        fault,
    }
}
