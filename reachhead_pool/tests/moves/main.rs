//! Controllers that are killed, paused, cut and wrong about each other, with moves and waves under way:
//! a host is in one pool, and no budget is overspent by planned work.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

mod site;
mod world;

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

use crate::site::Site;

const CONTROLLERS: u8 = 3;
const POOLS: u8 = 3;
const HOSTS: u8 = 4;

/// Minions of a service that may be away at once.
const LIMIT: usize = 1;

fn pool(number: u8) -> PoolName {
    format!("p{}", number % POOLS).parse().unwrap()
}

fn host_id(number: u8) -> HostId {
    format!("h{}", number % HOSTS).parse().unwrap()
}

/// Returns the loads of two services: one with a minion on each host, one with a minion on two of them.
fn loads() -> MinionPlacements {
    let mut rows = vec![
        ("group/top".to_owned(), json!({})),
        ("pool/p0".to_owned(), json!({ "group": "top" })),
    ];
    for service in ["s0", "s1"] {
        let row = json!({ "group": "top", "pool": "p0", "max_unavailable": LIMIT });
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

/// Walks of random acts; two pools that spend the same budget at once are rare among them.
const WALKS: u64 = 400;

#[test]
fn a_host_is_in_one_pool_and_planned_work_keeps_every_budget() {
    fn walk(acts: Vec<(u8, u8, u8)>) -> bool {
        let mut site = Site::new();
        for act in acts {
            site.act(act);
        }
        let is_settled = site.settle();
        let wrong = site.world.wrong();
        if !is_settled || !wrong.is_empty() {
            eprintln!("settled: {is_settled}, wrong: {wrong:?}");
        }
        is_settled && wrong.is_empty()
    }
    check("a_host_is_in_one_pool", WALKS, walk as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn a_lease_of_another_release_is_not_taken_for_a_free_one() {
    let mut site = Site::new();
    let lease = json!({ "owner": "in words that this release does not know", "epoch": 7 });
    site.world.write(keys::lease(&pool(0)), lease.clone());
    // Nobody waits for long here, so a lease that could be taken would be.
    site.settle();
    assert_eq!(site.world.value(&keys::lease(&pool(0))), Some(lease));
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
        // Only what the one that is gone had changes hands.
        let is_kept = |(old, new): (&MemberId, &MemberId)| *old == candidates[gone].id || old == new;
        is_naive && before.iter().zip(&after).all(is_kept)
    }
}
