//! A weighted fair queue over groups, with priority classes inside each group.
//!
//! It implements start-time fair queueing: each group has a virtual time that advances by the slot
//! time that the group used, divided by its weight, and the group with the lowest virtual time is
//! served next. The cost is slot time instead of a request count, so a group with long requests
//! can't exceed its share.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use reachhead_types::{boot_instant::BootInstant, fleet::Class, id::GroupName, size::Weight};

/// Assumed cost of the requests of a group that has no completed request yet.
const INITIAL_COST: Duration = Duration::from_millis(5);

/// Weight of the latest cost in the moving average of a group.
const COST_GAIN: f64 = 0.1;

/// An item in the queue.
pub trait QueueItem {
    /// Returns whether the caller still waits for the item.
    fn is_wanted(&self) -> bool;
}

/// Why a request was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueError {
    /// The group's queue is full.
    Full,
    /// With the share of its group, the request would wait beyond its deadline.
    Late,
}

/// The parameters of a request to the queue.
#[derive(Debug, Clone)]
pub struct QueueRequest {
    /// The group whose share it uses.
    pub group: GroupName,
    /// Its priority inside the group.
    pub class: Class,
    /// When the request is no longer useful.
    pub deadline: BootInstant,
}

/// The result of [`FairQueue::pop`].
#[derive(Debug)]
pub struct PopResult<T> {
    /// The request to run next.
    pub next: Option<Dequeued<T>>,
    /// Requests that were removed because they would miss their deadline.
    pub late: Vec<T>,
}

/// A request to run, with its charge.
#[derive(Debug)]
pub struct Dequeued<T> {
    /// The queued item.
    pub item: T,
    /// The charge to its group, to be corrected by [`FairQueue::settle`].
    pub charge: Charge,
}

/// The estimated cost that a group was charged for a request.
#[derive(Debug, Clone)]
pub struct Charge {
    group: GroupName,
    cost: Duration,
}

#[derive(Debug)]
struct Entry<T> {
    item: T,
    deadline: BootInstant,
}

/// The queue of one group.
#[derive(Debug)]
struct GroupQueue<T> {
    weight: Weight,
    limit: usize,
    /// Virtual time: seconds of slot time divided by the weight.
    virtual_time: f64,
    mean_cost: Duration,
    classes: [VecDeque<Entry<T>>; Class::ALL.len()],
}

impl<T> GroupQueue<T> {
    fn new(weight: Weight, limit: usize) -> Self {
        let classes = Class::ALL.map(|_| VecDeque::new());
        Self { weight, limit, virtual_time: 0.0, mean_cost: INITIAL_COST, classes }
    }

    fn len(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }

    fn is_empty(&self) -> bool {
        self.classes.iter().all(VecDeque::is_empty)
    }

    /// Returns by how much `cost` advances the virtual time of the group.
    fn virtual_cost(&self, cost: Duration) -> f64 {
        cost.as_secs_f64() / f64::from(self.weight.0.max(1))
    }
}

/// The queue of one service at one entry host.
#[derive(Debug)]
pub struct FairQueue<T> {
    groups: BTreeMap<GroupName, GroupQueue<T>>,
    /// Virtual time at which the latest request was charged; a group that becomes active starts
    /// here or later.
    virtual_time: f64,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { groups: BTreeMap::new(), virtual_time: 0.0, len: 0 }
    }
}

