//! Tests of the fleet owner's record of ended workers.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::collections::BTreeMap;

use reachhead_jobs::{
    clock::Tick,
    dead_workers::{EndedWorkers, OpenOrder, Settled, UnreachableWorker},
    incarnation::Incarnation,
    ports::{PlatformHost, PlatformHostState},
};
use reachhead_types::{
    id::{HostId, PoolName, WorkerId},
    size::{Millis, Revision},
};

const FIRST_OWNER: Revision = Revision(10);
const SECOND_OWNER: Revision = Revision(20);

fn pool() -> PoolName {
    "p".parse().unwrap()
}

fn incarnation(started_at: u64) -> Incarnation {
    Incarnation::new("w".parse().unwrap()).with_start(Some(Millis(started_at)))
}

fn unreachable(started_at: u64) -> [UnreachableWorker; 1] {
    [UnreachableWorker { pool: pool(), incarnation: incarnation(started_at) }]
}

/// Returns the platform's list of one host, with the worker that it has.
fn hosts(worker: Option<&str>) -> BTreeMap<HostId, PlatformHost> {
    let host: HostId = "h".parse().unwrap();
    let listed = PlatformHost {
        host: host.clone(),
        pool: pool(),
        zone: None,
        state: if worker.is_some() { PlatformHostState::Up } else { PlatformHostState::Down },
        worker: worker.map(|id| id.parse::<WorkerId>().unwrap()),
    };
    BTreeMap::from([(host, listed)])
}

/// Returns a list of workers that has one, with its start.
fn registered(started_at: u64) -> impl Fn(&WorkerId) -> Option<Millis> {
    move |id| (*id == incarnation(started_at).worker).then_some(Millis(started_at))
}

/// Returns the incarnations of which the owner with this lease is notified.
fn notified(workers: &mut EndedWorkers, lease: Revision, now: Tick) -> Vec<Incarnation> {
    let found = workers.unnotified(|_| Some(lease), now).remove(&pool()).unwrap_or_default();
    workers.record_notified(&pool(), lease);
    found
}

/// A successor of a pool's owner does not wait for a worker that is gone: it is notified as well.
#[test]
fn each_owner_is_notified_once_of_a_worker_that_stays_gone() {
    let mut workers = EndedWorkers::new();
    let settled = workers.settle(&hosts(None), &unreachable(1), registered(1), Tick(0));
    assert_eq!(settled.ended, [(pool(), incarnation(1))]);
    for (lease, now) in [(FIRST_OWNER, Tick(100)), (SECOND_OWNER, Tick(5000))] {
        workers.settle(&hosts(None), &[], registered(1), now);
        assert_eq!(notified(&mut workers, lease, now), [incarnation(1)]);
        assert_eq!(notified(&mut workers, lease, now), []);
    }
}

/// A worker that crashed twice within twelve seconds was reported once. The owner of its pool took the
/// second end for known and waited until the leases there had expired.
#[test]
fn a_worker_that_ends_again_soon_after_its_restart_is_reported_again() {
    let mut workers = EndedWorkers::new();
    workers.settle(&hosts(None), &unreachable(1), registered(1), Tick(0));
    assert_eq!(notified(&mut workers, FIRST_OWNER, Tick(100)), [incarnation(1)]);
    workers.settle(&hosts(Some("w")), &[], registered(1), Tick(2000));
    workers.settle(&hosts(None), &unreachable(2), registered(1), Tick(4000));
    assert_eq!(notified(&mut workers, FIRST_OWNER, Tick(4100)), [incarnation(2)]);
}

/// The same if no list was read while the worker was up.
#[test]
fn a_later_end_replaces_an_earlier_one() {
    let mut workers = EndedWorkers::new();
    workers.settle(&hosts(None), &unreachable(1), registered(1), Tick(0));
    assert_eq!(notified(&mut workers, FIRST_OWNER, Tick(100)), [incarnation(1)]);
    workers.settle(&hosts(None), &unreachable(2), registered(1), Tick(4000));
    assert_eq!(notified(&mut workers, FIRST_OWNER, Tick(4100)), [incarnation(2)]);
    workers.settle(&hosts(None), &unreachable(1), registered(1), Tick(4200));
    assert_eq!(notified(&mut workers, SECOND_OWNER, Tick(4300)), [incarnation(2)]);
}

/// The end of a worker was repeated to successors although a host had the worker again. Where no start
/// times are known, nothing told the successor that it was about an earlier incarnation.
#[test]
fn an_end_is_not_repeated_once_a_host_has_the_worker_again() {
    let mut workers = EndedWorkers::new();
    let unknown = Incarnation::new("w".parse().unwrap());
    let unreachable = [UnreachableWorker { pool: pool(), incarnation: unknown.clone() }];
    workers.settle(&hosts(None), &unreachable, registered(1), Tick(0));
    assert_eq!(notified(&mut workers, FIRST_OWNER, Tick(100)), [unknown]);
    workers.settle(&hosts(Some("w")), &[], registered(1), Tick(2000));
    assert_eq!(notified(&mut workers, SECOND_OWNER, Tick(2100)), []);
}

/// An order ended a worker that was back under its id before the platform's hosts were listed again.
/// The order stayed open, and its host was not moved any more.
#[test]
fn an_order_is_settled_when_the_worker_is_back_under_its_id() {
    let host: HostId = "h".parse().unwrap();
    let mut workers = EndedWorkers::new();
    let order = OpenOrder { pool: pool(), incarnation: incarnation(1), maintenance: true };
    workers.record_order(&host, order);
    let settled = workers.settle(&hosts(Some("w")), &[], registered(1), Tick(0));
    assert_eq!(settled, Settled::default(), "the order may have had no effect yet");
    let settled = workers.settle(&hosts(Some("w")), &[], registered(2), Tick(2000));
    assert_eq!(settled.maintained, vec![host.clone()]);
    assert!(!workers.is_open(&host));
    assert_eq!(notified(&mut workers, FIRST_OWNER, Tick(2100)), [incarnation(1)]);
}
