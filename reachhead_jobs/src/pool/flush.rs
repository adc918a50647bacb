//! What is written to the store, and what follows once it is.

use reachhead_store::row::{Commit, Conflict, Txn};
use reachhead_types::{
    id::{JobId, WorkerId},
    size::{Millis, Revision},
};

use crate::{
    clock::Tick,
    pool::{Action, Closed, NoteKind, Pool},
    record::{
        Ending, Roster, RosterEntry, final_key, job_key, lease_key, progress_key, roster_key, value,
    },
};

/// Jobs in one transaction at most: each takes up to four of the hundred entries that the platform
/// allows, and the lease and the roster take three.
const BATCH_JOBS: usize = 20;

/// How long a worker must be silent before the roster says that nothing new is started there.
const CLOSE_TIME: Millis = Millis(500);

/// How often the roster is compared with the workers; a worker that joins waits for it that much longer.
const ROSTER_PERIOD: Millis = Millis(40);

/// What a transaction says of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    id: JobId,
    ending: Option<Ending>,
}

/// Ends that a worker may forget once the transaction is done.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Seen {
    worker: WorkerId,
    number: u64,
}

/// A transaction and what it stands for.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The transaction.
    pub txn: Txn,
    jobs: Vec<Entry>,
    seen: Vec<Seen>,
    roster: Option<Roster>,
}

impl Batch {
    /// Tells whether callers wait for it: it ends jobs, or lets new workers be used.
    pub fn is_urgent(&self) -> bool {
        self.roster.is_some() || self.jobs.iter().any(|entry| entry.ending.is_some())
    }
}

impl Pool {
    /// Tells whether something is to be written that callers wait for.
    pub fn is_urgent(&self) -> bool {
        self.roster.wanted.is_some()
            || self.dirty.iter().any(|id| self.jobs.get(id).is_some_and(|job| job.ending.is_some()))
    }

