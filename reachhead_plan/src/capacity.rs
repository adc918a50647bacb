//! The room on the workers of a pool while a plan is made.

use std::collections::BTreeMap;

use reachhead_types::id::{HostId, JobName, RackName};

use crate::{
    amount::Amount,
    pool::{Job, PendingReason, Pool, Spread, Worker},
};

/// The workers with what is free on each.
pub struct WorkerCapacities<'p> {
    rooms: Vec<Room<'p>>,
    index: BTreeMap<&'p HostId, usize>,
    /// The tasks of each job by rack; racks are numbered, since every worker's is looked up for every
    /// task.
    racks: BTreeMap<&'p JobName, Vec<u32>>,
    rack_count: usize,
}

/// One worker.
struct Room<'p> {
    id: &'p HostId,
    worker: &'p Worker,
    rack: usize,
    /// What tasks have there; more than there is, if the worker has shrunk.
    used: Amount,
    /// What they will have once all that was told to stop has stopped.
    used_later: Amount,
}

impl Room<'_> {
    fn free(&self) -> Amount {
        self.worker.capacity.minus(self.used)
    }

    fn free_later(&self) -> Amount {
        self.worker.capacity.minus(self.used_later)
    }
}

/// Where a task could go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// There is room now.
    Now(usize),
    /// There will be room once something has stopped that was told to.
    Later(usize),
}

impl<'p> WorkerCapacities<'p> {
    /// Returns the rooms of `pool`.
    pub fn new(pool: &'p Pool) -> Self {
        let mut rooms = Vec::with_capacity(pool.workers.len());
        let mut index = BTreeMap::new();
        let mut numbers: BTreeMap<&RackName, usize> = BTreeMap::new();
        for (id, worker) in &pool.workers {
            index.insert(id, rooms.len());
            let (used, used_later) = (Amount::default(), Amount::default());
            let next = numbers.len();
            let rack = *numbers.entry(&worker.rack).or_insert(next);
            rooms.push(Room { id, worker, rack, used, used_later });
        }
        let mut all = Self { rooms, index, racks: BTreeMap::new(), rack_count: numbers.len() };
        for (task, placed) in &pool.tasks {
            let Some(job) = pool.jobs.get(&task.job) else { continue };
            let Some(&at) = all.index.get(&placed.worker) else { continue };
            let room = &mut all.rooms[at];
            room.used = room.used.plus(job.size);
            if !placed.is_stopping {
                room.used_later = room.used_later.plus(job.size);
            }
            // Until it has stopped it is in the rack.
            let rack = room.rack;
            all.count_rack(&task.job, rack);
        }
        all
    }

    /// Returns the worker at an index.
    pub fn worker_id(&self, at: usize) -> &'p HostId {
        self.rooms[at].id
    }

    /// Returns all indices of open workers.
    pub fn schedulable(&self) -> impl Iterator<Item = usize> {
        (0..self.rooms.len()).filter(|&at| self.rooms[at].worker.is_schedulable)
    }

    /// Returns the index of a worker.
    pub fn find(&self, id: &HostId) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Returns what is missing at a worker for a task of `job`, nothing if it fits there later.
    pub fn shortage(&self, at: usize, job: &Job) -> Amount {
        let room = &self.rooms[at];
        // What a worker that has shrunk lacks of other resources is not this job's matter.
        room.used_later.plus(job.size).minus(room.worker.capacity).masked_by(job.size)
    }

    /// Tells whether the spread of a job leaves a worker open to it.
    pub fn satisfies_spread(&self, at: usize, name: &JobName, job: &Job) -> bool {
        let counts = self.racks.get(name).map(Vec::as_slice).unwrap_or_default();
        job.spread == Spread::Even || self.in_rack(at, counts) == 0
    }

    /// Returns how many tasks of the job with `counts` are in a worker's rack.
    fn in_rack(&self, at: usize, counts: &[u32]) -> u32 {
        counts.get(self.rooms[at].rack).copied().unwrap_or_default()
    }

    fn count_rack(&mut self, name: &'p JobName, rack: usize) {
        let count = self.rack_count;
        self.racks.entry(name).or_insert_with(|| vec![0; count])[rack] += 1;
    }

    /// Returns the best spot for a task of `job`: now before later, workers that a wave has done before
    /// those that it has yet to come to, few of its own kind in the rack before many, accelerators left to those who need them, the fullest worker that has room.
    ///
    /// # Errors
    ///
    /// Says what is in the way.
    pub fn best_placement(&self, name: &JobName, job: &Job) -> Result<Placement, PendingReason> {
        let counts = self.racks.get(name).map(Vec::as_slice).unwrap_or_default();
        let mut is_apart_anywhere = false;
        let mut best: Option<Rank> = None;
        for at in self.schedulable() {
            let room = &self.rooms[at];
            if !job.size.fits(room.free_later()) {
                continue;
            }
            let is_now = job.size.fits(room.free());
            let in_rack = self.in_rack(at, counts);
            if job.spread == Spread::Rack && in_rack > 0 {
                continue;
            }
            is_apart_anywhere = true;
            let rank = Rank {
                is_later: !is_now,
                is_due: room.worker.is_due,
                wastes: job.size.accelerators == 0 && room.worker.capacity.accelerators > 0,
                in_rack,
                left: room.free_later().minus(job.size).dominant_share(room.worker.capacity),
                at,
            };
            if best.as_ref().is_none_or(|best| rank.is_before(best)) {
                best = Some(rank);
            }
        }
        match best {
            Some(Rank { is_later: false, at, .. }) => Ok(Placement::Now(at)),
            Some(Rank { at, .. }) => Ok(Placement::Later(at)),
            None if is_apart_anywhere || job.spread == Spread::Even => {
                Err(PendingReason::NoCapacity)
            }
            None => Err(self.rack_hindrance(job)),
        }
    }

    fn rack_hindrance(&self, job: &Job) -> PendingReason {
        let has_room = self.schedulable().any(|at| job.size.fits(self.rooms[at].free_later()));
        if has_room { PendingReason::NoFreeRack } else { PendingReason::NoCapacity }
    }

    /// Takes room for a task of `job`; it is gone for the rest of the plan.
    pub fn take(&mut self, spot: Placement, name: &'p JobName, job: &Job) {
        let (Placement::Now(at) | Placement::Later(at)) = spot;
        let room = &mut self.rooms[at];
        room.used_later = room.used_later.plus(job.size);
        if spot == Placement::Now(at) {
            room.used = room.used.plus(job.size);
        }
        let rack = room.rack;
        self.count_rack(name, rack);
    }

    /// Notes that a task on a worker was told to stop.
    pub fn release(&mut self, worker: &HostId, size: Amount) {
        if let Some(at) = self.find(worker) {
            let room = &mut self.rooms[at];
            room.used_later = room.used_later.minus(size);
        }
    }
}

/// How good a worker is for a task.
struct Rank {
    is_later: bool,
    is_due: bool,
    wastes: bool,
    in_rack: u32,
    left: f64,
    at: usize,
}

impl Rank {
    fn is_before(&self, other: &Self) -> bool {
        let key = |rank: &Self| (rank.is_later, rank.is_due, rank.wastes, rank.in_rack);
        match key(self).cmp(&key(other)) {
            std::cmp::Ordering::Equal => self.left < other.left,
            order => order.is_lt(),
        }
    }
}
