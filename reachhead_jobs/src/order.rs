//! In which order jobs get room: by what their callers gain.

use std::{collections::BTreeMap, sync::Arc};

use reachhead_types::{id::RouteName, size::Millis};

use crate::{
    clock::Tick,
    job::Job,
    model::{Plan, Queue, Step},
};

/// Weight of the newest observation in running means.
const LEARNING_RATE: f64 = 0.05;

/// Observations before a queue's own mean is used.
const TRUST_COUNT: u32 = 8;

/// How late a job may be, in multiples of its objective, before nobody waits for it any more.
const LATE_FACTOR: u64 = 3;

/// How long before nobody waits for it any more a late job counts as expiring, in multiples of its objective. A job
/// that becomes late has waited for one objective, so it has another behind all that can be in time, and then one more in
/// which the share of the room that expiring jobs get has to suffice.
const EXPIRING_FACTOR: u64 = 1;

/// How long the tasks of a queue really take.
///
/// Clients' guesses are far off on some queues and good on others, so each queue's better predictor
/// is used: the guess, corrected by a common factor, or the queue's mean.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Durations {
    count: u32,
    /// Mean of the logarithm of the real time in milliseconds.
    log_mean: f64,
    /// Mean of the logarithm of real time over guess.
    log_ratio: f64,
    /// Mean squared error of the queue's mean.
    mean_error: f64,
    /// Mean squared error of the corrected guess.
    guess_error: f64,
}

impl Durations {
    fn new() -> Self {
        Self { count: 0, log_mean: 0.0, log_ratio: 0.0, mean_error: 0.0, guess_error: 0.0 }
    }

    fn learn(&mut self, guess: Millis, real: Millis) {
        let real = (real.0.max(1) as f64).ln();
        let ratio = real - (guess.0.max(1) as f64).ln();
        self.count += 1;
        let rate = LEARNING_RATE.max(1.0 / f64::from(self.count));
        let blend = |old: &mut f64, new: f64| *old += rate * (new - *old);
        blend(&mut self.mean_error, (real - self.log_mean).powi(2));
        blend(&mut self.guess_error, (ratio - self.log_ratio).powi(2));
        blend(&mut self.log_mean, real);
        blend(&mut self.log_ratio, ratio);
    }

    fn predict(&self, guess: Millis) -> Millis {
        match self.predictor() {
            Predictor::Guess => guess,
            Predictor::Mean(time) => Millis(time as u64),
            Predictor::Corrected(factor) => Millis((guess.0.max(1) as f64 * factor) as u64),
        }
    }

    fn predictor(&self) -> Predictor {
        if self.count < TRUST_COUNT {
            Predictor::Guess
        } else if self.mean_error < self.guess_error {
            Predictor::Mean(self.log_mean.exp())
        } else {
            Predictor::Corrected(self.log_ratio.exp())
        }
    }
}

/// By what the time of a queue's tasks is predicted.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Predictor {
    /// The client's guess: too little was seen.
    Guess,
    /// The queue's mean, in milliseconds.
    Mean(f64),
    /// The guess times this.
    Corrected(f64),
}

/// What was learned of the queues of a pool.
#[derive(Debug, Clone, Default)]
pub struct DurationEstimator {
    durations: BTreeMap<RouteName, Durations>,
    work: BTreeMap<RouteName, Work>,
}

/// What a queue's jobs ask for, on average. Their work follows from this and from how long tasks really take, so that a guess which
/// proves wrong is not carried on.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    count: u32,
    /// Thousandths of a core of all tasks of a job.
    cores: f64,
    /// The same, each times the guessed milliseconds of the task.
    guessed: f64,
}

impl Work {
    fn learn(&mut self, plan: &Plan) {
        let cores = |step: &Step| f64::from(step.count) * step.need.cores as f64;
        let guessed = |step: &Step| cores(step) * step.estimate.0 as f64;
        self.count += 1;
        let rate = LEARNING_RATE.max(1.0 / f64::from(self.count));
        self.cores += rate * (plan.steps.iter().map(cores).sum::<f64>() - self.cores);
        self.guessed += rate * (plan.steps.iter().map(guessed).sum::<f64>() - self.guessed);
    }
}

impl DurationEstimator {
    /// Notes how long a task took.
    pub fn observe_task(&mut self, queue: &RouteName, guess: Millis, real: Millis) {
        let durations = self.durations.entry(queue.clone()).or_insert_with(Durations::new);
        durations.learn(guess, real);
    }

    /// Notes a job that was accepted.
    pub fn observe_job(&mut self, queue: &RouteName, plan: &Plan) {
        self.work.entry(queue.clone()).or_default().learn(plan);
    }

