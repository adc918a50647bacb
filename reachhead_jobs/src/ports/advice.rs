//! External service that decides which workers may run a step.

use std::time::Duration;

use futures::future::BoxFuture;
use reachhead_store::StoreError;
use reachhead_types::id::WorkerId;

use crate::task::StepId;

/// Permission for a worker to run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Approval {
    /// Worker id.
    pub worker: WorkerId,
    /// Ticket that proves the permission to the worker.
    pub ticket: String,
}

/// External service that decides which workers may run a step.
pub trait Advisor: Send + Sync {
    /// Returns the approvals for those of `workers` that may run the step. The answer is awaited for at
    /// most `limit`.
    ///
    /// # Errors
    ///
    /// The store error that best describes the failure; the call has no effect and may be repeated. After
    /// `Lost` the service may still spend its time on the call, and with `Busy` too many calls wait there.
    fn advise(
        &self,
        step: StepId,
        workers: Vec<WorkerId>,
        limit: Duration,
    ) -> BoxFuture<'_, Result<Vec<Approval>, StoreError>>;
}
