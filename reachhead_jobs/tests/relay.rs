//! Tables that processes pass on to each other.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::collections::BTreeMap;

use reachhead_jobs::{
    ports::{Change, FeedPage},
    relay::TableChangeLog,
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

/// A table as somebody follows it.
#[derive(Default)]
struct Followed {
    rows: BTreeMap<Key, Revision>,
    at: Revision,
}

impl Followed {
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

    fn ask(&mut self, log: &TableChangeLog) {
        match log.since(self.at) {
            Some(page) => self.apply(&page),
            None => {
                self.rows.clear();
                self.apply(&log.snapshot());
            }
        }
    }
}

/// Whoever asks a process instead of the store ends with the same table, however far behind it was, whether it began at the store or
/// there, and whether or not a change was told twice.
#[test]
fn a_table_that_is_passed_on_is_the_table() {
    fn holds(acts: Vec<(u8, bool, u8)>) -> bool {
        let mut table: BTreeMap<Key, Revision> = BTreeMap::new();
        let mut log = TableChangeLog::new(FeedPage { changes: Vec::new(), revision: Revision(0) });
        let (mut near, mut far) = (Followed::default(), Followed::default());
        let mut told: Vec<Change> = Vec::new();
        for (number, (key, deleted, act)) in (1_u64..).zip(acts.iter().cycle().take(200)) {
            let change = change(key % 8, number, *deleted);
            if *deleted {
                table.remove(&change.row.key);
            } else {
                table.insert(change.row.key.clone(), change.row.revision);
            }
            told.push(change);
            // The last change is told twice now and then.
            let from = told.len().saturating_sub(1 + usize::from(act % 2));
            log.record(&told[from..], Revision(number));
            if act % 3 == 0 {
                near.ask(&log);
            }
        }
        near.ask(&log);
        far.ask(&log);
        near.rows == table && far.rows == table
    }
    check("relay", 300, holds as fn(Vec<(u8, bool, u8)>) -> bool);
}

#[test]
fn who_is_too_far_behind_gets_the_whole_table() {
    let mut log =
        TableChangeLog::new(FeedPage { changes: vec![change(1, 5, false)], revision: Revision(9) });
    assert_eq!(log.since(Revision(8)), None, "what came before the log is not known");
    for revision in 10..200 {
        log.record(&[change(2, revision, false)], Revision(revision));
    }
    assert_eq!(log.since(Revision(9)), None);
    assert_eq!(log.since(Revision(198)).unwrap().changes.len(), 1);
    assert_eq!(log.snapshot().changes.len(), 2);
}
