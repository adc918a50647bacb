//! What is written to the store, and what follows once it is.

use std::collections::BTreeMap;

use reachhead_store::row::{Commit, Conflict, Key, Txn};
use reachhead_types::{
    id::JobId,
    size::{Millis, Revision},
};

use crate::{
    clock::Tick,
    pool::{Action, Closed, NoteKind, Pool, roster::RosterUpdate},
    record::{Ending, fence_key, final_key, job_key, lease_key, progress_key, value},
    shard::Shard,
    worker::Poll,
};

/// Entries of a transaction at most, by the platform's contract.
const ENTRIES_MOST: usize = 100;

/// Entries that one job takes at most: a check, a row and two deletions.
const JOB_ENTRIES: usize = 4;

/// What a transaction says of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) id: JobId,
    ending: Option<Ending>,
}

/// What an owner's transactions are about. Those of one lane follow each other, others go on beside them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// The workers that the pool may have used.
    Roster,
    /// Jobs in one part of the store.
    Jobs(Shard),
}

/// A lane in which something is to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Due {
    /// The lane.
    pub lane: Lane,
    /// Callers wait for it: it ends jobs, or lets new workers be used, or tasks start that may crash them.
    pub urgent: bool,
}

/// A transaction and what it stands for.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The transaction.
    pub txn: Txn,
    /// Its lane.
    pub lane: Lane,
    pub(super) jobs: Vec<Entry>,
    pub(super) roster: Option<RosterUpdate>,
}

impl Batch {
    fn entries(&self) -> usize {
        self.txn.checks.len() + self.txn.writes.len()
    }
}

impl Pool {
    /// Returns the lanes in which something is to be written.
    pub fn due(&self) -> Vec<Due> {
        let mut lanes: BTreeMap<Lane, bool> = BTreeMap::new();
        if self.roster.is_due() {
            lanes.insert(Lane::Roster, true);
        }
        for id in self.dirty.iter().filter(|id| self.is_writable(**id)) {
            let urgent = self.is_awaited(*id);
            *lanes.entry(Lane::Jobs(Shard::of(*id))).or_default() |= urgent;
        }
        lanes.into_iter().map(|(lane, urgent)| Due { lane, urgent }).collect()
    }

    /// Tells whether a job is over and that is not recorded, or whether a task waits until crashes under it are.
    fn is_awaited(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.ending.is_some() || job.has_suspects())
    }

    /// Tells whether a job's row may be written: the store has not just refused it. That it is over makes it short.
    fn is_writable(&self, id: JobId) -> bool {
        let over = self.jobs.get(&id).is_some_and(|job| job.ending.is_some());
        over || !self.refusals.holds_job(id)
    }

    /// Returns what is to be written next in a lane, if anything is. All of it depends on the lease.
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
        // Callers wait for the jobs that are over; workers keep what is not recorded of the others.
        ids.sort_by_key(|id| !self.is_awaited(*id));
        let fence = self.fences.get(&shard).copied();
        let mut batch = Batch {
            txn: Txn::new().with_check(fence_key(&self.name, shard), fence),
            lane: Lane::Jobs(shard),
            jobs: Vec::new(),
            roster: None,
        };
        for id in ids.into_iter().take(self.refusals.most(Lane::Jobs(shard))) {
            if batch.entries() + JOB_ENTRIES > ENTRIES_MOST {
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
        batch.jobs.push(Entry { id, ending: job.ending });
    }

    /// Takes in that a batch is in force.
    pub fn committed(&mut self, batch: &Batch, revision: Revision, now: Tick) {
        self.refusals.taken(batch.lane);
        if let Some(update) = &batch.roster {
            self.rostered(update, revision);
        }
        for entry in &batch.jobs {
            self.recorded(entry, revision, now);
        }
    }

    /// Lets the workers forget the ends of a job that are recorded.
    fn forget(&mut self, id: JobId, now: Tick) {
        for worker in self.workers.values_mut() {
            let seen = worker.acknowledged;
            worker.mark_recorded(id);
            if worker.acknowledged > seen
                && let Poll::Due(due) = worker.poll
            {
                worker.poll = Poll::Due(due.min(now));
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
            if !job.unsaved {
                self.dirty.remove(&entry.id);
            }
            self.forget(entry.id, now);
            return;
        };
        let age = now.since(job.accepted);
        let customer = job.customer.clone();
        // Ends that came in meanwhile change nothing any more.
        self.dirty.remove(&entry.id);
        for worker in self.workers.values_mut() {
            worker.mark_written(entry.id);
        }
        self.forget(entry.id, now);
        self.closed.insert(entry.id, Closed { ending, customer, at: now });
        self.note(NoteKind::JobEnded, format!("job={} ending={ending:?} after={age}ms", entry.id));
        self.dismiss(entry.id);
    }

    /// Stops what still runs of a job that is over, and forgets the job.
    fn dismiss(&mut self, id: JobId) {
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

    /// Takes in that a batch is not in force since rows are not what was thought. Returns whether
    /// this owner is still in charge.
    pub fn refused(&mut self, conflicts: &[Conflict]) -> bool {
        let mut holds: BTreeMap<Key, Revision> = self
            .fences
            .iter()
            .map(|(shard, revision)| (fence_key(&self.name, *shard), *revision))
            .collect();
        holds.insert(lease_key(&self.name), Revision(self.token.0));
        for conflict in conflicts {
            let found = conflict.row.as_ref().map(|row| row.revision);
            if let Some(held) = holds.get(&conflict.key) {
                if found != Some(*held) {
                    return false;
                }
            } else if !self.correct_roster(conflict) {
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
