//! Tests of the number of processes that join the membership list.

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

/// Time after a write until all other processes know of it.
const PROPAGATION_DELAY: Millis = Millis(90);

/// Number of pools of the fleet.
const POOLS: usize = 6;

/// Writes a second that one partition of the platform's store accepts.
const MAX_PARTITION_RATE: usize = 300;

fn names(count: usize) -> Vec<NodeName> {
    (0..count).map(|number| format!("n{number}").parse().unwrap()).collect()
}

/// Starts all processes at once and returns when each member joined.
fn join_all(nodes: &[(NodeName, Strength)], seed: u64) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut attempts: Vec<(Duration, &NodeName, Strength)> = nodes
        .iter()
        .map(|(node, strength)| (join_delay(*strength, rng.random()), node, *strength))
        .collect();
    attempts.sort();
    let mut joined: Vec<(Duration, MemberCandidate<'_>)> = Vec::new();
    for (at, node, strength) in attempts {
        let own = MemberCandidate { node, strength };
        let known = joined.iter().filter(|(since, _)| *since + PROPAGATION_DELAY.duration() <= at);
        if should_join(own, known.map(|(_, candidate)| *candidate), target_members(POOLS)) {
            joined.push((at, own));
        }
    }
    joined.into_iter().map(|(at, _)| at).collect()
}

fn fleet(strong: usize, weak: usize) -> Vec<(NodeName, Strength)> {
    let strengths = std::iter::repeat_n(STRONG, strong).chain(std::iter::repeat_n(WEAK, weak));
    names(strong + weak).into_iter().zip(strengths).collect()
}

/// Guards against every process joining the list that all of them follow: with 585 joins, 342,000
/// rows were read, and all entries were written to one partition of the store, which took 8 s and
/// 9,080 attempts at a start.
#[test]
fn membership_does_not_grow_with_the_fleet() {
    for (strong, weak) in [(60, 525), (120, 1050), (460, 4071), (0, 585), (0, 1170), (0, 4531)] {
        let nodes = fleet(strong, weak);
        for seed in 0..5 {
            let joined = join_all(&nodes, seed);
            let most = 4 * target_members(POOLS);
            assert!(joined.len() >= target_members(POOLS), "{} of {}", joined.len(), nodes.len());
            assert!(joined.len() <= most, "{} of {}", joined.len(), nodes.len());
            let second = Duration::from_secs(1);
            let rate = joined
                .iter()
                .map(|end| joined.iter().filter(|at| **at <= *end && **at + second > *end).count())
                .max()
                .unwrap();
            assert!(rate <= MAX_PARTITION_RATE, "{rate} writes in a second");
        }
    }
}

#[test]
fn all_processes_of_a_small_fleet_are_members() {
    assert_eq!(join_all(&fleet(0, 9), 1).len(), 9);
    assert_eq!(join_all(&fleet(3, 9), 1).len(), 12);
}

#[test]
fn a_stronger_process_joins_a_full_list_of_weaker_members() {
    let names = names(40);
    let weak = || names[1..].iter().map(|node| MemberCandidate { node, strength: WEAK });
    let strong = MemberCandidate { node: &names[0], strength: STRONG };
    assert!(should_join(strong, weak(), target_members(POOLS)));
    let weak_one = MemberCandidate { node: &names[0], strength: WEAK };
    assert!(!should_join(weak_one, weak(), target_members(POOLS)));
}

/// Surplus members leave one after the other, and enough of them stay.
#[test]
fn an_oversized_membership_list_shrinks_to_its_limit() {
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
