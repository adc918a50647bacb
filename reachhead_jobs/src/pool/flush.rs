//! Write batching: transactions of a pool's owner to the store, and their results.

use std::collections::BTreeMap;

use reachhead_store::row::{Commit, Conflict, Key, Txn};
use reachhead_types::{
    id::JobId,
    size::{Millis, Revision},
};

use crate::{
    clock::Tick,
    pool::{Action, ClosedJob, NoteKind, Pool, roster::RosterUpdate},
    record::{Ending, fence_key, final_key, job_key, lease_key, progress_key, value},
    shard::Shard,
    worker::Poll,
};

/// Maximum number of entries in a transaction, by the platform's contract.
const MAX_ENTRIES: usize = 100;

/// Maximum number of entries that one job takes: a check, a write and two deletions.
const MAX_JOB_ENTRIES: usize = 4;

/// A job in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct JobEntry {
    pub(super) id: JobId,
    ending: Option<Ending>,
}

/// Sequence of an owner's transactions. Those in one lane are strictly ordered, while lanes proceed
/// in parallel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// The roster of workers that the pool may have used.
    Roster,
    /// The jobs in one shard of the store.
    Jobs(Shard),
}

/// A lane with pending writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Due {
    /// The lane.
    pub lane: Lane,
    /// Something waits for the write: it ends jobs, lets new workers be used, or lets tasks start
    /// that may crash their workers.
    pub urgent: bool,
}

/// A transaction and the changes that it records.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The transaction.
    pub txn: Txn,
    /// Its lane.
    pub lane: Lane,
    pub(super) jobs: Vec<JobEntry>,
    pub(super) roster: Option<RosterUpdate>,
}

impl Batch {
    fn entries(&self) -> usize {
        self.txn.checks.len() + self.txn.writes.len()
    }
}

impl Pool {
    /// Returns the lanes with pending writes.
    pub fn due(&self) -> Vec<Due> {
        let mut lanes: BTreeMap<Lane, bool> = BTreeMap::new();
        if self.roster.is_due() || self.is_settlement_due() {
            lanes.insert(Lane::Roster, self.roster.is_due());
        }
        for id in self.dirty.iter().filter(|id| self.is_writable(**id)) {
            let urgent = self.is_urgent(*id);
            *lanes.entry(Lane::Jobs(Shard::of(*id))).or_default() |= urgent;
        }
        lanes.into_iter().map(|(lane, urgent)| Due { lane, urgent }).collect()
    }

