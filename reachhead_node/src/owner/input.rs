//! What an owner is told, and how to tell it.

use reachhead_jobs::{
    clock::{Tick, WorkerTime},
    pool::{Batch, DrainMode, DrainProgress, PoolLoad, StateReply},
    ports::{Approval, WorkerError, WorkerInfo, WorkerReport},
    quota::{Allotment, UsageReport},
    task::{StepId, TaskId},
};
use reachhead_store::{
    StoreError,
    row::{Commit, Row},
};
use reachhead_types::{
    id::{CustomerName, JobId, RouteName, WorkerId},
    size::{Revision, RunNumber},
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::peer::Submitted;

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelReply {
    /// It is recorded that the job is over.
    Over,
    /// The owner does not know the job.
    Unknown,
    /// It is another customer's.
    Foreign,
}

/// What an owner is told.
pub enum Input {
    /// Jobs were accepted and are stored.
    Submit(Vec<Submitted>),
    /// Somebody asks for a job's state.
    State(JobId, Option<CustomerName>, oneshot::Sender<StateReply>),
    /// Somebody cancels a job.
    Cancel(JobId, Option<CustomerName>, oneshot::Sender<CancelReply>),
    /// Somebody asks how many jobs wait.
    Waiting(RouteName, oneshot::Sender<u32>),
    /// A worker's host is due for planned work.
    Vacate(WorkerId, DrainMode, oneshot::Sender<DrainProgress>),
    /// Hosts of these workers are to be moved.
    VacateAll(Vec<WorkerId>, DrainMode, oneshot::Sender<Vec<DrainProgress>>),
    /// Somebody asks how much room the pool needs.
    Load(oneshot::Sender<PoolLoad>),
    /// What the pool may have running for customers.
    Allot(Allotment, oneshot::Sender<UsageReport>),
    /// Lives of workers are over.
    Over(Vec<WorkerId>),
    /// The registered workers changed.
    Listed(Vec<WorkerInfo>),
    /// A long poll ended.
    Held(WorkerId, Tick, Result<WorkerReport, WorkerError>),
    /// An order to start was answered.
    Started(WorkerId, TaskId, RunNumber, Result<WorkerTime, WorkerError>),
    /// An order to stop was answered.
    Stopped(WorkerId, TaskId, RunNumber, Result<WorkerTime, WorkerError>),
    /// A change of pace was not confirmed.
    PaceFailed(TaskId, RunNumber),
    /// Advice was given, or the call failed.
    Advised(StepId, Option<Vec<Approval>>, Tick),
    /// The store decided on a transaction.
    Committed(Box<Batch>, Result<Commit, StoreError>),
    /// The stored jobs were read.
    Scanned(Vec<Row>),
    /// Give the pool back.
    Release(oneshot::Sender<()>),
    /// Give the pool back for a better owner, unless that would cost its jobs time.
    Yield(oneshot::Sender<()>),
}

/// How to reach an owner in this process.
#[derive(Clone)]
pub struct OwnerHandle {
    /// The revision of its lease, which is its fencing token.
    pub token: Revision,
    sender: mpsc::UnboundedSender<Input>,
}

impl OwnerHandle {
    /// Returns a handle and where its inputs arrive.
    pub fn new(token: Revision) -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { token, sender }, receiver)
    }

    /// Tells the owner something; one that has ended needs nothing any more.
    pub fn send(&self, input: Input) {
        let _ = self.sender.send(input);
    }
}
