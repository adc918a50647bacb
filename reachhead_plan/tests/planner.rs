//! Plans for random pools, applied and repeated, checked against simple rules.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::collections::{BTreeMap, BTreeSet};

use reachhead_plan::{
    amount::Amount,
    planner::plan,
    pool::{
        Action, Job, PendingReason, PlacedTask, Plan, Pool, Spread, StopMode, StopReason, TaskId,
        Worker,
    },
    share::{Shares, fair_shares},
};
use reachhead_property::properties;
use reachhead_types::{
    fleet::{Class, GroupRow},
    id::{GroupName, HostId, JobName},
    size::Weight,
    tree::{Overrides, Tree},
};

/// Number of plans within which an unchanged pool must converge.
const MAX_PLANS: usize = 20;

fn tree() -> Tree {
    let row = |parent: Option<&str>, weight: u32| GroupRow {
        parent: parent.map(|parent| parent.parse().unwrap()),
        settings: Overrides { weight: Some(Weight(weight)), ..Overrides::default() },
    };
    let rows = [
        ("top", row(None, 1)),
        ("red", row(Some("top"), 2)),
        ("blue", row(Some("top"), 1)),
        ("blue-1", row(Some("blue"), 1)),
    ];
    Tree::new(rows.into_iter().map(|(name, row)| (name.parse().unwrap(), row)).collect()).unwrap()
}

fn group(number: u8) -> GroupName {
    ["top", "red", "blue", "blue-1"][usize::from(number % 4)].parse().unwrap()
}

fn worker(number: u8) -> HostId {
    format!("w{}", number % 8).parse().unwrap()
}

fn job_name(number: u8) -> JobName {
    format!("j{}", number % 8).parse().unwrap()
}

fn new_worker(number: u8, size: u8, is_schedulable: bool) -> Worker {
    let (cores, accelerators) = (u64::from(size % 4) + 1, u64::from(size % 3 == 0) * 2);
    Worker {
        zone: format!("z{}", number % 2).parse().unwrap(),
        rack: format!("r{}", number % 4).parse().unwrap(),
        capacity: Amount::new(cores * 4000, cores * 8192, accelerators),
        is_schedulable,
        is_due: size % 5 == 0,
    }
}

fn new_job(one: u8, two: u8) -> Job {
    let cores = u64::from(two % 5) + 1;
    Job {
        group: group(one),
        class: Class::ALL[usize::from(two / 5) % 3],
        tasks: u32::from(one / 4) % 9,
        size: Amount::new(cores * 1000, u64::from(one % 7) * 1024, u64::from(two % 11 == 0)),
        spread: if one % 5 == 0 { Spread::Rack } else { Spread::Even },
        has_checkpoint: two % 2 == 0,
    }
}

/// A pool that changes and to which plans are applied.
struct SimulatedPool {
    pool: Pool,
    sequence: u64,
}

impl SimulatedPool {
    fn new() -> Self {
        let workers = (0..6).map(|number| (worker(number), new_worker(number, number, true)));
        Self { pool: Pool { workers: workers.collect(), ..Pool::default() }, sequence: 0 }
    }

    fn change(&mut self, (kind, one, two): (u8, u8, u8)) {
        match kind % 8 {
            0 => drop(self.pool.workers.insert(worker(one), new_worker(one, two, true))),
            1 => {
                if let Some(worker) = self.pool.workers.get_mut(&worker(one)) {
                    worker.is_schedulable = two % 2 == 0;
                }
            }
            2 => drop(self.pool.workers.remove(&worker(one))),
            // Many cancellations at once.
            3 => {
                for job in self.pool.jobs.values_mut() {
                    job.tasks = job.tasks.min(u32::from(two % 3));
                }
            }
            4 => {
                if let Some(job) = self.pool.jobs.get_mut(&job_name(one)) {
                    job.tasks = u32::from(two % 12);
                }
            }
            _ => {
                let name = job_name(one);
                // The size of a running job can't change.
                let size = self.pool.jobs.get(&name).map(|job| job.size);
                let mut job = new_job(one, two);
                job.size = size.unwrap_or(job.size);
                self.pool.jobs.insert(name, job);
            }
        }
    }

