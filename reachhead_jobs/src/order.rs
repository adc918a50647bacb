//! Orders jobs for placement by class, priority and value per unit of remaining work.

use std::{collections::BTreeMap, sync::Arc};

use reachhead_types::{id::RouteName, size::Millis};

use crate::{
    clock::Tick,
    job::Job,
    model::{Plan, Queue, Step},
};

/// Smallest weight of a new observation in the running means.
const MIN_LEARNING_RATE: f64 = 0.05;

/// Observations after which a queue's learned predictors replace the client's estimate.
const MIN_OBSERVATIONS: u32 = 8;

/// Time from acceptance to the end of a job, in multiples of its objective, beyond which its caller
/// is assumed to have given up.
const ABANDON_FACTOR: u64 = 3;

/// Time before the caller gives up in which a late job counts as expiring, in multiples of its
/// objective. A job turns late one objective after its acceptance. Up to two objectives it queues
/// behind all jobs that can be in time. From then until its caller gives up, at three, it is
/// expiring, and the budget of expiring jobs has to suffice in that time.
const EXPIRING_FACTOR: u64 = 1;

/// Observed durations of a queue's tasks.
///
/// Client estimates are far off on some queues and good on others, so each queue uses the predictor
/// with the smaller error: the estimate times a common factor, or the queue's mean.
#[derive(Debug, Clone, Copy, PartialEq)]
struct QueueDurations {
    count: u32,
    /// Mean of the logarithm of the actual time in milliseconds.
    log_mean: f64,
    /// Mean of the logarithm of the ratio of actual to estimated time.
    log_ratio: f64,
    /// Mean squared error of the queue's mean, in logarithms.
    mean_error: f64,
    /// Mean squared error of the corrected estimate, in logarithms.
    estimate_error: f64,
}

impl QueueDurations {
    fn new() -> Self {
        Self { count: 0, log_mean: 0.0, log_ratio: 0.0, mean_error: 0.0, estimate_error: 0.0 }
    }

    fn learn(&mut self, estimate: Millis, actual: Millis) {
        let actual = (actual.0.max(1) as f64).ln();
        let ratio = actual - (estimate.0.max(1) as f64).ln();
        self.count += 1;
        let rate = MIN_LEARNING_RATE.max(1.0 / f64::from(self.count));
        let blend = |old: &mut f64, new: f64| *old += rate * (new - *old);
        blend(&mut self.mean_error, (actual - self.log_mean).powi(2));
        blend(&mut self.estimate_error, (ratio - self.log_ratio).powi(2));
        blend(&mut self.log_mean, actual);
        blend(&mut self.log_ratio, ratio);
    }

    fn predict(&self, estimate: Millis) -> Millis {
        match self.predictor() {
            Predictor::Estimate => estimate,
            Predictor::Mean(time) => Millis(time as u64),
            Predictor::Corrected(factor) => Millis((estimate.0.max(1) as f64 * factor) as u64),
        }
    }

    fn predictor(&self) -> Predictor {
        if self.count < MIN_OBSERVATIONS {
            Predictor::Estimate
        } else if self.mean_error < self.estimate_error {
            Predictor::Mean(self.log_mean.exp())
        } else {
            Predictor::Corrected(self.log_ratio.exp())
        }
    }
}

/// The predictor of a queue's task durations.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Predictor {
    /// The client's estimate, while there are too few observations.
    Estimate,
    /// The queue's mean, in milliseconds.
    Mean(f64),
    /// The estimate times this factor.
    Corrected(f64),
}

/// Estimates task durations and job sizes from what was observed on each queue of a pool.
#[derive(Debug, Clone, Default)]
pub struct DurationEstimator {
    durations: BTreeMap<RouteName, QueueDurations>,
    sizes: BTreeMap<RouteName, JobSize>,
}

/// Mean size of a queue's jobs as submitted. Their work is derived from this and the current
/// predictor, so that an estimate which proves wrong is not carried on.
#[derive(Debug, Clone, Copy, Default)]
struct JobSize {
    count: u32,
    /// Thousandths of a core, summed over all tasks of a job.
    cores: f64,
    /// Thousandths of a core times estimated milliseconds, summed over all tasks of a job.
    estimated: f64,
}

impl JobSize {
    fn learn(&mut self, plan: &Plan) {
        let cores = |step: &Step| f64::from(step.count) * step.need.cores as f64;
        let estimated = |step: &Step| cores(step) * step.estimate.0 as f64;
        self.count += 1;
        let rate = MIN_LEARNING_RATE.max(1.0 / f64::from(self.count));
        self.cores += rate * (plan.steps.iter().map(cores).sum::<f64>() - self.cores);
        self.estimated += rate * (plan.steps.iter().map(estimated).sum::<f64>() - self.estimated);
    }
}

impl DurationEstimator {
    /// Records how long a task took.
    pub fn observe_task(&mut self, queue: &RouteName, estimate: Millis, actual: Millis) {
        let durations = self.durations.entry(queue.clone()).or_insert_with(QueueDurations::new);
        durations.learn(estimate, actual);
    }

