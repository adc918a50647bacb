//! Tests of conclusions from expired leases while the owner's own lease is not confirmed: a
//! successor may have renewed the workers' leases by then.

use reachhead_jobs::{order_effect::OrderEffect, pool::Action};
use reachhead_types::{id::WorkerId, size::Millis};

use crate::fixture::{Fixture, info, recovered, step, timeouts, worker};

/// Returns a pool with a run on `w`, which stops answering, and a worker `v` without runs that goes
/// on answering. The lease of the owner was confirmed a second after that of `w` was renewed.
fn with_silent_worker() -> Fixture {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    fixture.report(&id);
    fixture.infos.push(info("v", 4));
    fixture.list();
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("v"));
    fixture.advance(1000);
    fixture.fail_poll(&id);
    fixture
}

/// Lets time pass in which the owner does not reach the store, and returns the workers on which it
/// starts tasks at the end.
fn starts_without_store(fixture: &mut Fixture, millis: u64) -> Vec<WorkerId> {
    fixture.now = fixture.now + Millis(millis);
    fixture.report(&worker("v"));
    let actions = fixture.pool.poll(fixture.now, Millis(fixture.now.0));
    Fixture::started_on(actions)
}

/// Guards against a second run: an owner that was cut off from the store and from a worker took the
/// expiry of the leases that it had given for the end of the runs there, within the time for which
/// it may give orders, while a successor had renewed the worker's lease.
#[test]
fn a_lease_that_expires_after_the_last_confirmation_ends_no_run() {
    let mut fixture = with_silent_worker();
    let expired = timeouts().hold.0 - 300;
    assert!(expired < timeouts().trust.0, "the owner may still give orders");
    let starts = starts_without_store(&mut fixture, expired);
    assert!(starts.is_empty(), "a successor may have renewed the lease");
    fixture.pool.verify(fixture.now);
    let starts = starts_without_store(&mut fixture, 0);
    assert_eq!(starts, vec![worker("v")], "no successor had come by then");
}

/// Guards against tasks that wait for the next answer to a poll of the lease table, which is up to
/// 3 s late: the lease is requested once the leases of a worker have expired, and again after a while
/// if the store does not answer.
#[test]
fn the_owners_lease_is_requested_when_the_leases_of_a_worker_with_runs_have_expired() {
    let mut fixture = with_silent_worker();
    let request = |fixture: &mut Fixture, millis| {
        fixture.now = fixture.now + Millis(millis);
        fixture.report(&worker("v"));
        let actions = fixture.pool.poll(fixture.now, Millis(fixture.now.0));
        actions.contains(&Action::ConfirmLease)
    };
    assert!(!request(&mut fixture, 2900), "no lease has expired");
    assert!(request(&mut fixture, 400));
    let asked = fixture.now;
    assert!(!request(&mut fixture, 20), "the store has not answered");
    fixture.pool.lease_read(None, fixture.now);
    assert!(!request(&mut fixture, 20), "a store that is away is not asked all the time");
    assert!(request(&mut fixture, 200));
    fixture.pool.lease_read(Some(asked), fixture.now);
    let starts = starts_without_store(&mut fixture, 0);
    assert_eq!(starts, vec![worker("v")], "the lease was in force after the expiry");
    assert!(!request(&mut fixture, 200), "nothing waits for it any more");
}

/// Guards against a second run after a takeover: orders of the predecessor have lost their effect,
/// but a successor may have adopted a run on a worker that this owner never reached.
#[test]
fn a_predecessors_orders_that_expire_after_the_last_confirmation_end_no_run() {
    let effect = Millis(timeouts().trust.0 - 500);
    let mut found = recovered(vec![(1, vec![step(1)])], vec![("w", None), ("v", None)]);
    found.effect = OrderEffect::new(&timeouts()).with_unknown(effect);
    let mut fixture = Fixture::new(found, vec![info("w", 4), info("v", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.fail_poll(&worker("w"));
    let starts = starts_without_store(&mut fixture, effect.0 + 100);
    assert!(starts.is_empty(), "a successor may have adopted a run on the silent worker");
    fixture.pool.verify(fixture.now);
    let starts = starts_without_store(&mut fixture, 0);
    assert_eq!(starts, vec![worker("v")], "no successor had come by then");
}
