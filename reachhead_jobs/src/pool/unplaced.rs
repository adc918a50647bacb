//! Long-running tasks without a run: for how long they wait, and why.
//!
//! Short tasks that wait are ordinary queueing. A long-running task is to be up all the time, and
//! while it has no run the numbers of free workers don't explain why. "From a failed request to its
//! cause" in [Operations](../../../docs/OPERATIONS.md) shows how to read the result.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter},
};

use reachhead_types::{id::WorkerId, size::Millis};
use serde::{Serialize, Serializer};

use crate::{
    clock::Tick,
    job::{Job, Task},
    obstacle::Obstacle,
    place::PlacementRequest,
    pool::{NoteKind, Pool},
    task::{StepId, TaskId},
};

/// Maximum number of workers named in one log line.
const MAX_NAMED_WORKERS: usize = 4;

/// Minimum time between two checks, since a check looks at every job.
const CHECK_PERIOD: Millis = Millis(500);

/// Wait from which a step is logged. A start that is lost or rejected is repeated well within it.
const MIN_LOGGED_WAIT: Millis = Millis(1500);

/// Minimum time between two lines about one step.
const LOG_PERIOD: Millis = Millis(3000);

/// Maximum number of steps that a check logs: a pool without capacity must not use up the lines that
/// a process may log.
const MAX_LOGGED_STEPS: usize = 4;

/// Maximum number of steps that a check compares with every worker; a scheduling round compares
/// nearly as many.
const MAX_EXAMINED_STEPS: usize = 32;

/// Why the tasks of a step have no run, if the reason lies with the step and not with single workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WaitReason {
    /// The owner's lease was not confirmed recently, so it gives no orders.
    LeaseUnconfirmed,
    /// The owner does not know which zones are drained at present.
    DrainsUnknown,
    /// The tasks may still run on workers of a predecessor that have not answered yet.
    PredecessorWorkers,
    /// The tasks may have crashed workers, and the store does not have the record of that yet.
    CrashUnrecorded,
    /// The tasks may have crashed workers, and many workers are dying of another cause.
    WorkerOutage,
    /// The last starts were rejected a moment ago.
    RetryPause,
    /// Members of the gang still have runs or can't start yet.
    GangIncomplete,
    /// The service that decides on the placement has approved no worker at present.
    AwaitingApproval,
    /// The same, and calls to the service pause, since it fails or does not answer.
    AdvisorUnavailable,
    /// The customer's quota is used up.
    Quota,
    /// No worker can take a task.
    NoPlace,
    /// A worker can take a task, and the owner may send no more start orders in this round.
    StartBudget,
    /// A worker can take a task, and the round ended before it reached the step.
    NotReached,
    /// Other steps have waited for longer, and only those were compared with the workers.
    Unexamined,
}

impl WaitReason {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::LeaseUnconfirmed => "lease-unconfirmed",
            Self::DrainsUnknown => "drains-unknown",
            Self::PredecessorWorkers => "predecessor-workers",
            Self::CrashUnrecorded => "crash-unrecorded",
            Self::WorkerOutage => "worker-outage",
            Self::RetryPause => "retry-pause",
            Self::GangIncomplete => "gang-incomplete",
            Self::AwaitingApproval => "awaiting-approval",
            Self::AdvisorUnavailable => "advisor-unavailable",
            Self::Quota => "quota",
            Self::NoPlace => "no-place",
            Self::StartBudget => "start-budget",
            Self::NotReached => "not-reached",
            Self::Unexamined => "unexamined",
        }
    }
}

impl Display for WaitReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Serialize for WaitReason {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}

/// The long-running tasks of a pool that had no run at the last check.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct UnplacedSummary {
    /// Number of tasks.
    pub tasks: u32,
    /// Longest time that one of them has waited.
    #[serde(rename = "oldest_ms")]
    pub oldest: Millis,
    /// Number of tasks by reason.
    pub reasons: BTreeMap<WaitReason, u32>,
    /// Number of workers by obstacle, added up over the examined steps.
    pub obstacles: BTreeMap<Obstacle, u32>,
    /// Number of registered workers that are not used since the registered incarnations are known to
    /// have ended, whether or not a task waits.
    pub ended: u32,
}

/// The steps with waiting long-running tasks, as of the last check.
#[derive(Debug, Clone, Default)]
pub(super) struct UnplacedSteps {
    steps: BTreeMap<StepId, UnplacedStep>,
    next_check: Tick,
}

/// A step with waiting long-running tasks.
#[derive(Debug, Clone, Default)]
struct UnplacedStep {
    /// Since when each task waits, by index. Kept for each task, so that different tasks which wait
    /// one after the other for a moment don't count as one long wait.
    since: BTreeMap<u32, Tick>,
    logged_at: Option<Tick>,
    /// What the last check found, if it got to the step.
    finding: Option<Finding>,
}

impl UnplacedStep {
    /// Returns the task that has waited longest, and since when.
    fn oldest(&self) -> Option<(u32, Tick)> {
        self.since.iter().map(|(index, since)| (*index, *since)).min_by_key(|(_, since)| *since)
    }

