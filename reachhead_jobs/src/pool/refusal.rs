//! Rows that the store rejects for their content: a row that is too long, or an invalid key.
//!
//! Such a transaction never succeeds, and would block everything else in it. It is halved until the
//! rejected row is alone, and that row is held back.

use std::collections::BTreeMap;

use reachhead_types::{
    id::{JobId, WorkerId},
    size::Millis,
};

use super::{Batch, Lane, NoteKind, Pool};
use crate::clock::Tick;

/// Batch size of a lane without rejections.
const UNLIMITED: usize = usize::MAX;

/// First pause before a job's rejected row is retried: it may have become shorter. It doubles up to
/// [`MAX_RETRY_PAUSE`].
const MIN_RETRY_PAUSE: Millis = Millis(1000);

/// Longest pause before a rejected row is retried.
const MAX_RETRY_PAUSE: Millis = Millis(60_000);

/// A job whose progress row the store rejects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldJob {
    /// When the write is retried.
    until: Tick,
    pause: Millis,
    /// The pause is not over yet.
    is_waiting: bool,
}

/// Rejected rows, and the resulting limits on transactions.
#[derive(Debug, Clone, Default)]
pub(super) struct Refusals {
    /// Maximum number of jobs or workers in a lane's next transaction.
    batch_limits: BTreeMap<Lane, usize>,
    jobs: BTreeMap<JobId, HeldJob>,
    /// Workers whose rows were rejected, and when. No task is started on them.
    workers: BTreeMap<WorkerId, Tick>,
}

impl Refusals {
    /// Returns the most jobs or workers that the next transaction of a lane may contain.
    pub(super) fn max_items(&self, lane: Lane) -> usize {
        self.batch_limits.get(&lane).copied().unwrap_or(UNLIMITED)
    }

    /// Returns whether a job's progress row is held back now.
    pub(super) fn holds_job(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|held| held.is_waiting)
    }

    /// Returns whether a worker's row is held back.
    pub(super) fn holds_worker(&self, id: &WorkerId) -> bool {
        self.workers.contains_key(id)
    }

    /// Doubles the batch size of a lane after an accepted transaction.
    pub(super) fn batch_accepted(&mut self, lane: Lane) {
        if let Some(size) = self.batch_limits.get_mut(&lane) {
            *size = size.saturating_mul(2);
        }
    }

    /// Releases rows whose pause is over, and drops jobs that are gone.
    pub(super) fn expire(&mut self, now: Tick, is_known: impl Fn(JobId) -> bool) {
        self.jobs.retain(|id, _| is_known(*id));
        for held in self.jobs.values_mut() {
            held.is_waiting = held.until > now;
        }
        self.workers.retain(|_, since| now.since(*since) < MAX_RETRY_PAUSE);
    }

    fn hold_job(&mut self, id: JobId, now: Tick) -> Millis {
        let pause = self.jobs.get(&id).map_or(MIN_RETRY_PAUSE, |held| Millis(2 * held.pause.0));
        let pause = pause.min(MAX_RETRY_PAUSE);
        self.jobs.insert(id, HeldJob { until: now + pause, pause, is_waiting: true });
        pause
    }
}

impl Pool {
    /// Applies the rejection of a batch for its content. Its halves are tried next; a row that was
    /// alone is held back.
    pub fn rejected(&mut self, batch: &Batch, now: Tick) {
        let workers = batch.roster.as_ref().map(|update| update.workers()).unwrap_or_default();
        let count = batch.jobs.len() + workers.len();
        self.refusals.batch_limits.insert(batch.lane, (count / 2).max(1));
        if count > 1 {
            return;
        }
        if count == 0 && batch.roster.as_ref().is_some_and(|update| update.settled.is_some()) {
            self.record_rejected_settlement();
        }
        for id in batch.jobs.iter().map(|entry| entry.id) {
            let pause = self.refusals.hold_job(id, now);
            self.note(NoteKind::RowHeld, format!("job={id} pause={pause}ms"));
        }
        for worker in workers {
            self.note(NoteKind::RowHeld, format!("worker={worker}"));
            self.refusals.workers.insert(worker, now);
        }
        self.roster.next = Tick(0);
    }
}
