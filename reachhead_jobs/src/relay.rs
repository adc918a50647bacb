//! Change log of a store table, through which one process relays the table to others.
//!
//! Every process of a fleet has to know the operators' settings and the owners of pools. If each
//! read them from the store, its load would be hosts times changes. Some processes follow the
//! store, and the others follow these.

use std::collections::{BTreeMap, VecDeque};

use reachhead_store::row::Key;
use reachhead_types::size::Revision;
use thiserror::Error;

use crate::ports::{Change, FeedPage};

/// Changes kept in the log; a reader that is further behind gets the whole table.
const MAX_CHANGES: usize = 64;

/// A page that does not continue a log, because the log's process followed the table elsewhere in
/// between.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("changes between revisions {known} and {after} are missing")]
pub struct MissingChanges {
    /// The revision up to which the log knows the table.
    pub known: Revision,
    /// The revision from which the page continues.
    pub after: Revision,
}

/// A table with its recent changes.
#[derive(Debug, Clone, PartialEq)]
pub struct TableChangeLog {
    rows: BTreeMap<Key, Change>,
    changes: VecDeque<Change>,
    /// The log holds all changes after this revision.
    base: Revision,
    revision: Revision,
}

impl TableChangeLog {
    /// Creates a log that starts with a whole table.
    pub fn new(page: FeedPage) -> Self {
        let rows = page.changes.into_iter().map(|change| (change.row.key.clone(), change));
        Self {
            rows: rows.collect(),
            changes: VecDeque::new(),
            base: page.revision,
            revision: page.revision,
        }
    }

    /// Returns the revision up to which the table is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies the next page of the feed, which has all changes after `after`.
    ///
    /// # Errors
    ///
    /// [`MissingChanges`] if the log does not reach up to `after`. It has to be discarded then:
    /// readers would never get the changes in between.
    pub fn record(&mut self, after: Revision, page: &FeedPage) -> Result<(), MissingChanges> {
        if after > self.revision {
            return Err(MissingChanges { known: self.revision, after });
        }
        for change in page.changes.iter().filter(|change| change.row.revision > self.revision) {
            if change.deleted {
                self.rows.remove(&change.row.key);
            } else {
                self.rows.insert(change.row.key.clone(), change.clone());
            }
            self.changes.push_back(change.clone());
        }
        while self.changes.len() > MAX_CHANGES {
            if let Some(oldest) = self.changes.pop_front() {
                self.base = self.base.max(oldest.row.revision);
            }
        }
        self.revision = self.revision.max(page.revision);
        Ok(())
    }

    /// Returns the changes after a revision; `None` if the log does not reach back that far.
    pub fn since(&self, after: Revision) -> Option<FeedPage> {
        if after < self.base {
            return None;
        }
        let newer = self.changes.iter().filter(|change| change.row.revision > after);
        Some(FeedPage { changes: newer.cloned().collect(), revision: self.revision.max(after) })
    }

    /// Returns the whole table.
    pub fn snapshot(&self) -> FeedPage {
        FeedPage { changes: self.rows.values().cloned().collect(), revision: self.revision }
    }
}