    /// Records the size of an accepted job.
    pub fn observe_job(&mut self, queue: &RouteName, plan: &Plan) {
        self.sizes.entry(queue.clone()).or_default().learn(plan);
    }

    /// Returns the mean work of a queue's jobs, in thousandths of a core times milliseconds.
    pub fn mean_work(&self, queue: &RouteName) -> f64 {
        let Some(size) = self.sizes.get(queue) else {
            return 0.0;
        };
        match self.durations.get(queue).map_or(Predictor::Estimate, QueueDurations::predictor) {
            Predictor::Estimate => size.estimated,
            Predictor::Mean(time) => size.cores * time,
            Predictor::Corrected(factor) => size.estimated * factor,
        }
    }

    /// Returns the predicted duration of a task of the step.
    pub fn predict(&self, queue: &RouteName, step: &Step) -> Millis {
        self.durations
            .get(queue)
            .map_or(step.estimate, |durations| durations.predict(step.estimate))
    }

    /// Returns the time after acceptance within which the job is in time.
    pub fn objective(&self, queue: &Arc<Queue>, plan: &Plan) -> Millis {
        let chain = plan.critical_path(|step| self.predict(&queue.name, step));
        Millis(queue.target.0.saturating_add((chain.0 as f64 * queue.stretch) as u64))
    }

    /// Returns the job's rank for placement; the smallest comes first.
    pub fn rank(&self, job: &Job, now: Tick) -> Rank {
        if job.plan.is_long_running() {
            let key = job.accepted.0 as f64;
            let priority = job.queue.priority;
            return Rank { class: Class::LongRunning, over_share: false, priority, key };
        }
        let objective = self.objective(&job.queue, &job.plan);
        let remaining = self.remaining(job);
        let ends = now + remaining.chain;
        let expiring = ABANDON_FACTOR - EXPIRING_FACTOR;
        let class = if ends <= job.accepted + objective {
            Class::InTime
        } else if ends <= job.accepted + Millis(objective.0 * expiring) {
            Class::Late
        } else if ends <= job.accepted + Millis(objective.0 * ABANDON_FACTOR) {
            Class::Expiring
        } else {
            Class::Missed
        };
        let mean = self.mean_work(&job.queue.name).max(1.0);
        // The value of a job is a fixed part plus a part proportional to its work, capped; its
        // price is the work that remains.
        let value = 0.3 + 0.7 * (remaining.total / mean).min(4.0);
        let key = remaining.work.max(1.0) / value;
        Rank { class, over_share: job.over_share, priority: job.queue.priority, key }
    }

    fn remaining(&self, job: &Job) -> Remaining {
        let mut remaining = Remaining { chain: Millis(0), work: 0.0, total: 0.0 };
        let mut ends: Vec<u64> = vec![0; job.plan.steps.len()];
        for (id, state) in &job.steps {
            let step = job.step(*id);
            let time = self.predict(&job.queue.name, step);
            let per_task = step.need.cores as f64 * time.0 as f64;
            remaining.total += per_task * f64::from(step.count);
            if state.is_done() {
                continue;
            }
            let waiting = state.tasks.iter().filter(|task| !task.done && task.runs.is_empty());
            remaining.work += per_task * waiting.count() as f64;
            let earlier_ends = step.after.iter().filter_map(|&earlier| ends.get(earlier as usize));
            let end = earlier_ends.copied().max().unwrap_or(0) + time.0;
            if let Some(slot) = ends.get_mut(id.step as usize) {
                *slot = end;
            }
            remaining.chain = remaining.chain.max(Millis(end));
        }
        remaining
    }
}

/// Remaining work of a job.
#[derive(Debug, Clone, Copy)]
struct Remaining {
    /// Length of the longest chain of unfinished steps.
    chain: Millis,
    /// Work of the tasks without a run, in thousandths of a core times milliseconds.
    work: f64,
    /// Work of the whole job, in the same unit.
    total: f64,
}

/// Urgency of a job, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Long-running: its tasks must run all the time.
    LongRunning,
    /// Late, and its caller gives up unless it starts soon. Goes first within a budget, see
    /// [`crate::expiring_budget`].
    Expiring,
    /// Can still be done in time.
    InTime,
    /// Late, but its caller still waits.
    Late,
    /// Too late for its caller; it runs when there is free capacity.
    Missed,
}

/// Rank of a job in the order of placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rank {
    /// Urgency.
    pub class: Class,
    /// The job exceeds its customer's weight.
    pub over_share: bool,
    /// Priority of the queue; 0 comes first.
    pub priority: u32,
    /// Remaining work per unit of value.
    pub key: f64,
}

impl Rank {
    /// Compares two ranks; the smaller one comes first.
    pub fn compare(self, other: Self) -> std::cmp::Ordering {
        let is_transient = |rank: Self| rank.class != Class::LongRunning;
        let by_share = is_transient(self)
            .cmp(&is_transient(other))
            .then(self.over_share.cmp(&other.over_share));
        let by_priority = self.priority.cmp(&other.priority);
        by_share
            .then(self.class.cmp(&other.class))
            .then(by_priority)
            .then(self.key.total_cmp(&other.key))
    }
}
