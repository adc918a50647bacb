//! Ends of runs whose jobs this owner does not know.
//!
//! The job has ended, or it was stored after the takeover had read its shard and a predecessor that
//! had lost its lease started its tasks. The worker may forget such an end only once the store has
//! shown that the job is not stored: the owner may find the job much later, as reads of stored jobs
//! are slow on a narrow link and fail while the store turns the process away. Its tasks would then
//! start again. See [Ends that were not recorded before a
//! takeover](../../../docs/incidents/ends-not-recorded-before-a-takeover.md).

use std::collections::BTreeMap;

use reachhead_types::{
    id::{JobId, WorkerId},
    size::Millis,
};

use crate::{
    clock::Tick,
    incarnation::Incarnation,
    pool::{NoteKind, Pool},
    ports::{EndedEntry, RunEnd, UNLISTED_END},
    worker::UnrecordedEnd,
};

/// How long the owner waits for the job before it reads the job's row. Most of these jobs have
/// ended, or arrive within this time by the regular reads of stored jobs.
const LOOKUP_DELAY: Millis = Millis(5000);

/// Pause before a failed lookup is repeated. Only the worker's memory waits for it.
const LOOKUP_RETRY_PAUSE: Millis = Millis(500);

/// Maximum number of jobs in one lookup. Each takes a call of the store, one after the other, and all
/// share one timeout: on a slow store a long list would fail as a whole, again and again.
const MAX_LOOKUP_JOBS: usize = 8;

/// A reported end of a run whose job this owner does not know.
#[derive(Debug, Clone, PartialEq, Eq)]
struct UnclaimedEnd {
    incarnation: Incarnation,
    entry: EndedEntry,
    since: Tick,
}

/// State of the lookup of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lookup {
    /// The lookup is due at this time.
    Due(Tick),
    /// The store is being read.
    InFlight,
}

/// The ends of unknown jobs, and the lookups of these jobs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct UnclaimedEnds {
    ends: Vec<UnclaimedEnd>,
    lookups: BTreeMap<JobId, Lookup>,
}

impl UnclaimedEnds {
    fn push(&mut self, incarnation: Incarnation, entry: &EndedEntry, now: Tick) {
        let job = entry.task.job;
        self.lookups.entry(job).or_insert(Lookup::Due(now + LOOKUP_DELAY));
        // A worker that was removed and listed again reports its ends again.
        let known = self.ends.iter_mut().find(|end| {
            end.incarnation.worker == incarnation.worker
                && end.entry.task == entry.task
                && end.entry.run == entry.run
        });
        match known {
            Some(known) => known.incarnation = incarnation,
            None => self.ends.push(UnclaimedEnd { incarnation, entry: entry.clone(), since: now }),
        }
    }

    /// Drops the ends of a worker whose incarnation is over: nothing is acknowledged to it any more,
    /// and the next one numbers its ends from one.
    pub(super) fn drop_worker(&mut self, worker: &WorkerId) {
        self.ends.retain(|end| end.incarnation.worker != *worker);
    }

    /// Removes and returns the ends of a job.
    fn take(&mut self, job: JobId) -> Vec<UnclaimedEnd> {
        if self.lookups.remove(&job).is_none() {
            return Vec::new();
        }
        let is_own = |end: &UnclaimedEnd| end.entry.task.job == job;
        let (own, others) = self.ends.drain(..).partition(is_own);
        self.ends = others;
        own
    }

    /// Returns the jobs to look up now.
    pub(super) fn take_due(&mut self, now: Tick) -> Vec<JobId> {
        let is_due = |lookup: &Lookup| matches!(lookup, Lookup::Due(at) if *at <= now);
        let due = self.lookups.iter_mut().filter(|(_, lookup)| is_due(lookup));
        let taken = due.take(MAX_LOOKUP_JOBS).map(|(job, lookup)| {
            *lookup = Lookup::InFlight;
            *job
        });
        taken.collect()
    }

    /// Records that the store did not answer a lookup.
    fn retry(&mut self, job: JobId, now: Tick) {
        if let Some(lookup) = self.lookups.get_mut(&job) {
            *lookup = Lookup::Due(now + LOOKUP_RETRY_PAUSE);
        }
    }
}

impl Pool {
    /// Keeps an end of an unknown job, and keeps its worker from dropping it.
    pub(super) fn keep_unclaimed_end(&mut self, id: &WorkerId, entry: &EndedEntry, now: Tick) {
        let counts = matches!(entry.end, RunEnd::Done | RunEnd::Failed);
        if !counts || self.closed.contains_key(&entry.task.job) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            let end = UnrecordedEnd { job: entry.task.job, written: false };
            worker.unrecorded.insert(entry.number, end);
        }
        let started_at = self.workers.get(id).and_then(|worker| worker.started_at);
        let incarnation = Incarnation::new(id.clone()).with_start(started_at);
        self.unclaimed_ends.push(incarnation, entry, now);
    }

    /// Applies the ends that were reported before the job became known. Those of an earlier incarnation
    /// count as well, but the one that answers now numbers its ends anew.
    pub(super) fn claim_ends(&mut self, id: JobId, now: Tick) {
        for UnclaimedEnd { incarnation, mut entry, .. } in self.unclaimed_ends.take(id) {
            if !self.is_current(&incarnation) {
                entry.number = UNLISTED_END;
            }
            self.apply_end(&incarnation.worker, &entry, now);
        }
    }

    /// Returns whether the incarnation is the one that answers under its id.
    fn is_current(&self, incarnation: &Incarnation) -> bool {
        let worker = self.workers.get(&incarnation.worker);
        worker.is_some_and(|worker| worker.started_at == incarnation.started_at)
    }

    /// Processes the lookup of an unknown job: if the store `answered`, the job is not stored, so
    /// its ends need no record.
    pub(super) fn resolve_unclaimed_ends(&mut self, job: JobId, answered: bool, now: Tick) {
        if !answered {
            self.unclaimed_ends.retry(job, now);
            return;
        }
        for UnclaimedEnd { incarnation, entry, since } in self.unclaimed_ends.take(job) {
            let age = now.since(since);
            let id = &incarnation.worker;
            self.note(
                NoteKind::RunLost,
                format!("task={} worker={id} end=unknown-job age={age}ms", entry.task),
            );
            if self.is_current(&incarnation)
                && let Some(worker) = self.workers.get_mut(id)
            {
                worker.mark_written(job);
                worker.mark_recorded(job);
            }
        }
    }
}
