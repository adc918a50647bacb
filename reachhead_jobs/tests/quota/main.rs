//! The ledger of quotas and the owners of pools over a network that loses, repeats and delays, while both change hands.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

mod simulation;

use std::collections::BTreeMap;

use reachhead_jobs::{
    clock::Tick,
    quota::{CustomerUsage, Ledger, UsageReport},
};
use reachhead_plan::amount::Amount;
use reachhead_types::size::{FencingToken, Millis};

use self::simulation::{POOLS, Site, customer, customers, pool};

/// Walks that are played, and steps of each.
const WALKS: u64 = 400;
const STEPS: u32 = 600;

#[test]
fn no_start_brings_a_customer_above_its_quota_whatever_fails() {
    for seed in 0..WALKS {
        let mut site = Site::new(seed);
        for _ in 0..STEPS {
            site.step();
        }
        assert!(site.started > 0, "seed {seed}: nothing ever started");
    }
}

#[test]
fn a_customer_far_below_its_quota_starts_soon_once_all_is_well() {
    for seed in 0..WALKS {
        let mut site = Site::new(seed);
        for _ in 0..STEPS {
            site.step();
        }
        site.calm();
        for pool in 0..POOLS {
            assert!(site.starts_soon(pool), "seed {seed}: pool {pool} starts nothing");
        }
    }
}

fn cores(cores: u64) -> Amount {
    Amount::new(cores, 0, 0)
}

fn stated(limit: u64, used: u64, next: u64) -> CustomerUsage {
    CustomerUsage { limit: cores(limit), used: cores(used), wanted: cores(next), next: cores(next) }
}

/// Plays a round in which every owner takes its limits and wants one task of `next` more than it may start.
fn round(ledger: &mut Ledger, quota: u64, limits: &mut BTreeMap<usize, u64>, next: u64) {
    let pools: Vec<_> = (0..POOLS).map(pool).collect();
    for (name, message) in ledger.round(pools.iter(), &customers(quota), Tick(1)) {
        let place = pools.iter().position(|pool| *pool == name).unwrap();
        let limit = limits.entry(place).or_default();
        if message.owner.is_some() {
            *limit = message.limits.get(&customer()).map_or(*limit, |limit| limit.cores);
        }
        let customers = BTreeMap::from([(customer(), stated(*limit, 0, next))]);
        let report = UsageReport { owner: FencingToken(9), whole: true, customers };
        ledger.process_report(&name, &message, report, Tick(1));
    }
}

#[test]
fn a_quota_too_small_for_a_task_in_each_pool_goes_to_whole_tasks() {
    let mut ledger = Ledger::new(FencingToken(1), Millis(0), Tick(0));
    let mut limits = BTreeMap::new();
    for _ in 0..4 {
        round(&mut ledger, 8000, &mut limits, 3300);
    }
    let able = limits.values().filter(|limit| **limit >= 3300).count();
    assert_eq!(able, 2, "{limits:?}");
    assert!(limits.values().sum::<u64>() <= 8000, "{limits:?}");
}

#[test]
fn a_task_larger_than_the_whole_quota_may_run_alone() {
    let mut ledger = Ledger::new(FencingToken(1), Millis(0), Tick(0));
    let mut limits = BTreeMap::new();
    for _ in 0..4 {
        round(&mut ledger, 2000, &mut limits, 3300);
    }
    assert_eq!(limits.values().filter(|limit| **limit >= 3300).count(), 1, "{limits:?}");
    assert_eq!(limits.values().sum::<u64>(), 3300, "{limits:?}");
}

#[test]
fn a_quota_that_nobody_uses_is_spread_so_that_no_pool_has_to_ask_first() {
    let mut ledger = Ledger::new(FencingToken(1), Millis(0), Tick(0));
    let mut limits = BTreeMap::new();
    for _ in 0..3 {
        round(&mut ledger, 8000, &mut limits, 0);
    }
    assert_eq!(limits.values().copied().collect::<Vec<_>>(), vec![2000; POOLS], "{limits:?}");
}

#[test]
fn an_owner_that_has_not_answered_a_new_ledger_keeps_all_limits_where_they_are() {
    let mut ledger = Ledger::new(FencingToken(1), Millis(10_000), Tick(0));
    let pools: Vec<_> = (0..POOLS).map(pool).collect();
    for time in [1, 100, 9000] {
        for (name, message) in ledger.round(pools.iter(), &customers(8000), Tick(time)) {
            assert!(message.limits.is_empty(), "raised at {time} ms: {message:?}");
            if name != pool(0) {
                let customers = BTreeMap::from([(customer(), stated(0, 0, 1000))]);
                let report = UsageReport { owner: FencingToken(9), whole: true, customers };
                ledger.process_report(&name, &message, report, Tick(time));
            }
        }
    }
    // Whatever the predecessor let that pool start has surely ended.
    let messages = ledger.round(pools.iter(), &customers(8000), Tick(10_000));
    assert!(messages.iter().any(|(_, message)| !message.limits.is_empty()));
}
