//! Earlier owners that answer, and the row that a successor counts on from.

use std::sync::atomic::Ordering;

use reachhead_jobs::{
    record::{LeaseRecord, part_of},
    shard::Shard,
};
use reachhead_store::row::Row;
use reachhead_types::size::Revision;
use serde_json::json;

use super::*;
use crate::{
    election, failure_detector, lease,
    peer::Pong,
    tests::{broken_node, paused_runtime},
    view::PeerStatus,
};

fn pool() -> PoolName {
    "a".parse().unwrap()
}

/// Lets this process hold the pool after an owner that may go on.
fn hold(node: &Node) {
    let earlier = json!({ "owner": "front-b-1", "address": "127.0.0.1:7060", "term": 3, "open": 0,
        "earlier": { "ended": 0 } });
    let earlier = serde_json::from_value(earlier).unwrap();
    node.view().update_lease(pool(), earlier, Revision(7), Tick(10));
    let known = node.view().leases[&pool()].clone();
    let now = node.now();
    let effect = election::order_effect(node, &pool(), Some(&known), now);
    let record = LeaseRecord {
        owner: Some(node.settings.node.clone()),
        address: Some(node.settings.peer),
        earlier: effect.earlier_owners(now),
        ..known.record
    };
    node.view().update_lease(pool(), record, Revision(9), Tick(20));
}

/// Returns whether the earlier owner counts as ended by its answer, from this address.
fn ends(node: &Node, address: &str, pong: Pong) -> bool {
    let (asked, at) = (Tick(30), Tick(40));
    let status = PeerStatus { asked, at, address: address.parse().unwrap(), pong };
    node.view().peers.insert("front-b-1".parse().unwrap(), status);
    let earlier: LeaseRecord = node.view().leases[&pool()].record.clone();
    let held =
        LeaseView { record: earlier, revision: Revision(9), since: Tick(20), taken_from: None };
    let effect = election::order_effect(node, &pool(), Some(&held), node.now());
    effect.open().is_empty()
}

/// Tasks waited 8.6 s for orders of an owner that had answered long before that it gave up.
#[test]
fn an_earlier_owner_is_asked_until_it_answers_that_it_gave_up() {
    let (node, _) = broken_node::node();
    hold(&node);
    let asked = failure_detector::ping_targets(&node, &mut Tick(u64::MAX), Tick(100));
    let expected = ("front-b-1".parse().unwrap(), "127.0.0.1:7060".parse().unwrap());
    assert!(asked.into_iter().any(|target| target == expected), "this process is no member");
    let owned = [(pool(), Revision(7))].into();
    assert!(!ends(&node, "127.0.0.1:7060", Pong { owned, ..Pong::default() }), "it goes on");
    assert!(!ends(&node, "127.0.0.2:7060", Pong::default()), "another process of its name");
    assert!(ends(&node, "127.0.0.1:7060", Pong::default()));
}

/// An earlier release follows the table of leases, too, and would take the row for a pool's lease.
#[test]
fn the_row_of_a_fenced_pool_is_no_lease_for_an_earlier_release() {
    let record = FencedRecord { token: FencingToken(7), left: Millis(9) };
    let row = Row { key: fenced_key(&pool()), value: value(&record), revision: Revision(8) };
    assert!(row.parse::<LeaseRecord>().is_err());
    assert_eq!(part_of(&row.key.0), part_of(&lease_key(&pool()).0), "they are written together");
}

/// A process that was killed soon after it had fenced all shards left no row, so its successor counted the
/// time from the start: the row waited for a period, where no owner may go on or an answer was lost.
#[test]
fn the_row_of_fences_is_written_at_once_and_again_after_a_lost_answer() {
    paused_runtime().block_on(async {
        let (node, store) = broken_node::node();
        let lease = lease::take(&node, &pool(), None, None).await.unwrap().unwrap();
        let fences = Arc::new(Fences::default());
        let now = node.now();
        let mut effect = election::order_effect(&node, &pool(), None, now);
        effect.renew(now);
        let handle = OwnerHandle::new(lease.revision).0;
        let fences_seen = Arc::clone(&fences);
        let earlier =
            EarlierOwners { node: Arc::clone(&node), pool: pool(), lease, fences, handle };
        let watching =
            tokio::spawn(async move { earlier.watch(&watch::Sender::new(effect)).await });
        time::sleep(Duration::from_millis(100)).await;
        store.lost.store(1, Ordering::Relaxed);
        for shard in Shard::all() {
            fences_seen.record(shard, node.now());
        }
        time::sleep(Duration::from_millis(500)).await;
        let rows = node.services.store.read(vec![fenced_key(&pool())]).await.unwrap();
        assert!(rows[0].is_some(), "nothing was written");
        watching.abort();
    });
}
