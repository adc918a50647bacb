//! Life cycle of a job: which tasks are done, which may start, and when the job ends.

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

/// Longest startup time of a task. Progress in percent says nothing for minutes on tasks that take
/// hours, and a worker with a task on trial gets nothing else until the task has started.
const MAX_STARTUP_TIME: Millis = Millis(3000);

/// Progress of the order to run a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The order is in flight or was not answered.
    Ordered,
    /// The worker has confirmed the run.
    Working,
    /// The worker was ordered to stop the run.
    Stopping,
}

/// A run: one attempt of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Number of the run; it increases over all runs of the task.
    pub number: RunNumber,
    /// Worker of the run.
    pub worker: WorkerId,
    /// Progress of the order.
    pub phase: Phase,
    /// When it was ordered, or adopted from a predecessor.
    pub ordered_at: Tick,
    /// When the worker confirmed that it has the run, or that it can't start any more.
    pub settled_at: Option<Tick>,
    /// Lease deadline in its orders, by the worker's clock; a repeated order must not extend it.
    pub deadline: WorkerTime,
    /// An order was not answered, so a copy may still be carried out.
    pub unconfirmed: bool,
    /// An order is in flight.
    pub order_in_flight: bool,
    /// When the order is sent again.
    pub retry_at: Tick,
    /// Progress in percent.
    pub percent: u32,
    /// When the progress last increased.
    pub progressed_at: Tick,
    /// When the worker last reported the run, or when it was ordered.
    pub last_reported: Tick,
    /// Latest metric from the worker; see [`crate::ports::RunningEntry::metric`].
    pub metric: u64,
    /// Processor share that it may use, in percent.
    pub pace_percent: u32,
    /// Ticket that permits the run, where an external service decides which workers may run it.
    pub ticket: Option<String>,
    /// The run was ordered by a predecessor or resumes from a checkpoint, so the time since
    /// `ordered_at` is not the duration of the task.
    pub adopted: bool,
    /// The worker has confirmed or reported the run.
    pub confirmed: bool,
    /// A report, which names its incarnation, has listed the run. Until then it may run on an
    /// incarnation that this owner has not noticed, with a lease by another clock.
    pub reported: bool,
    /// The run was reported when this owner first heard of it, so the worker had survived its start.
    pub inherited: bool,
    /// The incarnation that may have had the run is dead. Its late order is barred at the next one,
    /// whose death says nothing about the run.
    pub barred: bool,
}

impl Run {
    /// Returns whether reports show that starting the run did no harm: it has progressed, or has
    /// been there for a while.
    pub fn has_worked(&self) -> bool {
        self.percent > 0
            || self.inherited
            || self.last_reported.since(self.ordered_at) >= MAX_STARTUP_TIME
    }

    /// Returns whether an order to start the run is in flight.
    pub fn is_start_in_flight(&self) -> bool {
        self.phase == Phase::Ordered && self.order_in_flight
    }

    /// Returns whether a run of a long-running task has started up.
    pub fn at_work(&self) -> bool {
        self.phase == Phase::Working && self.percent >= 100
    }
}

/// State of a task.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Task {
    /// The task is done.
    pub done: bool,
    /// Runs that may be active; more than one only if the step is speculative.
    pub runs: Vec<Run>,
    /// Failed runs.
    pub failed: Vec<RunNumber>,
    /// Crashes of workers that had the task.
    pub crashes: Crashes,
    /// How often a run was stopped for lack of progress.
    pub stalls: u32,
    /// Highest number of its runs.
    pub last_run: RunNumber,
    /// Latest checkpoint.
    pub checkpoint: Option<String>,
    /// Workers on which it failed or made no progress.
    pub avoid: Vec<WorkerId>,
    /// Earliest time of the next start, so that a task that can't be placed is not tried all the
    /// time.
    pub not_before: Tick,
}

impl Task {
    /// Returns the run with this number.
    pub fn run(&mut self, number: RunNumber) -> Option<&mut Run> {
        self.runs.iter_mut().find(|run| run.number == number)
    }
}

/// State of a step in one occurrence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepState {
    /// Tasks by index.
    pub tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub done: u32,
}

impl StepState {
    fn new(count: u32) -> Self {
        Self { tasks: vec![Task::default(); count as usize], done: 0 }
    }

    /// Returns whether every task is done or has a run.
    pub fn is_fully_placed(&self) -> bool {
        self.tasks.iter().all(|task| task.done || !task.runs.is_empty())
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize >= self.tasks.len()
    }

    /// Returns how many other tasks of a long-running step have no run that is at work and
    /// `certain`.
    pub fn missing_siblings(&self, index: u32, certain: impl Fn(&Run) -> bool) -> u32 {
        let works = |run: &Run| run.at_work() && certain(run);
        let others = (0..).zip(&self.tasks).filter(|(other, _)| *other != index);
        others.filter(|(_, task)| !task.runs.iter().any(works)).count() as u32
    }
}

