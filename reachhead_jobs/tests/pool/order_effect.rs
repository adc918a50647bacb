//! How long a new owner counts on orders of earlier owners.

use reachhead_jobs::{
    clock::with_drift,
    order_effect::{OrderEffect, Predecessor, order_effect},
    record::{LeaseRecord, lease_key, settled_key},
};
use reachhead_store::row::{Commit, Txn};
use reachhead_types::size::{Millis, Revision};
use serde_json::json;

use crate::fixture::{Fixture, info, pool_name, recovered, step, timeouts, worker};

/// Returns how long the leases of an owner last.
fn leases() -> Millis {
    with_drift(timeouts().hold)
}

fn full() -> Millis {
    timeouts().takeover_delay()
}

/// Returns the lease of an owner that found that orders before it had effect for `before`.
fn held(before: Option<Millis>) -> LeaseRecord {
    let lease = json!({ "owner": "n", "term": 1, "open": before });
    serde_json::from_value(lease).unwrap()
}

fn effect(record: &LeaseRecord, has_ended: bool, is_settled: bool) -> Millis {
    let predecessor = Predecessor { record, has_ended, is_settled };
    order_effect(&timeouts(), Some(predecessor)).longest()
}

/// Owners that were killed one after the other made tasks wait anew for the time of an owner that
/// may be alive, although each had certainly ended.
#[test]
fn an_owner_that_has_ended_leaves_its_leases_and_what_it_found() {
    assert_eq!(order_effect(&timeouts(), None), OrderEffect::default());
    assert_eq!(effect(&held(Some(full())), true, true), leases());
    assert_eq!(effect(&held(Some(full())), true, false), full(), "none of its time has passed");
    assert_eq!(effect(&held(Some(Millis(0))), true, false), leases(), "its own leases");
    let between = Millis(leases().0 + 100);
    assert_eq!(effect(&held(Some(between)), true, false), between);
    assert_eq!(effect(&held(None), true, false), full(), "an earlier release does not tell");
}

/// An owner that may be alive goes on until it notices its successor.
#[test]
fn an_owner_that_may_be_alive_gives_orders_whatever_it_recorded() {
    for is_settled in [false, true] {
        assert_eq!(effect(&held(Some(Millis(0))), false, is_settled), full());
    }
    let longer = Millis(full().0 + 5000);
    assert_eq!(effect(&held(Some(longer)), false, false), longer, "owners before it, too");
}

/// A takeover that is given up adds nothing of its own and loses nothing.
#[test]
fn abandoned_takeovers_pass_on_what_they_found() {
    for before in [Millis(0), leases(), full(), Millis(full().0 + 5000)] {
        let record = held(Some(before)).abandoned(before);
        assert_eq!(effect(&record, true, false), before.max(leases()));
    }
}

/// Returns whether a transaction records that the pool is settled, and depends on the lease then.
fn settles(txn: &Txn) -> bool {
    let settles = txn.writes.iter().any(|write| write.key == settled_key(&pool_name()));
    let is_lease = |key| key == lease_key(&pool_name());
    assert!(!settles || txn.checks.iter().any(|check| is_lease(check.key.clone())));
    settles
}

/// Performs all transactions, and returns how many of them record that the pool is settled.
fn settlements(fixture: &mut Fixture) -> usize {
    let mut count = 0;
    for revision in 300..310 {
        fixture.advance(50);
        fixture.poll();
        while let Some(batch) = fixture.batch() {
            count += usize::from(settles(&batch.txn));
            let commit = Commit::Done(Revision(revision));
            assert!(fixture.pool.decided(&batch, &commit, fixture.now));
        }
    }
    count
}

/// A successor that finds the row waits for the leases of this owner alone.
#[test]
fn a_pool_is_recorded_as_settled_once_no_predecessors_order_is_left() {
    let found = || recovered(vec![(1, vec![step(1)])], vec![("w", None), ("gone", None)]);
    let mut fixture = Fixture::new(found(), vec![info("w", 4)]);
    assert_eq!(settlements(&mut fixture), 0);
    fixture.report(&worker("w"));
    assert_eq!(settlements(&mut fixture), 0, "one worker has not answered");
    fixture.advance(full().0);
    assert_eq!(settlements(&mut fixture), 1);
    assert_eq!(settlements(&mut fixture), 0, "it is written once");

    let mut unfenced = found();
    unfenced.fences.pop_first();
    let mut fixture = Fixture::new(unfenced, vec![info("w", 4)]);
    fixture.advance(2 * full().0);
    assert_eq!(settlements(&mut fixture), 0, "an owner may take its commits for a confirmation");
}

/// A transaction that the store rejects for its content is repeated without end.
#[test]
fn a_rejected_settled_row_is_not_written_again() {
    let mut fixture = Fixture::new(recovered(vec![], vec![]), Vec::new());
    fixture.poll();
    let batch = fixture.batch().unwrap();
    assert!(settles(&batch.txn));
    fixture.pool.rejected(&batch, fixture.now);
    assert_eq!(settlements(&mut fixture), 0);
}
