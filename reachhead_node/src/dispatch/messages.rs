//! Messages between the owner of a pool and its dispatchers.
//!
//! An owner sends over a thousand orders a second, and each report has up to a dozen runs, so orders
//! have short field names, and the rest is tuples.

use std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    num::ParseIntError,
    str::FromStr,
    sync::Arc,
};

use reachhead_jobs::{
    clock::WorkerTime,
    ports::{
        EndedEntry, HoldOrder, Rejection, RunEnd, RunningEntry, StartOrder, WorkerError,
        WorkerReport,
    },
    task::TaskId,
};
use reachhead_types::{
    id::{JobId, PoolName, WorkerId},
    size::{FencingToken, Millis, RunNumber},
};
use serde::{Deserialize, Serialize};

/// Orders of an owner that one dispatcher answers: a random number, so that the results for an
/// earlier owner, or from before a dispatcher was excluded, are never taken for those of another.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SessionId(pub u64);

impl Display for SessionId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for SessionId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Number of an order, which increases within a session.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct OrderId(pub u64);

/// A payload that start orders of a job refer to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobPayload(pub JobId, pub Arc<str>);

/// Orders that an owner sends to a dispatcher together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchBatch {
    /// The pool.
    pub pool: PoolName,
    /// The owner's fencing token, which each worker checks.
    pub token: FencingToken,
    /// The session of the owner and the dispatcher.
    pub session: SessionId,
    /// The owner's address for peers.
    pub reply_to: SocketAddr,
    /// When the batch was sent, on the owner's boot-time clock.
    pub sent_at: Millis,
    /// The payloads that the dispatcher does not have yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub payloads: Vec<JobPayload>,
    /// The orders.
    pub orders: Vec<Order>,
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The number of the order.
    #[serde(rename = "i")]
    pub id: OrderId,
    /// The worker.
    #[serde(rename = "w")]
    pub worker: WorkerId,
    /// The address of the worker.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// What the worker is to do.
    #[serde(rename = "o")]
    pub call: OrderCall,
}

/// What a worker is to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderCall {
    /// Start a run: task, run, lease deadline, checkpoint, ticket. The payload is the job's.
    #[serde(rename = "s")]
    Start(TaskId, RunNumber, WorkerTime, Option<String>, Option<String>),
    /// Stop a run.
    #[serde(rename = "x")]
    Stop(TaskId, RunNumber),
    /// Limit a run to this processor share, in percent.
    #[serde(rename = "p")]
    Pace(TaskId, RunNumber, u32),
    /// Renew the lease and report: lease deadline, acknowledged ends, wait.
    #[serde(rename = "h")]
    Hold(Option<WorkerTime>, u64, Millis),
}

impl OrderCall {
    /// Returns the order to start a run, without its payload.
    pub fn start(order: &StartOrder) -> Self {
        let (checkpoint, ticket) = (order.checkpoint.clone(), order.ticket.clone());
        Self::Start(order.task, order.run, order.deadline, checkpoint, ticket)
    }

    /// Returns the order for a heartbeat.
    pub fn hold(order: HoldOrder) -> Self {
        Self::Hold(order.deadline, order.acknowledged, order.wait)
    }

    /// Returns the kind of the order, as in the metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Start(..) => "start",
            Self::Stop(..) => "stop",
            Self::Pace(..) => "pace",
            Self::Hold(..) => "hold",
        }
    }

    /// Returns how long the worker may wait before it answers.
    pub fn wait(&self) -> Millis {
        match self {
            Self::Hold(_, _, wait) => *wait,
            _ => Millis(0),
        }
    }

    /// Returns the job whose payload the order needs.
    pub fn job(&self) -> Option<JobId> {
        match self {
            Self::Start(task, ..) => Some(task.job),
            _ => None,
        }
    }
}

/// Results of orders that are not sent with the answer to a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultBatch {
    /// The pool.
    pub pool: PoolName,
    /// The session of the owner and the dispatcher.
    pub session: SessionId,
    /// The results.
    pub results: Vec<OrderResult>,
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult(pub OrderId, pub Outcome);

