//! The life of a job: which tasks are done, which may start, when it is over.

use std::{collections::BTreeMap, sync::Arc};

use reachhead_types::{
    id::{CustomerName, JobId, WorkerId},
    size::{Millis, Revision, RunNumber},
};

use crate::{
    clock::{Tick, WorkerTime},
    crashes::Crashes,
    model::{Plan, Queue, Step},
    progress::{CrashRecord, Failure, ProgressRecord, StepRecord, TaskSet},
    record::{Ending, JobRecord},
    task::{StepId, TaskId},
};

/// How long a task takes to start up at most. The percents of tasks that take hours say nothing for minutes, and workers on which
/// one is tried get nothing else until it has started.
const STARTUP_TIME: Millis = Millis(3000);

/// How far an order to run a task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The order is under way or was not answered.
    Ordered,
    /// The worker has it.
    Working,
    /// It was told to stop.
    Stopping,
}

/// A run of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Its number; numbers rise over all runs of the task.
    pub number: RunNumber,
    /// The worker.
    pub worker: WorkerId,
    /// How far it has come.
    pub phase: Phase,
    /// When it was ordered, or adopted from a predecessor.
    pub ordered_at: Tick,
    /// When the worker confirmed that it is there, or that it can't come any more.
    pub settled_at: Option<Tick>,
    /// The deadline that its orders carry; a repeated order must not extend it.
    pub deadline: WorkerTime,
    /// An order was not answered, so a copy may still be carried out.
    pub unconfirmed: bool,
    /// An order is under way.
    pub order_in_flight: bool,
    /// When the order is sent again.
    pub retry_at: Tick,
    /// How much of it is done, in percent.
    pub percent: u32,
    /// When the percentage last rose.
    pub progressed_at: Tick,
    /// When the worker last reported it, or it was ordered.
    pub last_reported: Tick,
    /// The worker's newest figure; see [`crate::ports::RunningEntry::figure`].
    pub metric: u64,
    /// The share at which it is let work, in percent.
    pub pace_percent: u32,
    /// Why the worker may run it, where that is decided elsewhere.
    pub ticket: Option<String>,
    /// A predecessor ordered it.
    pub adopted: bool,
}

impl Run {
    /// Tells whether reports have shown that starting it has done no harm: it has progressed, or has been there for a while.
    pub fn has_worked(&self) -> bool {
        self.percent > 0 || self.last_reported.since(self.ordered_at) >= STARTUP_TIME
    }

    /// Tells whether a task that runs on is at work.
    pub fn at_work(&self) -> bool {
        self.phase == Phase::Working && self.percent >= 100
    }
}

/// A task.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Task {
    /// It ended as done.
    pub done: bool,
    /// Its runs that may be at work; more than one only where the step is speculative.
    pub runs: Vec<Run>,
    /// The runs that failed.
    pub failed: Vec<RunNumber>,
    /// The workers that crashed under it.
    pub crashes: Crashes,
    /// How often it was stopped since it stood still.
    pub stalls: u32,
    /// The highest number that a run of it had.
    pub last_run: RunNumber,
    /// Its newest checkpoint.
    pub checkpoint: Option<String>,
    /// Workers on which it failed or stood still.
    pub avoid: Vec<WorkerId>,
    /// It is not started before this, so that a task that can't be placed is not tried all the time.
    pub not_before: Tick,
}

impl Task {
    /// Returns its run with this number.
    pub fn run(&mut self, number: RunNumber) -> Option<&mut Run> {
        self.runs.iter_mut().find(|run| run.number == number)
    }
}

/// A step in one occurrence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepState {
    /// Its tasks in their order.
    pub tasks: Vec<Task>,
    /// How many of them are done.
    pub done: u32,
}

impl StepState {
    fn new(count: u32) -> Self {
        Self { tasks: vec![Task::default(); count as usize], done: 0 }
    }

    /// Tells whether every task is done or has a run.
    pub fn is_fully_placed(&self) -> bool {
        self.tasks.iter().all(|task| task.done || !task.runs.is_empty())
    }

