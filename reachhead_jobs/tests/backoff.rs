//! Tests of the retry-after times for callers.

use reachhead_jobs::backoff::retry_after;
use reachhead_types::size::Millis;

#[test]
fn retry_after_grows_with_the_length_of_an_outage() {
    let seconds: Vec<u32> = [0, 900, 1100, 2500, 3900, 20_000]
        .into_iter()
        .map(|age| retry_after(1, Millis(age)))
        .collect();
    assert_eq!(seconds, [1, 1, 2, 3, 4, 4]);
    assert_eq!(retry_after(5, Millis(0)), 5, "never sooner than without an outage");
}

/// A caller with four more tries that meets the start of an outage of eight seconds outlasts it.
#[test]
fn five_tries_reach_beyond_an_outage_of_eight_seconds() {
    let mut at = 0;
    for _ in 0..4 {
        at += 1000 * u64::from(retry_after(1, Millis(at)));
    }
    assert!(at >= 8000, "{at}");
}
