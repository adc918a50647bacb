//! Revisions of the rows of a followed table that were applied.
//!
//! A table is read by its feed, by reads of the whole table, and by way of other processes. Such
//! reads overlap, so an older one may arrive after a newer one; applied as it is, it would undo a
//! change that no later page repeats.

use std::collections::BTreeMap;

use reachhead_store::row::{Key, Row};
use reachhead_types::size::Revision;
use serde_json::Value;

use crate::ports::{Change, FeedPage};

/// The newest applied change of each row.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AppliedRows {
    rows: BTreeMap<Key, AppliedRow>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AppliedRow {
    revision: Revision,
    /// Deleted rows are kept, so that an older read does not bring them back.
    deleted: bool,
}

impl AppliedRows {
    /// Returns a table without rows.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the changes to apply: those newer than what was applied to their rows.
    pub fn take_newer(&mut self, changes: &[Change]) -> Vec<Change> {
        changes.iter().filter(|change| self.record(change)).cloned().collect()
    }

    /// Returns the changes to apply after a read of the whole table, among them the deletions of
    /// rows that it does not list.
    pub fn take_table(&mut self, page: &FeedPage) -> Vec<Change> {
        let listed = |key: &Key| page.changes.iter().any(|change| change.row.key == *key);
        let revision = page.revision;
        let deletions: Vec<Change> = self
            .rows
            .iter()
            .filter(|(key, row)| !row.deleted && row.revision <= revision && !listed(key))
            .map(|(key, _)| Change {
                row: Row { key: key.clone(), value: Value::Null, revision },
                deleted: true,
            })
            .collect();
        for Change { row, .. } in &deletions {
            self.rows.insert(row.key.clone(), AppliedRow { revision, deleted: true });
        }
        let newer = self.take_newer(&page.changes);
        deletions.into_iter().chain(newer).collect()
    }

    /// Records a change; returns whether it is newer than what was applied to its row.
    fn record(&mut self, change: &Change) -> bool {
        let Change { row, deleted } = change;
        let known = self.rows.get(&row.key);
        let newer = known.is_none_or(|known| known.revision < row.revision);
        if newer {
            let applied = AppliedRow { revision: row.revision, deleted: *deleted };
            self.rows.insert(row.key.clone(), applied);
        }
        newer
    }
}
