//! The scheduler: computes a plan for one pool from its state alone.
//!
//! It places one task at a time: of the group with the lowest usage relative to its fair share, and
//! of the most urgent job of that group. Capacity that is left over goes to groups above their fair
//! share. A group below its fair share reclaims such capacity, but never so much that the other
//! group falls below its own fair share, so two groups can't take capacity from each other in turn.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
};

use reachhead_types::{
    fleet::Class,
    id::{GroupName, HostId, JobName},
    tree::Tree,
};

use crate::{
    amount::Amount,
    capacity::{Placement, WorkerCapacities},
    pool::{Action, Job, PendingReason, Plan, Pool, StopMode, StopReason, TaskId},
    share::{self, Shares},
};

/// Tolerance for rounding errors when shares are compared, as a fraction of a pool.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Returns the plan for `pool` with the group weights of `tree`.
pub fn plan(pool: &Pool, tree: &Tree) -> Plan {
    let mut planner = Planner::new(pool, tree);
    planner.stop_obsolete();
    planner.place();
    planner.finish()
}

/// The state of a plan while it is made.
struct Planner<'p> {
    pool: &'p Pool,
    capacities: WorkerCapacities<'p>,
    /// Total resources of all workers. It includes those that accept no tasks at present, so that a
    /// maintenance wave does not lower fair shares.
    capacity: Amount,
    /// Usage of each group, with tasks that this plan places now or later.
    used: BTreeMap<&'p GroupName, Usage>,
    /// Usage of each group, with tasks that this plan starts now, without those that it places
    /// later.
    started: BTreeMap<&'p GroupName, Usage>,
    fair_shares: Shares,
    /// Jobs with tasks to place, by group.
    pending: BTreeMap<&'p GroupName, Vec<PendingJob<'p>>>,
    /// Tasks that are being stopped by this plan or an earlier one.
    stopped: BTreeSet<&'p TaskId>,
    /// Candidates for preemption by worker; computed when first needed.
    victim_candidates: Option<BTreeMap<&'p HostId, Vec<&'p TaskId>>>,
    plan: Plan,
}

/// The resources that a group uses, by priority class.
#[derive(Debug, Clone, Copy, Default)]
struct Usage([Amount; Class::ALL.len()]);

impl Usage {
    fn add(&mut self, job: &Job) {
        let amount = &mut self.0[job.class as usize];
        *amount = amount.plus(job.size);
    }

    fn take(&mut self, job: &Job) {
        let amount = &mut self.0[job.class as usize];
        *amount = amount.minus(job.size);
    }

    /// Returns the usage of tasks of `class` and of more urgent classes.
    fn up_to(self, class: Class) -> Amount {
        self.0[..=class as usize].iter().fold(Amount::default(), |sum, amount| sum.plus(*amount))
    }

    /// Returns the usage of all classes.
    fn all(self) -> Amount {
        self.up_to(Class::Batch)
    }
}

/// A pass over the pending tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pass {
    /// Places tasks within the fair shares of their groups.
    FairShare,
    /// Places all other tasks on the capacity that is left.
    Surplus,
}

/// A reference to a pending job: its group and its index among the pending jobs of the group.
struct JobRef<'p> {
    group: &'p GroupName,
    index: usize,
}

/// The rank of a pending job; the lowest is placed next.
struct JobRank<'p> {
    is_not_urgent: bool,
    /// Usage of the group relative to its fair share.
    ratio: f64,
    next: JobRef<'p>,
}

impl JobRank<'_> {
    fn is_before(&self, other: &Self) -> bool {
        match self.is_not_urgent.cmp(&other.is_not_urgent) {
            Ordering::Equal => self.ratio < other.ratio,
            order => order.is_lt(),
        }
    }
}

/// A job with tasks that are not placed.
struct PendingJob<'p> {
    name: &'p JobName,
    job: &'p Job,
    /// Numbers of the tasks, in descending order; they are taken from the end.
    numbers: Vec<u32>,
}

impl<'p> Planner<'p> {
    fn new(pool: &'p Pool, tree: &Tree) -> Self {
        let capacity =
            pool.workers.values().fold(Amount::default(), |sum, worker| sum.plus(worker.capacity));
        let mut planner = Self {
            pool,
            capacities: WorkerCapacities::new(pool),
            capacity,
            used: BTreeMap::new(),
            started: BTreeMap::new(),
            fair_shares: Shares::new(),
            pending: BTreeMap::new(),
            stopped: BTreeSet::new(),
            victim_candidates: None,
            plan: Plan::default(),
        };
        planner.count_used();
        planner.find_pending();
        planner.fair_shares = share::fair_shares(tree, &planner.demands(), 1.0);
        planner
    }

