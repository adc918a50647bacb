//! What the store keeps of the workers that a pool may have used.

use std::collections::BTreeMap;

use reachhead_jobs::{
    pool::{Batch, RecoveredState, StoredRoster},
    record::{Roster, RosterEntry, roster_key, value, whole_roster_key},
};
use reachhead_store::row::{Commit, Conflict, Key, Row};
use reachhead_types::{id::WorkerId, size::Revision};

use crate::fixture::{Fixture, fences, info, left, pool_name, step, worker};

/// Bytes that a row of the platform's store may have.
const ROW_BYTES: usize = 65_536;

/// Rows that a transaction may name.
const ENTRIES: usize = 100;

/// Twice the workers of the largest pool that is known.
const MANY: usize = 3000;

/// Carries out all transactions and returns the bytes of rows that they wrote; checks what the platform's contract says.
fn write_all(fixture: &mut Fixture, rows: &mut BTreeMap<Key, Row>, revision: &mut u64) -> usize {
    let mut bytes = 0;
    loop {
        fixture.pass(50);
        fixture.poll();
        let Some(batch) = fixture.batch() else {
            return bytes;
        };
        assert!(batch.txn.checks.len() + batch.txn.writes.len() <= ENTRIES);
        *revision += 1;
        for write in &batch.txn.writes {
            let Some(value) = write.value.clone() else {
                rows.remove(&write.key);
                continue;
            };
            let length = value.to_string().len();
            assert!(length <= ROW_BYTES, "{} has {length} bytes", write.key);
            bytes += length;
            let row = Row { key: write.key.clone(), value, revision: Revision(*revision) };
            rows.insert(write.key.clone(), row);
        }
        assert!(fixture.pool.decided(&batch, &Commit::Done(Revision(*revision)), fixture.now));
    }
}

fn many() -> Vec<String> {
    (0..MANY).map(|number| format!("minion-of-a-large-pool-{number}")).collect()
}

fn rows_of(rows: &BTreeMap<Key, Row>) -> Vec<Row> {
    rows.values().cloned().collect()
}

/// The roster was one row, and a row has a limit: from some 1,200 workers on it could not be written any more. New workers of such
/// a pool got nothing for ever, and all of it was written anew for each that came or went.
#[test]
fn a_roster_of_thousands_is_written_and_read_and_a_change_writes_what_changed() {
    let infos = many().iter().map(|name| info(name, 4)).collect();
    let found = RecoveredState { fences: fences(), ..left(vec![], vec![]) };
    let mut fixture = Fixture::new(found, infos);
    let (mut rows, mut revision) = (BTreeMap::new(), 10);
    write_all(&mut fixture, &mut rows, &mut revision);
    assert!(fixture.pool.workers().values().all(|worker| worker.rostered));
    let (roster, errors) = StoredRoster::read(&rows_of(&rows));
    assert!(errors.is_empty());
    assert_eq!(roster.workers.len(), MANY);
    fixture.infos.push(info("one-more", 4));
    fixture.list();
    let bytes = write_all(&mut fixture, &mut rows, &mut revision);
    assert!(bytes < 1000, "{bytes} bytes for one worker");
    assert!(fixture.pool.workers()[&worker("one-more")].rostered);
}

/// An earlier release kept the roster in one row. Its workers are asked like others, get rows of their own, and then the row is
/// deleted; a worker that has both counts by its own.
#[test]
fn the_row_of_an_earlier_release_is_taken_over_and_deleted() {
    let entry = |name: &str, closed: Option<u64>| RosterEntry {
        worker: worker(name),
        address: "127.0.0.1:1".parse().unwrap(),
        closed: closed.map(Revision),
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
    let found = RecoveredState { roster, ..left(vec![(1, vec![step(1)])], vec![]) };
    let mut fixture = Fixture::new(found, vec![info("a", 4), info("b", 4)]);
    assert_eq!(fixture.pool.unsettled(), 2);
    let mut revision = 10;
    write_all(&mut fixture, &mut rows, &mut revision);
    assert!(!rows.contains_key(&key), "{rows:?}");
    assert_eq!(rows.len(), 2);
}

/// A row that can't be read still says that its worker may have been used: what ran there is waited for.
#[test]
fn a_row_that_cannot_be_read_holds_inherited_tasks_and_loses_no_other() {
    let good =
        RosterEntry { worker: worker("a"), address: "127.0.0.1:1".parse().unwrap(), closed: None };
    let key = |name: &str| roster_key(&pool_name(), &worker(name));
    let rows = [
        Row { key: key("a"), value: value(&good), revision: Revision(3) },
        Row { key: key("b"), value: serde_json::json!({ "worker": 7 }), revision: Revision(4) },
    ];
    let (roster, errors) = StoredRoster::read(&rows);
    assert_eq!(errors.len(), 1);
    let found = RecoveredState { roster, ..left(vec![(1, vec![step(1)])], vec![]) };
    let mut fixture = Fixture::new(found, vec![info("a", 4)]);
    fixture.poll();
    fixture.report(&worker("a"));
    assert!(fixture.starts().is_empty(), "the other may have it");
    fixture.infos.push(info("b", 4));
    fixture.list();
    fixture.report(&worker("b"));
    assert_eq!(fixture.starts().len(), 1);
}

/// A transaction whose answer was lost was carried out all the same, and the next one is refused by a check: the row as it is is
/// taken over, and the roster is written on.
#[test]
fn a_roster_goes_on_after_a_lost_answer() {
    let mut fixture = Fixture::new(
        RecoveredState { fences: fences(), ..left(vec![], vec![]) },
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
    assert!(fixture.batch().is_none(), "it is as it should be");
    let rostered = |id: &WorkerId| fixture.pool.workers()[id].rostered;
    assert!(rostered(&worker("a")) && rostered(&worker("b")));
}
