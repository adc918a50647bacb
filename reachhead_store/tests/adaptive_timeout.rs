//! Adaptive timeouts while some answers are lost and while all answers are slow.

use std::time::Duration;

use reachhead_store::adaptive_timeout::AdaptiveTimeout;

const MILLIS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn timeout_is_short_for_a_fast_store() {
    let mut adaptive_timeout = AdaptiveTimeout::default();
    for _ in 0..50 {
        adaptive_timeout.record_answer(MILLIS(8));
    }
    assert!(adaptive_timeout.current() <= MILLIS(400), "{:?}", adaptive_timeout.current());
}

#[test]
fn timeout_grows_when_the_store_becomes_slow() {
    let mut adaptive_timeout = AdaptiveTimeout::default();
    adaptive_timeout.record_answer(MILLIS(8));
    // Answers take half a second from now on, so the first calls time out.
    let mut timed_out = 0;
    for _ in 0..20 {
        if adaptive_timeout.current() < MILLIS(500) {
            adaptive_timeout.record_timeout();
            timed_out += 1;
        } else {
            adaptive_timeout.record_answer(MILLIS(500));
        }
    }
    assert!(timed_out <= 4, "{timed_out} of twenty calls were retried needlessly");
    assert!(adaptive_timeout.current() > MILLIS(1000), "{:?}", adaptive_timeout.current());
}
