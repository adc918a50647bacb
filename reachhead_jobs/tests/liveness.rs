//! Tests of the detection of owners without access to the store.

use reachhead_jobs::{
    clock::Tick,
    liveness::{MIN_OUTAGE, StoreAnswers, StoreReachability},
};
use reachhead_property::properties;
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

const START: Tick = Tick(1_000_000);

/// Records answers of the store every half second, except in the outages of each turn.
fn answers_with_outages(turns: u64, reached: u64, outage: u64) -> (StoreAnswers, Tick) {
    let mut answers = StoreAnswers::default();
    let mut now = START;
    answers.record(now);
    for _ in 0..turns {
        now = now + Millis(outage);
        answers.record(now);
        for _ in 0..reached / 500 {
            now = now + Millis(500);
            answers.record(now);
        }
    }
    (answers, now)
}

#[test]
fn short_stretches_with_the_store_add_up_against_an_owner_that_has_not_reached_it() {
    let (answers, now) = answers_with_outages(1, 1500, 1800);
    assert_eq!(answers.reachability(START, now), Millis(1500));
    let (answers, now) = answers_with_outages(3, 1500, 1800);
    assert_eq!(answers.reachability(START, now), Millis(4500));
}

#[test]
fn the_time_before_an_owner_last_reached_the_store_is_no_evidence_against_it() {
    let (answers, now) = answers_with_outages(3, 1500, 1800);
    assert_eq!(answers.reachability(now - Millis(100), now), Millis(1500));
    assert_eq!(answers.reachability(now - Millis(1500 + 900), now), Millis(1500));
    assert_eq!(answers.reachability(now - Millis(2 * 1500 + 1800), now), Millis(3000));
}

#[test]
fn uninterrupted_access_counts_in_full() {
    let (answers, now) = answers_with_outages(1, 5000, 1800);
    assert_eq!(answers.reachability(now - Millis(900), now), Millis(5000));
}

properties! {
    fn reachability_is_bounded_by_the_time_since_the_last_outage_or_the_owners_contact(
        gaps: Vec<u16>, since: u16
    ) -> bool {
        let mut answers = StoreAnswers::default();
        let (mut now, mut stable) = (START, START);
        answers.record(now);
        for gap in gaps {
            let gap = Millis(u64::from(gap) % 3000);
            now = now + gap;
            answers.record(now);
            if gap >= MIN_OUTAGE {
                stable = now;
            }
        }
        let since = now - Millis(u64::from(since));
        let reached = answers.reachability(since, now);
        reached >= now.since(stable) && reached <= now.since(stable.min(since))
    }
}
