//! Tests of the stored roster of workers.

use std::collections::BTreeMap;

use reachhead_jobs::{
    pool::{Batch, RecoveredState, StoredRoster},
    record::{
        Roster, RosterEntry, roster_key, roster_prefix, settled_key, value, whole_roster_key,
    },
};
use reachhead_store::row::{Commit, Conflict, Key, Row};
use reachhead_types::{id::WorkerId, size::Revision};

use crate::fixture::{Fixture, fences, info, pool_name, recovered, step, worker};

/// Maximum size of a row in the platform's store, in bytes.
const MAX_ROW_BYTES: usize = 65_536;

/// Maximum number of entries in a transaction.
const MAX_ENTRIES: usize = 100;

/// Twice the number of workers in the largest known pool.
const WORKERS: usize = 3000;

/// Commits all pending transactions, checks them against the platform's contract, and returns the
/// number of bytes written.
fn write_all(fixture: &mut Fixture, rows: &mut BTreeMap<Key, Row>, revision: &mut u64) -> usize {
    let mut bytes = 0;
    loop {
        fixture.advance(50);
        fixture.poll();
        let Some(batch) = fixture.batch() else {
            return bytes;
        };
        assert!(batch.txn.checks.len() + batch.txn.writes.len() <= MAX_ENTRIES);
        *revision += 1;
        for write in &batch.txn.writes {
            let Some(value) = write.value.clone() else {
                rows.remove(&write.key);
                continue;
            };
            let length = value.to_string().len();
            assert!(length <= MAX_ROW_BYTES, "{} has {length} bytes", write.key);
            bytes += length;
            let row = Row { key: write.key.clone(), value, revision: Revision(*revision) };
            rows.insert(write.key.clone(), row);
        }
        assert!(fixture.pool.decided(&batch, &Commit::Done(Revision(*revision)), fixture.now));
    }
}

fn worker_names() -> Vec<String> {
    (0..WORKERS).map(|number| format!("minion-of-a-large-pool-{number}")).collect()
}

/// Returns the rows that a new owner reads as the roster.
fn rows_of(rows: &BTreeMap<Key, Row>) -> Vec<Row> {
    let prefix = roster_prefix(&pool_name());
    rows.values().filter(|row| row.key.0.starts_with(&prefix)).cloned().collect()
}

/// The roster was one row of limited size, which could not be written any more from some 1,200
/// workers on. New workers of such a pool never got tasks, and the whole roster was rewritten for
/// each change.
#[test]
fn a_roster_of_thousands_is_written_and_read_and_a_change_writes_one_row() {
    let infos = worker_names().iter().map(|name| info(name, 4)).collect();
    let found = RecoveredState { fences: fences(), ..recovered(vec![], vec![]) };
    let mut fixture = Fixture::new(found, infos);
    let (mut rows, mut revision) = (BTreeMap::new(), 10);
    write_all(&mut fixture, &mut rows, &mut revision);
    assert!(fixture.pool.workers().values().all(|worker| worker.rostered));
    let (roster, errors) = StoredRoster::read(&rows_of(&rows));
    assert!(errors.is_empty());
    assert_eq!(roster.workers.len(), WORKERS);
    fixture.infos.push(info("one-more", 4));
    fixture.list();
    let bytes = write_all(&mut fixture, &mut rows, &mut revision);
    assert!(bytes < 1000, "{bytes} bytes for one worker");
    assert!(fixture.pool.workers()[&worker("one-more")].rostered);
}

/// An earlier release stored the roster in one row. Its workers are polled like others and get rows
/// of their own, and then the row is deleted. For a worker in both, its own row counts.
#[test]
fn the_roster_row_of_an_earlier_release_is_migrated_and_deleted() {
    let entry = |name: &str, closed: Option<u64>| RosterEntry {
        worker: worker(name),
        address: "127.0.0.1:1".parse().unwrap(),
        closed: closed.map(Revision),
        started_at: None,
    };
    let whole = Roster { workers: vec![entry("a", None), entry("b", Some(5))] };
    let row = |key, value, revision| Row { key, value, revision: Revision(revision) };
    let mut rows = BTreeMap::new();
    let key = whole_roster_key(&pool_name());
    rows.insert(key.clone(), row(key.clone(), value(&whole), 3));
    let own = roster_key(&pool_name(), &worker("b"));
    rows.insert(own.clone(), row(own, value(&entry("b", Some(9))), 4));
    let (roster, errors) = StoredRoster::read(&rows_of(&rows));
    assert!(errors.is_empty());
    assert_eq!(roster.workers[&worker("b")].entry, Some(entry("b", Some(9))));
    let found = RecoveredState { roster, ..recovered(vec![(1, vec![step(1)])], vec![]) };
    let mut fixture = Fixture::new(found, vec![info("a", 4), info("b", 4)]);
    assert_eq!(fixture.pool.unsettled(), 2);
    let mut revision = 10;
    write_all(&mut fixture, &mut rows, &mut revision);
    assert!(!rows.contains_key(&key), "{rows:?}");
    assert_eq!(rows.len(), 2);
}

