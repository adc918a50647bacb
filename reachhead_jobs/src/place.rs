//! Which worker gets a task.

use std::collections::BTreeSet;

use reachhead_types::{
    id::{Label, WorkerId},
    size::Millis,
};

use crate::{
    clock::Tick,
    model::Step,
    task::{StepId, TaskId},
    worker::Worker,
};

/// How long a worker counts as one that has just joined.
const YOUNG_TIME: Millis = Millis(10_000);

/// A task that needs a worker.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Its step.
    pub step_id: StepId,
    /// The task, if one is meant: a worker never has two runs of it.
    pub task: Option<TaskId>,
    /// The step's model.
    pub step: &'a Step,
    /// Workers on which it failed or stood still.
    pub avoid: &'a [WorkerId],
    /// The rack on which other tasks of the step are, where they are better together.
    pub rack: Option<&'a Label>,
    /// Workers with tasks that run on, where the task is one too: their hosts can't leave the pool anyway, and each
    /// further one is a host that idles with its pool for as long as the task lasts.
    pub long_running_workers: Option<&'a BTreeSet<WorkerId>>,
    /// The task may crash its worker, so it is tried where that does the least harm.
    pub trial: bool,
}

impl PlacementRequest<'_> {
    /// Tells whether the worker may run the task, room aside.
    pub fn is_allowed(&self, worker: &Worker, now: Tick) -> bool {
        let labelled =
            self.step.label.as_ref().is_none_or(|label| worker.info.labels.contains(label));
        labelled && worker.accepts(now) && self.spread_allows(worker)
    }

    /// Tells whether the task fits on the worker now.
    pub fn fits(&self, worker: &Worker, now: Tick) -> bool {
        let kept =
            worker.reserved.is_some_and(|kept| kept.until > now && kept.step != self.step_id);
        let twice = self.task.is_some_and(|task| worker.runs.contains_key(&task));
        !kept && !twice && self.is_allowed(worker, now) && self.step.charge().fits(worker.free())
    }

    fn spread_allows(&self, worker: &Worker) -> bool {
        self.step.spread == 0 || self.siblings(worker) < self.step.spread
    }

    fn siblings(&self, worker: &Worker) -> u32 {
        let siblings = worker.runs.keys().filter(|task| task.step_id() == self.step_id);
        siblings.count() as u32
    }

    /// Returns how well the worker suits the task; the smallest is best.
    fn cost(&self, worker: &Worker, now: Tick) -> Cost {
        let far = |rack: Option<&Label>| rack.is_some() && rack != worker.info.rack.as_ref();
        Cost {
            avoided: self.avoid.contains(&worker.info.id),
            slow: worker.speed.is_slow(now),
            far: far(self.step.rack.as_ref()) || far(self.rack),
            siblings: if self.step.long_running { self.siblings(worker) } else { 0 },
            young: self.trial && now.since(worker.joined) < YOUNG_TIME,
            first_lasting: self
                .long_running_workers
                .is_some_and(|lasting| !lasting.contains(&worker.info.id)),
            room: if self.trial || self.step.is_latency_sensitive() {
                worker.used.cores
            } else {
                worker.free().cores
            },
        }
    }
}

/// How little a worker suits a task, the weightiest part first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    /// The task failed there before.
    avoided: bool,
    /// Tasks take several times as long there.
    slow: bool,
    /// It would be slower there than near its data or its siblings.
    far: bool,
    /// Tasks of the same step that would be lost with the worker.
    siblings: u32,
    /// It has just joined, and would try a task that may crash it: a worker that goes down and up by turns must not be taken
    /// for the task's victim.
    young: bool,
    /// It would be the first task there that runs on.
    first_lasting: bool,
    /// What is in use there for a task that serves, since others disturb it, or that may crash the worker; else what is free, so
    /// that the work stands close and other workers are left empty.
    room: u64,
}

/// Returns the worker that suits the task best among those on which it fits.
pub fn choose_worker<'a>(
    wanted: &PlacementRequest<'_>,
    workers: impl Iterator<Item = &'a Worker>,
    now: Tick,
) -> Option<&'a Worker> {
    workers.filter(|worker| wanted.fits(worker, now)).min_by_key(|worker| wanted.cost(worker, now))
}
