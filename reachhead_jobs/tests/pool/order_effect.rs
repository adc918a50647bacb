//! How long a new owner counts on orders of earlier owners.

use reachhead_jobs::{
    clock::{Tick, with_drift},
    order_effect::{FencedBound, OrderEffect, Predecessor, order_effect},
    record::{EarlierOwners, JobRecord, LeaseRecord, SettledRecord, lease_key, settled_key},
};
use reachhead_store::row::{Commit, Txn};
use reachhead_types::{
    id::JobId,
    size::{FencingToken, Millis, Revision},
};
use serde_json::json;

use crate::fixture::{self, Fixture, START, info, pool_name, recovered, step, timeouts, worker};

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

/// Returns the time that counts from when the new owner has fenced all shards, at once.
fn effect(record: &LeaseRecord, has_ended: bool, is_settled: bool) -> Millis {
    let lease = Predecessor { is_settled, has_ended, ..lease(record, 1, START) };
    let mut effect = order_effect(&timeouts(), Some(lease), START);
    effect.fence(START);
    effect.until().unwrap().since(START)
}

/// Returns the lease as a process sees it that first saw it at `since`; its owner has ended.
fn lease(record: &LeaseRecord, token: u64, since: Tick) -> Predecessor<'_> {
    let token = FencingToken(token);
    Predecessor { record, token, since, has_ended: true, is_settled: false, fenced: None }
}

/// Owners that were killed one after the other made tasks wait anew for the time of an owner that
/// may be alive, although each had certainly ended.
#[test]
fn an_owner_that_has_ended_leaves_its_leases_and_what_it_found() {
    let first = order_effect(&timeouts(), None, START);
    assert_eq!(first, OrderEffect::new(&timeouts()));
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
        let record = held(Some(before)).abandoned(before, None);
        assert_eq!(effect(&record, true, false), before.max(leases()));
    }
}

/// Each successor counted the whole time of a silent owner from its own fences, so that tasks waited for
/// as long as owners were lost in a row.
#[test]
fn the_time_of_a_silent_owner_passes_whoever_owns_the_pool() {
    let after = |time| START + Millis(time);
    let mut silent = held(Some(Millis(0)));
    silent.address = Some("127.0.0.1:7060".parse().unwrap());
    silent.earlier = Some(EarlierOwners::default());
    let open = Predecessor { has_ended: false, ..lease(&silent, 1, START) };
    let mut second = order_effect(&timeouts(), Some(open), START);
    assert_eq!(second.until(), None, "its commits may confirm its lease");
    let record = LeaseRecord { earlier: second.earlier_owners(START), ..silent };
    second.fence(after(100));
    assert_eq!(second.until(), Some(after(100 + full().0)));

    // The second owner ends before it is settled, and its successor sees its rows.
    let bound = FencedBound { token: FencingToken(2), until: second.until().unwrap() };
    let mut known = lease(&record, 2, after(50));
    let unfenced = order_effect(&timeouts(), Some(known), after(3000));
    assert_eq!(unfenced.until(), None, "a shard may not have been fenced");
    known.fenced = Some(bound);
    let mut third = order_effect(&timeouts(), Some(known), after(3000));
    assert_eq!(third.until(), second.until());
    third.fence(after(6000));
    assert_eq!(third.until(), second.until(), "the later fences add nothing");
    assert!(third.end_owner(FencingToken(1), after(3500)));
    assert_eq!(third.until(), Some(after(3500 + leases().0)), "it has answered");

    // A row of an owner before the silent one tells nothing of it.
    known.fenced = Some(FencedBound { token: FencingToken(1), ..bound });
    assert_eq!(order_effect(&timeouts(), Some(known), after(3000)).until(), None);
    let record = LeaseRecord { earlier: None, ..record.clone() };
    known.record = &record;
    assert_eq!(order_effect(&timeouts(), Some(known), after(3000)).until(), None, "unlisted");
}

/// Guards against tasks that wait on although all earlier owners have answered.
#[test]
fn a_task_starts_once_a_silent_owner_has_answered_and_its_leases_are_over() {
    let mut found = recovered(vec![(1, vec![step(1)])], vec![("w", None), ("gone", None)]);
    let silent =
        LeaseRecord { address: Some("127.0.0.1:7060".parse().unwrap()), ..held(Some(Millis(0))) };
    let open = Predecessor { has_ended: false, is_settled: true, ..lease(&silent, 1, START) };
    found.effect = order_effect(&timeouts(), Some(open), START);
    let mut effect = found.effect.clone();
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    settlements(&mut fixture);
    fixture.report(&worker("w"));
    effect.fence(START);
    effect.end_owner(FencingToken(1), fixture.now);
    fixture.pool.know_effect(effect);
    fixture.submit(2, vec![step(1)]);
    fixture.advance(leases().0 - 100);
    assert!(fixture.starts().is_empty(), "a lease of that owner may last, for the new job as well");
    fixture.advance(200);
    assert_eq!(fixture.starts().len(), 2);
    assert!(!fixture.pool.may_change_owner(fixture.now), "others have to start as well");
    fixture.advance(3000);
    fixture.poll();
    assert!(fixture.pool.may_change_owner(fixture.now));
}