/// An unreadable row still shows that its worker may have been used, so tasks that may run there
/// wait.
#[test]
fn an_unreadable_roster_row_blocks_recovered_tasks_and_loses_no_other_row() {
    let good = RosterEntry {
        worker: worker("a"),
        address: "127.0.0.1:1".parse().unwrap(),
        closed: None,
        started_at: None,
    };
    let key = |name: &str| roster_key(&pool_name(), &worker(name));
    let rows = [
        Row { key: key("a"), value: value(&good), revision: Revision(3) },
        Row { key: key("b"), value: serde_json::json!({ "worker": 7 }), revision: Revision(4) },
    ];
    let (roster, errors) = StoredRoster::read(&rows);
    assert_eq!(errors.len(), 1);
    let found = RecoveredState { roster, ..recovered(vec![(1, vec![step(1)])], vec![]) };
    let mut fixture = Fixture::new(found, vec![info("a", 4)]);
    fixture.poll();
    fixture.report(&worker("a"));
    assert!(fixture.starts().is_empty(), "the other worker may run it");
    fixture.infos.push(info("b", 4));
    fixture.list();
    fixture.report(&worker("b"));
    assert_eq!(fixture.starts().len(), 1);
}

/// A transaction whose answer was lost had been committed, and the next one is refused by a check:
/// the row's current state is adopted, and writing continues.
#[test]
fn a_roster_is_written_on_after_a_lost_answer() {
    let mut fixture = Fixture::new(
        RecoveredState { fences: fences(), ..recovered(vec![], vec![]) },
        vec![info("a", 4), info("b", 4)],
    );
    fixture.poll();
    let lost: Batch = fixture.batch().unwrap();
    let conflicts: Vec<Conflict> = lost
        .txn
        .writes
        .iter()
        .map(|write| {
            let value = write.value.clone().unwrap();
            let row = Row { key: write.key.clone(), value, revision: Revision(20) };
            Conflict { key: write.key.clone(), row: Some(row) }
        })
        .collect();
    assert!(fixture.pool.decided(&lost, &Commit::Conflict(conflicts), fixture.now));
    fixture.poll();
    let next = fixture.batch().map(|batch| batch.txn.writes).unwrap_or_default();
    let is_settled_row = |key: &Key| *key == settled_key(&pool_name());
    assert!(next.iter().all(|write| is_settled_row(&write.key)), "the roster is up to date");
    let rostered = |id: &WorkerId| fixture.pool.workers()[id].rostered;
    assert!(rostered(&worker("a")) && rostered(&worker("b")));
}

/// The worker answered again while the transaction that closed it in the roster was under way, and
/// got tasks: a successor did not wait for it, and started them elsewhere at the same time.
#[test]
fn a_worker_gets_no_tasks_while_its_closing_in_the_roster_is_not_decided() {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    fixture.submit_and_start(1, vec![step(1)]);
    fixture.fail_poll(&worker("w"));
    fixture.advance(600);
    fixture.fail_poll(&worker("w"));
    fixture.poll();
    let closing = fixture.batch().unwrap();
    fixture.report(&worker("w"));
    fixture.submit(2, vec![step(1)]);
    assert!(fixture.starts().is_empty(), "a successor may not contact the worker");
    // The answer is lost, so the row may name the worker as closed or not.
    fixture.advance(50);
    fixture.poll();
    let opening = fixture.batch().unwrap();
    assert_ne!(opening.txn.writes, closing.txn.writes);
    assert!(fixture.starts().is_empty());
    assert!(fixture.pool.decided(&opening, &Commit::Done(Revision(500)), fixture.now));
    assert_eq!(fixture.starts().len(), 1);
}
