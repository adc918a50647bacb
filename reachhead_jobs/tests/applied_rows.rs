//! Tests of followed tables whose reads arrive in any order.

use std::collections::BTreeMap;

use reachhead_jobs::{
    applied_rows::AppliedRows,
    ports::{Change, FeedPage},
};
use reachhead_property::check;
use reachhead_store::row::{Key, Row};
use reachhead_types::size::Revision;
use serde_json::json;

/// Number of rows of the table.
const ROWS: u8 = 5;

/// One read of the table: the changes after a revision, or all rows.
enum Read {
    Changes(Vec<Change>),
    Table(FeedPage),
}

/// Returns the rows after the first `count` changes.
fn rows_after(changes: &[Change], count: usize) -> BTreeMap<Key, Change> {
    let mut rows = BTreeMap::new();
    for change in &changes[..count] {
        if change.deleted {
            rows.remove(&change.row.key);
        } else {
            rows.insert(change.row.key.clone(), change.clone());
        }
    }
    rows
}

/// Reads applied in any order leave the table of the newest one, if there is no gap before that:
/// what is older never counts.
#[test]
fn reads_in_any_order_leave_the_newest_state_of_each_row() {
    fn holds(acts: Vec<(u8, bool, u8)>) -> bool {
        let changes: Vec<Change> = (1_u64..)
            .zip(&acts)
            .map(|(revision, (key, deleted, _))| {
                let key = Key(format!("op//{}", key % ROWS));
                let row = Row { key, value: json!(revision), revision: Revision(revision) };
                Change { row, deleted: *deleted }
            })
            .collect();
        let newest = changes.len();
        let mut reads = vec![Read::Changes(changes.clone())];
        for (number, (_, whole, act)) in acts.iter().enumerate() {
            if *whole {
                let rows = rows_after(&changes, number).into_values().collect();
                let revision = Revision(number as u64);
                reads.push(Read::Table(FeedPage { changes: rows, revision }));
            } else {
                let end = (number + usize::from(*act)).min(newest);
                reads.push(Read::Changes(changes[number..end].to_vec()));
            }
            // The order of the reads is any.
            let last = reads.len() - 1;
            reads.swap(usize::from(*act) % (last + 1), last);
        }
        let mut applied = AppliedRows::new();
        let mut rows: BTreeMap<Key, Change> = BTreeMap::new();
        for read in &reads {
            let newer = match read {
                Read::Changes(changes) => applied.take_newer(changes),
                Read::Table(page) => applied.take_table(page),
            };
            for change in newer {
                let key = change.row.key.clone();
                let known = rows.insert(key, change.clone());
                if known.is_some_and(|known| known.row.revision >= change.row.revision) {
                    return false;
                }
            }
        }
        rows.retain(|_, change| !change.deleted);
        rows == rows_after(&changes, newest)
    }
    check("applied-rows", 500, holds as fn(Vec<(u8, bool, u8)>) -> bool);
}
