//! Decisions of a pool's owner: orders to carry out, and events to log.

use reachhead_types::{
    id::{JobId, WorkerId},
    size::RunNumber,
};

use crate::{
    advice_pace::CallTerms,
    ports::{HoldOrder, StartOrder, WorkerTarget},
    task::{StepId, TaskId},
};

/// An order that the owner's event loop carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start a run.
    Start(WorkerTarget, StartOrder),
    /// Stop a run.
    Stop(WorkerTarget, TaskId, RunNumber),
    /// Limit a run to this processor share, in percent.
    Pace(WorkerTarget, TaskId, RunNumber, u32),
    /// Renew a worker's lease and wait for its report.
    Hold(WorkerTarget, HoldOrder),
    /// Read these jobs, which workers report runs of and this owner does not know.
    FindJobs(Vec<JobId>),
    /// Request approval of workers for a step.
    Advise(StepId, Vec<WorkerId>, CallTerms),
    /// Read this owner's lease, since leases of workers have expired after it was last confirmed.
    ConfirmLease,
    /// A worker rejected this owner's fencing token because it has seen a higher one, so there is a
    /// newer owner.
    Fenced,
}

/// Why the owner stops a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its task is done or its job is over.
    Unneeded,
    /// It makes no progress.
    Still,
    /// A long-running task needs its capacity.
    Displaced,
    /// Planned work is about to take its host.
    Planned,
    /// Its zone is drained, and it has not started yet.
    Drained,
    /// Another member of its gang is missing, so it can't make progress.
    Incomplete,
}

/// A decision to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// The kind of event.
    pub kind: NoteKind,
    /// The details, as `key=value` pairs.
    pub text: String,
}

/// Kinds of [`Note`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoteKind {
    /// A job ended.
    JobEnded,
    /// A run failed or was lost.
    RunLost,
    /// A worker is suspected, lost or replaced.
    WorkerDoubted,
    /// A worker incarnation ended while runs were assigned to it.
    WorkerCrashed,
    /// Many workers are dying for a cause that is not what they run.
    WorkerOutage,
    /// A task is given up because workers crash while running it.
    TaskGivenUp,
    /// The owner stopped a run.
    RunStopped,
    /// A run that a predecessor started was adopted.
    RunAdopted,
    /// Tasks of a step were placed on workers.
    StepPlaced,
    /// Tasks wait because their customer's quota is used up in this pool.
    QuotaReached,
    /// Long-running tasks of a step have had no run for a while.
    TaskUnplaced,
    /// A row that the store rejects is held back.
    RowHeld,
}
