//! An in-memory table service, used by the stand-in platform and in tests.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{Mutex, MutexGuard, PoisonError},
};

use futures::future::{self, BoxFuture, FutureExt};
use reachhead_types::size::Revision;

use crate::{
    Store, StoreError,
    row::{Check, Commit, Conflict, Key, Page, Row, Scan, Txn},
};

/// An in-memory [`Store`] that runs each transaction under one lock.
#[derive(Debug, Default)]
pub struct MemoryStore {
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    rows: BTreeMap<Key, Row>,
    revision: u64,
}

impl MemoryStore {
    /// Returns an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        // No code panics while it holds the lock, so a poisoned table is still consistent.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    fn holds(&self, check: &Check) -> bool {
        self.rows.get(&check.key).map(|row| row.revision) == check.revision
    }

    fn commit(&mut self, txn: Txn) -> Commit {
        let failed = txn.checks.iter().filter(|check| !self.holds(check));
        let conflicts: Vec<Conflict> = failed
            .map(|check| Conflict {
                key: check.key.clone(),
                row: self.rows.get(&check.key).cloned(),
            })
            .collect();
        if !conflicts.is_empty() {
            return Commit::Conflict(conflicts);
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        for write in txn.writes {
            match write.value {
                Some(value) => {
                    let row = Row { key: write.key.clone(), value, revision };
                    self.rows.insert(write.key, row);
                }
                None => drop(self.rows.remove(&write.key)),
            }
        }
        Commit::Done(revision)
    }

    fn scan(&self, scan: &Scan) -> Page {
        let start = match &scan.after {
            Some(after) => Bound::Excluded(after.clone()),
            None => Bound::Included(Key(scan.prefix.clone())),
        };
        let mut found = self
            .rows
            .range((start, Bound::Unbounded))
            .map(|(_, row)| row)
            .take_while(|row| row.key.0.starts_with(&scan.prefix));
        let rows = found.by_ref().take(scan.limit as usize).cloned().collect();
        Page { rows, revision: Revision(self.revision), more: found.next().is_some() }
    }
}

impl Store for MemoryStore {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        let table = self.table();
        let rows = keys.iter().map(|key| table.rows.get(key).cloned()).collect();
        future::ready(Ok(rows)).boxed()
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        future::ready(Ok(self.table().scan(&scan))).boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        future::ready(Ok(self.table().commit(txn))).boxed()
    }
}
