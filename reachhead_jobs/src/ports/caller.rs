//! What callers ask for, and who answers them.

use std::{sync::Arc, time::Instant};

use futures::future::BoxFuture;
use reachhead_types::{
    error::ErrorKind,
    id::{CustomerName, JobId},
    token::KeyDigest,
};

use crate::{
    model::{Plan, Queue},
    pool::JobState,
};

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallKind {
    /// Take in a job.
    Submit(JobId, Arc<Plan>),
    /// Tell a job's state.
    State(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Tell how many jobs of the queue wait.
    Waiting,
}

/// A call that was let in.
#[derive(Debug, Clone, PartialEq)]
pub struct Admission {
    /// The queue that it asks for.
    pub queue: Arc<Queue>,
    /// Whose key it has; `None` for a call without a known key to a queue that is open to all.
    pub customer: Option<CustomerName>,
}

/// A caller's request to a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The queue and the caller.
    pub admission: Admission,
    /// What is asked for.
    pub kind: CallKind,
    /// Until when the caller waits.
    pub until: Instant,
}

/// What a caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored and will run.
    Accepted,
    /// The job's state.
    State(JobState),
    /// The job will not start anything any more.
    Cancelled,
    /// There is no such job.
    Gone,
    /// Jobs that wait.
    Waiting(u32),
    /// The call is refused or failed.
    Refused(ErrorKind),
}

/// Answers callers.
pub trait Frontend: Send + Sync {
    /// Returns the queue of a call and whose call it is, or why it is not let in.
    fn admit<'a>(
        &'a self,
        host: &'a str,
        path: &'a str,
        key: Option<&'a KeyDigest>,
    ) -> BoxFuture<'a, Result<Admission, ErrorKind>>;

    /// Returns the answer to a call.
    fn call(&self, call: Call) -> BoxFuture<'_, Answer>;

    /// Returns after how many seconds a caller should come back that is refused for this reason, if that helps.
    fn retry_after(&self, kind: ErrorKind) -> Option<u32> {
        kind.answer().retry_after
    }

    /// Returns the longest body that is accepted, in bytes.
    fn body_limit(&self) -> usize;

    /// Tells whether the process should get new callers.
    fn is_ready(&self) -> bool;
}
