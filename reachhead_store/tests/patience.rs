//! How long answers are waited for, while some are lost and while all are slow.

use std::time::Duration;

use reachhead_store::patience::Patience;

const MILLIS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn a_lost_answer_of_a_quick_store_is_given_up_soon() {
    let mut patience = Patience::default();
    for _ in 0..50 {
        patience.learn(MILLIS(8));
    }
    assert!(patience.limit() <= MILLIS(400), "{:?}", patience.limit());
}

#[test]
fn a_store_that_becomes_slow_is_not_asked_twice_for_long() {
    let mut patience = Patience::default();
    patience.learn(MILLIS(8));
    // Answers take half a second from now on, so the first calls are given up.
    let mut given_up = 0;
    for _ in 0..20 {
        if patience.limit() < MILLIS(500) {
            patience.lengthen();
            given_up += 1;
        } else {
            patience.learn(MILLIS(500));
        }
    }
    assert!(given_up <= 4, "{given_up} calls of twenty were made again for nothing");
    assert!(patience.limit() > MILLIS(1000), "{:?}", patience.limit());
}
