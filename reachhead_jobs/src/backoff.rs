//! When callers are told to come back.
//!
//! Load pattern: the store is away for seconds while callers keep coming, and each has a few tries. Nobody knows how long
//! an outage lasts, but one that has lasted long is likely to go on: callers come back after about as long again.

use reachhead_types::size::Millis;

/// Longest time that callers are told, in seconds: beyond it they are late anyway, and the store may be back.
const LONGEST: u32 = 4;

/// Milliseconds in a second.
const SECOND: u64 = 1000;

/// Returns after how many seconds a caller should come back whose call failed in an outage of this age; `base` is what
/// one is told when there is none.
pub fn retry_after(base: u32, outage: Millis) -> u32 {
    let again = outage.0.div_ceil(SECOND).min(u64::from(LONGEST)) as u32;
    again.max(base)
}