    fn count_used(&mut self) {
        for (task, placed) in &self.pool.tasks {
            if placed.is_stopping {
                self.stopped.insert(task);
            } else if let Some(job) = self.pool.jobs.get(&task.job)
                && task.number < job.tasks
            {
                self.used.entry(&job.group).or_default().add(job);
            }
        }
        self.started = self.used.clone();
    }

    fn find_pending(&mut self) {
        let largest = self
            .pool
            .workers
            .values()
            .fold(Amount::default(), |largest, worker| largest.max(worker.capacity));
        for (name, job) in &self.pool.jobs {
            let fits = |worker: &crate::pool::Worker| job.size.fits(worker.capacity);
            if !self.pool.workers.values().any(fits) {
                let reason = PendingReason::TooLarge { requested: job.size, largest };
                self.plan.pending_reasons.insert(name.clone(), reason);
                continue;
            }
            let is_placed = |number: &u32| {
                let id = TaskId { job: name.clone(), number: *number };
                self.pool.tasks.contains_key(&id)
            };
            let numbers: Vec<u32> = (0..job.tasks).rev().filter(|n| !is_placed(n)).collect();
            if !numbers.is_empty() {
                let pending = PendingJob { name, job, numbers };
                self.pending.entry(&job.group).or_default().push(pending);
            }
        }
        for jobs in self.pending.values_mut() {
            // The most urgent last, since jobs are taken from the end.
            jobs.sort_by_key(|pending| std::cmp::Reverse(pending.job.class));
        }
    }

    /// Returns the demand of each group as a fraction of the pool. It does not depend on where
    /// tasks are placed, so a plan does not change fair shares.
    fn demands(&self) -> Shares {
        let mut demands: BTreeMap<&GroupName, Amount> = BTreeMap::new();
        for (name, job) in &self.pool.jobs {
            if self.plan.pending_reasons.contains_key(name) {
                continue;
            }
            let demand = demands.entry(&job.group).or_default();
            *demand = demand.plus(job.size.times(job.tasks));
        }
        let fraction = |(group, amount): (&&GroupName, &Amount)| {
            ((*group).clone(), amount.dominant_share(self.capacity))
        };
        demands.iter().map(fraction).collect()
    }

    /// Stops tasks that are no longer needed and tasks whose worker was removed.
    fn stop_obsolete(&mut self) {
        for (task, placed) in &self.pool.tasks {
            if placed.is_stopping {
                continue;
            }
            let is_needed =
                self.pool.jobs.get(&task.job).is_some_and(|job| task.number < job.tasks);
            if !is_needed {
                self.stop(task, StopReason::Cancelled);
            } else if !self.pool.workers.contains_key(&placed.worker) {
                self.stop(task, StopReason::WorkerRemoved);
                if let Some(job) = self.pool.jobs.get(&task.job) {
                    self.subtract_usage(job);
                }
            }
        }
    }

    fn stop(&mut self, task: &'p TaskId, reason: StopReason) {
        let job = self.pool.jobs.get(&task.job);
        if let Some(job) = job {
            let worker = &self.pool.tasks[task].worker;
            self.capacities.release(worker, job.size);
        }
        // A preempted task runs again later, so its progress is kept if possible.
        let is_needed = matches!(reason, StopReason::Reclaimed | StopReason::Preempted);
        let takes_checkpoint = is_needed && job.is_some_and(|job| job.has_checkpoint);
        let mode = if takes_checkpoint { StopMode::Checkpoint } else { StopMode::Immediate };
        self.stopped.insert(task);
        self.plan.actions.push(Action::Stop { task: task.clone(), reason, mode });
    }

    /// Places tasks within fair shares first, and tasks above them afterwards: capacity that was
    /// reclaimed for one group must not go to another before the first one is placed.
    fn place(&mut self) {
        for pass in [Pass::FairShare, Pass::Surplus] {
            while let Some(next) = self.next_job(pass) {
                self.place_task(next);
            }
        }
    }

