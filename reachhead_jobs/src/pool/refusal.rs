//! What the store refuses for what it is: a row that is too long, or a key.
//!
//! Such a transaction never succeeds, however often it is tried, and whatever else is in it would wait with it for good. So it is
//! halved until the row is alone, and that row is set aside.

use std::collections::BTreeMap;

use reachhead_types::{
    id::{JobId, WorkerId},
    size::Millis,
};

use super::{Batch, Lane, NoteKind, Pool};
use crate::clock::Tick;

/// Jobs or workers in a transaction at most, where nothing was refused.
const ALL: usize = usize::MAX;

/// First pause after which a job's refused row is tried again: it may have become shorter.
const FIRST_PAUSE: Millis = Millis(1000);

/// Longest such pause.
const LONGEST_PAUSE: Millis = Millis(60_000);

/// A job whose progress the store refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    /// When it is tried again.
    until: Tick,
    pause: Millis,
    /// That time is not there yet.
    waits: bool,
}

/// What was refused, and what follows for the next transactions.
#[derive(Debug, Clone, Default)]
pub(super) struct Refusals {
    /// Jobs or workers in a lane's next transaction at most.
    sizes: BTreeMap<Lane, usize>,
    jobs: BTreeMap<JobId, Held>,
    /// Workers whose rows are refused, and when that was: nothing is started on them.
    workers: BTreeMap<WorkerId, Tick>,
}

impl Refusals {
    /// Returns how many jobs or workers the next transaction of a lane may be about.
    pub(super) fn most(&self, lane: Lane) -> usize {
        self.sizes.get(&lane).copied().unwrap_or(ALL)
    }

    /// Tells whether a job's progress is not to be written now.
    pub(super) fn holds_job(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|held| held.waits)
    }

    /// Tells whether a worker's row is not to be written.
    pub(super) fn holds_worker(&self, id: &WorkerId) -> bool {
        self.workers.contains_key(id)
    }

    /// Takes in that a transaction of a lane was taken: the next may be about twice as much.
    pub(super) fn taken(&mut self, lane: Lane) {
        if let Some(size) = self.sizes.get_mut(&lane) {
            *size = size.saturating_mul(2);
        }
    }

    /// Lets what was set aside for long enough be tried again, and forgets what is not there any more.
    pub(super) fn expire(&mut self, now: Tick, is_known: impl Fn(JobId) -> bool) {
        self.jobs.retain(|id, _| is_known(*id));
        for held in self.jobs.values_mut() {
            held.waits = held.until > now;
        }
        self.workers.retain(|_, since| now.since(*since) < LONGEST_PAUSE);
    }

    fn hold_job(&mut self, id: JobId, now: Tick) -> Millis {
        let pause = self.jobs.get(&id).map_or(FIRST_PAUSE, |held| Millis(2 * held.pause.0));
        let pause = pause.min(LONGEST_PAUSE);
        self.jobs.insert(id, Held { until: now + pause, pause, waits: true });
        pause
    }
}

impl Pool {
    /// Takes in that the store refuses a batch for what it is. Halves of it are tried next; what is refused alone is set aside.
    pub fn rejected(&mut self, batch: &Batch, now: Tick) {
        let workers = batch.roster.as_ref().map(|update| update.workers()).unwrap_or_default();
        let count = batch.jobs.len() + workers.len();
        self.refusals.sizes.insert(batch.lane, (count / 2).max(1));
        if count > 1 {
            return;
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
