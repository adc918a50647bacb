//! Tests of processes without links to their peers.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use reachhead_jobs::{
    clock::Tick,
    isolation::{is_held, is_left_to_other_group, is_preferred_group},
    silence::RunningTime,
};
use reachhead_property::properties;
use reachhead_types::{id::NodeName, size::Millis};

const HEARD: Tick = Tick(1_000_000);

fn held(taken: u64, now: u64) -> bool {
    is_held(&RunningTime::new(HEARD), HEARD, HEARD + Millis(taken), HEARD + Millis(now))
}

#[test]
fn a_process_that_hears_a_peer_is_not_held_back() {
    assert!(!held(0, 100));
    assert!(!held(1000, 2000));
}

#[test]
fn a_lease_taken_by_another_process_holds_an_isolated_one_back_for_longer_each_time() {
    assert!(held(1500, 7000));
    assert!(!held(1500, 7500));
    assert!(held(7000, 34_000));
    assert!(!held(7000, 35_000));
}

#[test]
fn a_lease_taken_while_this_process_was_paused_does_not_hold_it_back() {
    let mut running = RunningTime::new(HEARD);
    let resumed = HEARD + Millis(5000);
    running.check(resumed);
    assert!(!is_held(&running, HEARD, resumed, resumed + Millis(100)));
}

properties! {
    fn no_process_is_held_back_for_long(taken: u32, later: u16) -> bool {
        !held(u64::from(taken), u64::from(taken) + 30_000 + u64::from(later))
    }
}

fn names(count: usize) -> Vec<NodeName> {
    (0..count).map(|number| format!("node-{number}").parse().unwrap()).collect()
}

properties! {
    /// Two availability zones without links to each other took their pools from each other.
    fn of_two_groups_exactly_one_is_preferred(sides: Vec<bool>) -> bool {
        let members = names(sides.len());
        let side_of = |name: &NodeName| sides[members.iter().position(|it| it == name).unwrap()];
        let is_preferred = |side| is_preferred_group(members.iter(), |name| side_of(name) == side);
        sides.is_empty() || is_preferred(true) != is_preferred(false)
    }
}

#[test]
fn a_silent_owner_is_left_to_a_larger_group_for_a_while_only() {
    assert!(is_left_to_other_group(false, HEARD, HEARD + Millis(29_000)));
    assert!(
        !is_left_to_other_group(false, HEARD, HEARD + Millis(31_000)),
        "it may have died since"
    );
    assert!(!is_left_to_other_group(true, HEARD, HEARD + Millis(2000)));
}
