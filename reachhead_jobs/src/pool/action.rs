//! What the owner of a pool decides: orders to carry out, and decisions to log.

use reachhead_types::{id::WorkerId, size::RunNumber};

use crate::{
    ports::{HoldOrder, StartOrder, WorkerTarget},
    task::{StepId, TaskId},
};

/// What the owner is to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Order a run.
    Start(WorkerTarget, StartOrder),
    /// Stop a run.
    Stop(WorkerTarget, TaskId, RunNumber),
    /// Let a run work at this share, in percent.
    Pace(WorkerTarget, TaskId, RunNumber, u32),
    /// Renew a worker's lease and wait for its report.
    Hold(WorkerTarget, HoldOrder),
    /// Ask which workers may run a step.
    Advise(StepId, Vec<WorkerId>),
    /// A worker has had orders with a higher token, so somebody else is in charge.
    Fenced,
}

/// Why the owner stops a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its task is done or its job is over.
    Unneeded,
    /// It shows no progress.
    Still,
    /// A task that must be at work needs the room.
    Displaced,
    /// Its host is due for planned work.
    Planned,
    /// Its zone is drained, and it has not begun.
    Drained,
    /// Another member of its gang is not there, so it could only wait in vain.
    Incomplete,
}

/// A decision that is worth a line in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// What happened.
    pub kind: NoteKind,
    /// What it happened to.
    pub text: String,
}

/// Kinds of [`Note`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoteKind {
    /// A job is over.
    JobEnded,
    /// A run failed or was lost.
    RunLost,
    /// A worker is suspected, lost or replaced.
    WorkerDoubted,
    /// A worker's life ended while runs were there.
    WorkerCrashed,
    /// A task is given up, since workers crash under it.
    TaskGivenUp,
    /// A run was stopped by a decision of the owner.
    RunStopped,
    /// A predecessor's run was taken over.
    RunAdopted,
    /// Tasks of a step were given to workers.
    StepPlaced,
    /// Tasks wait since their customer's quota is used up here.
    QuotaReached,
    /// A row that the store refuses is set aside.
    RowHeld,
}