    /// Applies a plan; tasks that are being stopped end with the next plan.
    fn apply(&mut self, plan: &Plan) {
        self.pool.tasks.retain(|_, placed| !placed.is_stopping);
        for action in &plan.actions {
            match action {
                Action::Start { task, worker } => {
                    self.sequence += 1;
                    let placed = PlacedTask {
                        worker: worker.clone(),
                        sequence: self.sequence,
                        is_stopping: false,
                    };
                    self.pool.tasks.insert(task.clone(), placed);
                }
                Action::Stop { task, .. } => {
                    self.pool.tasks.get_mut(task).unwrap().is_stopping = true;
                }
            }
        }
    }

    fn capacity(&self) -> Amount {
        let workers = self.pool.workers.values();
        workers.fold(Amount::default(), |sum, worker| sum.plus(worker.capacity))
    }

    /// Returns the usage of each group by needed tasks that are not being stopped.
    fn used(&self) -> BTreeMap<GroupName, Amount> {
        let mut used: BTreeMap<GroupName, Amount> = BTreeMap::new();
        for (task, placed) in &self.pool.tasks {
            let Some(job) = self.pool.jobs.get(&task.job) else { continue };
            if !placed.is_stopping && task.number < job.tasks {
                let used = used.entry(job.group.clone()).or_default();
                *used = used.plus(job.size);
            }
        }
        used
    }

    /// Returns the usage of a group by tasks of `class` and of more urgent classes.
    fn used_up_to(&self, group: &GroupName, class: Class) -> Amount {
        let tasks = self.pool.tasks.iter().filter(|(_, placed)| !placed.is_stopping);
        let jobs = tasks.filter_map(|(task, _)| self.pool.jobs.get(&task.job));
        let own = jobs.filter(|job| job.group == *group && job.class <= class);
        own.fold(Amount::default(), |sum, job| sum.plus(job.size))
    }

    fn can_ever_run(&self, job: &Job) -> bool {
        self.pool.workers.values().any(|worker| job.size.fits(worker.capacity))
    }

    fn fair_shares(&self) -> Shares {
        let mut demands: BTreeMap<GroupName, Amount> = BTreeMap::new();
        for job in self.pool.jobs.values().filter(|job| self.can_ever_run(job)) {
            let demand = demands.entry(job.group.clone()).or_default();
            (0..job.tasks).for_each(|_| *demand = demand.plus(job.size));
        }
        let capacity = self.capacity();
        let demands =
            demands.into_iter().map(|(group, demand)| (group, demand.dominant_share(capacity)));
        fair_shares(&tree(), &demands.collect(), 1.0)
    }

    /// Returns the free capacity of a worker if `given_up` was released; tasks that are being
    /// stopped still use theirs.
    fn free(&self, id: &HostId, given_up: Amount) -> Amount {
        let tasks = self.pool.tasks.iter().filter(|(_, placed)| placed.worker == *id);
        let sizes = tasks.filter_map(|(task, _)| self.pool.jobs.get(&task.job)).map(|job| job.size);
        let used = sizes.fold(Amount::default(), Amount::plus);
        self.pool.workers[id].capacity.minus(used.minus(given_up))
    }

    fn satisfies_spread(&self, name: &JobName, id: &HostId) -> bool {
        let rack = &self.pool.workers[id].rack;
        self.pool.jobs[name].spread == Spread::Even
            || !self.pool.tasks.iter().any(|(task, placed)| {
                let at = self.pool.workers.get(&placed.worker);
                task.job == *name && at.is_some_and(|worker| worker.rack == *rack)
            })
    }

