//! Tests of the detection of owners without access to the store.

use reachhead_jobs::liveness::StoreReachability;
use reachhead_types::size::Millis;

const LONG: Millis = Millis(60_000);

fn cut_off(age: u64, failing: bool, own: Millis) -> bool {
    StoreReachability { age: Millis(age), failing }.is_cut_off(own)
}

#[test]
fn an_owner_with_failing_calls_is_replaced_sooner_than_an_idle_one() {
    assert!(cut_off(1000, true, LONG), "the store turns the owner away");
    assert!(!cut_off(1000, false, LONG), "the owner may only be idle");
    assert!(cut_off(1900, false, LONG));
    assert!(!cut_off(800, true, LONG), "a single failed call is not enough");
}

#[test]
fn the_first_to_reach_the_store_after_an_outage_take_over_nothing() {
    assert!(!cut_off(5000, true, Millis(1500)));
    assert!(!cut_off(5000, false, Millis(1500)));
}
