//! The free capacity of the workers of a pool while a plan is made.

use std::collections::BTreeMap;

use reachhead_types::id::{HostId, JobName, RackName};

use crate::{
    amount::Amount,
    pool::{Job, PendingReason, Pool, Spread, Worker},
};

/// The workers of a pool with the capacity that is used and free on each.
pub struct WorkerCapacities<'p> {
    workers: Vec<WorkerUsage<'p>>,
    index: BTreeMap<&'p HostId, usize>,
    /// Number of tasks of each job by rack. Racks are numbered, since the rack of every worker is
    /// looked up for every task.
    rack_counts: BTreeMap<&'p JobName, Vec<u32>>,
    rack_count: usize,
}

/// A worker with the resources that tasks use there.
struct WorkerUsage<'p> {
    id: &'p HostId,
    worker: &'p Worker,
    rack: usize,
    /// Resources that placed tasks use; more than the capacity if the worker has shrunk.
    used: Amount,
    /// Resources in use once all tasks that are being stopped have stopped.
    used_later: Amount,
}

impl WorkerUsage<'_> {
    fn free(&self) -> Amount {
        self.worker.capacity.minus(self.used)
    }

    fn free_later(&self) -> Amount {
        self.worker.capacity.minus(self.used_later)
    }
}

/// The index of the worker on which a task can be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// The worker has enough free capacity now.
    Now(usize),
    /// The worker will have enough free capacity once tasks that are being stopped have stopped.
    Later(usize),
}

impl<'p> WorkerCapacities<'p> {
    /// Returns the capacities of the workers of `pool`.
    pub fn new(pool: &'p Pool) -> Self {
        let mut workers = Vec::with_capacity(pool.workers.len());
        let mut index = BTreeMap::new();
        let mut numbers: BTreeMap<&RackName, usize> = BTreeMap::new();
        for (id, worker) in &pool.workers {
            index.insert(id, workers.len());
            let (used, used_later) = (Amount::default(), Amount::default());
            let next = numbers.len();
            let rack = *numbers.entry(&worker.rack).or_insert(next);
            workers.push(WorkerUsage { id, worker, rack, used, used_later });
        }
        let mut all =
            Self { workers, index, rack_counts: BTreeMap::new(), rack_count: numbers.len() };
        for (task, placed) in &pool.tasks {
            let Some(job) = pool.jobs.get(&task.job) else { continue };
            let Some(&at) = all.index.get(&placed.worker) else { continue };
            let usage = &mut all.workers[at];
            usage.used = usage.used.plus(job.size);
            if !placed.is_stopping {
                usage.used_later = usage.used_later.plus(job.size);
            }
            // A task that is being stopped counts for its rack until it has stopped.
            let rack = usage.rack;
            all.count_rack(&task.job, rack);
        }
        all
    }