    /// Checks each action of a plan before the plan is applied.
    fn check(&self, plan: &Plan) -> Result<(), String> {
        let mut after = SimulatedPool { pool: self.pool.clone(), sequence: self.sequence };
        let shares = self.fair_shares();
        let mut seen = BTreeSet::new();
        for action in &plan.actions {
            match action {
                Action::Start { task, worker } => {
                    let Some(job) = self.pool.jobs.get(&task.job) else {
                        return Err(format!("{task:?} of no job"));
                    };
                    let is_needed = task.number < job.tasks && !after.pool.tasks.contains_key(task);
                    if !is_needed || !seen.insert(task) {
                        return Err(format!("{task:?} is started but not needed"));
                    }
                    if !self.pool.workers[worker].is_schedulable
                        || !job.size.fits(after.free(worker, Amount::default()))
                    {
                        return Err(format!("{task:?} does not fit on {worker}"));
                    }
                    if !after.satisfies_spread(&task.job, worker) {
                        return Err(format!("{task:?} violates its spread on {worker}"));
                    }
                    let placed =
                        PlacedTask { worker: worker.clone(), sequence: 0, is_stopping: false };
                    after.pool.tasks.insert(task.clone(), placed);
                }
                Action::Stop { task, reason, mode } => {
                    if self.pool.tasks[task].is_stopping || !seen.insert(task) {
                        return Err(format!("{task:?} is stopped twice"));
                    }
                    let job = self.pool.jobs.get(&task.job);
                    let keeps = job.is_some_and(|job| job.has_checkpoint);
                    let is_needed = matches!(reason, StopReason::Reclaimed | StopReason::Preempted);
                    if is_needed && keeps != (*mode == StopMode::Checkpoint) {
                        return Err(format!("{task:?} is stopped by {mode:?}"));
                    }
                    after.pool.tasks.get_mut(task).unwrap().is_stopping = true;
                }
            }
        }
        let reclaimed = plan.actions.iter().filter_map(|action| match action {
            Action::Stop { task, reason: StopReason::Reclaimed, .. } => Some(&task.job),
            _ => None,
        });
        let mut used = after.used();
        // Capacity that a group gives up for its own urgent tasks still counts for it.
        for action in &plan.actions {
            if let Action::Stop { task, reason: StopReason::Preempted, .. } = action {
                let job = &self.pool.jobs[&task.job];
                let used = used.entry(job.group.clone()).or_default();
                *used = used.plus(job.size);
            }
        }
        for job in reclaimed {
            let group = &self.pool.jobs[job].group;
            let left = used.get(group).copied().unwrap_or_default().dominant_share(self.capacity());
            let share = shares.get(group).copied().unwrap_or_default();
            if left + 1e-6 < share {
                return Err(format!("{group} is left {left} of its fair share {share}"));
            }
        }
        Ok(())
    }

    /// Checks a converged pool: no pending task could be placed.
    fn check_converged(&self, plan: &Plan) -> Result<(), String> {
        let (shares, capacity) = (self.fair_shares(), self.capacity());
        for (name, job) in &self.pool.jobs {
            let is_waiting = (0..job.tasks)
                .any(|number| !self.pool.tasks.contains_key(&TaskId { job: name.clone(), number }));
            if !is_waiting {
                continue;
            }
            let Some(reason) = plan.pending_reasons.get(name) else {
                return Err(format!("no reason why {name} is pending"));
            };
            if self.can_ever_run(job) == matches!(reason, PendingReason::TooLarge { .. }) {
                return Err(format!("{name} is pending for the wrong reason {reason:?}"));
            }
            let open = self.pool.workers.iter().filter(|(_, worker)| worker.is_schedulable);
            for (id, _) in open {
                if !self.satisfies_spread(name, id) {
                    continue;
                }
                if job.size.fits(self.free(id, Amount::default())) {
                    return Err(format!("{name} is pending but fits on {id}"));
                }
                let own = self.used_up_to(&job.group, job.class).plus(job.size);
                let own_share = shares.get(&job.group).copied().unwrap_or_default();
                if own.dominant_share(capacity) > own_share + 1e-9 {
                    continue;
                }
                // Preempting a single task above the fair share of its group must not be enough.
                for (task, placed) in &self.pool.tasks {
                    let Some(other) = self.pool.jobs.get(&task.job) else { continue };
                    if other.group == job.group && other.class <= job.class {
                        continue;
                    }
                    let left = self.used_up_to(&other.group, other.class);
                    let left = left.minus(other.size).dominant_share(capacity);
                    let keeps =
                        left + 1e-6 >= shares.get(&other.group).copied().unwrap_or_default();
                    let fits = job.size.fits(self.free(id, other.size));
                    if placed.worker == *id
                        && keeps
                        && fits
                        && left > 1e-6 + shares.get(&other.group).copied().unwrap_or_default()
                    {
                        return Err(format!("{name} should preempt {task:?} on {id}"));
                    }
                }
            }
        }
        Ok(())
    }
}

