//! The configuration rows of one version, and the deltas by which processes hand them on.
//!
//! Every process that follows the configuration keeps a [`ConfigSnapshot`]. Versions only go up in it, from
//! whichever side a delta comes; docs/CONFIGURATION.md tells how it spreads.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::{fleet::RowKey, size::Version};

/// Deleted rows that are remembered, so that deltas can carry the deletion.
const DELETED_LIMIT: usize = 4096;

/// A row as a version left it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The row's key.
    pub key: RowKey,
    /// The row's value; `None` is a deletion. It is shared, since deltas are made and handed on all
    /// the time.
    pub value: Option<Arc<Value>>,
    /// The version that wrote it.
    pub version: Version,
}

/// All changes after one version up to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that it builds on; version 0 is the empty configuration.
    pub from: Version,
    /// The version that it leads to.
    pub to: Version,
    /// The last change of each row that changed.
    pub changes: Vec<Change>,
}

/// A delta builds on a version that the book has not reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the delta builds on version {from}, the book is at {have}")]
pub struct GapError {
    /// What the delta builds on.
    pub from: Version,
    /// What the book has.
    pub have: Version,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    value: Option<Arc<Value>>,
    version: Version,
}

/// The configuration rows of one version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ConfigSnapshot {
    version: Version,
    entries: BTreeMap<RowKey, Entry>,
    /// No deletion up to this version is remembered any more.
    floor: Version,
    deleted: usize,
}

impl ConfigSnapshot {
    /// Returns the empty book of version 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version of the rows.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the rows in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, &Value)> {
        self.entries.iter().filter_map(|(key, entry)| Some((key, entry.value.as_deref()?)))
    }

    /// Returns the value of the row of `key`.
    pub fn get(&self, key: &RowKey) -> Option<&Value> {
        self.entries.get(key)?.value.as_deref()
    }

    /// Returns the version that wrote the row of `key`; 0 where there is no such row.
    pub fn row_version(&self, key: &RowKey) -> Version {
        match self.entries.get(key) {
            Some(entry) if entry.value.is_some() => entry.version,
            _ => Version(0),
        }
    }

    /// Returns what changed after `from`, or everything where that is not known any more.
    pub fn since(&self, from: Version) -> Delta {
        let from = if from < self.floor { Version(0) } else { from };
        let changed = |entry: &Entry| match from.0 {
            0 => entry.value.is_some(),
            _ => entry.version > from,
        };
        let changes = self
            .entries
            .iter()
            .filter(|(_, entry)| changed(entry))
            .map(|(key, entry)| Change {
                key: key.clone(),
                value: entry.value.clone(),
                version: entry.version,
            })
            .collect();
        Delta { from, to: self.version, changes }
    }

    /// Applies `delta` and tells whether the version went up; an older delta changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if versions between the book's and the delta's start are missing.
    pub fn apply(&mut self, delta: &Delta) -> Result<bool, GapError> {
        if delta.to <= self.version {
            return Ok(false);
        }
        if delta.from > self.version {
            return Err(GapError { from: delta.from, have: self.version });
        }
        if delta.from.0 == 0 {
            // A whole configuration: what it does not name is not there.
            *self = Self { floor: delta.to, ..Self::default() };
        }
        for change in &delta.changes {
            self.put(change);
        }
        self.version = delta.to;
        self.forget_deleted();
        Ok(true)
    }

    fn put(&mut self, change: &Change) {
        let entry = Entry { value: change.value.clone(), version: change.version };
        let is_deleted = entry.value.is_none();
        let before = self.entries.insert(change.key.clone(), entry);
        let was_deleted = before.is_some_and(|entry| entry.value.is_none());
        self.deleted = self.deleted + usize::from(is_deleted) - usize::from(was_deleted);
    }

    fn forget_deleted(&mut self) {
        if self.deleted <= DELETED_LIMIT {
            return;
        }
        self.entries.retain(|_, entry| entry.value.is_some());
        self.floor = self.version;
        self.deleted = 0;
    }
}
