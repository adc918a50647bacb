//! Random schedules of controllers that crash, pause, lose calls and hold false views of each
//! other, with moves and waves in progress: each host is in one pool, and planned work exceeds no
//! budget.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

mod cluster;
mod platform;

use std::collections::BTreeMap;

use reachhead_pool::{
    budget::MinionPlacements,
    lease::{Candidate, preferred_owner, score},
};
use reachhead_property::{check, properties};
use reachhead_store::keys;
use reachhead_types::{
    fleet::{Fleet, RowKey},
    id::{HostId, Incarnation, PoolName},
    member::MemberId,
    size::Version,
};
use serde_json::{Value, json};

use crate::cluster::Cluster;

const CONTROLLERS: u8 = 3;
const POOLS: u8 = 3;
const HOSTS: u8 = 4;

/// Minions of a service that may be unavailable at once.
const MAX_UNAVAILABLE: usize = 1;

fn pool(number: u8) -> PoolName {
    format!("p{}", number % POOLS).parse().unwrap()
}

fn host_id(number: u8) -> HostId {
    format!("h{}", number % HOSTS).parse().unwrap()
}

/// Returns the placements of two services: one with a minion on each host, one with minions on two
/// hosts.
fn placements() -> MinionPlacements {
    let mut rows = vec![
        ("group/top".to_owned(), json!({})),
        ("pool/p0".to_owned(), json!({ "group": "top" })),
    ];
    for service in ["s0", "s1"] {
        let row = json!({ "group": "top", "pool": "p0", "max_unavailable": MAX_UNAVAILABLE });
        rows.push((format!("service/{service}"), row));
    }
    let minions = [("s0", 0), ("s0", 1), ("s0", 2), ("s0", 3), ("s1", 1), ("s1", 3)];
    for (service, number) in minions {
        let row = json!({
            "address": "127.0.0.1:1", "zone": "z", "host": host_id(number).to_string(),
        });
        rows.push((format!("minion/{service}/m{number}"), row));
    }
    let rows: BTreeMap<RowKey, Value> =
        rows.into_iter().map(|(key, value)| (key.parse().unwrap(), value)).collect();
    MinionPlacements::new(&Fleet::from_rows(Version(1), &rows).unwrap())
}

/// Number of random schedules; few of them have two pools that spend the same budget at once.
const SCHEDULES: u64 = 400;

#[test]
fn a_host_is_in_one_pool_and_planned_work_keeps_every_budget() {
    fn is_schedule_safe(actions: Vec<(u8, u8, u8)>) -> bool {
        let mut cluster = Cluster::new();
        for action in actions {
            cluster.apply(action);
        }
        let is_settled = cluster.settle();
        let violations = cluster.platform.violations();
        if !is_settled || !violations.is_empty() {
            eprintln!("settled: {is_settled}, violations: {violations:?}");
        }
        is_settled && violations.is_empty()
    }
    check("a_host_is_in_one_pool", SCHEDULES, is_schedule_safe as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn a_lease_row_that_cannot_be_parsed_is_not_taken_for_a_free_lease() {
    let mut cluster = Cluster::new();
    let lease = json!({ "owner": "in words that this release does not know", "epoch": 7 });
    cluster.platform.write(keys::lease(&pool(0)), lease.clone());
    // Timeouts are zero here, so a lease that counts as free would be acquired.
    cluster.settle();
    assert_eq!(cluster.platform.value(&keys::lease(&pool(0))), Some(lease));
}

properties! {
    fn the_preferred_owner_is_the_naive_one_and_few_pools_change_hands(count: u8, gone: u8) -> bool {
        let count = count % 9 + 2;
        let mut candidates: Vec<Candidate> = (0..count)
            .map(|number| Candidate {
                id: MemberId { host: format!("e{number}").parse().unwrap(), incarnation: Incarnation(0) },
                is_silent: false,
            })
            .collect();
        let pools: Vec<PoolName> = (0..90).map(|number| format!("q{number}").parse().unwrap()).collect();
        let owners = |candidates: &[Candidate]| -> Vec<MemberId> {
            pools.iter().map(|pool| preferred_owner(pool, candidates).unwrap().clone()).collect()
        };
        let before = owners(&candidates);
        let naive = pools.iter().map(|pool| {
            let mut best = &candidates[0].id;
            for candidate in &candidates {
                if score(&candidate.id, pool) > score(best, pool) {
                    best = &candidate.id;
                }
            }
            best.clone()
        });
        let is_naive = naive.eq(before.iter().cloned());
        let gone = usize::from(gone % count);
        candidates[gone].is_silent = true;
        let after = owners(&candidates);
        // Only the pools of the failed host change owners.
        let is_kept = |(old, new): (&MemberId, &MemberId)| *old == candidates[gone].id || old == new;
        is_naive && before.iter().zip(&after).all(is_kept)
    }
}
