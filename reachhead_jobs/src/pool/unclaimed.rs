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

/// The ends of an unknown job, and its lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
struct JobEnds {
    lookup: Lookup,
    ends: Vec<UnclaimedEnd>,
}

/// The ends of unknown jobs, and the lookups of these jobs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct UnclaimedEnds {
    jobs: BTreeMap<JobId, JobEnds>,
}

impl UnclaimedEnds {
    fn push(&mut self, incarnation: Incarnation, entry: &EndedEntry, now: Tick) {
        let lookup = Lookup::Due(now + LOOKUP_DELAY);
        let job =
            self.jobs.entry(entry.task.job).or_insert_with(|| JobEnds { lookup, ends: Vec::new() });
        // A worker that was removed and listed again reports its ends again.
        let known = job.ends.iter_mut().find(|end| {
            end.incarnation.worker == incarnation.worker
                && end.entry.task == entry.task
                && end.entry.run == entry.run
        });
        match known {
            Some(known) => known.incarnation = incarnation,
            None => job.ends.push(UnclaimedEnd { incarnation, entry: entry.clone(), since: now }),
        }
    }

    /// Drops the ends of a worker whose incarnation is over: nothing is acknowledged to it any more,
    /// and the next one numbers its ends from one.
    pub(super) fn drop_worker(&mut self, worker: &WorkerId) {
        self.retain(|end| end.incarnation.worker != *worker);
    }

    /// Keeps the ends for which `is_kept` returns true.
    fn retain(&mut self, mut is_kept: impl FnMut(&UnclaimedEnd) -> bool) {
        self.jobs.retain(|_, job| {
            job.ends.retain(&mut is_kept);
            !job.ends.is_empty()
        });
    }

    /// Removes and returns the ends of a job.
    fn take(&mut self, job: JobId) -> Vec<UnclaimedEnd> {
        self.jobs.remove(&job).map(|job| job.ends).unwrap_or_default()
    }

    /// Returns the jobs to look up now.
    pub(super) fn take_due(&mut self, now: Tick) -> Vec<JobId> {
        let is_due = |lookup: &Lookup| matches!(lookup, Lookup::Due(at) if *at <= now);
        let due = self.jobs.iter_mut().filter(|(_, job)| is_due(&job.lookup));
        let taken = due.take(MAX_LOOKUP_JOBS).map(|(id, job)| {
            job.lookup = Lookup::InFlight;
            *id
        });
        taken.collect()
    }

    /// Records that the store did not answer a lookup.
    fn retry(&mut self, job: JobId, now: Tick) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.lookup = Lookup::Due(now + LOOKUP_RETRY_PAUSE);
        }
    }
}

/// Returns whether a job's progress depends on such an end.
fn counts(end: RunEnd) -> bool {
    matches!(end, RunEnd::Done | RunEnd::Failed)
}

impl Pool {
    /// Keeps an end of an unknown job, and keeps its worker from dropping it. Once the stored jobs are
    /// known, this is needed only of ends that count: other ends of jobs that were stored later change
    /// nothing.
    pub(super) fn keep_unclaimed_end(&mut self, id: &WorkerId, entry: &EndedEntry, now: Tick) {
        let is_needed = counts(entry.end) || self.is_recovering();
        if !is_needed || self.closed.contains_key(&entry.task.job) {
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
            } else if let Some(worker) = self.workers.get_mut(&incarnation.worker) {
                // The job decides whether the end has to be recorded.
                worker.unrecorded.remove(&entry.number);
            }
            self.apply_end(&incarnation.worker, &entry, now);
        }
    }

    /// Applies the ends that were reported while the stored jobs were read, and drops those of other
    /// jobs that don't count.
    pub(super) fn claim_all_ends(&mut self, now: Tick) {
        let reported: Vec<JobId> = self.unclaimed_ends.jobs.keys().copied().collect();
        for job in reported {
            if self.jobs.contains_key(&job) {
                self.claim_ends(job, now);
            }
        }
        // Those left are jobs that have ended, or that the regular reads find from now on.
        for job in self.unclaimed_ends.jobs.values_mut() {
            job.lookup = Lookup::Due(now + LOOKUP_DELAY);
        }
        let mut dropped = Vec::new();
        self.unclaimed_ends.retain(|end| {
            let is_kept = counts(end.entry.end);
            if !is_kept {
                dropped.push((end.incarnation.clone(), end.entry.number));
            }
            is_kept
        });
        for (incarnation, number) in dropped {
            if self.is_current(&incarnation)
                && let Some(worker) = self.workers.get_mut(&incarnation.worker)
            {
                worker.unrecorded.remove(&number);
            }
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
