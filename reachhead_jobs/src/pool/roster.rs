//! Roster of the workers that a pool may have used, stored as one row per worker.
//!
//! In pools of thousands of workers some join and leave every second. The amount read and written
//! is proportional to the changes, and no row grows with the pool.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_store::row::{Conflict, Key, Row, Txn};
use reachhead_types::{
    id::WorkerId,
    size::{Millis, Revision, WorkerCount},
};

use crate::{
    clock::Tick,
    pool::{Batch, Lane, Pool, settled::Settlement},
    ports::WorkerInfo,
    record::{
        Roster, RosterEntry, lease_key, roster_key, roster_worker, settled_key, value,
        whole_roster_key,
    },
    worker::Worker,
};

/// How long a worker must be unreachable before the roster lists it as closed to new tasks.
const CLOSE_DELAY: Millis = Millis(500);

/// Period of the comparison of the roster with the workers; a joining worker waits that much
/// longer.
const ROSTER_CHECK_PERIOD: Millis = Millis(40);

/// Maximum number of workers in a transaction: each takes a check and a write of the hundred
/// entries that the platform's contract permits.
const MAX_CHANGES: usize = 48;

/// A worker of the roster as stored.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoredWorker {
    /// Its entry; `None` if that can't be read.
    pub entry: Option<RosterEntry>,
    /// The revision of its row; `None` if it is only in the row of the whole roster.
    pub revision: Option<Revision>,
}

impl StoredWorker {
    /// Returns whether the worker is open to new tasks.
    pub(super) fn is_open(&self) -> bool {
        self.entry.as_ref().is_some_and(|entry| entry.closed.is_none())
    }
}

/// The roster as stored.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoredRoster {
    /// The workers.
    pub workers: BTreeMap<WorkerId, StoredWorker>,
    /// The revision of the row in which an earlier release stored the whole roster.
    pub whole: Option<Revision>,
}

impl StoredRoster {
    /// Parses the roster from its rows, and returns it with the errors of unreadable rows. An
    /// unreadable row still shows that its worker may have been used.
    pub fn read(rows: &[Row]) -> (Self, Vec<String>) {
        let mut roster = Self::default();
        let mut errors = Vec::new();
        // Rows of single workers are newer than the row of the whole roster.
        for row in rows.iter().filter(|row| roster_worker(&row.key).is_none()) {
            roster.whole = Some(row.revision);
            match row.parse::<Roster>() {
                Ok(whole) => roster.include(whole),
                Err(error) => errors.push(error.to_string()),
            }
        }
        for row in rows {
            let Some(worker) = roster_worker(&row.key) else {
                continue;
            };
            let entry = row.parse::<RosterEntry>();
            let entry = entry.map_err(|error| errors.push(error.to_string())).ok();
            let stored = StoredWorker { entry, revision: Some(row.revision) };
            roster.workers.insert(worker, stored);
        }
        (roster, errors)
    }

    fn include(&mut self, whole: Roster) {
        for entry in whole.workers {
            let stored = StoredWorker { entry: Some(entry.clone()), revision: None };
            self.workers.insert(entry.worker, stored);
        }
    }
}

/// A row to be written, or deleted if `entry` is `None`.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Change {
    worker: WorkerId,
    entry: Option<RosterEntry>,
}

/// Changes to the roster in a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct RosterUpdate {
    changes: Vec<Change>,
    /// The row of the whole roster is deleted.
    whole: bool,
    /// The pool's [`SettledRecord`](crate::record::SettledRecord) is written, with this number of
    /// workers.
    pub(super) settled: Option<WorkerCount>,
}

impl RosterUpdate {
    /// Returns the changed workers.
    pub(super) fn workers(&self) -> Vec<WorkerId> {
        self.changes.iter().map(|change| change.worker.clone()).collect()
    }
}

/// The stored roster and the pending changes to it.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct RosterState {
    pub(super) stored: StoredRoster,
    /// Changes that bring the stored roster up to date.
    wanted: RosterUpdate,
    /// Workers of which a transaction was sent that lets a successor disregard them, and that the
    /// store has not decided on. Nothing may be started there until a later one shows them as open.
    withdrawn: BTreeSet<WorkerId>,
    /// When the roster is compared with the workers next.
    pub(super) next: Tick,
}

