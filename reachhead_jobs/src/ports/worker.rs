//! Workers: registration, reports, and orders to them.

use std::{net::SocketAddr, sync::Arc};

use futures::future::BoxFuture;
use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{Label, PoolName, WorkerId, ZoneName},
    size::{FencingToken, Millis, RunNumber},
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{clock::WorkerTime, task::TaskId};

/// Registration of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Worker id; a worker may restart under the same id.
    pub id: WorkerId,
    /// Start of this incarnation, in milliseconds since 1970, if known.
    #[serde(rename = "born")]
    pub started_at: Option<Millis>,
    /// Pool of the worker.
    pub pool: PoolName,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Capacity of the worker.
    pub capacity: Amount,
    /// Labels.
    pub labels: Vec<Label>,
    /// Rack, which is one of the labels.
    pub rack: Option<Label>,
    /// The worker is leaving and must get nothing new.
    pub draining: bool,
}

/// Why a worker rejected an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// Another owner of the pool has given orders with a higher token.
    Fenced,
    /// The run's number is not higher than that of a run that was stopped or ended there.
    Old,
    /// The deadline had passed.
    Late,
    /// Free capacity does not suffice.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The worker could not parse the order.
    Malformed,
}

/// Why a call to a worker has no result.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WorkerError {
    /// No connection could be made, so nothing was done.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The worker's host refused the connection, as nothing listens at the address; nothing was
    /// done.
    #[error("nothing listens at the address: {0}")]
    PortClosed(String),
    /// No answer arrived; the call may have been carried out, or still may be.
    #[error("no answer: {0}")]
    Lost(String),
    /// The connection ended without an answer; the call was carried out before that or never will
    /// be.
    #[error("connection closed without an answer: {0}")]
    Broken(String),
    /// Another incarnation answers at the address, so the intended one has ended.
    #[error("another incarnation of the worker answers at the address")]
    Replaced,
    /// The worker answered that it rejects the call.
    #[error("rejected: {0:?}")]
    Rejected(Rejection),
}

/// Order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Payload of the job.
    pub payload: Arc<str>,
    /// Lease deadline of everything on the worker, on the worker's clock.
    pub deadline: WorkerTime,
    /// Checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// Ticket, where an external service decides which workers may run the step.
    pub ticket: Option<String>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The task failed.
    Failed,
    /// Stopped by an order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another task of its gang ended.
    Broken,
    /// It waited too long for the other tasks of its gang.
    Alone,
}

/// A run that is active on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningEntry {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// Latest checkpoint.
    pub checkpoint: Option<String>,
    /// Progress in percent; of a long-running task, the progress of its startup.
    pub percent: u32,
    /// For a latency-sensitive task, the tail of its response times in milliseconds; for any other
    /// task, its recent processor usage in thousandths of a core.
    pub metric: u64,
}

/// Number of an end that the worker does not list, so that nothing is acknowledged for it. Listed ends
/// are numbered from one.
pub const UNLISTED_END: u64 = 0;

/// A run that ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedEntry {
    /// Number of the end within this incarnation of the worker, or [`UNLISTED_END`].
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
    /// Last checkpoint.
    pub checkpoint: Option<String>,
}

/// Number of ends that a report lists at most, by the platform's contract.
pub const MAX_REPORTED_ENDS: usize = 500;

/// Report of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// Start of this incarnation, in milliseconds since 1970, if known.
    pub started_at: Option<Millis>,
    /// Time on the worker's clock.
    pub clock: WorkerTime,
    /// Active runs.
    pub running: Vec<RunningEntry>,
    /// Ends that were not acknowledged, the first [`MAX_REPORTED_ENDS`] of them.
    pub ended: Vec<EndedEntry>,
}

impl WorkerReport {
    /// Returns whether the report lists every end that was not acknowledged. Otherwise a run that it
    /// does not list may have ended.
    pub fn is_complete(&self) -> bool {
        self.ended.len() < MAX_REPORTED_ENDS
    }
}

/// Heartbeat: renews the lease of all runs of a worker and returns its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldOrder {
    /// Lease deadline on the worker's clock; `None` while that clock is unknown.
    pub deadline: Option<WorkerTime>,
    /// Ends up to this number are stored, and the worker may forget them.
    pub acknowledged: u64,
    /// How long the worker may wait for an end before it answers.
    pub wait: Millis,
}

/// Target of a call to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerTarget {
    /// Id of the incarnation.
    pub id: WorkerId,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Fencing token of the caller.
    pub token: FencingToken,
}

/// Calls to the agent on each worker.
pub trait WorkerAgent: Send + Sync {
    /// Starts a run; succeeds also if that run is already there.
    ///
    /// # Errors
    ///
    /// Any [`WorkerError`].
    fn start(
        &self,
        target: WorkerTarget,
        order: StartOrder,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>>;

    /// Stops a run and bars it: it can never start there again, even if a late start order arrives.
    ///
    /// # Errors
    ///
    /// Any [`WorkerError`].
    fn stop(
        &self,
        target: WorkerTarget,
        task: TaskId,
        run: RunNumber,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>>;

    /// Renews the lease of everything on the worker and returns its report.
    ///
    /// # Errors
    ///
    /// Any [`WorkerError`].
    fn hold(
        &self,
        target: WorkerTarget,
        order: HoldOrder,
    ) -> BoxFuture<'_, Result<WorkerReport, WorkerError>>;

    /// Limits a run to this processor share, in percent.
    ///
    /// # Errors
    ///
    /// Any [`WorkerError`].
    fn pace(
        &self,
        target: WorkerTarget,
        task: TaskId,
        run: RunNumber,
        percent: u32,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>>;
}
