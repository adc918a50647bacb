//! Slots of a minion assigned to entry hosts: no slot is used twice, whichever list each host has.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::time::Duration;

use quickcheck::TestResult;
use reachhead_path::share::{ShareHistory, score, slot_owners};
use reachhead_property::properties;
use reachhead_types::{boot_instant::BootInstant, id::Incarnation, member::MemberId};

fn host(number: u8) -> MemberId {
    member(number, 0)
}

fn member(number: u8, incarnation: u64) -> MemberId {
    MemberId { host: format!("e{number}").parse().unwrap(), incarnation: Incarnation(incarnation) }
}

/// The naive implementation: assigns one slot after the other to the hosts without an even share.
fn naive_owners(hosts: &[MemberId], minion: &str, slots: u32) -> Vec<usize> {
    let mut left: Vec<u32> = vec![slots.div_ceil(hosts.len().max(1) as u32); hosts.len()];
    let mut result = Vec::new();
    for slot in 0..slots {
        let open: Vec<usize> = (0..hosts.len()).filter(|&index| left[index] > 0).collect();
        let winner = open.iter().copied().find(|&one| {
            open.iter().all(|&other| {
                one == other || has_higher_score(&hosts[one], &hosts[other], minion, slot)
            })
        });
        if let Some(winner) = winner {
            left[winner] -= 1;
            result.push(winner);
        }
    }
    result
}

fn has_higher_score(one: &MemberId, other: &MemberId, minion: &str, slot: u32) -> bool {
    score(one, minion, slot) > score(other, minion, slot)
}

properties! {
    fn owners_are_those_of_the_naive_version(count: u8, slots: u8) -> bool {
        let hosts: Vec<MemberId> = (0..count % 12).map(host).collect();
        let slots = u32::from(slots % 40);
        slot_owners(&hosts, "alpha/m1", slots) == naive_owners(&hosts, "alpha/m1", slots)
    }

    fn parts_are_even_to_within_one_round(count: u8, slots: u8) -> bool {
        let hosts: Vec<MemberId> = (0..count % 12 + 1).map(host).collect();
        let slots = u32::from(slots);
        let owners = slot_owners(&hosts, "alpha/m1", slots);
        let even_share = slots.div_ceil(hosts.len() as u32) as usize;
        (0..hosts.len())
            .all(|index| owners.iter().filter(|&&owner| owner == index).count() <= even_share)
    }

    fn hosts_with_one_list_use_each_slot_once(count: u8, slots: u8) -> TestResult {
        let count = count % 12 + 1;
        let hosts: Vec<MemberId> = (0..count).map(host).collect();
        let now = BootInstant::now();
        let hold = Duration::from_secs(1);
        let used: u32 = hosts
            .iter()
            .map(|own| {
                let mut shares = ShareHistory::new();
                shares.record_list(hosts.clone(), Some(own.clone()), now);
                shares.expire_lists(hold, now + hold);
                shares.usable_slots("alpha/m1", u32::from(slots))
            })
            .sum();
        TestResult::from_bool(used == u32::from(slots))
    }

    /// Lists change at random times, and each host notices a change after its own delay, which is
    /// shorter than half the hold. At no time do two hosts use the same slot. A host that rejoins
    /// has a new incarnation.
    fn no_slot_is_used_twice_while_lists_change(changes: Vec<(u8, u16)>, delays: Vec<u16>) -> bool {
        const HOLD: u64 = 1000;
        const NOTICE: u64 = HOLD / 2;
        let start = BootInstant::now();
        let mut lists = vec![(0, vec![host(0), host(1), host(2)])];
        let mut at = HOLD * 2;
        for (number, (which, gap)) in changes.into_iter().take(6).enumerate() {
            let mut list = lists.last().unwrap().1.clone();
            let host = member(which % 6, number as u64 + 1);
            match list.iter().position(|one| one.host == host.host) {
                Some(index) => drop(list.remove(index)),
                None => list.push(host),
            }
            list.sort();
            at += u64::from(gap) % 1500;
            lists.push((at, list));
        }
        let mut shares: Vec<ShareHistory> = (0..6).map(|_| ShareHistory::new()).collect();
        let delay = |host: usize, list: usize| {
            let seed = delays.get((host * 7 + list) % delays.len().max(1)).copied();
            u64::from(seed.unwrap_or_default()) % NOTICE
        };
        let end = at + HOLD * 3;
        (0..end).step_by(50).all(|moment| {
            let now = start + Duration::from_millis(moment);
            let mut used = 0;
            for (number, share) in shares.iter_mut().enumerate() {
                // The latest list that this host has noticed by now; it may have missed earlier
                // ones.
                let seen = lists
                    .iter()
                    .enumerate()
                    .filter(|(index, (since, _))| since + delay(number, *index) <= moment)
                    .map(|(_, (_, list))| list)
                    .next_back();
                if let Some(list) = seen {
                    let name = host(number as u8).host;
                    let own = list.iter().find(|member| member.host == name).cloned();
                    share.record_list(list.clone(), own, now);
                }
                share.expire_lists(Duration::from_millis(HOLD), now);
                used += share.usable_slots("alpha/m1", 8);
            }
            used <= 8
        })
    }
}