    fn waited(&self, now: Tick) -> Millis {
        self.oldest().map_or(Millis(0), |(_, since)| now.since(since))
    }

    fn is_log_due(&self, now: Tick) -> bool {
        self.waited(now) >= MIN_LOGGED_WAIT
            && self.logged_at.is_none_or(|logged_at| now.since(logged_at) >= LOG_PERIOD)
    }
}

/// Why a step waits.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Finding {
    why: WaitReason,
    /// The task that the workers were compared with.
    index: u32,
    /// Number of workers that could take the task.
    fitting: u32,
    /// Number of the other workers by obstacle.
    obstacles: BTreeMap<Obstacle, u32>,
}

impl UnplacedSteps {
    /// Replaces the waiting tasks, and keeps since when each of them waits.
    fn update(&mut self, waiting: BTreeMap<StepId, Vec<u32>>, now: Tick) {
        let mut known = std::mem::take(&mut self.steps);
        for (id, indexes) in waiting {
            let mut step = known.remove(&id).unwrap_or_default();
            let since = |index| (index, step.since.get(&index).copied().unwrap_or(now));
            step.since = indexes.into_iter().map(since).collect();
            step.finding = None;
            self.steps.insert(id, step);
        }
    }

    /// Returns the steps that have waited longest.
    fn longest(&self) -> Vec<StepId> {
        let mut steps: Vec<(Option<Tick>, StepId)> = self
            .steps
            .iter()
            .map(|(id, step)| (step.oldest().map(|(_, since)| since), *id))
            .collect();
        steps.sort_unstable();
        steps.into_iter().take(MAX_EXAMINED_STEPS).map(|(_, id)| id).collect()
    }

    fn summary(&self, now: Tick) -> UnplacedSummary {
        let mut summary = UnplacedSummary::default();
        for step in self.steps.values() {
            let tasks = step.since.len() as u32;
            let why = step.finding.as_ref().map_or(WaitReason::Unexamined, |finding| finding.why);
            summary.tasks += tasks;
            summary.oldest = summary.oldest.max(step.waited(now));
            *summary.reasons.entry(why).or_default() += tasks;
            for (obstacle, workers) in step.finding.iter().flat_map(|finding| &finding.obstacles) {
                *summary.obstacles.entry(*obstacle).or_default() += workers;
            }
        }
        summary
    }
}

impl Pool {
    /// Returns the long-running tasks that had no run at the last check, which was up to
    /// [`CHECK_PERIOD`] ago.
    pub fn unplaced(&self, now: Tick) -> UnplacedSummary {
        UnplacedSummary { ended: self.skipped, ..self.unplaced.summary(now) }
    }

    /// Finds the long-running tasks that this round has left without a run, and logs the steps that
    /// have waited for long.
    pub(super) fn check_unplaced(&mut self, now: Tick) {
        if self.unplaced.next_check > now {
            return;
        }
        self.unplaced.next_check = now + CHECK_PERIOD;
        let waiting = self.waiting_long_running();
        self.unplaced.update(waiting, now);
        let mut logged = 0;
        let awaited = self.describe_awaited(now);
        for id in self.unplaced.longest() {
            let finding = self.examine_step(id, now);
            let Some(step) = self.unplaced.steps.get_mut(&id) else {
                continue;
            };
            let line = (logged < MAX_LOGGED_STEPS && step.is_log_due(now)).then(|| {
                describe(id, step, &finding, now) + &self.advice.describe(id, now) + &awaited
            });
            step.finding = Some(finding);
            if let Some(line) = line {
                step.logged_at = Some(now);
                logged += 1;
                self.note(NoteKind::TaskUnplaced, line);
            }
        }
    }

    /// Returns the part of a log line that names the workers of predecessors that have not answered,
    /// and the longest time until their runs are over; empty if all have.
    fn describe_awaited(&self, now: Tick) -> String {
        if self.pending.is_empty() {
            return String::new();
        }
        let named: Vec<&str> =
            self.pending.keys().take(MAX_NAMED_WORKERS).map(WorkerId::as_str).collect();
        let others = self.pending.len().saturating_sub(MAX_NAMED_WORKERS);
        let left = self.remaining_takeover_delay(now);
        let open = self.predecessor.effect().describe_open();
        format!(" awaited={} others={others} left={left}ms{open}", named.join(","))
    }

    /// Returns the long-running tasks without a run whose steps are ready, by step.
    fn waiting_long_running(&self) -> BTreeMap<StepId, Vec<u32>> {
        let mut waiting = BTreeMap::new();
        let is_open = |job: &&Job| job.ending.is_none() && job.plan.is_long_running();
        for job in self.jobs.values().filter(is_open) {
            for (id, state) in &job.steps {
                if !job.step(*id).long_running || state.is_fully_placed() || !job.is_ready(*id) {
                    continue;
                }
                let tasks = (0..).zip(&state.tasks);
                let without_run = tasks.filter(|(_, task)| !task.done && task.runs.is_empty());
                waiting.insert(*id, without_run.map(|(index, _)| index).collect());
            }
        }
        waiting
    }

