//! Who runs where: a plan for one pool, from its state alone.
//!
//! Groups take turns, the one that has least of what it is owed first, its most urgent job first. What
//! is left is lent. A group that is owed room which is lent calls it back, but never so much that the
//! borrower falls below what it is owed itself, so no two groups take from each other in turn.

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

/// Room for rounding when shares are compared, in parts of a pool.
const ROUNDING: f64 = 1e-9;

/// Returns the plan for `pool` by the weights of `tree`.
pub fn plan(pool: &Pool, tree: &Tree) -> Plan {
    let mut planner = Planner::new(pool, tree);
    planner.stop_unwanted();
    planner.place();
    planner.finish()
}

/// A plan in the making.
struct Planner<'p> {
    pool: &'p Pool,
    rooms: WorkerCapacities<'p>,
    /// All that the pool's workers have, those that take nothing for now included: nobody is owed less
    /// because a wave is under way.
    capacity: Amount,
    /// What each group has by class, with what this plan gives it now or later.
    used: BTreeMap<&'p GroupName, Usage>,
    /// What each group has by class, with what this plan gives it now alone.
    firm: BTreeMap<&'p GroupName, Usage>,
    owed: Shares,
    pending: BTreeMap<&'p GroupName, Vec<Pending<'p>>>,
    /// Tasks that were told to stop, by this plan or an earlier one.
    stopped: BTreeSet<&'p TaskId>,
    /// Tasks on lent room that may be called back, by worker.
    lent: Option<BTreeMap<&'p HostId, Vec<&'p TaskId>>>,
    plan: Plan,
}

/// What a group has, by the class of its work.
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

    /// Returns what work of `class` and more urgent work has.
    fn up_to(self, class: Class) -> Amount {
        self.0[..=class as usize].iter().fold(Amount::default(), |sum, amount| sum.plus(*amount))
    }

    fn all(self) -> Amount {
        self.up_to(Class::Batch)
    }
}

/// Whose turn it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Turn {
    /// Tasks that are within what their groups are owed.
    Owed,
    /// All others.
    Lent,
}

/// A job that is next, by its group and its place among the group's.
struct Next<'p> {
    group: &'p GroupName,
    index: usize,
}

/// How soon a job's turn comes.
struct Rank<'p> {
    is_calm: bool,
    ratio: f64,
    next: Next<'p>,
}

impl Rank<'_> {
    fn is_before(&self, other: &Self) -> bool {
        match self.is_calm.cmp(&other.is_calm) {
            Ordering::Equal => self.ratio < other.ratio,
            order => order.is_lt(),
        }
    }
}

/// The tasks of a job that have no place.
struct Pending<'p> {
    name: &'p JobName,
    job: &'p Job,
    /// Their numbers, the next one last.
    numbers: Vec<u32>,
}