    /// Returns the mean work of a queue's jobs, in thousandths of a core times milliseconds.
    pub fn mean_work(&self, queue: &RouteName) -> f64 {
        let Some(work) = self.work.get(queue) else {
            return 0.0;
        };
        match self.durations.get(queue).map_or(Predictor::Guess, Durations::predictor) {
            Predictor::Guess => work.guessed,
            Predictor::Mean(time) => work.cores * time,
            Predictor::Corrected(factor) => work.guessed * factor,
        }
    }

    /// Returns how long a task of the step will take.
    pub fn predict(&self, queue: &RouteName, step: &Step) -> Millis {
        self.durations
            .get(queue)
            .map_or(step.estimate, |durations| durations.predict(step.estimate))
    }

    /// Returns the moment until which the job is in time.
    pub fn objective(&self, queue: &Arc<Queue>, plan: &Plan) -> Millis {
        let chain = plan.critical_path(|step| self.predict(&queue.name, step));
        Millis(queue.target.0 + (chain.0 as f64 * queue.stretch) as u64)
    }

    /// Returns the job's place in the order; the smallest comes first.
    pub fn rank(&self, job: &Job, now: Tick) -> Rank {
        if job.plan.is_long_running() {
            let key = job.accepted.0 as f64;
            let priority = job.queue.priority;
            return Rank { class: Class::LongRunning, over_share: false, priority, key };
        }
        let objective = self.objective(&job.queue, &job.plan);
        let left = self.left(job);
        let ends = now + left.chain;
        let expiring = LATE_FACTOR - EXPIRING_FACTOR;
        let class = if ends <= job.accepted + objective {
            Class::InTime
        } else if ends <= job.accepted + Millis(objective.0 * expiring) {
            Class::Late
        } else if ends <= job.accepted + Millis(objective.0 * LATE_FACTOR) {
            Class::Expiring
        } else {
            Class::Missed
        };
        let mean = self.mean_work(&job.queue.name).max(1.0);
        // A job earns a part by its number and a part by its work; what is left decides the price.
        let worth = 0.3 + 0.7 * (left.whole / mean).min(4.0);
        let key = left.work.max(1.0) / worth;
        Rank { class, over_share: job.over_share, priority: job.queue.priority, key }
    }

    fn left(&self, job: &Job) -> Left {
        let mut left = Left { chain: Millis(0), work: 0.0, whole: 0.0 };
        let mut ends: Vec<u64> = vec![0; job.plan.steps.len()];
        for (id, state) in &job.steps {
            let step = job.step(*id);
            let time = self.predict(&job.queue.name, step);
            let per_task = step.need.cores as f64 * time.0 as f64;
            left.whole += per_task * f64::from(step.count);
            if state.is_done() {
                continue;
            }
            let waiting = state.tasks.iter().filter(|task| !task.done && task.runs.is_empty());
            left.work += per_task * waiting.count() as f64;
            let before = step.after.iter().filter_map(|&earlier| ends.get(earlier as usize));
            let end = before.copied().max().unwrap_or(0) + time.0;
            if let Some(slot) = ends.get_mut(id.step as usize) {
                *slot = end;
            }
            left.chain = left.chain.max(Millis(end));
        }
        left
    }
}

/// What is left of a job.
#[derive(Debug, Clone, Copy)]
struct Left {
    /// The longest chain of steps that are not done.
    chain: Millis,
    /// The work of the tasks that wait.
    work: f64,
    /// The work of the whole job.
    whole: f64,
}

/// What a job can still get.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Its tasks must be at work all the time.
    LongRunning,
    /// It is late, and unless it starts soon nobody waits for it any more. It goes first inside a share of the pool's
    /// room, see [`crate::expiring_budget`].
    Expiring,
    /// It can be done in time.
    InTime,
    /// It will be late, but not so late that nobody waits.
    Late,
    /// It is too late; it still runs when there is room.
    Missed,
}

/// A job's place in the order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rank {
    /// What it can still get.
    pub class: Class,
    /// It is more than its customer is owed.
    pub over_share: bool,
    /// The priority of its queue; 0 comes first.
    pub priority: u32,
    /// Work for each unit of worth.
    pub key: f64,
}

impl Rank {
    /// Compares two ranks; the smaller one comes first.
    pub fn compare(self, other: Self) -> std::cmp::Ordering {
        let lasts = |rank: Self| rank.class != Class::LongRunning;
        let by_owed = lasts(self).cmp(&lasts(other)).then(self.over_share.cmp(&other.over_share));
        let by_priority = self.priority.cmp(&other.priority);
        by_owed
            .then(self.class.cmp(&other.class))
            .then(by_priority)
            .then(self.key.total_cmp(&other.key))
    }
}