    /// Returns why a step waits, by the checks of a scheduling round in their order.
    fn examine_step(&self, id: StepId, now: Tick) -> Finding {
        let job = &self.jobs[&id.job];
        let waiting = &self.unplaced.steps[&id];
        let mut startable = self.startable_tasks(id, now);
        startable.retain(|index| waiting.since.contains_key(index));
        let oldest = startable.iter().min_by_key(|index| waiting.since[index]).copied();
        let index = oldest.or(waiting.oldest().map(|(index, _)| index)).unwrap_or_default();
        let approved = job.queue.advice.is_some().then(|| self.advice.approved(id, now));
        let mut finding = self.compare_workers(id.task(index), approved.as_ref(), now);
        if let Some(why) = self.step_reason(id, &startable, approved.as_ref(), now) {
            finding.why = why;
        } else if finding.fitting > 0 && !job.step(id).gang {
            finding.why = match self.start_budget.has_room() {
                true => WaitReason::NotReached,
                false => WaitReason::StartBudget,
            };
        }
        finding
    }

    /// Returns the reason that keeps the step from starting on any worker, if there is one.
    fn step_reason(
        &self,
        id: StepId,
        startable: &[u32],
        approved: Option<&BTreeSet<WorkerId>>,
        now: Tick,
    ) -> Option<WaitReason> {
        let job = &self.jobs[&id.job];
        let step = job.step(id);
        let tasks = &job.steps[&id].tasks;
        let waits = |task: &Task| !task.done && task.runs.is_empty();
        let is_suspect = tasks.iter().any(|task| waits(task) && task.crashes.is_suspect());
        let is_repeated = tasks.iter().any(|task| waits(task) && task.crashes.is_repeated());
        let unrecorded = is_suspect && self.dirty.contains(&id.job);
        let need = if step.gang { step.need.times(step.count) } else { step.need };
        let reason = if !self.can_order(now) {
            WaitReason::LeaseUnconfirmed
        } else if !self.drained.is_current(now) {
            WaitReason::DrainsUnknown
        } else if self.may_run_elsewhere(job) {
            WaitReason::PredecessorWorkers
        } else if startable.is_empty() && unrecorded {
            WaitReason::CrashUnrecorded
        } else if startable.is_empty() && is_repeated && self.outage.is_active(now) {
            WaitReason::WorkerOutage
        } else if startable.is_empty() {
            WaitReason::RetryPause
        } else if approved.is_some_and(BTreeSet::is_empty) {
            match self.advice_budget.is_paused() {
                true => WaitReason::AdvisorUnavailable,
                false => WaitReason::AwaitingApproval,
            }
        } else if step.gang && !self.is_gang_settled(id, now) {
            WaitReason::GangIncomplete
        } else if !self.within_quota(id.job, need) {
            WaitReason::Quota
        } else {
            return None;
        };
        Some(reason)
    }

    /// Compares every worker with a task, by the checks that placement uses.
    fn compare_workers(
        &self,
        id: TaskId,
        approved: Option<&BTreeSet<WorkerId>>,
        now: Tick,
    ) -> Finding {
        let job = &self.jobs[&id.job];
        let state = &job.steps[&id.step_id()].tasks[id.index as usize];
        let step = job.step(id.step_id());
        let wanted = PlacementRequest::new(id.step_id(), step).with_task(id);
        let mut finding = Finding {
            why: WaitReason::NoPlace,
            index: id.index,
            fitting: 0,
            obstacles: BTreeMap::new(),
        };
        if self.skipped > 0 {
            finding.obstacles.insert(Obstacle::Ended, self.skipped);
        }
        for worker in self.workers.values() {
            let obstacle = wanted
                .obstacle(worker, now)
                .or_else(|| {
                    let lacks = approved.is_some_and(|ids| !ids.contains(&worker.info.id));
                    lacks.then_some(Obstacle::Unapproved)
                })
                .or_else(|| self.trial_obstacle(worker, state.crashes, step.gang, now));
            match obstacle {
                Some(obstacle) => *finding.obstacles.entry(obstacle).or_default() += 1,
                None => finding.fitting += 1,
            }
        }
        finding
    }
}

/// Returns the log line of a step, with the most frequent obstacles first.
fn describe(id: StepId, step: &UnplacedStep, finding: &Finding, now: Tick) -> String {
    let Finding { why, index, fitting, obstacles } = finding;
    let mut obstacles: Vec<(&Obstacle, &u32)> = obstacles.iter().collect();
    obstacles.sort_by_key(|(_, workers)| Reverse(**workers));
    let workers: Vec<String> =
        obstacles.iter().map(|(obstacle, workers)| format!("{obstacle}:{workers}")).collect();
    format!(
        "job={} step={}.{} tasks={} waited={}ms why={why} compared={index} fitting={fitting} workers={}",
        id.job,
        id.occurrence,
        id.step,
        step.since.len(),
        step.waited(now),
        if workers.is_empty() { "none".to_owned() } else { workers.join(",") }
    )
}
