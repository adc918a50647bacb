//! Workers: what they tell of themselves, and orders to them.

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

/// A worker, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The worker; it may start again under the id that it had.
    pub id: WorkerId,
    /// When this life of it began, in milliseconds since 1970, if it says so.
    #[serde(rename = "born")]
    pub started_at: Option<Millis>,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// Where it answers.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: ZoneName,
    /// What it bears.
    pub capacity: Amount,
    /// Its labels.
    pub labels: Vec<Label>,
    /// Its rack, which is one of the labels.
    pub rack: Option<Label>,
    /// It will leave and must get nothing new.
    pub draining: bool,
}

/// Why a worker does not run a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// Another owner of the pool has given orders with a higher token.
    Fenced,
    /// The run is not higher than one that was stopped or ended there.
    Old,
    /// The deadline had passed.
    Late,
    /// There is no room.
    Room,
    /// The ticket does not hold.
    Ticket,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The worker did not understand the order.
    Malformed,
}

/// Why a call to a worker gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WorkerError {
    /// No connection could be made, so nothing was done.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The worker's host answers that nobody listens there, so nothing was done.
    #[error("nobody there: {0}")]
    PortClosed(String),
    /// There is no answer; the call may have been carried out, or still may be.
    #[error("no answer: {0}")]
    Lost(String),
    /// The connection ended without an answer: the call was carried out before that or never.
    #[error("no answer, the connection ended: {0}")]
    Broken(String),
    /// Another life of a worker answers at the address: the one that was meant is over.
    #[error("another worker answers there")]
    Replaced,
    /// The worker answered that it did not do it.
    #[error("rejected: {0:?}")]
    Rejected(Rejection),
}

/// An order to run a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// What to run.
    pub payload: Arc<str>,
    /// Until when everything on the worker is held, on the worker's clock.
    pub deadline: WorkerTime,
    /// Where to resume.
    pub checkpoint: Option<String>,
    /// Why the worker may run it, where that is decided elsewhere.
    pub ticket: Option<String>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
}

/// A run that works.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningEntry {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// Its newest checkpoint.
    pub checkpoint: Option<String>,
    /// How much of it is done, in percent; of a task that runs on, how far it has started.
    pub percent: u32,
    /// For a task that serves users, the tail of its response times in milliseconds; for any other
    /// the thousandths of a core that it used lately.
    pub metric: u64,
}

/// A run that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedEntry {
    /// The end's number in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint.
    pub checkpoint: Option<String>,
}

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// When this life of it began, in milliseconds since 1970, if it says so.
    pub started_at: Option<Millis>,
    /// What its clock showed.
    pub clock: WorkerTime,
    /// What works there.
    pub running: Vec<RunningEntry>,
    /// What ended there and was not acknowledged.
    pub ended: Vec<EndedEntry>,
}

/// A call that renews the lease of a worker's runs and asks for its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldOrder {
    /// Until when everything on the worker is held, on its clock; `None` while that isn't known.
    pub deadline: Option<WorkerTime>,
    /// Ends up to this number are recorded, and the worker may forget them.
    pub acknowledged: u64,
    /// How long the worker may wait for an end before it answers.
    pub wait: Millis,
}

/// The worker that a call is meant for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerTarget {
    /// The life of the worker.
    pub id: WorkerId,
    /// Where it answers.
    pub address: SocketAddr,
    /// The caller's fencing token.
    pub token: FencingToken,
}

/// The agent on each worker.
pub trait WorkerAgent: Send + Sync {
    /// Starts a run; also `Ok` if that run is already there.
    ///
    /// # Errors
    ///
    /// Any [`WorkerError`].
    fn start(
        &self,
        target: WorkerTarget,
        order: StartOrder,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>>;

    /// Stops a run and bars it for good.
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

    /// Lets a run work at this share, in percent.
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
