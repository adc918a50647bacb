//! Requests of callers and the interface that answers them.

use std::{sync::Arc, time::Instant};

use futures::future::BoxFuture;
use reachhead_types::{
    error::ErrorKind,
    id::{CustomerName, JobId},
    token::KeyDigest,
};

use crate::{
    model::{CallLimits, Plan, Queue},
    pool::JobState,
};

/// Request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallKind {
    /// Submit a job.
    Submit(JobId, Arc<Plan>),
    /// Return a job's state.
    State(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Return the number of waiting jobs of the queue.
    Waiting,
}

impl CallKind {
    /// Returns whether the request changes nothing.
    pub fn is_read(&self) -> bool {
        matches!(self, Self::State(_) | Self::Waiting)
    }
}

/// An admitted call.
#[derive(Debug, Clone, PartialEq)]
pub struct Admission {
    /// Queue of the request.
    pub queue: Arc<Queue>,
    /// Customer whose key the call has; `None` for a call without a known key to a queue that needs
    /// none.
    pub customer: Option<CustomerName>,
}

/// A caller's request to a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Queue and customer.
    pub admission: Admission,
    /// Request.
    pub kind: CallKind,
    /// Deadline of the caller.
    pub until: Instant,
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored and will run.
    Accepted,
    /// State of the job.
    State(JobState),
    /// The job is cancelled and will start nothing any more.
    Cancelled,
    /// There is no such job.
    Gone,
    /// Number of waiting jobs.
    Waiting(u32),
    /// The call was refused or failed.
    Refused(ErrorKind),
}

/// Handles the calls of callers.
pub trait Frontend: Send + Sync {
    /// Returns the queue and customer of a call, or why it is not admitted.
    fn admit<'a>(
        &'a self,
        host: &'a str,
        path: &'a str,
        key: Option<&'a KeyDigest>,
    ) -> BoxFuture<'a, Result<Admission, ErrorKind>>;

    /// Returns the queue and customer of a call under the configuration in force, which is not
    /// refreshed, or why the call is not admitted under it.
    fn admit_now(
        &self,
        host: &str,
        path: &str,
        key: Option<&KeyDigest>,
    ) -> Result<Admission, ErrorKind>;

    /// Returns the answer to a call.
    fn call(&self, call: Call) -> BoxFuture<'_, Answer>;

    /// Returns after how many seconds a caller that was refused for this reason should retry, if a
    /// retry may help.
    fn retry_after(&self, kind: ErrorKind) -> Option<u32> {
        kind.answer().retry_after
    }

    /// Returns the limits on requests, if a configuration is known.
    fn limits(&self) -> Option<CallLimits>;

    /// Returns whether the process should get new callers.
    fn is_ready(&self) -> bool;
}
