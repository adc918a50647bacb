//! Pauses after failures of a pool's owner.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use reachhead_jobs::{clock::Tick, owner_failures::OwnerFailures};
use reachhead_types::size::Millis;

#[test]
fn a_pool_whose_owners_keep_failing_is_left_to_others_for_longer_each_time() {
    let mut failures = OwnerFailures::new();
    let (pool, other) = ("a".parse().unwrap(), "b".parse().unwrap());
    let mut now = Tick(1000);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        let pause = failures.record(&pool, now);
        assert_eq!(failures.is_paused(&pool, now), pause > Millis(0));
        assert!(!failures.is_paused(&other, now));
        now = now + pause;
        assert!(!failures.is_paused(&pool, now));
        pauses.push(pause.0);
    }
    assert_eq!(pauses, [0, 3000, 6000, 12_000, 24_000, 24_000]);
    assert_eq!(failures.record(&pool, now + Millis(60_000)), Millis(0), "the cause is gone");
}