properties! {
    fn plans_keep_the_rules_and_come_to_rest(changes: Vec<Vec<(u8, u8, u8)>>) -> bool {
        let mut simulated = SimulatedPool::new();
        let tree = tree();
        for changes in changes.into_iter().take(8) {
            for change in changes.into_iter().take(12) {
                simulated.change(change);
            }
            let mut has_converged = false;
            for _ in 0..MAX_PLANS {
                let next = plan(&simulated.pool, &tree);
                if let Err(violation) = simulated.check(&next) {
                    eprintln!("invalid plan: {violation}");
                    return false;
                }
                let was_stopping = simulated.pool.tasks.values().any(|placed| placed.is_stopping);
                simulated.apply(&next);
                if next.actions.is_empty() && !was_stopping {
                    if let Err(violation) = simulated.check_converged(&next) {
                        eprintln!("converged pool: {violation}");
                        return false;
                    }
                    has_converged = true;
                    break;
                }
            }
            if !has_converged {
                eprintln!("no convergence");
                return false;
            }
        }
        true
    }
}

#[test]
fn a_job_that_is_too_large_for_the_pool_is_pending_with_the_reason() {
    let mut simulated = SimulatedPool::new();
    let mut job = new_job(4, 0);
    (job.tasks, job.size) = (1, Amount::new(64_000, 1024, 0));
    simulated.pool.jobs.insert(job_name(0), job);
    let plan = plan(&simulated.pool, &tree());
    assert!(plan.actions.is_empty());
    let text = plan.pending_reasons[&job_name(0)].to_string();
    assert!(text.contains("asks 64 cores") && text.contains("has 16 cores"), "{text}");
}

#[test]
fn urgent_and_normal_tasks_preempt_batch_tasks_of_their_group() {
    let mut simulated = SimulatedPool::new();
    let of = |class, tasks| Job {
        group: group(1),
        class,
        tasks,
        size: Amount::new(1000, 256, 0),
        spread: Spread::Even,
        has_checkpoint: false,
    };
    simulated.pool.jobs.insert(job_name(0), of(Class::Batch, 1000));
    simulated.apply(&plan(&simulated.pool, &tree()));
    simulated.pool.jobs.insert(job_name(1), of(Class::Urgent, 3));
    simulated.pool.jobs.insert(job_name(2), of(Class::Normal, 3));
    let next = plan(&simulated.pool, &tree());
    let preempted = next.actions.iter().filter(|action| {
        matches!(
            action,
            Action::Stop { reason: StopReason::Preempted, mode: StopMode::Immediate, .. }
        )
    });
    assert_eq!(preempted.count(), 6, "each more urgent task preempts one");
}

#[test]
fn urgent_tasks_within_their_fair_share_reclaim_capacity_in_the_next_plan() {
    let mut simulated = SimulatedPool::new();
    let full = |group: &str, class, tasks| Job {
        group: group.parse().unwrap(),
        class,
        tasks,
        size: Amount::new(1000, 256, 0),
        spread: Spread::Even,
        has_checkpoint: true,
    };
    simulated.pool.jobs.insert(job_name(0), full("blue", Class::Batch, 1000));
    let first = plan(&simulated.pool, &tree());
    simulated.apply(&first);
    let running = simulated.pool.tasks.len();
    simulated.pool.jobs.insert(job_name(1), full("red", Class::Urgent, 5));
    let second = plan(&simulated.pool, &tree());
    let checkpoints = second.actions.iter().filter(|action| {
        matches!(
            action,
            Action::Stop { mode: StopMode::Checkpoint, reason: StopReason::Reclaimed, .. }
        )
    });
    assert_eq!(checkpoints.count(), 5, "exactly as many as needed of {running}");
    simulated.apply(&second);
    simulated.apply(&plan(&simulated.pool, &tree()));
    simulated.apply(&plan(&simulated.pool, &tree()));
    let urgent = simulated.pool.tasks.keys().filter(|task| task.job == job_name(1)).count();
    assert_eq!(urgent, 5);
}
