//! Plans for random pools, carried out and made again, against rules that are checked naively.

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

/// Plans within which a pool that nobody changes must come to rest.
const REST_LIMIT: usize = 20;

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

/// A pool that changes, and whose plans are carried out.
struct World {
    pool: Pool,
    sequence: u64,
}

impl World {
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
            // A burst of cancellations.
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
                // The size of a running job stays: another size is another job.
                let size = self.pool.jobs.get(&name).map(|job| job.size);
                let mut job = new_job(one, two);
                job.size = size.unwrap_or(job.size);
                self.pool.jobs.insert(name, job);
            }
        }
    }

    /// Carries a plan out; what is stopping lasts until the next plan.
    fn carry_out(&mut self, plan: &Plan) {
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

    /// Returns what the wanted tasks of each group that are not stopping have.
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

    /// Returns what a group's tasks of `class` and of more urgent ones have.
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
        let mut asked: BTreeMap<GroupName, Amount> = BTreeMap::new();
        for job in self.pool.jobs.values().filter(|job| self.can_ever_run(job)) {
            let asked = asked.entry(job.group.clone()).or_default();
            (0..job.tasks).for_each(|_| *asked = asked.plus(job.size));
        }
        let capacity = self.capacity();
        let demands =
            asked.into_iter().map(|(group, asked)| (group, asked.dominant_share(capacity)));
        fair_shares(&tree(), &demands.collect(), 1.0)
    }

    /// Returns what is free on a worker without `given_up`; what is stopping still has its room.
    fn free(&self, id: &HostId, given_up: Amount) -> Amount {
        let tasks = self.pool.tasks.iter().filter(|(_, placed)| placed.worker == *id);
        let sizes = tasks.filter_map(|(task, _)| self.pool.jobs.get(&task.job)).map(|job| job.size);
        let used = sizes.fold(Amount::default(), Amount::plus);
        self.pool.workers[id].capacity.minus(used.minus(given_up))
    }

    fn is_apart(&self, name: &JobName, id: &HostId) -> bool {
        let rack = &self.pool.workers[id].rack;
        self.pool.jobs[name].spread == Spread::Even
            || !self.pool.tasks.iter().any(|(task, placed)| {
                let at = self.pool.workers.get(&placed.worker);
                task.job == *name && at.is_some_and(|worker| worker.rack == *rack)
            })
    }

    /// Checks a plan before it is carried out, by rules that look at one action at a time.
    fn check(&self, plan: &Plan) -> Result<(), String> {
        let mut after = World { pool: self.pool.clone(), sequence: self.sequence };
        let owed = self.fair_shares();
        let mut seen = BTreeSet::new();
        for action in &plan.actions {
            match action {
                Action::Start { task, worker } => {
                    let Some(job) = self.pool.jobs.get(&task.job) else {
                        return Err(format!("{task:?} of no job"));
                    };
                    let is_wanted = task.number < job.tasks && !after.pool.tasks.contains_key(task);
                    if !is_wanted || !seen.insert(task) {
                        return Err(format!("{task:?} is started without need"));
                    }
                    if !self.pool.workers[worker].is_schedulable
                        || !job.size.fits(after.free(worker, Amount::default()))
                    {
                        return Err(format!("{task:?} does not fit on {worker}"));
                    }
                    if !after.is_apart(&task.job, worker) {
                        return Err(format!("{task:?} is not apart on {worker}"));
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
                    let is_wanted = matches!(reason, StopReason::Reclaimed | StopReason::Preempted);
                    if is_wanted && keeps != (*mode == StopMode::Checkpoint) {
                        return Err(format!("{task:?} ends by {mode:?}"));
                    }
                    after.pool.tasks.get_mut(task).unwrap().is_stopping = true;
                }
            }
        }
        let called_back = plan.actions.iter().filter_map(|action| match action {
            Action::Stop { task, reason: StopReason::Reclaimed, .. } => Some(&task.job),
            _ => None,
        });
        let mut used = after.used();
        // What a group gives up for its own urgent work is still its own.
        for action in &plan.actions {
            if let Action::Stop { task, reason: StopReason::Preempted, .. } = action {
                let job = &self.pool.jobs[&task.job];
                let used = used.entry(job.group.clone()).or_default();
                *used = used.plus(job.size);
            }
        }
        for job in called_back {
            let group = &self.pool.jobs[job].group;
            let left = used.get(group).copied().unwrap_or_default().dominant_share(self.capacity());
            let owed = owed.get(group).copied().unwrap_or_default();
            if left + 1e-6 < owed {
                return Err(format!("{group} is left {left} of the {owed} that it is owed"));
            }
        }
        Ok(())
    }

    /// Checks a pool at rest: nothing that waits could have a place.
    fn check_rest(&self, plan: &Plan) -> Result<(), String> {
        let (owed, capacity) = (self.fair_shares(), self.capacity());
        for (name, job) in &self.pool.jobs {
            let is_waiting = (0..job.tasks)
                .any(|number| !self.pool.tasks.contains_key(&TaskId { job: name.clone(), number }));
            if !is_waiting {
                continue;
            }
            let Some(hindrance) = plan.pending_reasons.get(name) else {
                return Err(format!("nobody says why {name} waits"));
            };
            if self.can_ever_run(job) == matches!(hindrance, PendingReason::TooLarge { .. }) {
                return Err(format!("{name} is said to wait by {hindrance:?}"));
            }
            let open = self.pool.workers.iter().filter(|(_, worker)| worker.is_schedulable);
            for (id, _) in open {
                if !self.is_apart(name, id) {
                    continue;
                }
                if job.size.fits(self.free(id, Amount::default())) {
                    return Err(format!("{name} waits and fits on {id}"));
                }
                let own = self.used_up_to(&job.group, job.class).plus(job.size);
                let own_owed = owed.get(&job.group).copied().unwrap_or_default();
                if own.dominant_share(capacity) > own_owed + 1e-9 {
                    continue;
                }
                // One task on lent room would be enough to call back.
                for (task, placed) in &self.pool.tasks {
                    let Some(other) = self.pool.jobs.get(&task.job) else { continue };
                    if other.group == job.group && other.class <= job.class {
                        continue;
                    }
                    let left = self.used_up_to(&other.group, other.class);
                    let left = left.minus(other.size).dominant_share(capacity);
                    let keeps = left + 1e-6 >= owed.get(&other.group).copied().unwrap_or_default();
                    let fits = job.size.fits(self.free(id, other.size));
                    if placed.worker == *id
                        && keeps
                        && fits
                        && left > 1e-6 + owed.get(&other.group).copied().unwrap_or_default()
                    {
                        return Err(format!("{name} is owed the room that {task:?} has on {id}"));
                    }
                }
            }
        }
        Ok(())
    }
}