impl RosterState {
    pub(super) fn new(stored: StoredRoster) -> Self {
        Self { stored, ..Self::default() }
    }

    /// Returns whether a worker is stored as open to new tasks.
    pub(super) fn is_open(&self, worker: &WorkerId) -> bool {
        !self.withdrawn.contains(worker)
            && self.stored.workers.get(worker).is_some_and(StoredWorker::is_open)
    }

    /// Returns the number of workers in the stored roster.
    pub(super) fn worker_count(&self) -> WorkerCount {
        WorkerCount(self.stored.workers.len() as u32)
    }

    /// Returns the number of workers in the stored roster once an update of it is performed.
    fn count_after(&self, update: &RosterUpdate) -> WorkerCount {
        let is_stored = |change: &&Change| self.stored.workers.contains_key(&change.worker);
        let (known, new): (Vec<_>, Vec<_>) = update.changes.iter().partition(is_stored);
        let removed = known.iter().filter(|change| change.entry.is_none()).count();
        let added = new.iter().filter(|change| change.entry.is_some()).count();
        WorkerCount((self.stored.workers.len() + added - removed) as u32)
    }

    /// Returns whether there are changes to write.
    pub(super) fn is_due(&self) -> bool {
        !self.wanted.changes.is_empty() || self.wanted.whole
    }
}

impl Pool {
    /// Returns the next transaction on the roster. Each row is checked, so that a transaction whose
    /// answer was lost does not undo a later one.
    pub(super) fn roster_batch(&mut self) -> Option<Batch> {
        if !self.roster.is_due() && !self.is_settlement_due() {
            return None;
        }
        let mut txn = Txn::new().with_check(lease_key(&self.name), Some(Revision(self.token.0)));
        let mut update = RosterUpdate::default();
        let most = MAX_CHANGES.min(self.refusals.max_items(Lane::Roster));
        for change in self.roster.wanted.changes.iter().take(most) {
            let key = roster_key(&self.name, &change.worker);
            let stored = self.roster.stored.workers.get(&change.worker);
            txn = txn.with_check(key.clone(), stored.and_then(|stored| stored.revision));
            txn = match &change.entry {
                Some(entry) => txn.with_write(key, value(entry)),
                None => txn.with_delete(key),
            };
            update.changes.push(change.clone());
        }
        if self.is_settlement_due() {
            let workers = self.roster.count_after(&update);
            txn = txn.with_write(settled_key(&self.name), value(&self.settled_record(workers)));
            update.settled = Some(workers);
        }
        if update.changes.is_empty() && self.roster.wanted.whole {
            let key = whole_roster_key(&self.name);
            txn = txn.with_check(key.clone(), self.roster.stored.whole).with_delete(key);
            update.whole = true;
        }
        self.withdraw(&update);
        Some(Batch { txn, lane: Lane::Roster, jobs: Vec::new(), roster: Some(update) })
    }

    /// Takes the workers out of use that a successor will disregard once the store performs an update.
    fn withdraw(&mut self, update: &RosterUpdate) {
        for Change { worker, entry } in &update.changes {
            if entry.as_ref().is_some_and(|entry| entry.closed.is_none()) {
                continue;
            }
            self.roster.withdrawn.insert(worker.clone());
            if let Some(known) = self.workers.get_mut(worker) {
                known.rostered = false;
            }
        }
    }

    /// Compares the roster with the workers, once per [`ROSTER_CHECK_PERIOD`]. A worker can't be closed
    /// before the newest job is known.
    pub(super) fn check_roster(&mut self, now: Tick) {
        if self.roster.next <= now && !self.is_recovering() {
            self.roster.next = now + ROSTER_CHECK_PERIOD;
            self.roster.wanted = self.wanted_roster(now);
        }
    }

