//! Who takes a pool, and when one is handed over.

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
fn a_strong_process_takes_a_pool_before_weak_ones_without_any() {
    let names = names(12);
    let pool: PoolName = "p".parse().unwrap();
    let weak = || names[1..].iter().map(|node| candidate(node, 800, 0));
    let strong = candidate(&names[0], 3300, 2);
    assert_eq!(count_preferred(&pool, &strong, weak()), 0);
    for other in weak() {
        assert!(strong.precedes(&other, &pool));
        assert!(!other.precedes(&strong, &pool));
    }
}

/// How much later than others a process may notice that an owner is gone: it asks four times a second.
const NOTICE_SPREAD: Millis = Millis(250);

#[test]
fn a_weak_process_that_notices_first_still_lets_all_strong_ones_be_first() {
    let names = names(12);
    let pool: PoolName = "p".parse().unwrap();
    // Two strong ones are there, one of which has two pools; the others are weak.
    let all: Vec<Candidate<'_>> = (0..12)
        .map(|place| candidate(&names[place], if place < 2 { 3300 } else { 800 }, place % 2 * 2))
        .collect();
    let wait = |own: &Candidate<'_>| {
        delay(&pool, own, true, all.iter().filter(|other| *other != own).copied())
    };
    let strong = all[..2].iter().map(wait).max().unwrap();
    let weak = all[2..].iter().map(wait).min().unwrap();
    assert!(weak.0 > strong.0 + NOTICE_SPREAD.0, "{weak} ms and {strong} ms");
}

#[test]
fn a_strong_process_with_many_pools_leaves_the_next_to_a_weak_one() {
    let names = names(2);
    let pool: PoolName = "p".parse().unwrap();
    let strong = candidate(&names[0], 3300, 5);
    let weak = candidate(&names[1], 800, 0);
    assert!(weak.precedes(&strong, &pool));
}

#[test]
fn among_equals_there_is_one_order_and_pools_are_spread() {
    let names = names(9);
    let all: Vec<Candidate<'_>> = names.iter().map(|node| candidate(node, 1600, 0)).collect();
    let mut firsts = std::collections::BTreeSet::new();
    for number in 0..20 {
        let pool: PoolName = format!("p{number}").parse().unwrap();
        let rank = |own: &Candidate<'_>| {
            count_preferred(&pool, own, all.iter().filter(|other| *other != own).copied())
        };
        let mut ranks: Vec<usize> = all.iter().map(rank).collect();
        firsts.insert(ranks.iter().position(|rank| *rank == 0));
        ranks.sort_unstable();
        assert_eq!(ranks, (0..9).collect::<Vec<_>>());
    }
    assert!(firsts.len() > 3, "{firsts:?}");
}

#[test]
fn a_pool_is_handed_over_only_where_that_relieves_much() {
    let names = names(2);
    let small = |owned| candidate(&names[0], 800, owned);
    let large = |owned| candidate(&names[1], 3300, owned);
    assert!(small(1).should_hand_over(&large(0)));
    assert!(!small(1).should_hand_over(&large(3)));
    assert!(!small(0).should_hand_over(&large(0)));
    assert!(!large(1).should_hand_over(&small(0)));
    // Alike: two against none is not enough for a change of hands, three is.
    let (own, other) = (candidate(&names[0], 1600, 2), candidate(&names[1], 1600, 0));
    assert!(!own.should_hand_over(&other));
    assert!(Candidate { owned: 3, ..own }.should_hand_over(&other));
}

#[test]
fn a_process_of_a_release_that_told_no_strength_comes_last() {
    let names = names(2);
    let pool: PoolName = "p".parse().unwrap();
    let unknown = candidate(&names[0], 0, 0);
    let known = candidate(&names[1], 800, 3);
    assert!(known.precedes(&unknown, &pool));
    assert!(!unknown.precedes(&known, &pool));
}

/// The time in which a pool has to have its next owner, whatever is lost: what is left of a worker's lease of 4.5 s after an owner
/// was silent for 1.1 s.
const NEXT_TIME: Millis = Millis(3400);

/// Candidates waited for each other one by one, 60 ms each: with the best sixty hosts gone the next owner came after 3.6 s, and with
/// three hundred gone after 18 s.
#[test]
fn the_next_owner_comes_within_a_bound_however_many_candidates_are_gone() {
    let pool: PoolName = "p".parse().unwrap();
    for count in [9, 60, 585, 1200, 4531] {
        let names = names(count);
        let all: Vec<Candidate<'_>> = names.iter().map(|node| candidate(node, 6666, 0)).collect();
        let last = &all[count - 1];
        let others = || all.iter().filter(|other| *other != last).copied();
        // A weak process that is no member waits longest, since all of them go before it.
        let weak: NodeName = "weak".parse().unwrap();
        for (own, member) in [(*last, true), (candidate(&weak, 800, 0), false)] {
            let wait = delay(&pool, &own, member, others());
            assert!(wait <= NEXT_TIME, "{wait} ms with {count} processes");
        }
    }
}

/// Whoever comes after the first candidates is spread, so that hundreds do not write the same row at the same moment.
#[test]
fn processes_that_are_no_members_do_not_come_together() {
    let (pool, names) = ("p".parse::<PoolName>().unwrap(), names(585));
    let strong: Vec<NodeName> = (0..16).map(|place| format!("s{place}").parse().unwrap()).collect();
    let members = || strong.iter().map(|node| candidate(node, 6666, 0));
    let mut waits: Vec<u64> = names
        .iter()
        .map(|node| delay(&pool, &candidate(node, 800, 0), false, members()).0)
        .collect();
    waits.sort_unstable();
    let most = waits.windows(20).map(|near| near[19] - near[0]).min().unwrap();
    assert!(most >= 10, "twenty within {most} ms");
}
