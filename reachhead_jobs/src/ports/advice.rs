//! The service that knows which workers may run a step.

use futures::future::BoxFuture;
use reachhead_store::StoreError;
use reachhead_types::id::WorkerId;

use crate::task::StepId;

/// A worker that may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Approval {
    /// The worker.
    pub worker: WorkerId,
    /// What proves it to the worker.
    pub ticket: String,
}

/// The service that knows which workers may run a step.
pub trait Advisor: Send + Sync {
    /// Asks which of `workers` may run the step.
    ///
    /// # Errors
    ///
    /// What went wrong; the call has no effect and may be repeated.
    fn advise(
        &self,
        step: StepId,
        workers: Vec<WorkerId>,
    ) -> BoxFuture<'_, Result<Vec<Approval>, StoreError>>;
}
