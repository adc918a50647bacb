//! The input and output of the planner: a pool with its workers, jobs and tasks, and a plan.

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
    /// Total resources.
    pub capacity: Amount,
    /// Whether it accepts new tasks: it is in service and not quarantined.
    pub is_schedulable: bool,
    /// Whether a running maintenance wave has yet to process it, so that tasks placed there would
    /// soon be displaced.
    pub is_due: bool,
}

/// How the tasks of a job are spread over racks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// As evenly as free capacity allows.
    #[default]
    Even,
    /// At most one task per rack (anti-affinity).
    Rack,
}

/// A job that runs tasks in the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The group whose share it uses.
    pub group: GroupName,
    /// Its priority inside the group.
    pub class: Class,
    /// Number of tasks that should run.
    pub tasks: u32,
    /// Resources to reserve per task.
    pub size: Amount,
    /// How its tasks are spread over racks.
    pub spread: Spread,
    /// Whether its tasks can be checkpointed before they are stopped.
    pub has_checkpoint: bool,
}

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobName,
    /// Index of the task in the job, starting at zero.
    pub number: u32,
}

/// A task that is placed on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedTask {
    /// The worker that it runs on.
    pub worker: HostId,
    /// Position in the order of placements; larger is later.
    pub sequence: u64,
    /// Whether it is being stopped and still uses its resources.
    pub is_stopping: bool,
}

/// A pool with its workers, jobs and placed tasks.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    /// The workers.
    pub workers: BTreeMap<HostId, Worker>,
    /// The jobs.
    pub jobs: BTreeMap<JobName, Job>,
    /// The placed tasks.
    pub tasks: BTreeMap<TaskId, PlacedTask>,
}

/// Why a task is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job no longer needs it.
    Cancelled,
    /// It ran above the fair share of its group, and another group needs capacity within its own.
    Reclaimed,
    /// More urgent work of its own group needs its capacity.
    Preempted,
    /// Its worker was removed from the pool.
    WorkerRemoved,
}

/// How a task is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopMode {
    /// After it has written a checkpoint.
    Checkpoint,
    /// Without a checkpoint.
    Immediate,
}

/// An action of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start a task.
    Start {
        /// The task.
        task: TaskId,
        /// The worker to start it on.
        worker: HostId,
    },
    /// Stop a task.
    Stop {
        /// The task.
        task: TaskId,
        /// Why it is stopped.
        reason: StopReason,
        /// How it is stopped.
        mode: StopMode,
    },
}

/// Why tasks of a job are not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingReason {
    /// A task is larger than every worker of the pool, so it can never run here.
    TooLarge {
        /// Resources of a task.
        requested: Amount,
        /// Maximum of each resource over the workers of the pool.
        largest: Amount,
    },
    /// Every rack with free capacity already has a task of the job.
    NoFreeRack,
    /// No worker has enough free capacity at present.
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

/// The actions that the planner chose, and the jobs that have to wait.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Actions in the order in which they are to be carried out.
    pub actions: Vec<Action>,
    /// Jobs with tasks that are not placed, and why.
    pub pending_reasons: BTreeMap<JobName, PendingReason>,
}
