//! What the owner that gives a pool back knows of its workers, and how long its successor waits.

use std::collections::BTreeMap;

use reachhead_jobs::{
    clock::with_drift,
    model::Step,
    order_effect::{OrderEffect, Predecessor, order_effect},
    poll_pace::PollPacer,
    pool::{Action, DeathEvidence, RecoveredState},
    ports::{MAX_REPORTED_ENDS, RunEnd, WorkerInfo},
    record::LeaseRecord,
};
use reachhead_types::{
    id::JobId,
    size::{ByteRate, FencingToken, Millis},
};

use crate::fixture::{Fixture, START, info, recovered, step, task, timeouts, worker};

/// Returns the lease as the owner leaves it.
fn release(fixture: &Fixture) -> LeaseRecord {
    LeaseRecord {
        owner: None,
        address: None,
        term: 0,
        settled: fixture.pool.is_settled(),
        unsettled_for: Some(fixture.pool.remaining_takeover_delay(fixture.now)),
        abandoned: 0,
        knows_storer: false,
        silent: fixture.pool.silent_workers(fixture.now),
        earlier: fixture.pool.earlier_owners(fixture.now),
    }
}

/// Returns the state that the successor finds, with a long-running task that no worker reports and
/// this roster.
fn successor(record: &LeaseRecord, roster: Vec<(&str, Option<u64>)>) -> RecoveredState {
    RecoveredState { effect: effect(record), ..recovered(vec![(1, vec![step(1)])], roster) }
}

/// Returns what a successor knows that reads this lease as the first thing.
fn effect(record: &LeaseRecord) -> OrderEffect {
    let predecessor = Predecessor {
        record,
        token: FencingToken(7),
        since: START,
        has_ended: true,
        is_settled: false,
        fenced: None,
    };
    order_effect(&timeouts(), Some(predecessor), START)
}

/// Returns for how long the task waits, although a worker with room answers at once.
fn wait(found: RecoveredState) -> Millis {
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    fixture.poll();
    fixture.flush();
    let begun = fixture.now;
    fixture.report(&worker("w"));
    while fixture.starts().is_empty() {
        fixture.advance(50);
        fixture.report(&worker("w"));
    }
    fixture.now.since(begun)
}

/// Processes were stopped in turn, and each successor waited again for a worker that had been silent
/// since before the first of them: tasks had no run for 14.6 s.
#[test]
fn successive_releases_do_not_add_up_for_a_silent_worker() {
    let roster = || vec![("gone", None), ("w", None)];
    let found = recovered(vec![(1, vec![step(1)])], roster());
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("w"));
    fixture.advance(timeouts().takeover_delay().0 - 1000);
    fixture.poll();
    let waited = wait(successor(&release(&fixture), roster()));
    assert!(waited <= Millis(1100), "{waited}: one second was left");
    fixture.advance(1100);
    fixture.poll();
    fixture.poll();
    let waited = wait(successor(&release(&fixture), roster()));
    assert!(waited <= Millis(100), "{waited}: it got nothing since that had expired");
}

/// A worker that falls silent before the release may keep its runs until its lease ends, and no
/// longer.
#[test]
fn a_successor_waits_for_a_silent_worker_until_its_last_lease_ends() {
    let mut fixture = Fixture::ready(vec![info("silent", 4), info("w", 4)]);
    fixture.poll();
    fixture.advance(10);
    fixture.poll();
    let lease = timeouts().hold;
    for _ in 0..6 {
        fixture.fail_poll(&worker("silent"));
        fixture.report(&worker("w"));
        fixture.advance(500);
        fixture.poll();
    }
    let roster = vec![("silent", None), ("w", None)];
    let waited = wait(successor(&release(&fixture), roster));
    assert!(waited <= Millis(lease.0 - 2500), "{waited}: the lease is three seconds old");
    assert!(waited >= Millis(lease.0 - 3100), "{waited}: the task may run there");
}

/// All processes read the row of a lease. A successor that gets no list waits for all workers alike.
#[test]
fn a_release_lists_the_silent_workers_of_the_roster_if_they_are_few() {
    let roster = |count| (0..count).map(|number| format!("gone{number}")).collect::<Vec<_>>();
    let list = |count| {
        let names = roster(count);
        let workers = names.iter().map(|name| (name.as_str(), None)).collect();
        let mut fixture = Fixture::new(recovered(vec![], workers), vec![info("w", 4)]);
        fixture.poll();
        fixture.report(&worker("w"));
        release(&fixture).silent
    };
    let silent = list(64).unwrap();
    assert_eq!(silent.len(), 64, "a worker that answers is not among them");
    assert!(silent.values().all(|left| left.0 + 10 > timeouts().takeover_delay().0));
    assert_eq!(list(65), None);

    let mut unfenced = recovered(vec![], vec![("gone", None)]);
    unfenced.fences.pop_first();
    let fixture = Fixture::new(unfenced, Vec::new());
    assert_eq!(release(&fixture).silent, None, "predecessors may still give orders elsewhere");
    assert!(!release(&fixture).settled);
}

/// An entry of the roster that can't be read, of a worker that may have been used.
#[test]
fn a_worker_with_an_unreadable_entry_is_waited_for_like_others() {
    let mut found = recovered(vec![(1, vec![step(1)])], vec![("odd", None)]);
    found.roster.workers.get_mut(&worker("odd")).unwrap().entry = None;
    let fixture = Fixture::new(found.clone(), Vec::new());
    let record = release(&fixture);
    assert_eq!(record.silent, Some([(worker("odd"), timeouts().takeover_delay())].into()));
    let waited = wait(RecoveredState { effect: effect(&record), ..found });
    assert!(waited >= timeouts().takeover_delay(), "{waited}");
}