impl<'p> Planner<'p> {
    fn new(pool: &'p Pool, tree: &Tree) -> Self {
        let capacity =
            pool.workers.values().fold(Amount::default(), |sum, worker| sum.plus(worker.capacity));
        let mut planner = Self {
            pool,
            rooms: WorkerCapacities::new(pool),
            capacity,
            used: BTreeMap::new(),
            firm: BTreeMap::new(),
            owed: Shares::new(),
            pending: BTreeMap::new(),
            stopped: BTreeSet::new(),
            lent: None,
            plan: Plan::default(),
        };
        planner.count_used();
        planner.find_pending();
        planner.owed = share::fair_shares(tree, &planner.demands(), 1.0);
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
        self.firm = self.used.clone();
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
                let hindrance = PendingReason::TooLarge { requested: job.size, largest };
                self.plan.pending_reasons.insert(name.clone(), hindrance);
                continue;
            }
            let has_place = |number: &u32| {
                let id = TaskId { job: name.clone(), number: *number };
                self.pool.tasks.contains_key(&id)
            };
            let numbers: Vec<u32> = (0..job.tasks).rev().filter(|n| !has_place(n)).collect();
            if !numbers.is_empty() {
                let pending = Pending { name, job, numbers };
                self.pending.entry(&job.group).or_default().push(pending);
            }
        }
        for jobs in self.pending.values_mut() {
            // The most urgent last, where it is taken from.
            jobs.sort_by_key(|pending| std::cmp::Reverse(pending.job.class));
        }
    }

    /// Returns what each group asks for, in parts of the pool. Where its tasks are does not matter, so
    /// nobody is owed more or less because of a plan.
    fn demands(&self) -> Shares {
        let mut asked: BTreeMap<&GroupName, Amount> = BTreeMap::new();
        for (name, job) in &self.pool.jobs {
            if self.plan.pending_reasons.contains_key(name) {
                continue;
            }
            let asked = asked.entry(&job.group).or_default();
            *asked = asked.plus(job.size.times(job.tasks));
        }
        let part = |(group, amount): (&&GroupName, &Amount)| {
            ((*group).clone(), amount.dominant_share(self.capacity))
        };
        asked.iter().map(part).collect()
    }

    /// Stops what nobody wants and what has lost its worker.
    fn stop_unwanted(&mut self) {
        for (task, placed) in &self.pool.tasks {
            if placed.is_stopping {
                continue;
            }
            let is_wanted =
                self.pool.jobs.get(&task.job).is_some_and(|job| task.number < job.tasks);
            if !is_wanted {
                self.stop(task, StopReason::Cancelled);
            } else if !self.pool.workers.contains_key(&placed.worker) {
                self.stop(task, StopReason::WorkerRemoved);
                if let Some(job) = self.pool.jobs.get(&task.job) {
                    self.take_off(job);
                }
            }
        }
    }

    fn stop(&mut self, task: &'p TaskId, reason: StopReason) {
        let job = self.pool.jobs.get(&task.job);
        if let Some(job) = job {
            let worker = &self.pool.tasks[task].worker;
            self.rooms.release(worker, job.size);
        }
        // Where the work is wanted again later, what was done should not be lost.
        let is_wanted = matches!(reason, StopReason::Reclaimed | StopReason::Preempted);
        let keeps = is_wanted && job.is_some_and(|job| job.has_checkpoint);
        let mode = if keeps { StopMode::Checkpoint } else { StopMode::Immediate };
        self.stopped.insert(task);
        self.plan.actions.push(Action::Stop { task: task.clone(), reason, mode });
    }

    /// Gives every group what it is owed first, and lends what is left then: room that was called back
    /// for one group must not be lent to another before it gets there.
    fn place(&mut self) {
        for turn in [Turn::Owed, Turn::Lent] {
            while let Some(next) = self.next_task(turn) {
                self.place_next(next);
            }
        }
    }

    /// Returns the next job in `turn`: of the group that has least of what it is owed, urgent work that
    /// is owed before all other.
    fn next_task(&self, turn: Turn) -> Option<Next<'p>> {
        let mut best: Option<Rank<'p>> = None;
        for (&group, jobs) in &self.pending {
            let is_next = |pending: &Pending<'p>| turn == Turn::Lent || self.is_owed(pending.job);
            let Some(index) = jobs.iter().rposition(is_next) else {
                continue;
            };
            let rank = Rank {
                is_calm: turn == Turn::Lent || jobs[index].job.class != Class::Urgent,
                ratio: self.ratio(group),
                next: Next { group, index },
            };
            if best.as_ref().is_none_or(|best| rank.is_before(best)) {
                best = Some(rank);
            }
        }
        best.map(|rank| rank.next)
    }

    /// Returns what a group has, measured by what it is owed.
    fn ratio(&self, group: &GroupName) -> f64 {
        let part =
            self.used.get(group).map_or(0.0, |used| used.all().dominant_share(self.capacity));
        let owed = self.owed.get(group).copied().unwrap_or_default();
        part / owed.max(ROUNDING)
    }

    fn place_next(&mut self, next: Next<'p>) {
        let Next { group, index } = next;
        let Some(Pending { name, job, .. }) = self.pending_at(&next) else {
            return;
        };
        let (name, job) = (*name, *job);
        let spot = self
            .rooms
            .best_placement(name, job)
            .or_else(|hindrance| self.call_back(name, job).map(Placement::Later).ok_or(hindrance));
        let spot = match spot {
            Ok(spot) => spot,
            Err(hindrance) => {
                // The rest of the job needs the same room.
                self.plan.pending_reasons.insert(name.clone(), hindrance);
                self.drop_job(group, index);
                return;
            }
        };
        self.rooms.take(spot, name, job);
        self.used.entry(group).or_default().add(job);
        let Some(pending) = self.pending_at(&next) else {
            return;
        };
        let number = pending.numbers.pop();
        if pending.numbers.is_empty() {
            self.drop_job(group, index);
        }
        if let (Placement::Now(at), Some(number)) = (spot, number) {
            self.firm.entry(group).or_default().add(job);
            let task = TaskId { job: name.clone(), number };
            let worker = self.rooms.worker_id(at).clone();
            self.plan.actions.push(Action::Start { task, worker });
        }
    }

    fn pending_at(&mut self, next: &Next<'p>) -> Option<&mut Pending<'p>> {
        self.pending.get_mut(next.group)?.get_mut(next.index)
    }

    fn drop_job(&mut self, group: &GroupName, index: usize) {
        if let Some(jobs) = self.pending.get_mut(group) {
            jobs.remove(index);
            if jobs.is_empty() {
                self.pending.remove(group);
            }
        }
    }

    /// Tells whether a further task of `job` is within what its group is owed. What less urgent work
    /// has does not count: it gives way to what is more urgent.
    fn is_owed(&self, job: &Job) -> bool {
        let used = self.used.get(&job.group).copied().unwrap_or_default();
        let owed = self.owed.get(&job.group).copied().unwrap_or_default();
        used.up_to(job.class).plus(job.size).dominant_share(self.capacity) <= owed + ROUNDING
    }

    /// Makes room for a task of `job` on the worker where that displaces least, and returns it.
    fn call_back(&mut self, name: &'p JobName, job: &'p Job) -> Option<usize> {
        if !self.is_owed(job) {
            return None;
        }
        let mut best: Option<(usize, Vec<&'p TaskId>)> = None;
        let open: Vec<usize> = self.rooms.schedulable().collect();
        for at in open {
            if !self.rooms.satisfies_spread(at, name, job) || !job.size.fits(self.capacity_at(at)) {
                continue;
            }
            let limit = best.as_ref().map_or(usize::MAX, |(_, victims)| victims.len());
            if let Some(victims) = self.victims(at, job, limit) {
                best = Some((at, victims));
            }
        }
        let (at, victims) = best?;
        for task in victims {
            let victim = &self.pool.jobs[&task.job];
            self.take_off(victim);
            let is_own = victim.group == job.group;
            self.stop(task, if is_own { StopReason::Preempted } else { StopReason::Reclaimed });
        }
        Some(at)
    }

    fn capacity_at(&self, at: usize) -> Amount {
        self.pool.workers[self.rooms.worker_id(at)].capacity
    }

    fn take_off(&mut self, job: &Job) {
        for usages in [&mut self.used, &mut self.firm] {
            if let Some(usage) = usages.get_mut(&job.group) {
                usage.take(job);
            }
        }
    }

    /// Returns fewer than `limit` tasks that make room at a worker, if there are: one that is enough by
    /// itself, or several, those that lose least first.
    fn victims(&mut self, at: usize, job: &Job, limit: usize) -> Option<Vec<&'p TaskId>> {
        let tasks = self.lent_at(self.rooms.worker_id(at));
        let missing = self.rooms.shortage(at, job);
        let is_enough = |task: &&&'p TaskId| {
            let victim = &self.pool.jobs[&task.job];
            missing.fits(victim.size) && self.may_go(job, victim, self.firm_of(&victim.group))
        };
        let found = match tasks.iter().find(is_enough) {
            Some(task) => Some(vec![*task]),
            None => self.several_victims(&tasks, job, missing),
        };
        found.filter(|victims| victims.len() < limit)
    }

    fn several_victims(
        &self,
        tasks: &[&'p TaskId],
        job: &Job,
        mut missing: Amount,
    ) -> Option<Vec<&'p TaskId>> {
        let mut left: BTreeMap<&GroupName, Usage> = BTreeMap::new();
        let mut victims = Vec::new();
        for &task in tasks {
            let victim = &self.pool.jobs[&task.job];
            let usage = left.entry(&victim.group).or_insert_with(|| self.firm_of(&victim.group));
            if !self.may_go(job, victim, *usage) || !victim.size.overlaps(missing) {
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

    fn firm_of(&self, group: &GroupName) -> Usage {
        self.firm.get(group).copied().unwrap_or_default()
    }

    /// Tells whether a task of `victim`, whose group has `usage`, may be stopped for one of `job`.
    fn may_go(&self, job: &Job, victim: &Job, usage: Usage) -> bool {
        match victim.group == job.group {
            true => victim.class > job.class,
            false => self.is_lent(victim, usage),
        }
    }

    /// Tells whether a group with `usage` has more than it is owed with a task of `job`, and no less
    /// without it; work that is less urgent than the task does not count. So it is not owed when it
    /// waits again.
    fn is_lent(&self, job: &Job, usage: Usage) -> bool {
        let owed = self.owed.get(&job.group).copied().unwrap_or_default();
        let with = usage.up_to(job.class);
        let without = with.minus(job.size);
        with.dominant_share(self.capacity) > owed + ROUNDING
            && without.dominant_share(self.capacity) + ROUNDING >= owed
    }

    /// Returns the tasks of a worker that could be called back, those that lose least first.
    fn lent_at(&mut self, id: &'p HostId) -> Vec<&'p TaskId> {
        let pool = self.pool;
        let lent = self.lent.get_or_insert_with(|| by_worker(pool));
        let tasks = lent.get(id).cloned().unwrap_or_default();
        tasks.into_iter().filter(|task| !self.stopped.contains(task)).collect()
    }

    fn finish(self) -> Plan {
        self.plan
    }
}

/// Returns the tasks of each worker: batch work first, what can be checkpointed first, the youngest
/// first.
fn by_worker(pool: &Pool) -> BTreeMap<&HostId, Vec<&TaskId>> {
    let mut tasks: BTreeMap<&HostId, Vec<&TaskId>> = BTreeMap::new();
    for (task, placed) in &pool.tasks {
        let is_wanted = pool.jobs.get(&task.job).is_some_and(|job| task.number < job.tasks);
        if is_wanted && !placed.is_stopping {
            tasks.entry(&placed.worker).or_default().push(task);
        }
    }
    for tasks in tasks.values_mut() {
        tasks.sort_by_key(|task| {
            let job = &pool.jobs[&task.job];
            let order = pool.tasks[*task].sequence;
            (std::cmp::Reverse(job.class), !job.has_checkpoint, std::cmp::Reverse(order))
        });
    }
    tasks
}
