//! The inputs of an owner's event loop, and the handle to send them.

use std::sync::{Arc, Mutex};

use reachhead_jobs::{
    clock::{Tick, WorkerTime},
    incarnation::Incarnation,
    order_effect::OrderEffect,
    pool::{
        AdviceSummary, Batch, DrainMode, DrainProgress, PoolLoad, RecoveredJobs, StateReply,
        UnplacedSummary,
    },
    ports::{Approval, WorkerError, WorkerInfo},
    quota::{Allotment, UsageReport},
    task::{StepId, TaskId},
};
use reachhead_store::{
    StoreError,
    row::{Commit, Page, Row},
};
use reachhead_types::{
    id::{CustomerName, JobId, RouteName, WorkerId},
    size::{Revision, RunNumber},
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use super::ReleaseRequest;
use crate::{claim::Pulse, dispatch::PollOutcome, lock::locked, peer::AcceptedJob};

/// The outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelReply {
    /// The end of the job is recorded.
    #[serde(rename = "over")]
    Ended,
    /// The owner does not know the job.
    Unknown,
    /// The job belongs to another customer.
    Foreign,
}

/// An input of an owner.
pub enum Input {
    /// Jobs were accepted and stored.
    Submit(Vec<AcceptedJob>),
    /// Requests a job's state.
    State(JobId, Option<CustomerName>, oneshot::Sender<StateReply>),
    /// Cancels a job.
    Cancel(JobId, Option<CustomerName>, oneshot::Sender<CancelReply>),
    /// Requests the number of waiting jobs of a queue.
    Waiting(RouteName, oneshot::Sender<u32>),
    /// Drains a worker, whose host is due for maintenance.
    DrainWorker(WorkerId, DrainMode, oneshot::Sender<DrainProgress>),
    /// Drains workers, whose hosts are to be moved.
    DrainWorkers(Vec<WorkerId>, DrainMode, oneshot::Sender<Vec<DrainProgress>>),
    /// Requests the capacity that the pool needs.
    Load(oneshot::Sender<PoolLoad>),
    /// Sets the limits of what the pool may run for customers.
    Allot(Allotment, oneshot::Sender<UsageReport>),
    /// Incarnations of workers have ended.
    WorkersEnded(Vec<Incarnation>),
    /// The registered workers changed.
    WorkersListed(Vec<WorkerInfo>),
    /// A long poll of a worker ended.
    PollAnswered(WorkerId, Tick, PollOutcome),
    /// A start order was answered.
    StartAnswered(WorkerId, TaskId, RunNumber, Result<WorkerTime, WorkerError>),
    /// A stop order, which was sent at this time, was answered.
    StopAnswered(WorkerId, TaskId, RunNumber, Tick, Result<WorkerTime, WorkerError>),
    /// A change of pace was not confirmed.
    PaceFailed(TaskId, RunNumber),
    /// The advisor answered, or the call failed.
    AdviceReceived(StepId, Option<Vec<Approval>>, Tick),
    /// The store decided on a transaction, or the call failed.
    Committed(Box<Batch>, Result<Commit, StoreError>),
    /// The stored jobs that the previous owner left have been read.
    JobsRecovered(Box<RecoveredJobs>),
    /// More is known of the orders of earlier owners: one has ended, or all shards are fenced.
    EffectKnown(Box<OrderEffect>),
    /// A page of stored jobs that was requested at the time given was read, or the call failed.
    JobsScanned(Tick, Result<Page, StoreError>),
    /// The rows of jobs of which workers report runs were read, or the call failed.
    JobsFound(Vec<JobId>, Result<Vec<Option<Row>>, StoreError>),
    /// The owner's lease was read at the time given, or the call failed.
    LeaseRead(Tick, Result<Vec<Option<Row>>, StoreError>),
    /// A call in the background panicked, so its result never comes.
    CallFailed,
    /// Releases the pool.
    Release(ReleaseRequest),
    /// Releases the pool to a better owner, unless that would delay its jobs.
    Yield(ReleaseRequest),
}

/// Handle to an owner in this process.
#[derive(Debug, Clone)]
pub struct OwnerHandle {
    /// The revision of the owner's lease, which is its fencing token.
    pub token: Revision,
    /// Signs of life of the owner.
    pub pulse: Arc<Pulse>,
    unplaced: Arc<Mutex<UnplacedSummary>>,
    advice: Arc<Mutex<AdviceSummary>>,
    sender: mpsc::UnboundedSender<Input>,
}

impl OwnerHandle {
    /// Returns a handle and the receiver of its inputs.
    pub fn new(token: Revision) -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let handle = Self {
            token,
            pulse: Arc::default(),
            unplaced: Arc::default(),
            advice: Arc::default(),
            sender,
        };
        (handle, receiver)
    }

    /// Sends an input to the owner. An owner that has ended needs no more inputs.
    pub fn send(&self, input: Input) {
        let _ = self.sender.send(input);
    }

    /// Publishes the long-running tasks without a run, as of the owner's last round. Operators have
    /// to see them while the owner is too busy to answer.
    pub fn publish_unplaced(&self, summary: UnplacedSummary) {
        *locked(&self.unplaced) = summary;
    }

    /// Returns the long-running tasks without a run, as of the owner's last round.
    pub fn unplaced(&self) -> UnplacedSummary {
        locked(&self.unplaced).clone()
    }

    /// Publishes the steps that wait for a call for approvals, as of the owner's last round.
    pub fn publish_advice(&self, summary: AdviceSummary) {
        *locked(&self.advice) = summary;
    }

    /// Returns the steps that wait for a call for approvals, as of the owner's last round.
    pub fn advice(&self) -> AdviceSummary {
        *locked(&self.advice)
    }
}