/// What a successor of the releasing owner finds lasts as long for the owner after it.
#[test]
fn a_successor_that_ends_before_it_is_settled_passes_on_the_longest_time() {
    let found = recovered(vec![], vec![("gone", None), ("w", None)]);
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    fixture.poll();
    fixture.report(&worker("w"));
    let record = release(&fixture);
    let first = effect(&record);
    assert!(first.until_at(&worker("w")) < first.until());
    let held = LeaseRecord {
        owner: Some("n".parse().unwrap()),
        unsettled_for: Some(first.longest(START)),
        silent: None,
        earlier: first.earlier_owners(START),
        ..record
    };
    assert_eq!(effect(&held).until_at(&worker("w")), first.until());
}

/// A worker that was lost and is back under its id may still get an order that the releasing owner
/// sent to the earlier incarnation.
#[test]
fn a_worker_that_came_back_unseen_counts_for_a_lease() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.advance(20_000);
    fixture.pool.worker_died(&worker("w"), DeathEvidence::Unhosted, fixture.now);
    fixture.infos[0].started_at = Some(Millis(9));
    fixture.list();
    let silent = release(&fixture).silent.unwrap();
    assert!(silent[&worker("w")] >= timeouts().hold, "{silent:?}");
}

/// A worker of the predecessor that answers, but lists only some of its ends, gets renewals all the
/// while. The release listed it with the time since its last report, and not with that of the renewal
/// after it: a successor that can't reach it starts its tasks beside their runs.
#[test]
fn a_worker_with_a_partial_report_counts_until_its_last_renewal_ends() {
    let found = RecoveredState {
        effect: OrderEffect::new(&timeouts()).with_unknown(with_drift(timeouts().hold)),
        ..recovered(vec![(1, vec![step(1)])], vec![("w", None)])
    };
    let mut fixture = Fixture::new(found, vec![info("w", 4)]);
    fixture.poll();
    fixture.flush();
    fixture.advance(1000);
    fixture.set_running(&worker("w"), task(1, 0, 0), 1, 0);
    for index in 0..MAX_REPORTED_ENDS as u32 {
        fixture.end(&worker("w"), task(2, 0, index), 1, RunEnd::Done);
    }
    fixture.report(&worker("w"));
    let renewal = |action| match action {
        Action::Hold(_, order) => order.deadline,
        _ => None,
    };
    // The link is busy, so polls of workers that list their ends again wait for half of a lease.
    let mut full = PollPacer::new(ByteRate(1), fixture.now).budget(fixture.now);
    full.take(MAX_REPORTED_ENDS);
    let deadline = loop {
        fixture.advance(50);
        fixture.pool.set_poll_budget(full);
        if let Some(deadline) = fixture.poll().into_iter().find_map(renewal) {
            break deadline;
        }
    };
    let left = Millis(deadline.0 - fixture.clock().0);
    let record = release(&fixture);
    let counted = effect(&record).until_at(&worker("w")).unwrap().since(START);
    assert!(counted >= left, "a successor counts {counted}ms, and the lease lasts {left}ms");
}

/// A call for the incarnation before the last may come late and prolong the leases of the one that
/// answers, for as long as a worker grants. The owner that released the pool knew, but listed silent
/// workers alone.
#[test]
fn a_worker_that_expects_late_calls_counts_until_the_longest_lease_ends() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.infos[0].started_at = Some(Millis(1000));
    fixture.list();
    fixture.report(&worker("w"));
    fixture.fail_poll(&worker("w"));
    fixture.infos[0].started_at = Some(Millis(2000));
    fixture.report(&worker("w"));
    fixture.list();
    let lasting = Step { long_running: true, ..step(1) };
    fixture.submit_and_start(1, vec![lasting]);
    assert_eq!(fixture.running[&worker("w")].len(), 1, "it runs a long-running task");
    let record = release(&fixture);
    let counted = effect(&record).until_at(&worker("w")).unwrap().since(START);
    let grant = timeouts().grant;
    assert!(counted >= grant, "a successor counts {counted}ms, and a lease may last {grant}ms");
}

/// The lease of an owner that releases its pool lists workers with runs that no report had listed. Jobs
/// that were stored after the release waited for such a worker that had crashed, for up to the longest lease,
/// although none of their tasks can run there. They also waited where there were too many of these workers to
/// be listed.
#[test]
fn a_job_stored_after_a_release_does_not_wait_for_runs_that_were_not_reported() {
    let roster = || vec![("gone", None), ("w", None)];
    let found = recovered(vec![], roster());
    let names = ["gone", "w"];
    let infos = names.map(|name| WorkerInfo { started_at: Some(Millis(1000)), ..info(name, 4) });
    let mut fixture = Fixture::new(found, infos.to_vec());
    fixture.poll();
    fixture.flush();
    names.iter().for_each(|name| fixture.report(&worker(name)));
    fixture.submit_and_start(2, vec![step(8)]);
    let record = release(&fixture);
    assert_eq!(record.silent.as_ref().map(BTreeMap::len), Some(2), "both have unreported runs");
    let unlisted = LeaseRecord { silent: None, ..record.clone() };
    for record in [record, unlisted] {
        let mut next = Fixture::new(successor(&record, roster()), vec![info("w", 4)]);
        next.poll();
        next.flush();
        next.report(&worker("w"));
        next.submit(3, vec![step(1)]);
        let started: Vec<JobId> = next.starts().iter().map(|(_, order)| order.task.job).collect();
        assert_eq!(started, [JobId(3)], "the recovered job waits, and the new one does not");
    }
}