    /// Tells whether anything is to be written.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty() || self.roster.wanted.is_some()
    }

    /// Returns what is to be written next, if anything is. All of it depends on the lease.
    pub fn batch(&mut self, wall: Millis) -> Option<Batch> {
        let roster = self.roster.wanted.clone();
        if self.dirty.is_empty() && roster.is_none() {
            return None;
        }
        let lease = Revision(self.token.0);
        let mut batch = Batch {
            txn: Txn::new().with_check(lease_key(&self.name), Some(lease)),
            jobs: Vec::new(),
            seen: Vec::new(),
            roster: None,
        };
        if let Some(roster) = roster {
            batch.txn = batch
                .txn
                .with_check(roster_key(&self.name), self.roster.revision)
                .with_write(roster_key(&self.name), value(&roster));
            batch.roster = Some(roster);
        }
        let ids: Vec<JobId> = self.dirty.iter().copied().take(BATCH_JOBS).collect();
        for id in ids {
            self.write_job(&mut batch, id, wall);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.changed = false;
            }
        }
        if self.dirty.len() <= BATCH_JOBS {
            batch.seen = self.noted();
        }
        Some(batch)
    }

    fn write_job(&self, batch: &mut Batch, id: JobId, wall: Millis) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let progress = progress_key(&self.name, id);
        let mut txn = std::mem::take(&mut batch.txn);
        // The check keeps a transaction whose answer was lost from undoing a later one.
        txn = txn.with_check(progress.clone(), job.revision);
        match job.ending {
            None => txn = txn.with_write(progress, value(&job.progress())),
            Some(ending) => {
                let record = Self::final_record(job, ending, wall);
                txn = txn
                    .with_write(final_key(&self.name, id), value(&record))
                    .with_delete(job_key(&self.name, id));
                if job.revision.is_some() {
                    txn = txn.with_delete(progress);
                }
            }
        }
        batch.txn = txn;
        batch.jobs.push(Entry { id, ending: job.ending });
    }

    fn noted(&self) -> Vec<Seen> {
        let ahead = self.workers.values().filter(|worker| worker.noted > worker.seen);
        ahead.map(|worker| Seen { worker: worker.info.id.clone(), number: worker.noted }).collect()
    }

    /// Looks now and then whether the roster has to be written.
    pub(super) fn check_roster(&mut self, now: Tick) {
        if self.roster.next <= now {
            self.roster.next = now + ROSTER_PERIOD;
            self.roster.wanted = self.wanted_roster(now);
        }
    }

    /// Returns the roster as it should be, if that is not what is stored.
    fn wanted_roster(&self, now: Tick) -> Option<Roster> {
        let newest = self.jobs.values().filter_map(|job| job.row).max().unwrap_or_default();
        let mut wanted = Roster::default();
        for worker in self.workers.values() {
            let id = &worker.info.id;
            let stored = self.roster.stored.workers.iter().find(|entry| entry.worker == *id);
            if worker.is_spent(now) && !self.pending.contains_key(id) {
                continue;
            }
            let quiet = worker.silent && now.since(worker.silent_since) >= CLOSE_TIME;
            let closed = match stored.map(|entry| entry.closed) {
                // What was closed stays so until it answers.
                Some(Some(closed)) if worker.silent || !worker.answered => Some(closed),
                _ if quiet && worker.answered => Some(newest),
                _ => None,
            };
            wanted.workers.push(RosterEntry {
                worker: id.clone(),
                address: worker.info.address,
                closed,
            });
        }
        (wanted != self.roster.stored).then_some(wanted)
    }

    /// Takes in that a batch is in force.
    pub fn committed(&mut self, batch: &Batch, revision: Revision, now: Tick) {
        self.verify(now);
        if let Some(roster) = &batch.roster {
            self.roster.stored = roster.clone();
            self.roster.wanted = None;
            self.roster.revision = Some(revision);
            for worker in self.workers.values_mut() {
                worker.rostered = self.roster.is_open(&worker.info.id);
            }
        }
        for entry in &batch.jobs {
            self.recorded(entry, revision, now);
        }
        for seen in &batch.seen {
            if let Some(worker) = self.workers.get_mut(&seen.worker) {
                worker.seen = worker.seen.max(seen.number);
                if let crate::worker::Poll::Due(due) = worker.poll {
                    worker.poll = crate::worker::Poll::Due(due.min(now));
                }
            }
        }
    }

    fn recorded(&mut self, entry: &Entry, revision: Revision, now: Tick) {
        let Some(job) = self.jobs.get_mut(&entry.id) else {
            return;
        };
        let Some(ending) = entry.ending else {
            job.revision = Some(revision);
            // What came in while the transaction was under way stays to be written.
            if !job.changed {
                self.dirty.remove(&entry.id);
            }
            return;
        };
        self.dirty.remove(&entry.id);
        let age = now.since(job.accepted);
        self.closed.insert(entry.id, Closed { ending, at: now });
        self.note(NoteKind::JobEnded, format!("job={} ending={ending:?} after={age}ms", entry.id));
        self.dismiss(entry.id);
    }

    /// Stops what still runs of a job that is over, and forgets the job.
    fn dismiss(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.recorded = true;
        for step in job.steps.values_mut() {
            for run in step.tasks.iter_mut().flat_map(|task| &mut task.runs) {
                run.phase = crate::job::Phase::Stopping;
                run.retry = Tick(0);
            }
        }
    }

    /// Takes in that a batch is not in force since rows are not what was thought. Returns whether
    /// this owner is still in charge.
    pub fn refused(&mut self, conflicts: &[Conflict]) -> bool {
        let lease = lease_key(&self.name);
        for conflict in conflicts {
            let found = conflict.row.as_ref().map(|row| row.revision);
            if conflict.key == lease {
                if found != Some(Revision(self.token.0)) {
                    return false;
                }
            } else if conflict.key == roster_key(&self.name) {
                self.roster.revision = found;
            } else {
                self.correct(conflict, found);
            }
        }
        true
    }

    fn correct(&mut self, conflict: &Conflict, found: Option<Revision>) {
        for &id in &self.dirty {
            if let Some(job) = self.jobs.get_mut(&id)
                && progress_key(&self.name, id) == conflict.key
            {
                job.revision = found;
            }
        }
    }

    /// Takes in the store's decision on a batch; returns whether this owner is still in charge.
    pub fn decided(&mut self, batch: &Batch, commit: &Commit, now: Tick) -> bool {
        match commit {
            Commit::Done(revision) => {
                self.committed(batch, *revision, now);
                true
            }
            Commit::Conflict(conflicts) => {
                let mine = self.refused(conflicts);
                if !mine {
                    self.actions.push(Action::Fenced);
                }
                mine
            }
        }
    }
}
