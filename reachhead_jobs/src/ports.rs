//! What the product needs of the platform that it runs on, as traits.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use futures::future::BoxFuture;
use reachhead_plan::amount::Amount;
use reachhead_store::{
    StoreError,
    row::{Key, Row, Write},
};
use reachhead_types::{
    error::ErrorKind,
    id::{HostId, JobId, Label, PoolName, WaveName, WorkerId, ZoneName},
    size::{FencingToken, Millis, Revision, RunNumber},
};
use thiserror::Error;

use crate::{
    authority::Mandate,
    clock::WorkerTime,
    model::{Configuration, Plan, Queue},
    pool::JobState,
    task::{StepId, TaskId},
    wave::WaveOrder,
};

/// A worker, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerInfo {
    /// This life of the worker.
    pub id: WorkerId,
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
    Deserted(String),
    /// There is no answer; the call may have been carried out, or still may be.
    #[error("no answer: {0}")]
    Lost(String),
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
    pub figure: u64,
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
    pub seen: u64,
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

/// A row that changed, or is gone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The row; of one that is gone, the value means nothing.
    pub row: Row,
    /// The row was deleted.
    pub deleted: bool,
}

/// What a feed told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedPage {
    /// The changes in their order.
    pub changes: Vec<Change>,
    /// From where to go on.
    pub revision: Revision,
}

/// Why a feed can't go on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FeedError {
    /// Changes are missing; the whole table has to be read.
    #[error("the store has forgotten the changes since then")]
    Forgotten,
    /// The call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// The store's tables as followers see them.
pub trait TableFeed: Send + Sync {
    /// Returns all rows of a table, and a revision from which the feed goes on.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`].
    fn table(&self, table: &'static str) -> BoxFuture<'_, Result<FeedPage, StoreError>>;

    /// Waits for changes of a table after `revision`, at most `wait`.
    ///
    /// # Errors
    ///
    /// Any [`FeedError`].
    fn changes(
        &self,
        table: &'static str,
        revision: Revision,
        wait: Millis,
    ) -> BoxFuture<'_, Result<FeedPage, FeedError>>;
}

/// What a host is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// It is up.
    Up,
    /// It is moving to another pool.
    Moving,
    /// It is under maintenance.
    Maintenance,
    /// It is down.
    Down,
}

/// A host on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// The host.
    pub host: HostId,
    /// Its pool.
    pub pool: PoolName,
    /// What it is doing.
    pub state: MachineState,
    /// The life of its worker, if it has one.
    pub worker: Option<WorkerId>,
}

/// Why an order for a host was not taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MachineError {
    /// Somebody else has given orders for it with a higher token.
    #[error("fenced")]
    Fenced,
    /// It is not up, or it is leaving.
    #[error("busy")]
    Busy,
    /// It does not belong to the wave.
    #[error("not of that wave")]
    Foreign,
    /// There is no such host, or it can't be in that pool.
    #[error("no such host or pool")]
    Unknown,
    /// Nothing was done; a retry may help.
    #[error("not taken: {0}")]
    NotDone(String),
    /// There is no answer; it may have been done.
    #[error("no answer: {0}")]
    Lost(String),
}

/// The platform's hosts.
pub trait MachineApi: Send + Sync {
    /// Returns all hosts.
    ///
    /// # Errors
    ///
    /// Any [`MachineError`].
    fn list(&self) -> BoxFuture<'_, Result<Vec<Machine>, MachineError>>;

    /// Puts a host under the maintenance of a wave; everything on it ends at once.
    ///
    /// # Errors
    ///
    /// Any [`MachineError`].
    fn maintain(
        &self,
        mandate: Mandate,
        host: HostId,
        wave: WaveName,
    ) -> BoxFuture<'_, Result<(), MachineError>>;

    /// Moves a host to another pool; everything on it ends at once.
    ///
    /// # Errors
    ///
    /// Any [`MachineError`].
    fn relocate(
        &self,
        mandate: Mandate,
        host: HostId,
        pool: PoolName,
    ) -> BoxFuture<'_, Result<(), MachineError>>;
}

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

/// What operators wrote.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRow {
    /// The newest configuration.
    Configuration(Configuration),
    /// A wave.
    Wave(WaveOrder),
    /// Something that is not for this system.
    Other,
}

/// A row that can't be understood.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("row {key}: {reason}")]
pub struct RowError {
    /// The row.
    pub key: Key,
    /// What is wrong.
    pub reason: String,
}

/// How operators and workers write their rows in the platform's store.
pub trait Dialect: Send + Sync {
    /// Returns the table that operators write.
    fn operator_table(&self) -> &'static str;

    /// Returns the table in which workers register.
    fn worker_table(&self) -> &'static str;

    /// Returns what a row of operators says.
    ///
    /// # Errors
    ///
    /// A [`RowError`] if it can't be understood.
    fn operator_row(&self, row: &Row) -> Result<OperatorRow, RowError>;

    /// Returns the worker that a row registers.
    ///
    /// # Errors
    ///
    /// A [`RowError`] if it can't be understood.
    fn worker_row(&self, row: &Row) -> Result<WorkerInfo, RowError>;

    /// Returns the worker whose registration has this key.
    fn worker_of(&self, key: &Key) -> Option<WorkerId>;

    /// Returns the row that tells operators how far a wave is.
    fn wave_status(&self, wave: &WaveName, completed: bool) -> Write;
}

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

/// A caller's request to a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The queue.
    pub queue: Arc<Queue>,
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
    /// Returns the queue of a call, or why there is none.
    fn route<'a>(
        &'a self,
        host: &'a str,
        path: &'a str,
    ) -> BoxFuture<'a, Result<Arc<Queue>, ErrorKind>>;

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