    /// Returns the changes that bring the stored roster up to date.
    fn wanted_roster(&self, now: Tick) -> RosterUpdate {
        let stored = &self.roster.stored;
        let mut changes = Vec::new();
        let mut kept = BTreeSet::new();
        for worker in self.workers.values() {
            let id = &worker.info.id;
            if worker.is_expired(now) && !self.pending.contains_key(id) {
                continue;
            }
            kept.insert(id);
            if self.refusals.holds_worker(id) {
                continue;
            }
            let known = stored.workers.get(id);
            let entry = self.roster_entry(worker, known, now);
            let is_decided = !self.roster.withdrawn.contains(id);
            let written = known.is_some_and(|known| {
                is_decided && known.revision.is_some() && known.entry.as_ref() == Some(&entry)
            });
            if !written {
                changes.push(Change { worker: id.clone(), entry: Some(entry) });
            }
        }
        for (id, known) in &stored.workers {
            let is_pending = self.pending.contains_key(id);
            if !kept.contains(id) && !is_pending && known.revision.is_some() {
                changes.push(Change { worker: id.clone(), entry: None });
            }
        }
        let whole = changes.is_empty() && stored.whole.is_some();
        RosterUpdate { changes, whole, settled: None }
    }

    fn roster_entry(
        &self,
        worker: &Worker,
        known: Option<&StoredWorker>,
        now: Tick,
    ) -> RosterEntry {
        let is_unreachable = worker.silent && now.since(worker.silent_since) >= CLOSE_DELAY;
        let known = known.and_then(|known| known.entry.as_ref());
        let closed = known.and_then(|entry| entry.closed);
        let closed = match closed {
            // A closed worker stays closed until it answers.
            Some(closed) if worker.silent || !worker.answered => Some(closed),
            _ if is_unreachable && worker.answered => Some(self.newest_row()),
            _ => None,
        };
        // A start that was recorded stays until the next one, as removing it would be another write.
        let recorded = known.and_then(|entry| entry.started_at);
        let started_at = worker.unregistered_start().or(recorded);
        let WorkerInfo { id, address, .. } = &worker.info;
        RosterEntry { worker: id.clone(), address: *address, closed, started_at }
    }

    fn newest_row(&self) -> Revision {
        self.jobs.values().filter_map(|job| job.row).max().unwrap_or_default()
    }

    /// Applies a committed update of the roster.
    pub(super) fn apply_roster_update(&mut self, update: &RosterUpdate, revision: Revision) {
        if update.whole {
            self.roster.stored.whole = None;
        }
        if let Some(workers) = update.settled {
            self.settlement = Settlement::Recorded(workers);
        }
        for Change { worker, entry } in &update.changes {
            self.roster.withdrawn.remove(worker);
            match entry {
                Some(entry) => {
                    let stored =
                        StoredWorker { entry: Some(entry.clone()), revision: Some(revision) };
                    self.roster.stored.workers.insert(worker.clone(), stored);
                }
                None => {
                    self.roster.stored.workers.remove(worker);
                }
            }
            let open = self.roster.is_open(worker);
            if let Some(known) = self.workers.get_mut(worker) {
                known.rostered = open;
            }
        }
        self.roster.wanted = RosterUpdate::default();
        self.roster.next = Tick(0);
    }

    /// Applies a conflict on a row of the roster, and returns whether the key is one of the roster.
    pub(super) fn correct_roster(&mut self, conflict: &Conflict) -> bool {
        if conflict.key == whole_roster_key(&self.name) {
            self.roster.stored.whole = conflict.row.as_ref().map(|row| row.revision);
            return true;
        }
        let Some(worker) = self.rostered_worker(&conflict.key) else {
            return false;
        };
        self.roster.withdrawn.remove(&worker);
        match &conflict.row {
            Some(row) => {
                let entry = row.parse::<RosterEntry>().ok();
                let stored = StoredWorker { entry, revision: Some(row.revision) };
                self.roster.stored.workers.insert(worker.clone(), stored);
            }
            None => {
                self.roster.stored.workers.remove(&worker);
            }
        }
        let open = self.roster.is_open(&worker);
        if let Some(known) = self.workers.get_mut(&worker) {
            known.rostered = open;
        }
        self.roster.wanted = RosterUpdate::default();
        self.roster.next = Tick(0);
        true
    }

    fn rostered_worker(&self, key: &Key) -> Option<WorkerId> {
        let worker = roster_worker(key)?;
        (roster_key(&self.name, &worker) == *key).then_some(worker)
    }
}
