//! Customer requests about jobs: state, cancellation and queue length. Customers see only their own
//! jobs.

use reachhead_types::id::{CustomerName, JobId, RouteName};
use serde::{Deserialize, Serialize};

use crate::{job::Job, pool::Pool, record::Ending};

/// Outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The cancellation is decided and will be recorded.
    Pending,
    /// The job had already ended.
    Over,
    /// This owner does not know the job.
    Unknown,
    /// The job belongs to another customer.
    Foreign,
}

/// Answer to a customer's state query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StateReply {
    /// The job's state.
    Known(JobState),
    /// This owner does not know the job.
    Unknown,
    /// The job belongs to another customer.
    Foreign,
}

/// A job's state as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// It has ended, and that is recorded.
    Over(Ending),
}

impl Pool {
    /// Cancels a job at the request of customer `by`.
    pub fn cancel_for(&mut self, id: JobId, by: Option<&CustomerName>) -> Cancelled {
        if self.is_foreign(id, by) { Cancelled::Foreign } else { self.cancel(id) }
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: JobId) -> Cancelled {
        if self.closed.contains_key(&id) {
            return Cancelled::Over;
        }
        match self.jobs.get_mut(&id) {
            None => Cancelled::Unknown,
            Some(job) if job.ending.is_some() => Cancelled::Pending,
            Some(job) => {
                job.ending = Some(Ending::Cancelled);
                self.mark_dirty(id);
                Cancelled::Pending
            }
        }
    }

    /// Returns whether a job belongs to another customer than `by`. A job that was submitted
    /// without a key is visible to all, and a caller without a key sees all jobs: only a queue that
    /// is open to everyone admits such calls.
    fn is_foreign(&self, id: JobId, by: Option<&CustomerName>) -> bool {
        let closed = self.closed.get(&id).map(|closed| &closed.customer);
        let customer = closed.or_else(|| self.jobs.get(&id).map(|job| &job.customer));
        customer.is_some_and(|customer| is_foreign(customer.as_ref(), by))
    }

    /// Returns the answer to a state query of customer `by`.
    pub fn state_for(&self, id: JobId, by: Option<&CustomerName>) -> StateReply {
        if self.is_foreign(id, by) {
            return StateReply::Foreign;
        }
        self.state(id).map_or(StateReply::Unknown, StateReply::Known)
    }

    /// Returns a job's state, if this owner knows the job.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        if let Some(closed) = self.closed.get(&id) {
            return Some(JobState::Over(closed.ending));
        }
        let job = self.jobs.get(&id)?;
        Some(if job.started { JobState::Running } else { JobState::Queued })
    }

    /// Returns the number of a queue's jobs of which no task has started.
    pub fn waiting(&self, queue: &RouteName) -> u32 {
        let waits = |job: &&Job| job.queue.name == *queue && !job.started && job.ending.is_none();
        self.jobs.values().filter(waits).count() as u32
    }
}

/// Returns whether a job of `customer` is hidden from customer `by`.
pub fn is_foreign(customer: Option<&CustomerName>, by: Option<&CustomerName>) -> bool {
    matches!((customer, by), (Some(customer), Some(by)) if customer != by)
}