/// An accepted job that has not ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Job id.
    pub id: JobId,
    /// Queue as configured when the job was accepted.
    pub queue: Arc<Queue>,
    /// Specification of the job.
    pub plan: Arc<Plan>,
    /// Customer whose key the call had, if any.
    pub customer: Option<CustomerName>,
    /// Its customer had exceeded its weight when the job came, so it yields to jobs of others.
    pub over_share: bool,
    /// When it was accepted, on this process's clock.
    pub accepted: Tick,
    /// Revision of its progress row, if there is one.
    pub revision: Option<Revision>,
    /// Revision of its job row, if known.
    pub row: Option<Revision>,
    /// It may have been stored before the predecessors' last order, so one of them may have started tasks.
    pub maybe_started: bool,
    /// A worker has confirmed a run of one of its tasks, or a stored record shows that one has ended.
    /// An order without an answer may never have arrived, so it is no evidence.
    pub started: bool,
    /// How it ended; the job is kept until that is recorded.
    pub ending: Option<Ending>,
    /// Its end is recorded, and it is kept until its runs have ended.
    pub recorded: bool,
    /// It has progress since its last transaction was built.
    pub unsaved: bool,
    /// Steps of the occurrences that are due.
    pub steps: BTreeMap<StepId, StepState>,
    /// Number of occurrences that are due.
    pub due: u32,
}

impl Job {
    /// Creates a job without progress.
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
            maybe_started: false,
            started: false,
            ending: None,
            recorded: false,
            unsaved: false,
            steps: BTreeMap::new(),
            due: 0,
        }
    }

    /// Returns the specification of a step.
    pub fn step(&self, id: StepId) -> &Step {
        &self.plan.steps[id.step as usize]
    }

    /// Adds the occurrences that are due by `wall` (milliseconds since 1970). Returns when the next
    /// one is due.
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
            for (index, step) in self.plan.steps.iter().enumerate() {
                let id = StepId { job: self.id, occurrence, step: index as u32 };
                self.steps.entry(id).or_insert_with(|| StepState::new(step.count));
            }
            self.due += 1;
        }
        None
    }

    /// Returns whether the steps that a step depends on are done.
    pub fn is_ready(&self, id: StepId) -> bool {
        self.step(id).after.iter().all(|&earlier| {
            let earlier = StepId { step: earlier, ..id };
            self.steps.get(&earlier).is_some_and(StepState::is_done)
        })
    }

    /// Returns whether a task that may crash its worker waits to be started.
    pub fn has_suspects(&self) -> bool {
        let waits = |task: &Task| !task.done && task.runs.is_empty() && task.crashes.is_suspect();
        self.steps.values().flat_map(|step| &step.tasks).any(waits)
    }

    /// Returns whether any run of the job may be active.
    pub fn has_runs(&self) -> bool {
        self.steps.values().flat_map(|step| &step.tasks).any(|task| !task.runs.is_empty())
    }

    /// Returns the task if it belongs to the job and is due.
    pub fn task(&mut self, id: TaskId) -> Option<&mut Task> {
        self.steps.get_mut(&id.step_id())?.tasks.get_mut(id.index as usize)
    }

    /// Marks a task as done and returns whether it was not before. A gang is done with any of its
    /// tasks.
    pub fn mark_done(&mut self, id: TaskId) -> bool {
        let gang = self.plan.steps.get(id.step as usize).is_some_and(|step| step.gang);
        let Some(step) = self.steps.get_mut(&id.step_id()) else {
            return false;
        };
        let mut is_new = false;
        for (index, task) in step.tasks.iter_mut().enumerate() {
            if !task.done && (gang || index == id.index as usize) {
                task.done = true;
                step.done += 1;
                is_new = true;
            }
        }
        is_new
    }

    /// Records a failed run and returns whether it was not recorded before.
    pub fn record_failure(&mut self, id: TaskId, run: RunNumber) -> bool {
        match self.task(id) {
            Some(task) if !task.failed.contains(&run) => {
                task.failed.push(run);
                true
            }
            _ => false,
        }
    }

    /// Returns whether all tasks of all occurrences are done.
    pub fn is_complete(&self) -> bool {
        self.due == self.plan.occurrences() && self.steps.values().all(StepState::is_done)
    }

    /// Returns whether a task has failed too often, or was given up since it crashes workers.
    pub fn has_failed(&self) -> bool {
        let limit = self.queue.attempts as usize;
        self.steps.iter().any(|(&id, step)| {
            let is_exhausted =
                |task: &Task| task.failed.len() >= limit && !self.step(id).long_running;
            let is_given_up = |task: &Task| is_exhausted(task) || task.crashes.is_conclusive();
            step.tasks.iter().any(|task| !task.done && is_given_up(task))
        })
    }

    /// Returns the progress to store, after which the workers may forget it.
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

    /// Applies the progress stored by a predecessor.
    pub fn restore(&mut self, record: &ProgressRecord) {
        for (id, step) in &mut self.steps {
            if record.has_completed(id.step, id.occurrence) {
                step.tasks.iter_mut().for_each(|task| task.done = true);
                step.done = step.tasks.len() as u32;
                self.started = true;
            }
        }
        for stored in &record.steps {
            let id = StepId { job: self.id, occurrence: stored.occurrence, step: stored.step };
            let Some(step) = self.steps.get_mut(&id) else {
                continue;
            };
            for index in stored.done.iter() {
                if let Some(task) = step.tasks.get_mut(index as usize).filter(|task| !task.done) {
                    task.done = true;
                    step.done += 1;
                }
            }
            for failure in &stored.failed {
                if let Some(task) = step.tasks.get_mut(failure.index as usize) {
                    task.failed.clone_from(&failure.runs);
                }
            }
            for crashed in &stored.crashed {
                if let Some(task) = step.tasks.get_mut(crashed.index as usize) {
                    task.crashes = crashed.crashes;
                }
            }
            self.started |= stored.has_ended_runs();
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
