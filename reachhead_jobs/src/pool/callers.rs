//! What callers ask of jobs: their states, cancellations, how many wait. A customer sees its own jobs alone.

use reachhead_types::id::{CustomerName, JobId, RouteName};
use serde::{Deserialize, Serialize};

use crate::{job::Job, pool::Pool, record::Ending};

/// Why a call to a job failed in the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The cancellation is decided and will be recorded.
    Pending,
    /// The job was over before.
    Over,
    /// This owner does not know the job.
    Unknown,
    /// It is another customer's.
    Foreign,
}

/// What an owner says of a job's state to a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StateReply {
    /// This is its state.
    Known(JobState),
    /// This owner does not know the job.
    Unknown,
    /// It is another customer's.
    Foreign,
}

/// A job's state, as a caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// It is over, and that is recorded.
    Over(Ending),
}

impl Pool {
    /// Decides that a job is cancelled, as customer `by` asks.
    pub fn cancel_for(&mut self, id: JobId, by: Option<&CustomerName>) -> Cancelled {
        if self.is_foreign(id, by) { Cancelled::Foreign } else { self.cancel(id) }
    }

    /// Decides that a job is cancelled.
    pub fn cancel(&mut self, id: JobId) -> Cancelled {
        if self.closed.contains_key(&id) {
            return Cancelled::Over;
        }
        match self.jobs.get_mut(&id) {
            None => Cancelled::Unknown,
            Some(job) if job.ending.is_some() => Cancelled::Pending,
            Some(job) => {
                job.ending = Some(Ending::Cancelled);
                self.mark(id);
                Cancelled::Pending
            }
        }
    }

    /// Tells whether a job is another customer's. One that came without a key is everybody's, as is what a caller without
    /// a key asks for: only a queue that is open to all lets it in.
    fn is_foreign(&self, id: JobId, by: Option<&CustomerName>) -> bool {
        let closed = self.closed.get(&id).map(|closed| &closed.customer);
        let customer = closed.or_else(|| self.jobs.get(&id).map(|job| &job.customer));
        customer.is_some_and(|customer| is_foreign(customer.as_ref(), by))
    }

    /// Returns what customer `by` is told of a job's state.
    pub fn state_for(&self, id: JobId, by: Option<&CustomerName>) -> StateReply {
        if self.is_foreign(id, by) {
            return StateReply::Foreign;
        }
        self.state(id).map_or(StateReply::Unknown, StateReply::Known)
    }

    /// Returns a job's state, if this owner knows it.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        if let Some(closed) = self.closed.get(&id) {
            return Some(JobState::Over(closed.ending));
        }
        let job = self.jobs.get(&id)?;
        Some(if job.started { JobState::Running } else { JobState::Queued })
    }

    /// Returns how many jobs of a queue wait for their first task.
    pub fn waiting(&self, queue: &RouteName) -> u32 {
        let waits = |job: &&Job| job.queue.name == *queue && !job.started && job.ending.is_none();
        self.jobs.values().filter(waits).count() as u32
    }
}

/// Tells whether a job of `customer` is to be hidden from a caller of customer `by`.
pub fn is_foreign(customer: Option<&CustomerName>, by: Option<&CustomerName>) -> bool {
    matches!((customer, by), (Some(customer), Some(by)) if customer != by)
}