#[test]
fn a_new_process_uses_no_slots_before_the_hold_is_over() {
    let now = BootInstant::now();
    let hold = Duration::from_secs(3);
    let mut shares = ShareHistory::new();
    shares.record_list(vec![host(1)], Some(host(1)), now);
    assert_eq!(shares.usable_slots("alpha/m1", 8), 0);
    assert!(!shares.expire_lists(hold, now + hold / 2));
    assert!(shares.expire_lists(hold, now + hold));
    assert_eq!(shares.usable_slots("alpha/m1", 8), 8);
}

#[test]
fn a_host_that_is_removed_from_the_list_stops_at_once() {
    let now = BootInstant::now();
    let mut shares = ShareHistory::new();
    shares.record_list(vec![host(1), host(2)], Some(host(1)), now);
    shares.expire_lists(Duration::ZERO, now);
    assert!(shares.usable_slots("alpha/m1", 64) > 0);
    shares.record_list(vec![host(2)], None, now);
    assert_eq!(shares.usable_slots("alpha/m1", 64), 0);
}

#[test]
fn a_host_that_rejoined_unnoticed_waits_for_the_hold() {
    let now = BootInstant::now();
    let hold = Duration::from_secs(3);
    let mut shares = ShareHistory::new();
    shares.record_list(vec![member(1, 1)], Some(member(1, 1)), now);
    shares.expire_lists(hold, now + hold);
    assert_eq!(shares.usable_slots("alpha/m1", 8), 8);
    // The host was paused, removed from the list and has rejoined; another host may have used its
    // slots in the meantime.
    shares.record_list(vec![member(1, 2)], Some(member(1, 2)), now + hold);
    assert_eq!(shares.usable_slots("alpha/m1", 8), 0);
    shares.expire_lists(hold, now + hold * 2);
    assert_eq!(shares.usable_slots("alpha/m1", 8), 8);
}

/// A host that joins or leaves moves few slots, since a moved slot is unused for the hold.
#[test]
fn a_joining_host_moves_about_its_own_share() {
    for count in [3_u8, 6, 9] {
        let before: Vec<MemberId> = (0..count).map(host).collect();
        let after: Vec<MemberId> = (0..=count).map(host).collect();
        let mut moved = 0;
        let minions = 100;
        for minion in 0..minions {
            let minion = format!("alpha/m{minion}");
            let old = slot_owners(&before, &minion, 8);
            let new = slot_owners(&after, &minion, 8);
            moved += (0..8).filter(|&slot| before[old[slot]] != after[new[slot]]).count();
        }
        let share = moved as f64 / f64::from(8 * minions);
        let own_share = 1.0 / f64::from(count + 1);
        assert!(share < own_share * 3.0, "{count} hosts: {share:.2} of the slots moved");
    }
}
