//! Jobs as clients submit them, and the configuration of queues and pools.

use std::{collections::BTreeMap, sync::Arc};

use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{Label, PoolName, RouteName},
    size::{Millis, Version},
};
use serde::{Deserialize, Serialize};

use crate::customer::Customers;

/// A step of a job: a number of identical tasks.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that a task needs.
    pub need: Amount,
    /// Duration of a task as estimated by the client.
    pub estimate: Millis,
    /// Indexes of earlier steps whose tasks must all be done first.
    pub after: Vec<u32>,
    /// Gang scheduling: no task starts working before all are placed, and they end together.
    pub gang: bool,
    /// Tasks are slower when they are spread over more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub label: Option<Label>,
    /// Rack of the input data; tasks are slower elsewhere.
    pub rack: Option<Label>,
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    pub spread: u32,
    /// A task may have several runs at once.
    pub speculative: bool,
    /// Tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Latency target of the tasks, at the tail of their response times; 0 if they serve no
    /// requests.
    pub target: Millis,
    /// Best-effort: tasks use leftover processor time, which does not count against capacity.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Tasks that planned work may make unavailable at once; 0 if the step is not protected.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
    /// Tasks save checkpoints.
    pub checkpoints: bool,
}

impl Step {
    /// Returns the resources that a task reserves on its worker.
    pub fn charge(&self) -> Amount {
        if self.best_effort { Amount { cores: 0, ..self.need } } else { self.need }
    }

    /// Returns whether the tasks serve requests with a latency target.
    pub fn is_latency_sensitive(&self) -> bool {
        self.target.0 > 0
    }
}

/// Schedule of a job that runs later or repeatedly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Start of the first occurrence, in milliseconds since 1970.
    pub start: Millis,
    /// Time between the starts of two occurrences.
    pub interval: Millis,
    /// Number of occurrences.
    pub count: u32,
}

/// Specification of a job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Opaque payload that is passed on to the workers.
    pub payload: Arc<str>,
    /// Steps of the job.
    pub steps: Vec<Step>,
    /// Schedule; `None` to run once, immediately.
    pub schedule: Option<Schedule>,
}

impl Plan {
    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Returns whether the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns whether the job has best-effort tasks.
    pub fn has_best_effort(&self) -> bool {
        self.steps.iter().any(|step| step.best_effort)
    }

    /// Returns the length of the longest chain of dependent steps, with step durations from `time`.
    pub fn critical_path(&self, time: impl Fn(&Step) -> Millis) -> Millis {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let earlier_ends = step.after.iter().filter_map(|&earlier| ends.get(earlier as usize));
            let start = earlier_ends.copied().max().unwrap_or(0);
            ends.push(start + time(step).0);
        }
        Millis(ends.into_iter().max().unwrap_or(0))
    }
}

/// How to call the service that decides which workers may run a queue's steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Minimum duration of a call.
    pub decision: Millis,
    /// Additional duration of a call for each worker.
    pub per_worker: Millis,
    /// Validity of the tickets that it returns.
    pub validity: Millis,
}

/// A queue of jobs, which is a route of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: RouteName,
    /// Host name in the caller's request.
    pub host: String,
    /// Path prefix of the requests.
    pub prefix: String,
    /// Pool whose workers run the tasks.
    pub pool: PoolName,
    /// Priority; 0 comes first and may displace others.
    pub priority: u32,
    /// Number of failed runs of a task after which its job has failed.
    pub attempts: u32,
    /// A job is in time if it ends within this factor times its critical path, plus `target`.
    pub stretch: f64,
    /// Fixed part of the objective; see `stretch`.
    pub target: Millis,
    /// Set if only some workers may run a step.
    pub advice: Option<AdvicePolicy>,
    /// Callers need no key.
    #[serde(default)]
    #[serde(rename = "open")]
    pub allows_anonymous: bool,
}

/// Configuration of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolPolicy {
    /// Name of the pool.
    pub name: PoolName,
    /// Workers reject tasks that exceed their capacity.
    #[serde(rename = "guards")]
    pub rejects_overload: bool,
    /// Spare pool: its hosts are switched off and cost nothing.
    pub spare: bool,
}

/// Limits on requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a body, in bytes.
    pub body: usize,
    /// Time in which a request head must arrive.
    pub head_time: Millis,
    /// Time for which a connection may be idle.
    pub idle_time: Millis,
}

/// A version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version number, which only increases.
    pub version: Version,
    /// All queues.
    pub queues: Vec<Arc<Queue>>,
    /// All pools by name.
    pub pools: BTreeMap<PoolName, PoolPolicy>,
    /// Limits on requests.
    pub limits: CallLimits,
    /// Customers and their keys.
    pub customers: Arc<Customers>,
}

impl Configuration {
    /// Returns the queue of a request: the one with the longest matching prefix for `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        self.queues
            .iter()
            .filter(|queue| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue with this name.
    pub fn queue(&self, name: &RouteName) -> Option<&Arc<Queue>> {
        self.queues.iter().find(|queue| queue.name == *name)
    }
}