impl<T: QueueItem> FairQueue<T> {
    /// Returns an empty queue without groups.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the weight of `group` and the maximum number of its queued requests.
    pub fn set_group(&mut self, group: &GroupName, weight: Weight, limit: usize) {
        let queue =
            self.groups.entry(group.clone()).or_insert_with(|| GroupQueue::new(weight, limit));
        queue.weight = weight;
        queue.limit = limit;
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no requests are queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of queued requests of `group`.
    pub fn group_len(&self, group: &GroupName) -> usize {
        self.groups.get(group).map_or(0, GroupQueue::len)
    }

    /// Returns the expected wait of the next request of `group` and `class`, given the share of the
    /// group of `slots`.
    pub fn expected_wait(&self, group: &GroupName, class: Class, slots: u32) -> Duration {
        let Some(queue) = self.groups.get(group) else {
            return Duration::ZERO;
        };
        let busy = self.groups.iter().filter(|(name, queue)| *name == group || !queue.is_empty());
        let weights: f64 = busy.map(|(_, queue)| f64::from(queue.weight.0)).sum();
        let share = f64::from(queue.weight.0) / weights.max(1.0) * f64::from(slots.max(1));
        let ahead: usize = queue.classes[..=class as usize].iter().map(VecDeque::len).sum();
        queue.mean_cost.mul_f64(ahead as f64 / share.max(f64::MIN_POSITIVE))
    }

    /// Appends `item` to the queue of its group and class.
    ///
    /// # Errors
    ///
    /// Returns an error, and does not queue the request, if the queue of the group is full or if
    /// the expected wait exceeds the deadline.
    pub fn push(
        &mut self,
        request: &QueueRequest,
        item: T,
        slots: u32,
        now: BootInstant,
    ) -> Result<(), QueueError> {
        if now + self.expected_wait(&request.group, request.class, slots) > request.deadline {
            return Err(QueueError::Late);
        }
        let virtual_time = self.virtual_time;
        let queue = self
            .groups
            .entry(request.group.clone())
            .or_insert_with(|| GroupQueue::new(Weight(1), usize::MAX));
        if queue.len() >= queue.limit {
            return Err(QueueError::Full);
        }
        if queue.is_empty() {
            // An idle group does not accumulate credit.
            queue.virtual_time = queue.virtual_time.max(virtual_time);
        }
        queue.classes[request.class as usize].push_back(Entry { item, deadline: request.deadline });
        self.len += 1;
        Ok(())
    }

    /// Charges `group` for a request that runs without being queued.
    pub fn charge(&mut self, group: &GroupName) -> Charge {
        let virtual_time = self.virtual_time;
        let queue = self
            .groups
            .entry(group.clone())
            .or_insert_with(|| GroupQueue::new(Weight(1), usize::MAX));
        if queue.is_empty() {
            queue.virtual_time = queue.virtual_time.max(virtual_time);
        }
        self.virtual_time = virtual_time.max(queue.virtual_time);
        let cost = queue.mean_cost;
        queue.virtual_time += queue.virtual_cost(cost);
        Charge { group: group.clone(), cost }
    }

    /// Removes the next request to run, and all requests before it that would miss their deadline.
    ///
    /// Requests that no caller waits for are dropped.
    pub fn pop(&mut self, now: BootInstant) -> PopResult<T> {
        let mut late = Vec::new();
        while let Some((group, entry)) = self.pop_entry() {
            if !entry.item.is_wanted() {
                continue;
            }
            let cost = self.groups.get(&group).map_or(INITIAL_COST, |queue| queue.mean_cost);
            if now + cost > entry.deadline {
                late.push(entry.item);
                continue;
            }
            let charge = self.charge_queued(group, cost);
            return PopResult { next: Some(Dequeued { item: entry.item, charge }), late };
        }
        PopResult { next: None, late }
    }

    fn pop_entry(&mut self) -> Option<(GroupName, Entry<T>)> {
        let waiting = self.groups.iter_mut().filter(|(_, queue)| !queue.is_empty());
        let (group, queue) =
            waiting.min_by(|a, b| a.1.virtual_time.total_cmp(&b.1.virtual_time))?;
        let entry = queue.classes.iter_mut().find_map(VecDeque::pop_front)?;
        self.len -= 1;
        Some((group.clone(), entry))
    }

    fn charge_queued(&mut self, group: GroupName, cost: Duration) -> Charge {
        if let Some(queue) = self.groups.get_mut(&group) {
            self.virtual_time = self.virtual_time.max(queue.virtual_time);
            queue.virtual_time += queue.virtual_cost(cost);
        }
        Charge { group, cost }
    }

    /// Replaces an estimated charge by the slot time that the request used.
    pub fn settle(&mut self, charge: &Charge, took: Duration) {
        let Some(queue) = self.groups.get_mut(&charge.group) else {
            return;
        };
        queue.virtual_time += queue.virtual_cost(took) - queue.virtual_cost(charge.cost);
        queue.mean_cost = queue.mean_cost.mul_f64(1.0 - COST_GAIN) + took.mul_f64(COST_GAIN);
    }
}
