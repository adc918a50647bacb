//! Snapshots of the configuration rows, and the deltas by which processes propagate them.
//!
//! Every process that follows the configuration keeps a [`ConfigSnapshot`]. Its version only
//! increases, in whatever order deltas arrive; docs/CONFIGURATION.md describes the propagation.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::{fleet::RowKey, size::Version};

/// Maximum number of tombstones, which are kept so that deltas include deletions.
const MAX_TOMBSTONES: usize = 4096;

/// The latest change of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The row's key.
    pub key: RowKey,
    /// The row's value; `None` for a deletion. The value is shared, since deltas are created and
    /// forwarded often.
    pub value: Option<Arc<Value>>,
    /// The version that wrote the row.
    pub version: Version,
}

/// The changes from one version to a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The base version; version 0 is the empty configuration.
    pub from: Version,
    /// The version that results from the changes.
    pub to: Version,
    /// The latest change of each changed row.
    pub changes: Vec<Change>,
}

/// A delta is based on a later version than that of the snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the delta builds on version {from}, the book is at {have}")]
pub struct GapError {
    /// The base version of the delta.
    pub from: Version,
    /// The version of the snapshot.
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
    /// The newest version whose tombstones may have been dropped.
    floor: Version,
    /// Number of entries that are tombstones.
    tombstones: usize,
}

impl ConfigSnapshot {
    /// Returns the empty snapshot of version 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version of the rows.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the rows in key order.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, &Value)> {
        self.entries.iter().filter_map(|(key, entry)| Some((key, entry.value.as_deref()?)))
    }

    /// Returns the value of the row of `key`.
    pub fn get(&self, key: &RowKey) -> Option<&Value> {
        self.entries.get(key)?.value.as_deref()
    }

    /// Returns the version that wrote the row of `key`; 0 if there is no such row.
    pub fn row_version(&self, key: &RowKey) -> Version {
        match self.entries.get(key) {
            Some(entry) if entry.value.is_some() => entry.version,
            _ => Version(0),
        }
    }

    /// Returns the changes after `from`, or all rows if the deletions since then are not all known.
    pub fn since(&self, from: Version) -> Delta {
        let from = if from < self.floor { Version(0) } else { from };
        let is_included = |entry: &Entry| match from.0 {
            0 => entry.value.is_some(),
            _ => entry.version > from,
        };
        let changes = self
            .entries
            .iter()
            .filter(|(_, entry)| is_included(entry))
            .map(|(key, entry)| Change {
                key: key.clone(),
                value: entry.value.clone(),
                version: entry.version,
            })
            .collect();
        Delta { from, to: self.version, changes }
    }

    /// Applies `delta` and returns whether the version increased; an older delta is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the delta's base version is later than the version of the snapshot.
    pub fn apply(&mut self, delta: &Delta) -> Result<bool, GapError> {
        if delta.to <= self.version {
            return Ok(false);
        }
        if delta.from > self.version {
            return Err(GapError { from: delta.from, have: self.version });
        }
        if delta.from.0 == 0 {
            // The delta is a full configuration: rows that it does not include don't exist.
            *self = Self { floor: delta.to, ..Self::default() };
        }
        for change in &delta.changes {
            self.apply_change(change);
        }
        self.version = delta.to;
        self.prune_tombstones();
        Ok(true)
    }

    fn apply_change(&mut self, change: &Change) {
        let entry = Entry { value: change.value.clone(), version: change.version };
        let is_deleted = entry.value.is_none();
        let before = self.entries.insert(change.key.clone(), entry);
        let was_deleted = before.is_some_and(|entry| entry.value.is_none());
        self.tombstones = self.tombstones + usize::from(is_deleted) - usize::from(was_deleted);
    }

    fn prune_tombstones(&mut self) {
        if self.tombstones <= MAX_TOMBSTONES {
            return;
        }
        self.entries.retain(|_, entry| entry.value.is_some());
        self.floor = self.version;
        self.tombstones = 0;
    }
}