    /// Tells whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize >= self.tasks.len()
    }

    /// Returns how many tasks beside this one have no run at work that is `certain`; for steps that
    /// run on.
    pub fn missing_siblings(&self, index: u32, certain: impl Fn(&Run) -> bool) -> u32 {
        let works = |run: &Run| run.at_work() && certain(run);
        let others = (0..).zip(&self.tasks).filter(|(place, _)| *place != index);
        others.filter(|(_, task)| !task.runs.iter().any(works)).count() as u32
    }
}

/// An accepted job that is not over.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Its queue, as it was when the job was accepted.
    pub queue: Arc<Queue>,
    /// What it is to do.
    pub plan: Arc<Plan>,
    /// Whose it is, if it came with a key.
    pub customer: Option<CustomerName>,
    /// Its customer had sent more than its weight when it came, so it waits for what others are owed.
    pub over_share: bool,
    /// When it was accepted, on this process's clock.
    pub accepted: Tick,
    /// The revision of its row of progress, if it has one.
    pub revision: Option<Revision>,
    /// The revision of its own row, if it is known.
    pub row: Option<Revision>,
    /// It was accepted before this owner took charge, so a predecessor may have started tasks.
    pub recovered: bool,
    /// A task of it has been started.
    pub started: bool,
    /// How it ended; it lives on until that is recorded.
    pub ending: Option<Ending>,
    /// Its end is recorded, and it only waits for its runs to be gone.
    pub recorded: bool,
    /// Its progress changed since the last transaction about it was made.
    pub unsaved: bool,
    /// The steps of the occurrences that are due.
    pub steps: BTreeMap<StepId, StepState>,
    /// How many occurrences have become due.
    pub due: u32,
}

impl Job {
    /// Returns a job without progress.
    pub fn new(id: JobId, record: &JobRecord, accepted: Tick) -> Self {
        Self {
            id,
            queue: Arc::clone(&record.queue),
            plan: Arc::clone(&record.plan),
            customer: record.customer.clone(),
            over_share: false,
            accepted,
            revision: None,
            row: None,
            recovered: false,
            started: false,
            ending: None,
            recorded: false,
            unsaved: false,
            steps: BTreeMap::new(),
            due: 0,
        }
    }

    /// Returns the model of a step.
    pub fn step(&self, id: StepId) -> &Step {
        &self.plan.steps[id.step as usize]
    }

    /// Makes the occurrences that are due by `wall` (milliseconds since 1970) part of the job, and
    /// returns when the next one is due.
    pub fn add_due_occurrences(&mut self, wall: Millis) -> Option<Millis> {
        let total = self.plan.occurrences();
        while self.due < total {
            if let Some(schedule) = self.plan.schedule {
                let after = schedule.interval.0.saturating_mul(u64::from(self.due));
                let due = Millis(schedule.start.0.saturating_add(after));
                if due > wall {
                    return Some(due);
                }
            }
            let occurrence = self.due;
            for (place, step) in self.plan.steps.iter().enumerate() {
                let id = StepId { job: self.id, occurrence, step: place as u32 };
                self.steps.entry(id).or_insert_with(|| StepState::new(step.count));
            }
            self.due += 1;
        }
        None
    }

    /// Tells whether the tasks of a step may start.
    pub fn is_ready(&self, id: StepId) -> bool {
        self.step(id).after.iter().all(|&earlier| {
            let earlier = StepId { step: earlier, ..id };
            self.steps.get(&earlier).is_some_and(StepState::is_done)
        })
    }

    /// Tells whether a task that may crash its worker waits to be started.
    pub fn has_suspects(&self) -> bool {
        let waits = |task: &Task| !task.done && task.runs.is_empty() && task.crashes.is_suspect();
        self.steps.values().flat_map(|step| &step.tasks).any(waits)
    }

    /// Tells whether any run of it may be at work.
    pub fn has_runs(&self) -> bool {
        self.steps.values().flat_map(|step| &step.tasks).any(|task| !task.runs.is_empty())
    }