    /// Returns the identifier of the worker at an index.
    pub fn worker_id(&self, at: usize) -> &'p HostId {
        self.workers[at].id
    }

    /// Returns the indices of the workers that accept new tasks.
    pub fn schedulable(&self) -> impl Iterator<Item = usize> {
        (0..self.workers.len()).filter(|&at| self.workers[at].worker.is_schedulable)
    }

    /// Returns the index of a worker.
    pub fn find(&self, id: &HostId) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Returns the resources that a worker lacks for a task of `job`; zero if the task will fit
    /// once tasks that are being stopped have stopped.
    pub fn shortage(&self, at: usize, job: &Job) -> Amount {
        let usage = &self.workers[at];
        // A worker that has shrunk may be short of resources that this job does not use.
        usage.used_later.plus(job.size).minus(usage.worker.capacity).masked_by(job.size)
    }

    /// Returns whether the spread of a job permits another task of it on a worker.
    pub fn satisfies_spread(&self, at: usize, name: &JobName, job: &Job) -> bool {
        let counts = self.rack_counts.get(name).map(Vec::as_slice).unwrap_or_default();
        job.spread == Spread::Even || self.in_rack(at, counts) == 0
    }

    /// Returns how many tasks are in the rack of a worker, by the rack counts of their job.
    fn in_rack(&self, at: usize, counts: &[u32]) -> u32 {
        counts.get(self.workers[at].rack).copied().unwrap_or_default()
    }

    fn count_rack(&mut self, name: &'p JobName, rack: usize) {
        let count = self.rack_count;
        self.rack_counts.entry(name).or_insert_with(|| vec![0; count])[rack] += 1;
    }

    /// Returns the best placement for a task of `job`.
    ///
    /// In order of preference: capacity that is free now before capacity that becomes free later,
    /// workers that a maintenance wave has processed before those that it has not, workers without
    /// accelerators for jobs that use none, racks with few tasks of the job, and the fullest worker
    /// that fits.
    ///
    /// # Errors
    ///
    /// Returns the reason if no worker fits.
    pub fn best_placement(&self, name: &JobName, job: &Job) -> Result<Placement, PendingReason> {
        let counts = self.rack_counts.get(name).map(Vec::as_slice).unwrap_or_default();
        let mut has_permitted_worker = false;
        let mut best: Option<PlacementRank> = None;
        for at in self.schedulable() {
            let usage = &self.workers[at];
            if !job.size.fits(usage.free_later()) {
                continue;
            }
            let is_now = job.size.fits(usage.free());
            let in_rack = self.in_rack(at, counts);
            if job.spread == Spread::Rack && in_rack > 0 {
                continue;
            }
            has_permitted_worker = true;
            let rank = PlacementRank {
                is_later: !is_now,
                is_due: usage.worker.is_due,
                wastes_accelerators: job.size.accelerators == 0
                    && usage.worker.capacity.accelerators > 0,
                in_rack,
                free_share: usage
                    .free_later()
                    .minus(job.size)
                    .dominant_share(usage.worker.capacity),
                at,
            };
            if best.as_ref().is_none_or(|best| rank.is_before(best)) {
                best = Some(rank);
            }
        }
        match best {
            Some(PlacementRank { is_later: false, at, .. }) => Ok(Placement::Now(at)),
            Some(PlacementRank { at, .. }) => Ok(Placement::Later(at)),
            None if has_permitted_worker || job.spread == Spread::Even => {
                Err(PendingReason::NoCapacity)
            }
            None => Err(self.spread_pending_reason(job)),
        }
    }

    fn spread_pending_reason(&self, job: &Job) -> PendingReason {
        let has_capacity =
            self.schedulable().any(|at| job.size.fits(self.workers[at].free_later()));
        if has_capacity { PendingReason::NoFreeRack } else { PendingReason::NoCapacity }
    }

    /// Reserves the resources of a task of `job` for the rest of the plan.
    pub fn take(&mut self, placement: Placement, name: &'p JobName, job: &Job) {
        let (Placement::Now(at) | Placement::Later(at)) = placement;
        let usage = &mut self.workers[at];
        usage.used_later = usage.used_later.plus(job.size);
        if placement == Placement::Now(at) {
            usage.used = usage.used.plus(job.size);
        }
        let rack = usage.rack;
        self.count_rack(name, rack);
    }

    /// Records that a task on a worker is being stopped, so that its resources become free later.
    pub fn release(&mut self, worker: &HostId, size: Amount) {
        if let Some(at) = self.find(worker) {
            let usage = &mut self.workers[at];
            usage.used_later = usage.used_later.minus(size);
        }
    }
}

/// The rank of a worker for a task; the lowest is the best.
struct PlacementRank {
    is_later: bool,
    is_due: bool,
    wastes_accelerators: bool,
    in_rack: u32,
    /// Dominant share of the worker that stays free.
    free_share: f64,
    at: usize,
}

impl PlacementRank {
    fn is_before(&self, other: &Self) -> bool {
        let key =
            |rank: &Self| (rank.is_later, rank.is_due, rank.wastes_accelerators, rank.in_rack);
        match key(self).cmp(&key(other)) {
            std::cmp::Ordering::Equal => self.free_share < other.free_share,
            order => order.is_lt(),
        }
    }
}
