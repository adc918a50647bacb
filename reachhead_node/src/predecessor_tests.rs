//! An owner counts as ended only if nothing that it ordered can still come.

use std::sync::Arc;

use reachhead_jobs::{
    clock::Tick,
    record::{LeaseRecord, SettledRecord, lease_key, settled_key, value},
};
use reachhead_store::row::Row;
use reachhead_types::size::{Revision, WorkerCount};
use serde_json::json;

use super::*;
use crate::{claim, lease::Taking, node::Node, peer::Pong, tests::broken_node, view::PeerStatus};

/// When the lease was first seen.
const SINCE: Tick = Tick(5000);

fn pool() -> PoolName {
    "a".parse().unwrap()
}

fn lease(owner: &str, address: &str) -> LeaseView {
    let record = json!({ "owner": owner, "address": address, "term": 3 });
    let record = serde_json::from_value(record).unwrap();
    LeaseView { record, revision: Revision(7), since: SINCE, taken_from: None }
}

/// Returns whether the owner has ended by its answer to a call that was sent at `asked`.
fn has_ended_by(node: &Node, asked: Tick, pong: Pong) -> bool {
    let address = "127.0.0.1:7060".parse().unwrap();
    let status =
        PeerStatus { asked, at: SINCE + reachhead_types::size::Millis(900), address, pong };
    node.view().peers.insert("front-b-1".parse().unwrap(), status);
    let lease = lease("front-b-1", "127.0.0.1:7060");
    node.view().predecessor(&pool(), &lease, &node.settings).has_ended
}

/// Orders of an owner that goes on have effect after its successor counts it as ended.
#[test]
fn an_owner_has_ended_only_if_it_has_answered_so_since_its_lease() {
    let (node, _) = broken_node::node();
    let later = Tick(SINCE.0 + 1);
    let absent = Pong::default();
    assert!(has_ended_by(&node, later, absent.clone()));
    assert!(!has_ended_by(&node, SINCE, absent.clone()), "it may have taken the lease since");
    let owned = |token| [(pool(), Revision(token))].into();
    assert!(!has_ended_by(&node, later, Pong { owned: owned(7), ..absent.clone() }));
    assert!(has_ended_by(&node, later, Pong { owned: owned(6), ..absent.clone() }));
    let stalled = [pool()].into();
    assert!(!has_ended_by(&node, later, Pong { stalled, ..absent }), "it may go on");
}

/// A process that was started anew at another address says nothing about the one before it, which may
/// be frozen and go on. A status is kept by name, whichever address it is from.
#[test]
fn an_owner_has_not_ended_because_a_process_at_another_address_answers() {
    let (node, _) = broken_node::node();
    let name: reachhead_types::id::NodeName = "front-b-1".parse().unwrap();
    let pong = Pong { node: Some(name.clone()), ..Pong::default() };
    assert!(has_ended_by(&node, Tick(SINCE.0 + 1), pong));
    let lease = lease("front-b-1", "127.0.0.2:7060");
    assert!(!node.view().predecessor(&pool(), &lease, &node.settings).has_ended);
}

/// The address of an owner may have been given to another process.
#[test]
fn an_owner_has_not_ended_because_another_process_answers_at_its_address() {
    let (node, _) = broken_node::node();
    let pong = Pong { node: Some("front-c-1".parse().unwrap()), ..Pong::default() };
    assert!(!has_ended_by(&node, Tick(SINCE.0 + 1), pong));
}

/// A process whose write of the lease is not answered yet becomes the owner with the answer, though
/// others have known its lease for long.
#[test]
fn a_process_that_writes_a_lease_does_not_deny_the_pool() {
    let (node, _) = broken_node::node();
    let pool = pool();
    let taking = Taking::new(&node, &pool);
    assert!(claim::claims(&node).stalled.contains(&pool));
    drop(taking);
    assert!(claim::claims(&node).stalled.is_empty());
}

/// The name of a process alone does not show that an earlier one with it has ended.
#[test]
fn an_earlier_process_has_ended_if_this_one_has_its_address() {
    let (node, _) = broken_node::node();
    let (own, address) = (node.settings.node.to_string(), node.settings.peer.to_string());
    let has_ended =
        |lease: LeaseView| node.view().predecessor(&pool(), &lease, &node.settings).has_ended;
    assert!(has_ended(lease(&own, &address)));
    assert!(!has_ended(lease(&own, "127.0.0.2:7060")));
    let mut unknown = lease(&own, &address);
    unknown.record.address = None;
    assert!(!has_ended(unknown), "an earlier release did not write it");
}

/// An earlier release follows the table of leases, too, and would take the row for a pool's lease.
#[test]
fn the_row_of_a_settled_pool_is_no_lease_for_an_earlier_release() {
    let record = SettledRecord::new(FencingToken(7)).with_workers(WorkerCount(3));
    let row = Row { key: settled_key(&pool()), value: value(&record), revision: Revision(8) };
    assert!(row.parse::<LeaseRecord>().is_err());
    let part = reachhead_jobs::record::part_of;
    assert_eq!(part(&row.key.0), part(&lease_key(&pool()).0), "they are written together");
}

#[test]
fn a_settled_row_counts_for_its_lease_alone() {
    let (node, _) = broken_node::node();
    let node: Arc<Node> = node;
    let lease = lease("front-b-1", "127.0.0.1:7060");
    let is_settled = || node.view().predecessor(&pool(), &lease, &node.settings).is_settled;
    assert!(!is_settled());
    node.view().settled.insert(pool(), SettledRecord::new(FencingToken(6)));
    assert!(!is_settled(), "the owner before it was settled");
    node.view().settled.insert(pool(), SettledRecord::new(FencingToken(7)));
    assert!(is_settled());
}