    /// Returns the task, if it is one of the job's and due.
    pub fn task(&mut self, id: TaskId) -> Option<&mut Task> {
        self.steps.get_mut(&id.step_id())?.tasks.get_mut(id.index as usize)
    }

    /// Notes that a task is done, and tells whether that is news. A gang is done with any member.
    pub fn mark_done(&mut self, id: TaskId) -> bool {
        let gang = self.plan.steps.get(id.step as usize).is_some_and(|step| step.gang);
        let Some(step) = self.steps.get_mut(&id.step_id()) else {
            return false;
        };
        let mut news = false;
        for (index, task) in step.tasks.iter_mut().enumerate() {
            if !task.done && (gang || index == id.index as usize) {
                task.done = true;
                step.done += 1;
                news = true;
            }
        }
        news
    }

    /// Notes that a run failed; tells whether that is news.
    pub fn record_failure(&mut self, id: TaskId, run: RunNumber) -> bool {
        match self.task(id) {
            Some(task) if !task.failed.contains(&run) => {
                task.failed.push(run);
                true
            }
            _ => false,
        }
    }

    /// Tells whether every task of every occurrence is done.
    pub fn is_complete(&self) -> bool {
        self.due == self.plan.occurrences() && self.steps.values().all(StepState::is_done)
    }

    /// Tells whether a task has failed so often that the job has, or is given up for what it does to workers.
    pub fn has_failed(&self) -> bool {
        let limit = self.queue.attempts as usize;
        self.steps.iter().any(|(&id, step)| {
            let spent = |task: &Task| task.failed.len() >= limit && !self.step(id).long_running;
            let hopeless = |task: &Task| spent(task) || task.crashes.is_conclusive();
            step.tasks.iter().any(|task| !task.done && hopeless(task))
        })
    }

    /// Returns everything that the workers may forget.
    pub fn progress(&self) -> ProgressRecord {
        let mut progress = ProgressRecord::default();
        for (id, step) in &self.steps {
            if step.is_done() {
                progress.complete(id.step, id.occurrence);
                continue;
            }
            let record = record_step(*id, step);
            if !record.is_empty() {
                progress.steps.push(record);
            }
        }
        progress
    }

    /// Takes over what a predecessor recorded.
    pub fn restore(&mut self, record: &ProgressRecord) {
        for (id, step) in &mut self.steps {
            if record.has_completed(id.step, id.occurrence) {
                step.tasks.iter_mut().for_each(|task| task.done = true);
                step.done = step.tasks.len() as u32;
                self.started = true;
            }
        }
        for known in &record.steps {
            let id = StepId { job: self.id, occurrence: known.occurrence, step: known.step };
            let Some(step) = self.steps.get_mut(&id) else {
                continue;
            };
            for index in known.done.iter() {
                if let Some(task) = step.tasks.get_mut(index as usize).filter(|task| !task.done) {
                    task.done = true;
                    step.done += 1;
                }
            }
            for failure in &known.failed {
                if let Some(task) = step.tasks.get_mut(failure.index as usize) {
                    task.failed.clone_from(&failure.runs);
                }
            }
            for crashed in &known.crashed {
                if let Some(task) = step.tasks.get_mut(crashed.index as usize) {
                    task.crashes = crashed.crashes;
                }
            }
            self.started = true;
        }
    }
}

fn record_step(id: StepId, step: &StepState) -> StepRecord {
    let mut record = StepRecord {
        occurrence: id.occurrence,
        step: id.step,
        done: TaskSet::default(),
        failed: Vec::new(),
        crashed: Vec::new(),
    };
    for (index, task) in step.tasks.iter().enumerate() {
        let index = index as u32;
        if task.done {
            record.done.insert(index);
            continue;
        }
        if !task.failed.is_empty() {
            record.failed.push(Failure { index, runs: task.failed.clone() });
        }
        if !task.crashes.is_empty() {
            record.crashed.push(CrashRecord { index, crashes: task.crashes });
        }
    }
    record
}