    /// Returns the next job to place in `pass`: the one of the group with the lowest usage relative
    /// to its fair share; in the fair-share pass, urgent jobs go first.
    fn next_job(&self, pass: Pass) -> Option<JobRef<'p>> {
        let mut best: Option<JobRank<'p>> = None;
        for (&group, jobs) in &self.pending {
            let is_eligible = |pending: &PendingJob<'p>| {
                pass == Pass::Surplus || self.is_within_share(pending.job)
            };
            let Some(index) = jobs.iter().rposition(is_eligible) else {
                continue;
            };
            let rank = JobRank {
                is_not_urgent: pass == Pass::Surplus || jobs[index].job.class != Class::Urgent,
                ratio: self.ratio(group),
                next: JobRef { group, index },
            };
            if best.as_ref().is_none_or(|best| rank.is_before(best)) {
                best = Some(rank);
            }
        }
        best.map(|rank| rank.next)
    }

    /// Returns the usage of a group relative to its fair share.
    fn ratio(&self, group: &GroupName) -> f64 {
        let usage =
            self.used.get(group).map_or(0.0, |used| used.all().dominant_share(self.capacity));
        let fair_share = self.fair_shares.get(group).copied().unwrap_or_default();
        usage / fair_share.max(SHARE_TOLERANCE)
    }

    fn place_task(&mut self, next: JobRef<'p>) {
        let JobRef { group, index } = next;
        let Some(PendingJob { name, job, .. }) = self.pending_at(&next) else {
            return;
        };
        let (name, job) = (*name, *job);
        let placement = self
            .capacities
            .best_placement(name, job)
            .or_else(|reason| self.preempt(name, job).map(Placement::Later).ok_or(reason));
        let placement = match placement {
            Ok(placement) => placement,
            Err(reason) => {
                // The other tasks of the job have the same size, so they don't fit either.
                self.plan.pending_reasons.insert(name.clone(), reason);
                self.remove_pending(group, index);
                return;
            }
        };
        self.capacities.take(placement, name, job);
        self.used.entry(group).or_default().add(job);
        let Some(pending) = self.pending_at(&next) else {
            return;
        };
        let number = pending.numbers.pop();
        if pending.numbers.is_empty() {
            self.remove_pending(group, index);
        }
        if let (Placement::Now(at), Some(number)) = (placement, number) {
            self.started.entry(group).or_default().add(job);
            let task = TaskId { job: name.clone(), number };
            let worker = self.capacities.worker_id(at).clone();
            self.plan.actions.push(Action::Start { task, worker });
        }
    }

    fn pending_at(&mut self, next: &JobRef<'p>) -> Option<&mut PendingJob<'p>> {
        self.pending.get_mut(next.group)?.get_mut(next.index)
    }

    fn remove_pending(&mut self, group: &GroupName, index: usize) {
        if let Some(jobs) = self.pending.get_mut(group) {
            jobs.remove(index);
            if jobs.is_empty() {
                self.pending.remove(group);
            }
        }
    }

    /// Returns whether one more task of `job` is within the fair share of its group. Less urgent
    /// tasks of the group don't count, since more urgent ones preempt them.
    fn is_within_share(&self, job: &Job) -> bool {
        let used = self.used.get(&job.group).copied().unwrap_or_default();
        let fair_share = self.fair_shares.get(&job.group).copied().unwrap_or_default();
        used.up_to(job.class).plus(job.size).dominant_share(self.capacity)
            <= fair_share + SHARE_TOLERANCE
    }

    /// Preempts tasks for a task of `job` on the worker where the fewest are needed, and returns
    /// the index of the worker.
    fn preempt(&mut self, name: &'p JobName, job: &'p Job) -> Option<usize> {
        if !self.is_within_share(job) {
            return None;
        }
        let mut best: Option<(usize, Vec<&'p TaskId>)> = None;
        let schedulable: Vec<usize> = self.capacities.schedulable().collect();
        for at in schedulable {
            if !self.capacities.satisfies_spread(at, name, job)
                || !job.size.fits(self.capacity_at(at))
            {
                continue;
            }
            let limit = best.as_ref().map_or(usize::MAX, |(_, victims)| victims.len());
            if let Some(victims) = self.find_victims(at, job, limit) {
                best = Some((at, victims));
            }
        }
        let (at, victims) = best?;
        for task in victims {
            let victim = &self.pool.jobs[&task.job];
            self.subtract_usage(victim);
            let is_own = victim.group == job.group;
            self.stop(task, if is_own { StopReason::Preempted } else { StopReason::Reclaimed });
        }
        Some(at)
    }

    fn capacity_at(&self, at: usize) -> Amount {
        self.pool.workers[self.capacities.worker_id(at)].capacity
    }

    fn subtract_usage(&mut self, job: &Job) {
        for usages in [&mut self.used, &mut self.started] {
            if let Some(usage) = usages.get_mut(&job.group) {
                usage.take(job);
            }
        }
    }

    /// Returns fewer than `limit` tasks whose preemption makes room for a task of `job` on a
    /// worker, if there are: a single one that is large enough, or else several, the cheapest
    /// first.
    fn find_victims(&mut self, at: usize, job: &Job, limit: usize) -> Option<Vec<&'p TaskId>> {
        let tasks = self.preemptible_at(self.capacities.worker_id(at));
        let missing = self.capacities.shortage(at, job);
        let is_enough = |task: &&&'p TaskId| {
            let victim = &self.pool.jobs[&task.job];
            missing.fits(victim.size)
                && self.can_preempt(job, victim, self.started_usage(&victim.group))
        };
        let found = match tasks.iter().find(is_enough) {
            Some(task) => Some(vec![*task]),
            None => self.find_several_victims(&tasks, job, missing),
        };
        found.filter(|victims| victims.len() < limit)
    }

    fn find_several_victims(
        &self,
        tasks: &[&'p TaskId],
        job: &Job,
        mut missing: Amount,
    ) -> Option<Vec<&'p TaskId>> {
        let mut remaining: BTreeMap<&GroupName, Usage> = BTreeMap::new();
        let mut victims = Vec::new();
        for &task in tasks {
            let victim = &self.pool.jobs[&task.job];
            let usage =
                remaining.entry(&victim.group).or_insert_with(|| self.started_usage(&victim.group));
            if !self.can_preempt(job, victim, *usage) || !victim.size.overlaps(missing) {
                continue;
            }
            usage.take(victim);
            missing = missing.minus(victim.size);
            victims.push(task);
            if missing == Amount::default() {
                return Some(victims);
            }
        }
        None
    }

    fn started_usage(&self, group: &GroupName) -> Usage {
        self.started.get(group).copied().unwrap_or_default()
    }

    /// Returns whether a task of `victim`, whose group has `usage`, may be preempted for one of
    /// `job`.
    fn can_preempt(&self, job: &Job, victim: &Job, usage: Usage) -> bool {
        match victim.group == job.group {
            true => victim.class > job.class,
            false => self.is_above_share(victim, usage),
        }
    }

    /// Returns whether a group with `usage` is above its fair share with a task of `job`, and not
    /// below it without the task. Tasks that are less urgent don't count. The preempted task is
    /// then not within the fair share when it waits again.
    fn is_above_share(&self, job: &Job, usage: Usage) -> bool {
        let fair_share = self.fair_shares.get(&job.group).copied().unwrap_or_default();
        let with = usage.up_to(job.class);
        let without = with.minus(job.size);
        with.dominant_share(self.capacity) > fair_share + SHARE_TOLERANCE
            && without.dominant_share(self.capacity) + SHARE_TOLERANCE >= fair_share
    }

    /// Returns the tasks of a worker that may be preempted, the cheapest first.
    fn preemptible_at(&mut self, id: &'p HostId) -> Vec<&'p TaskId> {
        let pool = self.pool;
        let candidates = self.victim_candidates.get_or_insert_with(|| tasks_by_worker(pool));
        let tasks = candidates.get(id).cloned().unwrap_or_default();
        tasks.into_iter().filter(|task| !self.stopped.contains(task)).collect()
    }

    fn finish(self) -> Plan {
        self.plan
    }
}

/// Returns the tasks of each worker in the order of preemption: least urgent class first, then
/// those that can be checkpointed, then the latest placed.
fn tasks_by_worker(pool: &Pool) -> BTreeMap<&HostId, Vec<&TaskId>> {
    let mut tasks: BTreeMap<&HostId, Vec<&TaskId>> = BTreeMap::new();
    for (task, placed) in &pool.tasks {
        let is_needed = pool.jobs.get(&task.job).is_some_and(|job| task.number < job.tasks);
        if is_needed && !placed.is_stopping {
            tasks.entry(&placed.worker).or_default().push(task);
        }
    }
    for tasks in tasks.values_mut() {
        tasks.sort_by_key(|task| {
            let job = &pool.jobs[&task.job];
            let sequence = pool.tasks[*task].sequence;
            (std::cmp::Reverse(job.class), !job.has_checkpoint, std::cmp::Reverse(sequence))
        });
    }
    tasks
}
