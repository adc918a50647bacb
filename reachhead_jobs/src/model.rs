//! What a client hands in, and what the configuration says of queues and pools.

use std::{collections::BTreeMap, sync::Arc};

use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{Label, PoolName, RouteName},
    size::{Millis, Version},
};
use serde::{Deserialize, Serialize};

use crate::customer::Customers;

/// A step of a job: a number of equal tasks.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks it has.
    pub count: u32,
    /// What a task needs.
    pub need: Amount,
    /// How long a task takes, as the client guesses.
    pub estimate: Millis,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u32>,
    /// All tasks must be present before any of them works, and they are done together.
    pub gang: bool,
    /// The tasks are slower when they are on more than one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<Label>,
    /// The rack of the data; elsewhere the tasks are slower.
    pub rack: Option<Label>,
    /// Tasks of the step on one worker at most; 0 for no limit.
    pub spread: u32,
    /// Several runs of a task may work at once.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Bound of the tail of the tasks' own response times; 0 if they serve nobody.
    pub target: Millis,
    /// The tasks use what the others leave: their processors don't count against the capacity.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Tasks that planned work may take away at once; 0 where none is protected.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
    /// The tasks save their progress.
    pub checkpoints: bool,
}

impl Step {
    /// Returns what a task takes of a worker's capacity.
    pub fn charge(&self) -> Amount {
        if self.best_effort { Amount { cores: 0, ..self.need } } else { self.need }
    }

    /// Tells whether the tasks answer requests of their own users.
    pub fn is_latency_sensitive(&self) -> bool {
        self.target.0 > 0
    }
}

/// When a job runs, if it runs more than once or later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The first time, in milliseconds since 1970.
    pub start: Millis,
    /// Time from one occurrence to the next.
    pub interval: Millis,
    /// How often it runs.
    pub count: u32,
}

/// What a job is to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// What the workers are told to run; only they understand it.
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<Step>,
    /// When it runs; `None` for at once and once.
    pub schedule: Option<Schedule>,
}

impl Plan {
    /// Returns how often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Tells whether the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Tells whether tasks of it use what others leave.
    pub fn has_best_effort(&self) -> bool {
        self.steps.iter().any(|step| step.best_effort)
    }

    /// Returns the longest chain of the steps' times, as `time` gives them.
    pub fn critical_path(&self, time: impl Fn(&Step) -> Millis) -> Millis {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|&earlier| ends.get(earlier as usize));
            let start = before.copied().max().unwrap_or(0);
            ends.push(start + time(step).0);
        }
        Millis(ends.into_iter().max().unwrap_or(0))
    }
}

/// How the service that knows which workers may run a queue's steps is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// How long one call takes at least.
    pub decision: Millis,
    /// How much longer it takes for each worker.
    pub per_worker: Millis,
    /// How long its tickets are valid.
    pub validity: Millis,
}

/// A queue of jobs: a route of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The queue's name.
    pub name: RouteName,
    /// The host that callers name.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// The pool whose workers run its tasks.
    pub pool: PoolName,
    /// 0 comes first, and may displace others.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub attempts: u32,
    /// A job is in time within this many times its longest chain of work, and `target` more.
    pub stretch: f64,
    /// See `stretch`.
    pub target: Millis,
    /// Set where only some workers may run a step.
    pub advice: Option<AdvicePolicy>,
    /// Anybody may call it, without a key.
    #[serde(default)]
    #[serde(rename = "open")]
    pub allows_anonymous: bool,
}

/// What the configuration says of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolPolicy {
    /// The pool's name.
    pub name: PoolName,
    /// Its workers reject what does not fit.
    #[serde(rename = "guards")]
    pub rejects_overload: bool,
    /// Its hosts are off and cost nothing.
    pub spare: bool,
}

/// Limits of what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a body.
    pub body: usize,
    /// Time in which a head must arrive.
    pub head_time: Millis,
    /// Time for which a connection may be idle.
    pub idle_time: Millis,
}

/// A version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Its version; versions only go up.
    pub version: Version,
    /// The queues.
    pub queues: Vec<Arc<Queue>>,
    /// The pools.
    pub pools: BTreeMap<PoolName, PoolPolicy>,
    /// Limits of calls.
    pub limits: CallLimits,
    /// Whose keys callers have.
    pub customers: Arc<Customers>,
}

impl Configuration {
    /// Returns the queue of a call: the longest prefix among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        self.queues
            .iter()
            .filter(|queue| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue of this name.
    pub fn queue(&self, name: &RouteName) -> Option<&Arc<Queue>> {
        self.queues.iter().find(|queue| queue.name == *name)
    }
}