    /// Returns whether a job's end is not recorded yet, or a task waits until crashes under it are
    /// recorded.
    fn is_urgent(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.ending.is_some() || job.has_suspects())
    }

    /// Returns whether a job's row may be written, which it is not while a rejected progress row is
    /// held back. The final record of an ended job is short, so it is always written.
    fn is_writable(&self, id: JobId) -> bool {
        let has_ended = self.jobs.get(&id).is_some_and(|job| job.ending.is_some());
        has_ended || !self.refusals.holds_job(id)
    }

    /// Returns the next transaction of a lane, if there are pending writes. It is fenced by the
    /// lease row or the shard's fence.
    pub fn batch(&mut self, lane: Lane, wall: Millis) -> Option<Batch> {
        match lane {
            Lane::Roster => self.roster_batch(),
            Lane::Jobs(shard) => self.job_batch(shard, wall),
        }
    }

    fn job_batch(&mut self, shard: Shard, wall: Millis) -> Option<Batch> {
        let due = |id: &JobId| Shard::of(*id) == shard && self.is_writable(*id);
        let mut ids: Vec<JobId> = self.dirty.iter().copied().filter(due).collect();
        if ids.is_empty() {
            return None;
        }
        // Callers wait for jobs that have ended; of the others, workers keep what is not recorded.
        // Those written least recently come first, so that each has its turn.
        ids.sort_by_key(|id| (!self.is_urgent(*id), self.jobs.get(id).map(|job| job.revision)));
        let fence = self.fences.get(&shard).copied();
        let mut batch = Batch {
            txn: Txn::new().with_check(fence_key(&self.name, shard), fence),
            lane: Lane::Jobs(shard),
            jobs: Vec::new(),
            roster: None,
        };
        for id in ids.into_iter().take(self.refusals.max_items(Lane::Jobs(shard))) {
            if batch.entries() + MAX_JOB_ENTRIES > MAX_ENTRIES {
                break;
            }
            self.write_job(&mut batch, id, wall);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.unsaved = false;
            }
            for worker in self.workers.values_mut() {
                worker.mark_written(id);
            }
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
        batch.jobs.push(JobEntry { id, ending: job.ending });
    }

    /// Applies a committed batch.
    pub fn committed(&mut self, batch: &Batch, revision: Revision, now: Tick) {
        self.refusals.batch_accepted(batch.lane);
        if let Some(update) = &batch.roster {
            self.apply_roster_update(update, revision);
        }
        for entry in &batch.jobs {
            self.apply_job_entry(entry, revision, now);
        }
    }

    /// Lets workers drop the ends of a job that are recorded, and polls those workers at once.
    fn acknowledge_ends(&mut self, id: JobId, now: Tick) {
        for worker in self.workers.values_mut() {
            let before = worker.acknowledged;
            worker.mark_recorded(id);
            if worker.acknowledged > before
                && let Poll::Due(due) = worker.poll
            {
                worker.poll = Poll::Due(due.min(now));
            }
        }
    }

    fn apply_job_entry(&mut self, entry: &JobEntry, revision: Revision, now: Tick) {
        let Some(job) = self.jobs.get_mut(&entry.id) else {
            return;
        };
        let Some(ending) = entry.ending else {
            job.revision = Some(revision);
            // Changes made while the transaction was in flight are still to be written.
            if !job.unsaved {
                self.dirty.remove(&entry.id);
            }
            self.acknowledge_ends(entry.id, now);
            return;
        };
        let age = now.since(job.accepted);
        let customer = job.customer.clone();
        // Ends reported meanwhile no longer matter.
        self.dirty.remove(&entry.id);
        for worker in self.workers.values_mut() {
            worker.mark_written(entry.id);
        }
        self.acknowledge_ends(entry.id, now);
        self.closed.insert(entry.id, ClosedJob { ending, customer, at: now });
        self.note(NoteKind::JobEnded, format!("job={} ending={ending:?} after={age}ms", entry.id));
        self.retire_job(entry.id);
    }

    /// Stops the remaining runs of an ended job, and removes the job if there are none.
    fn retire_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.has_runs() {
            self.jobs.remove(&id);
            return;
        }
        self.review = true;
        job.recorded = true;
        for step in job.steps.values_mut() {
            for run in step.tasks.iter_mut().flat_map(|task| &mut task.runs) {
                run.phase = crate::job::Phase::Stopping;
                run.retry_at = Tick(0);
            }
        }
    }

    /// Applies the conflicts of a refused batch. Returns whether this owner still holds its lease
    /// and fences.
    pub fn refused(&mut self, conflicts: &[Conflict]) -> bool {
        let mut held: BTreeMap<Key, Revision> = self
            .fences
            .iter()
            .map(|(shard, revision)| (fence_key(&self.name, *shard), *revision))
            .collect();
        held.insert(lease_key(&self.name), Revision(self.token.0));
        for conflict in conflicts {
            let found = conflict.row.as_ref().map(|row| row.revision);
            if let Some(held) = held.get(&conflict.key) {
                if found != Some(*held) {
                    return false;
                }
            } else if !self.correct_roster(conflict) {
                self.correct_revision(conflict, found);
            }
        }
        true
    }

    fn correct_revision(&mut self, conflict: &Conflict, found: Option<Revision>) {
        for &id in &self.dirty {
            if let Some(job) = self.jobs.get_mut(&id)
                && progress_key(&self.name, id) == conflict.key
            {
                job.revision = found;
            }
        }
    }

    /// Applies the store's result of a batch. Returns whether this owner still holds its lease and
    /// fences.
    pub fn decided(&mut self, batch: &Batch, commit: &Commit, now: Tick) -> bool {
        match commit {
            Commit::Done(revision) => {
                self.committed(batch, *revision, now);
                true
            }
            Commit::Conflict(conflicts) => {
                let is_owner = self.refused(conflicts);
                if !is_owner {
                    self.actions.push(Action::Fenced);
                }
                is_owner
            }
        }
    }
}
