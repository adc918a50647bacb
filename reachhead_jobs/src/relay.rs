//! A table of the store as one process passes it on to others.
//!
//! Load: every process of a fleet has to know what operators wrote and who owns which pool. Asked by each, the store would be
//! read in proportion to hosts times changes. Some processes ask it, and the others ask these.

use std::collections::{BTreeMap, VecDeque};

use reachhead_store::row::Key;
use reachhead_types::size::Revision;

use crate::ports::{Change, FeedPage};

/// Changes that are kept; who is further behind gets the whole table.
const CHANGES_KEPT: usize = 64;

/// A table as it was followed.
#[derive(Debug, Clone, PartialEq)]
pub struct TableChangeLog {
    rows: BTreeMap<Key, Change>,
    changes: VecDeque<Change>,
    /// All changes after this revision are kept.
    base: Revision,
    revision: Revision,
}

impl TableChangeLog {
    /// Returns a log that begins with a whole table.
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

    /// Takes in what the feed told next.
    pub fn record(&mut self, changes: &[Change], revision: Revision) {
        for change in changes.iter().filter(|change| change.row.revision > self.revision) {
            if change.deleted {
                self.rows.remove(&change.row.key);
            } else {
                self.rows.insert(change.row.key.clone(), change.clone());
            }
            self.changes.push_back(change.clone());
        }
        while self.changes.len() > CHANGES_KEPT {
            if let Some(oldest) = self.changes.pop_front() {
                self.base = self.base.max(oldest.row.revision);
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Returns what changed after a revision; `None` if that is not kept any more.
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