properties! {
    fn plans_keep_the_rules_and_come_to_rest(changes: Vec<Vec<(u8, u8, u8)>>) -> bool {
        let mut world = World::new();
        let tree = tree();
        for changes in changes.into_iter().take(8) {
            for change in changes.into_iter().take(12) {
                world.change(change);
            }
            let mut is_at_rest = false;
            for _ in 0..REST_LIMIT {
                let next = plan(&world.pool, &tree);
                if let Err(wrong) = world.check(&next) {
                    eprintln!("wrong: {wrong}");
                    return false;
                }
                let was_stopping = world.pool.tasks.values().any(|placed| placed.is_stopping);
                world.carry_out(&next);
                if next.actions.is_empty() && !was_stopping {
                    if let Err(wrong) = world.check_rest(&next) {
                        eprintln!("at rest: {wrong}");
                        return false;
                    }
                    is_at_rest = true;
                    break;
                }
            }
            if !is_at_rest {
                eprintln!("no rest");
                return false;
            }
        }
        true
    }
}

#[test]
fn a_job_that_can_never_run_is_told_so_with_the_reason() {
    let mut world = World::new();
    let mut job = new_job(4, 0);
    (job.tasks, job.size) = (1, Amount::new(64_000, 1024, 0));
    world.pool.jobs.insert(job_name(0), job);
    let plan = plan(&world.pool, &tree());
    assert!(plan.actions.is_empty());
    let text = plan.pending_reasons[&job_name(0)].to_string();
    assert!(text.contains("asks 64 cores") && text.contains("has 16 cores"), "{text}");
}

#[test]
fn urgent_and_normal_work_take_the_room_of_their_own_groups_batch_work() {
    let mut world = World::new();
    let of = |class, tasks| Job {
        group: group(1),
        class,
        tasks,
        size: Amount::new(1000, 256, 0),
        spread: Spread::Even,
        has_checkpoint: false,
    };
    world.pool.jobs.insert(job_name(0), of(Class::Batch, 1000));
    world.carry_out(&plan(&world.pool, &tree()));
    world.pool.jobs.insert(job_name(1), of(Class::Urgent, 3));
    world.pool.jobs.insert(job_name(2), of(Class::Normal, 3));
    let next = plan(&world.pool, &tree());
    let yielded = next.actions.iter().filter(|action| {
        matches!(
            action,
            Action::Stop { reason: StopReason::Preempted, mode: StopMode::Immediate, .. }
        )
    });
    assert_eq!(yielded.count(), 6, "each task that is more urgent takes the room of one");
}

#[test]
fn urgent_work_that_is_owed_gets_lent_room_back_in_the_next_plan() {
    let mut world = World::new();
    let full = |group: &str, class, tasks| Job {
        group: group.parse().unwrap(),
        class,
        tasks,
        size: Amount::new(1000, 256, 0),
        spread: Spread::Even,
        has_checkpoint: true,
    };
    world.pool.jobs.insert(job_name(0), full("blue", Class::Batch, 1000));
    let first = plan(&world.pool, &tree());
    world.carry_out(&first);
    let lent = world.pool.tasks.len();
    world.pool.jobs.insert(job_name(1), full("red", Class::Urgent, 5));
    let second = plan(&world.pool, &tree());
    let checkpoints = second.actions.iter().filter(|action| {
        matches!(
            action,
            Action::Stop { mode: StopMode::Checkpoint, reason: StopReason::Reclaimed, .. }
        )
    });
    assert_eq!(checkpoints.count(), 5, "as many as are needed and no more, of {lent}");
    world.carry_out(&second);
    world.carry_out(&plan(&world.pool, &tree()));
    world.carry_out(&plan(&world.pool, &tree()));
    let urgent = world.pool.tasks.keys().filter(|task| task.job == job_name(1)).count();
    assert_eq!(urgent, 5);
}
