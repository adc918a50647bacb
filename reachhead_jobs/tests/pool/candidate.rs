//! Tests of the order of candidates for a pool's lease, and of voluntary handover.

use reachhead_jobs::candidate::{Candidate, count_preferred, delay};
use reachhead_types::{
    id::{NodeName, PoolName},
    size::{Millis, Strength},
};

fn names(count: usize) -> Vec<NodeName> {
    (0..count).map(|place| format!("n{place}").parse().unwrap()).collect()
}

fn candidate(node: &NodeName, strength: u32, owned: usize) -> Candidate<'_> {
    Candidate { node, strength: Strength(strength), owned }
}

#[test]
fn a_high_weight_process_takes_a_pool_before_low_weight_ones_without_pools() {
    let names = names(12);
    let pool: PoolName = "p".parse().unwrap();
    let low_weight = || names[1..].iter().map(|node| candidate(node, 800, 0));
    let high_weight = candidate(&names[0], 3300, 2);
    assert_eq!(count_preferred(&pool, &high_weight, low_weight()), 0);
    for other in low_weight() {
        assert!(high_weight.precedes(&other, &pool));
        assert!(!other.precedes(&high_weight, &pool));
    }
}

/// How much later than others a process may detect that an owner is gone: it checks four times a
/// second.
const DETECTION_SPREAD: Millis = Millis(250);

#[test]
fn a_low_weight_process_that_notices_first_still_waits_for_high_weight_ones() {
    let names = names(12);
    let pool: PoolName = "p".parse().unwrap();
    // Two processes have a high capacity weight, one of which owns two pools; the others have a low
    // one.
    let all: Vec<Candidate<'_>> = (0..12)
        .map(|place| candidate(&names[place], if place < 2 { 3300 } else { 800 }, place % 2 * 2))
        .collect();
    let wait = |own: &Candidate<'_>| {
        delay(&pool, own, true, all.iter().filter(|other| *other != own).copied())
    };
    let high_weight = all[..2].iter().map(wait).max().unwrap();
    let low_weight = all[2..].iter().map(wait).min().unwrap();
    assert!(
        low_weight.0 > high_weight.0 + DETECTION_SPREAD.0,
        "{low_weight} ms and {high_weight} ms"
    );
}

#[test]
fn a_high_weight_process_with_many_pools_leaves_the_next_to_a_low_weight_one() {
    let names = names(2);
    let pool: PoolName = "p".parse().unwrap();
    let high_weight = candidate(&names[0], 3300, 5);
    let low_weight = candidate(&names[1], 800, 0);
    assert!(low_weight.precedes(&high_weight, &pool));
}

#[test]
fn equal_candidates_have_one_order_and_pools_are_spread() {
    let names = names(9);
    let all: Vec<Candidate<'_>> = names.iter().map(|node| candidate(node, 1600, 0)).collect();
    let mut preferred = std::collections::BTreeSet::new();
    for number in 0..20 {
        let pool: PoolName = format!("p{number}").parse().unwrap();
        let rank = |own: &Candidate<'_>| {
            count_preferred(&pool, own, all.iter().filter(|other| *other != own).copied())
        };
        let mut ranks: Vec<usize> = all.iter().map(rank).collect();
        preferred.insert(ranks.iter().position(|rank| *rank == 0));
        ranks.sort_unstable();
        assert_eq!(ranks, (0..9).collect::<Vec<_>>());
    }
    assert!(preferred.len() > 3, "{preferred:?}");
}

#[test]
fn a_pool_is_handed_over_only_if_that_evens_out_load_considerably() {
    let names = names(2);
    let small = |owned| candidate(&names[0], 800, owned);
    let large = |owned| candidate(&names[1], 3300, owned);
    assert!(small(1).should_hand_over(&large(0)));
    assert!(!small(1).should_hand_over(&large(3)));
    assert!(!small(0).should_hand_over(&large(0)));
    assert!(!large(1).should_hand_over(&small(0)));
    // At equal weights two pools against none do not justify an ownership change, three do.
    let (own, other) = (candidate(&names[0], 1600, 2), candidate(&names[1], 1600, 0));
    assert!(!own.should_hand_over(&other));
    assert!(Candidate { owned: 3, ..own }.should_hand_over(&other));
}

/// Guards against pools that share a narrow link while the links of other processes are idle.
#[test]
fn pools_that_share_a_narrow_link_are_spread_over_idle_processes() {
    let names = names(2);
    let own = |owned| candidate(&names[0], 250, owned);
    let other = |owned| candidate(&names[1], 250, owned);
    assert!(own(2).should_hand_over_for_link(&other(0)));
    assert!(!own(1).should_hand_over_for_link(&other(0)));
    assert!(!own(3).should_hand_over_for_link(&other(1)), "two and two would be little better");
    assert!(!own(0).should_hand_over_for_link(&other(0)));
    // The successor does not hand the pool back.
    assert!(!other(1).should_hand_over_for_link(&own(1)));
}

#[test]
fn a_process_of_a_release_without_a_capacity_weight_comes_last() {
    let names = names(2);
    let pool: PoolName = "p".parse().unwrap();
    let unknown = candidate(&names[0], 0, 0);
    let known = candidate(&names[1], 800, 3);
    assert!(known.precedes(&unknown, &pool));
    assert!(!unknown.precedes(&known, &pool));
}

/// Longest time until a pool has its next owner, whatever fails: what is left of a worker's lease
/// of 4.5 s after an owner has been silent for 1.1 s.
const MAX_TAKEOVER_TIME: Millis = Millis(3400);

/// Candidates waited for each other one by one, 60 ms each: with the best sixty hosts gone the
/// successor took over after 3.6 s, and with three hundred gone after 18 s.
#[test]
fn a_successor_takes_over_within_a_bound_however_many_candidates_are_gone() {
    let pool: PoolName = "p".parse().unwrap();
    for count in [9, 60, 585, 1200, 4531] {
        let names = names(count);
        let all: Vec<Candidate<'_>> = names.iter().map(|node| candidate(node, 6666, 0)).collect();
        let last = &all[count - 1];
        let others = || all.iter().filter(|other| *other != last).copied();
        // A low-weight process that is not a member waits longest, since all of them precede it.
        let low_weight: NodeName = "weak".parse().unwrap();
        for (own, member) in [(*last, true), (candidate(&low_weight, 800, 0), false)] {
            let wait = delay(&pool, &own, member, others());
            assert!(wait <= MAX_TAKEOVER_TIME, "{wait} ms with {count} processes");
        }
    }
}

/// Candidates after the first ones are spread, so that hundreds do not write the same row at the
/// same moment.
#[test]
fn non_members_do_not_claim_a_pool_at_the_same_moment() {
    let (pool, names) = ("p".parse::<PoolName>().unwrap(), names(585));
    let high_weight: Vec<NodeName> =
        (0..16).map(|place| format!("s{place}").parse().unwrap()).collect();
    let members = || high_weight.iter().map(|node| candidate(node, 6666, 0));
    let mut waits: Vec<u64> = names
        .iter()
        .map(|node| delay(&pool, &candidate(node, 800, 0), false, members()).0)
        .collect();
    waits.sort_unstable();
    let narrowest = waits.windows(20).map(|near| near[19] - near[0]).min().unwrap();
    assert!(narrowest >= 10, "twenty within {narrowest} ms");
}