/// Returns the pool of an owner one of whose workers does not answer, after an owner that has ended or may
/// go on.
fn successor_of(has_ended: bool) -> Fixture {
    let mut found = recovered(vec![], vec![("w", None), ("gone", None)]);
    let address = Some("127.0.0.1:7060".parse().unwrap());
    let record = LeaseRecord { address, ..held(Some(Millis(0))) };
    let before = Predecessor { has_ended, is_settled: true, ..lease(&record, 1, START) };
    found.effect = order_effect(&timeouts(), Some(before), START);
    found.knows_storer = true;
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    settlements(&mut fixture);
    fixture.report(&worker("w"));
    fixture
}

/// Lets a read of the store find a job that the owner with this token has stored.
fn find(fixture: &mut Fixture, stored_by: Option<u64>) {
    let record = JobRecord {
        stored_by: stored_by.map(FencingToken),
        ..fixture::record(vec![step(1)], START.0 + 1000)
    };
    let (now, wall) = (fixture.now, Millis(fixture.now.0));
    fixture.pool.submit_found(JobId(1), &record, Revision(60), now, wall);
}

/// Guards against a second run of a task whose job is found late: the silent owner may have started it on
/// a worker that does not answer, right before its trust in its lease ended.
#[test]
fn a_job_that_is_found_late_waits_for_the_leases_of_a_silent_owner() {
    let mut fixture = successor_of(false);
    let late = START + timeouts().trust + Millis(100);
    fixture.advance(late.since(fixture.now).0);
    find(&mut fixture, None);
    while fixture.now < START + Millis(full().0 - 100) {
        fixture.report(&worker("w"));
        let after = fixture.now.since(START);
        assert!(fixture.starts().is_empty(), "after {after}: a lease of that owner may last");
        fixture.advance(100);
    }
    fixture.advance(200);
    fixture.report(&worker("w"));
    assert_eq!(fixture.starts().len(), 1);
}

/// Guards against a wait for an owner that can't have started the job: it had ended when the job was stored,
/// or it does not start what its successor has stored.
#[test]
fn a_job_that_is_found_waits_for_no_owner_that_can_not_have_started_it() {
    for (has_ended, stored_by) in [(true, None), (false, Some(7))] {
        let mut fixture = successor_of(has_ended);
        find(&mut fixture, stored_by);
        assert_eq!(fixture.pool.unsettled(), 1);
        assert_eq!(fixture.starts().len(), 1, "{has_ended} {stored_by:?}");
    }
}

/// Guards against a hand-over as soon as the stored jobs are known, when no task has started yet.
#[test]
fn a_pool_whose_workers_answered_during_the_read_is_kept_for_a_while_after_it() {
    let mut fixture = Fixture::recovering(vec![("w", None)], vec![info("w", 4)]);
    fixture.report(&worker("w"));
    fixture.poll();
    fixture.advance(5000);
    fixture.recover_jobs(vec![(1, vec![step(1)])], fixture.now);
    fixture.poll();
    assert!(fixture.pool.is_settled() && !fixture.pool.may_change_owner(fixture.now));
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

/// Performs all transactions, and returns the numbers of workers that they record.
fn recorded_sizes(fixture: &mut Fixture) -> Vec<u32> {
    let mut sizes = Vec::new();
    for revision in 300..310 {
        fixture.advance(50);
        fixture.poll();
        while let Some(batch) = fixture.batch() {
            let writes = batch.txn.writes.iter();
            let settled = writes.filter(|write| write.key == settled_key(&pool_name()));
            for write in settled {
                let value = write.value.clone().unwrap();
                let record: SettledRecord = serde_json::from_value(value).unwrap();
                sizes.push(record.workers.unwrap().0);
            }
            let commit = Commit::Done(Revision(revision));
            assert!(fixture.pool.decided(&batch, &commit, fixture.now));
        }
    }
    sizes
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

/// Guards against a size of the pool that was recorded when it was small: a restarted process would take it
/// back beside others on a link that does not carry it.
#[test]
fn the_recorded_size_of_a_pool_follows_it() {
    let workers = |count: usize| (0..count).map(|n| info(&format!("w{n}"), 4)).collect();
    let mut fixture = Fixture::new(recovered(vec![], vec![]), workers(10));
    assert_eq!(recorded_sizes(&mut fixture), [10]);
    fixture.pool.list(workers(19), fixture.now);
    assert!(recorded_sizes(&mut fixture).is_empty(), "it is small");
    fixture.pool.list(workers(60), fixture.now);
    assert_eq!(recorded_sizes(&mut fixture).last(), Some(&60));
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

/// Guards against owners that were never heard again and fill the list of those that may go on: with more
/// than it holds, each successor counts their time from its own fences.
#[test]
fn owners_whose_orders_have_lost_their_effect_are_listed_no_more() {
    let mut record: LeaseRecord =
        serde_json::from_value(json!({ "owner": "n", "address": "127.0.0.1:1", "term": 1,
            "earlier": { "ended": 0 } }))
        .unwrap();
    let mut seen = START;
    for token in 1..12 {
        let now = seen + full();
        let lease = Predecessor { has_ended: false, ..lease(&record, token, seen) };
        let mut effect = order_effect(&timeouts(), Some(lease), now);
        effect.fence(now);
        record.earlier = effect.earlier_owners(now);
        seen = now;
    }
    assert!(record.earlier.is_some_and(|earlier| earlier.open.len() == 1));
}
