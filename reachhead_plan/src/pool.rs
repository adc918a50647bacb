//! A pool as the planner sees it, and what it decides.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
};

use reachhead_types::{
    fleet::Class,
    id::{GroupName, HostId, JobName, RackName, ZoneName},
};
use serde::{Deserialize, Serialize};

use crate::amount::Amount;

/// A worker of the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Worker {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// What it has.
    pub capacity: Amount,
    /// Whether it takes new tasks: it serves and is not quarantined.
    pub is_schedulable: bool,
    /// Whether a wave has yet to come to it, so that what is placed there is soon displaced again.
    pub is_due: bool,
}

/// How the tasks of a job are kept apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// As evenly over racks as there is room.
    #[default]
    Even,
    /// Never two in a rack.
    Rack,
}

/// A job that wants tasks in the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The group on whose share it counts.
    pub group: GroupName,
    /// Its priority inside the group.
    pub class: Class,
    /// Tasks that should run.
    pub tasks: u32,
    /// What a task should be given room for.
    pub size: Amount,
    /// How its tasks are kept apart.
    pub spread: Spread,
    /// Whether its tasks can be checkpointed before they are stopped.
    pub has_checkpoint: bool,
}

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobName,
    /// Its number in the job.
    pub number: u32,
}

/// A task that has a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedTask {
    /// Where it runs.
    pub worker: HostId,
    /// When it was placed, as a number that grows.
    pub sequence: u64,
    /// Whether it was told to stop and still has its room.
    pub is_stopping: bool,
}

/// A pool with its workers, its jobs and the tasks that run.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    /// The workers.
    pub workers: BTreeMap<HostId, Worker>,
    /// The jobs.
    pub jobs: BTreeMap<JobName, Job>,
    /// The tasks that have a place.
    pub tasks: BTreeMap<TaskId, PlacedTask>,
}

/// Why a task is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Nobody wants it any more.
    Cancelled,
    /// It ran on lent room that its owner needs.
    Reclaimed,
    /// Urgent work of its own group needs its room.
    Preempted,
    /// Its worker is not there any more.
    WorkerRemoved,
}

/// How a task ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopMode {
    /// It writes a checkpoint first.
    Checkpoint,
    /// At once.
    Immediate,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start a task.
    Start {
        /// The task.
        task: TaskId,
        /// Where.
        worker: HostId,
    },
    /// Stop a task.
    Stop {
        /// The task.
        task: TaskId,
        /// Why.
        reason: StopReason,
        /// How.
        mode: StopMode,
    },
}

/// Why tasks of a job have no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingReason {
    /// No worker of the pool is as large as a task; it can never run here.
    TooLarge {
        /// What a task asks for.
        requested: Amount,
        /// The most that a worker of the pool has, each resource by itself.
        largest: Amount,
    },
    /// Every rack that has room has a task of the job already.
    NoFreeRack,
    /// There is no room now.
    NoCapacity,
}

impl Display for PendingReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { requested, largest } => {
                write!(f, "can never run: asks {requested}, the largest host has {largest}")
            }
            Self::NoFreeRack => f.write_str("every rack with room has a task of it already"),
            Self::NoCapacity => f.write_str("waits for room"),
        }
    }
}

/// A plan.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// What is to be done, in order.
    pub actions: Vec<Action>,
    /// The jobs of which tasks have no place, and why.
    pub pending_reasons: BTreeMap<JobName, PendingReason>,
}
