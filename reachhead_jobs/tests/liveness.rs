//! Owners that the store turns away.

use reachhead_jobs::liveness::StoreReachability;
use reachhead_types::size::Millis;

const LONG: Millis = Millis(60_000);

fn blind(age: u64, failing: bool, own: Millis) -> bool {
    StoreReachability { age: Millis(age), failing }.is_cut_off(own)
}

#[test]
fn an_owner_whose_calls_fail_is_relieved_sooner_than_a_quiet_one() {
    assert!(blind(1000, true, LONG), "it is turned away");
    assert!(!blind(1000, false, LONG), "it may only be idle");
    assert!(blind(1900, false, LONG));
    assert!(!blind(800, true, LONG), "a single failed call");
}

#[test]
fn after_an_outage_for_all_those_who_see_the_store_first_take_nothing() {
    assert!(!blind(5000, true, Millis(1500)));
    assert!(!blind(5000, false, Millis(1500)));
}