/// What came of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The worker carried it out and sent its clock.
    #[serde(rename = "c")]
    Clock(WorkerTime),
    /// The worker reported.
    #[serde(rename = "r")]
    Report(#[serde(with = "report_form")] WorkerReport),
    /// The call to the worker failed, or the worker rejected it.
    #[serde(rename = "e")]
    Failed(#[serde(with = "WorkerErrorForm")] WorkerError),
    /// The dispatcher dropped the order without sending it.
    #[serde(rename = "expired")]
    Expired,
    /// The dispatcher does not have the job's payload and did not send the order.
    #[serde(rename = "no-payload")]
    NoPayload,
}

impl From<Result<WorkerTime, WorkerError>> for Outcome {
    fn from(result: Result<WorkerTime, WorkerError>) -> Self {
        result.map_or_else(Self::Failed, Self::Clock)
    }
}

impl From<Result<WorkerReport, WorkerError>> for Outcome {
    fn from(result: Result<WorkerReport, WorkerError>) -> Self {
        result.map_or_else(Self::Failed, Self::Report)
    }
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "WorkerError")]
enum WorkerErrorForm {
    #[serde(rename = "unreachable")]
    Unreachable(String),
    #[serde(rename = "port-closed")]
    PortClosed(String),
    #[serde(rename = "lost")]
    Lost(String),
    #[serde(rename = "broken")]
    Broken(String),
    #[serde(rename = "replaced")]
    Replaced,
    #[serde(rename = "rejected")]
    Rejected(#[serde(with = "RejectionForm")] Rejection),
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Rejection", rename_all = "kebab-case")]
enum RejectionForm {
    Fenced,
    Old,
    Late,
    Room,
    Ticket,
    Unhealthy,
    Malformed,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "RunEnd")]
enum RunEndForm {
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "f")]
    Failed,
    #[serde(rename = "s")]
    Stopped,
    #[serde(rename = "l")]
    Lapsed,
    #[serde(rename = "b")]
    Broken,
    #[serde(rename = "a")]
    Alone,
}

mod report_form {
    //! Reports as tuples.

    use serde::{Deserializer, Serializer};

    use super::*;

    /// Task, run, progress, metric, checkpoint.
    #[derive(Serialize, Deserialize)]
    struct RunningForm(TaskId, RunNumber, u32, u64, Option<String>);

    /// Number, task, run, end, checkpoint.
    #[derive(Serialize, Deserialize)]
    struct EndedForm(u64, TaskId, RunNumber, #[serde(with = "RunEndForm")] RunEnd, Option<String>);

    /// Start of the incarnation, clock, active runs, ends.
    #[derive(Serialize, Deserialize)]
    struct ReportForm(Option<Millis>, WorkerTime, Vec<RunningForm>, Vec<EndedForm>);

    pub fn serialize<S: Serializer>(report: &WorkerReport, to: S) -> Result<S::Ok, S::Error> {
        let running = |entry: &RunningEntry| {
            let checkpoint = entry.checkpoint.clone();
            RunningForm(entry.task, entry.run, entry.percent, entry.metric, checkpoint)
        };
        let ended = |entry: &EndedEntry| {
            let checkpoint = entry.checkpoint.clone();
            EndedForm(entry.number, entry.task, entry.run, entry.end, checkpoint)
        };
        let running = report.running.iter().map(running).collect();
        let ended = report.ended.iter().map(ended).collect();
        ReportForm(report.started_at, report.clock, running, ended).serialize(to)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<WorkerReport, D::Error> {
        let ReportForm(started_at, clock, running, ended) = ReportForm::deserialize(from)?;
        let running_entry = |RunningForm(task, run, percent, metric, checkpoint)| RunningEntry {
            task,
            run,
            checkpoint,
            percent,
            metric,
        };
        let ended_entry = |EndedForm(number, task, run, end, checkpoint)| EndedEntry {
            number,
            task,
            run,
            end,
            checkpoint,
        };
        let running = running.into_iter().map(running_entry).collect();
        let ended = ended.into_iter().map(ended_entry).collect();
        Ok(WorkerReport { started_at, clock, running, ended })
    }
}
