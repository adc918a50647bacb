//! How long answers are waited for, while some are lost and while all are slow.

use std::time::Duration;

use reachhead_store::adaptive_timeout::AdaptiveTimeout;

const MILLIS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn a_lost_answer_of_a_quick_store_is_given_up_soon() {
    let mut adaptive_timeout = AdaptiveTimeout::default();
    for _ in 0..50 {
        adaptive_timeout.record_answer(MILLIS(8));
    }
    assert!(adaptive_timeout.current() <= MILLIS(400), "{:?}", adaptive_timeout.current());
}

#[test]
fn a_store_that_becomes_slow_is_not_asked_twice_for_long() {
    let mut adaptive_timeout = AdaptiveTimeout::default();
    adaptive_timeout.record_answer(MILLIS(8));
    // Answers take half a second from now on, so the first calls are given up.
    let mut given_up = 0;
    for _ in 0..20 {
        if adaptive_timeout.current() < MILLIS(500) {
            adaptive_timeout.record_timeout();
            given_up += 1;
        } else {
            adaptive_timeout.record_answer(MILLIS(500));
        }
    }
    assert!(given_up <= 4, "{given_up} calls of twenty were made again for nothing");
    assert!(adaptive_timeout.current() > MILLIS(1000), "{:?}", adaptive_timeout.current());
}
