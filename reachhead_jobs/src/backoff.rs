//! Retry-after times for callers during an outage of the store.
//!
//! The store is away for seconds while callers keep coming, and each has only a few tries. An
//! outage that has lasted long is likely to go on, so callers are asked to wait about as long
//! again.

use reachhead_types::size::Millis;

/// Longest retry-after time. Beyond it callers are late anyway, and the store may be back.
const MAX_RETRY_AFTER_S: u32 = 4;

const MS_PER_SECOND: u64 = 1000;

/// Returns the retry-after time, in seconds, for a call that failed in an outage of this age.
/// `base` is the time without an outage.
pub fn retry_after(base: u32, outage: Millis) -> u32 {
    let seconds = outage.0.div_ceil(MS_PER_SECOND).min(u64::from(MAX_RETRY_AFTER_S)) as u32;
    seconds.max(base)
}
