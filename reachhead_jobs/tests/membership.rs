//! How many processes enter the list of members.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use reachhead_jobs::membership::{
    MemberCandidate, join_delay, should_join, should_leave, target_members,
};
use reachhead_types::{
    id::NodeName,
    size::{Millis, Strength},
};

const STRONG: Strength = Strength(6666);
const WEAK: Strength = Strength(800);

/// How long after a write all others know of it.
const LAG: Millis = Millis(90);

/// Pools of the fleet.
const POOLS: usize = 6;

/// Writes a second that one part of the platform's store carries out.
const PART_RATE: usize = 300;

fn names(count: usize) -> Vec<NodeName> {
    (0..count).map(|number| format!("n{number}").parse().unwrap()).collect()
}

/// Starts all processes at once and returns when each entered that did.
fn start(nodes: &[(NodeName, Strength)], seed: u64) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut turns: Vec<(Duration, &NodeName, Strength)> = nodes
        .iter()
        .map(|(node, strength)| (join_delay(*strength, rng.random()), node, *strength))
        .collect();
    turns.sort();
    let mut entered: Vec<(Duration, MemberCandidate<'_>)> = Vec::new();
    for (at, node, strength) in turns {
        let own = MemberCandidate { node, strength };
        let known = entered.iter().filter(|(since, _)| *since + LAG.duration() <= at);
        if should_join(own, known.map(|(_, candidate)| *candidate), target_members(POOLS)) {
            entered.push((at, own));
        }
    }
    entered.into_iter().map(|(at, _)| at).collect()
}

fn fleet(strong: usize, weak: usize) -> Vec<(NodeName, Strength)> {
    let strengths = std::iter::repeat_n(STRONG, strong).chain(std::iter::repeat_n(WEAK, weak));
    names(strong + weak).into_iter().zip(strengths).collect()
}

/// All processes entered a list that all follow: 585 joins were 342,000 rows read, and all were written to one part of the store,
/// which took 8 s and 9,080 tries at a start.
#[test]
fn the_list_of_members_does_not_grow_with_the_fleet() {
    for (strong, weak) in [(60, 525), (120, 1050), (460, 4071), (0, 585), (0, 1170), (0, 4531)] {
        let nodes = fleet(strong, weak);
        for seed in 0..5 {
            let entered = start(&nodes, seed);
            let most = 4 * target_members(POOLS);
            assert!(entered.len() >= target_members(POOLS), "{} of {}", entered.len(), nodes.len());
            assert!(entered.len() <= most, "{} of {}", entered.len(), nodes.len());
            let second = Duration::from_secs(1);
            let rate = entered
                .iter()
                .map(|end| entered.iter().filter(|at| **at <= *end && **at + second > *end).count())
                .max()
                .unwrap();
            assert!(rate <= PART_RATE, "{rate} writes in a second");
        }
    }
}

#[test]
fn of_a_small_fleet_all_are_members() {
    assert_eq!(start(&fleet(0, 9), 1).len(), 9);
    assert_eq!(start(&fleet(3, 9), 1).len(), 12);
}

#[test]
fn a_stronger_process_enters_though_all_seats_are_taken_by_weaker_ones() {
    let names = names(40);
    let weak = || names[1..].iter().map(|node| MemberCandidate { node, strength: WEAK });
    let strong = MemberCandidate { node: &names[0], strength: STRONG };
    assert!(should_join(strong, weak(), target_members(POOLS)));
    let weak_one = MemberCandidate { node: &names[0], strength: WEAK };
    assert!(!should_join(weak_one, weak(), target_members(POOLS)));
}

/// Those that are too many leave one after the other, and enough stay.
#[test]
fn a_list_that_is_far_too_long_shrinks_and_stays() {
    let names = names(300);
    let mut members: BTreeMap<&NodeName, Strength> =
        names.iter().map(|node| (node, WEAK)).collect();
    for node in &names {
        let others = members.iter().filter(|(other, _)| **other != node);
        let others = others.map(|(node, strength)| MemberCandidate { node, strength: *strength });
        if should_leave(MemberCandidate { node, strength: WEAK }, others, target_members(POOLS)) {
            members.remove(node);
        }
    }
    assert_eq!(members.len(), 4 * target_members(POOLS));
}
