//! Tests of the change log through which processes relay store tables.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::collections::BTreeMap;

use reachhead_jobs::{
    ports::{Change, FeedPage},
    relay::{MissingChanges, TableChangeLog},
};
use reachhead_property::check;
use reachhead_store::row::{Key, Row};
use reachhead_types::size::Revision;
use serde_json::json;

fn change(key: u8, revision: u64, deleted: bool) -> Change {
    let key = Key(format!("op//{key}"));
    let row = Row { key, value: json!(revision), revision: Revision(revision) };
    Change { row, deleted }
}

/// A follower's copy of a table.
#[derive(Default)]
struct Follower {
    rows: BTreeMap<Key, Revision>,
    at: Revision,
}

impl Follower {
    fn apply(&mut self, page: &FeedPage) {
        for change in &page.changes {
            if change.deleted {
                self.rows.remove(&change.row.key);
            } else {
                self.rows.insert(change.row.key.clone(), change.row.revision);
            }
        }
        self.at = page.revision;
    }

    fn update(&mut self, log: &TableChangeLog) {
        match log.since(self.at) {
            Some(page) => self.apply(&page),
            None => {
                self.rows.clear();
                self.apply(&log.snapshot());
            }
        }
    }
}

/// A follower of a relay ends with the table of the store, however far behind it was, whether it
/// started from the store or the relay, and whether or not a change was delivered twice.
#[test]
fn followers_of_a_relay_see_the_table_of_the_store() {
    fn holds(acts: Vec<(u8, bool, u8)>) -> bool {
        let mut table: BTreeMap<Key, Revision> = BTreeMap::new();
        let mut log = TableChangeLog::new(FeedPage { changes: Vec::new(), revision: Revision(0) });
        let (mut near, mut far) = (Follower::default(), Follower::default());
        let mut delivered: Vec<Change> = Vec::new();
        for (number, (key, deleted, act)) in (1_u64..).zip(acts.iter().cycle().take(200)) {
            let change = change(key % 8, number, *deleted);
            if *deleted {
                table.remove(&change.row.key);
            } else {
                table.insert(change.row.key.clone(), change.row.revision);
            }
            delivered.push(change);
            // Some changes are delivered twice.
            let from = delivered.len().saturating_sub(1 + usize::from(act % 2));
            let page = FeedPage { changes: delivered[from..].to_vec(), revision: Revision(number) };
            log.record(Revision(number - 1), &page).unwrap();
            if act % 3 == 0 {
                near.update(&log);
            }
        }
        near.update(&log);
        far.update(&log);
        near.rows == table && far.rows == table
    }
    check("relay", 300, holds as fn(Vec<(u8, bool, u8)>) -> bool);
}

#[test]
fn a_follower_too_far_behind_gets_the_whole_table() {
    let mut log =
        TableChangeLog::new(FeedPage { changes: vec![change(1, 5, false)], revision: Revision(9) });
    assert_eq!(log.since(Revision(8)), None, "what came before the log is not known");
    for revision in 10..200 {
        let page =
            FeedPage { changes: vec![change(2, revision, false)], revision: Revision(revision) };
        log.record(Revision(revision - 1), &page).unwrap();
    }
    assert_eq!(log.since(Revision(9)), None);
    assert_eq!(log.since(Revision(198)).unwrap().changes.len(), 1);
    assert_eq!(log.snapshot().changes.len(), 2);
}

/// A process that follows the table by way of another one for a while does not record the changes
/// of that time.
#[test]
fn a_log_with_missing_changes_is_not_continued() {
    let start = FeedPage { changes: vec![change(1, 5, false)], revision: Revision(9) };
    let mut log = TableChangeLog::new(start);
    let unchanged = log.clone();
    let page = FeedPage { changes: vec![change(2, 20, false)], revision: Revision(20) };
    let missing = MissingChanges { known: Revision(9), after: Revision(18) };
    assert_eq!(log.record(Revision(18), &page), Err(missing));
    assert_eq!(log, unchanged, "its readers don't take the table for current");
    assert_eq!(log.record(Revision(9), &page), Ok(()));
    assert_eq!(log.since(Revision(9)).unwrap().changes.len(), 1);
}
