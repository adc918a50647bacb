//! A weighted fair queue over groups, with priority classes inside each group.
//!
//! Start-time fair queueing: each group has a virtual time that grows by the slot time that it
//! used, divided by its weight; the group that is furthest behind goes first. The cost is slot
//! time and not a count, so a group of long requests can't take more than its share.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use reachhead_types::{boot_instant::BootInstant, fleet::Class, id::GroupName, size::Weight};

/// Cost of a group's request before any was measured.
const FIRST_COST: Duration = Duration::from_millis(5);

/// Share of the newest cost in a group's mean.
const COST_GAIN: f64 = 0.1;

/// Something that waits in the queue.
pub trait QueueItem {
    /// Tells whether anyone still waits for it.
    fn is_wanted(&self) -> bool;
}

/// Why a request was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueError {
    /// The group's queue is full.
    Full,
    /// By its group's share the request would wait past its deadline.
    Late,
}

/// What a request asks the queue for.
#[derive(Debug, Clone)]
pub struct QueueRequest {
    /// The group on whose share it counts.
    pub group: GroupName,
    /// Its priority inside the group.
    pub class: Class,
    /// When it is of no use any more.
    pub deadline: BootInstant,
}

/// What [`FairQueue::pop`] took off the queue.
#[derive(Debug)]
pub struct PopResult<T> {
    /// The request whose turn it is, with what it was charged.
    pub next: Option<Dequeued<T>>,
    /// Requests that could not have met their deadline.
    pub late: Vec<T>,
}

/// A request whose turn it is.
#[derive(Debug)]
pub struct Dequeued<T> {
    /// What waited.
    pub item: T,
    /// What its group was charged, to be settled by [`FairQueue::settle`].
    pub charge: Charge,
}

/// What a group was charged for a request before its real cost is known.
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

#[derive(Debug)]
struct Line<T> {
    weight: Weight,
    limit: usize,
    /// Virtual time, in seconds of slot time for a weight of one.
    time: f64,
    mean_cost: Duration,
    classes: [VecDeque<Entry<T>>; Class::ALL.len()],
}

impl<T> Line<T> {
    fn new(weight: Weight, limit: usize) -> Self {
        let classes = Class::ALL.map(|_| VecDeque::new());
        Self { weight, limit, time: 0.0, mean_cost: FIRST_COST, classes }
    }

    fn len(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }

    fn is_empty(&self) -> bool {
        self.classes.iter().all(VecDeque::is_empty)
    }

    fn step(&self, cost: Duration) -> f64 {
        cost.as_secs_f64() / f64::from(self.weight.0.max(1))
    }
}

/// The queue of one service at one entry host.
#[derive(Debug)]
pub struct FairQueue<T> {
    lines: BTreeMap<GroupName, Line<T>>,
    time: f64,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { lines: BTreeMap::new(), time: 0.0, len: 0 }
    }
}

impl<T: QueueItem> FairQueue<T> {
    /// Returns an empty queue without groups.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the weight of `group` and how many of its requests may wait.
    pub fn set_group(&mut self, group: &GroupName, weight: Weight, limit: usize) {
        let line = self.lines.entry(group.clone()).or_insert_with(|| Line::new(weight, limit));
        line.weight = weight;
        line.limit = limit;
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of requests of `group` that wait.
    pub fn group_len(&self, group: &GroupName) -> usize {
        self.lines.get(group).map_or(0, Line::len)
    }

    /// Returns how long the next request of `group` would wait, by its share of `slots`.
    pub fn expected_wait(&self, group: &GroupName, class: Class, slots: u32) -> Duration {
        let Some(line) = self.lines.get(group) else {
            return Duration::ZERO;
        };
        let busy = self.lines.iter().filter(|(name, line)| *name == group || !line.is_empty());
        let weights: f64 = busy.map(|(_, line)| f64::from(line.weight.0)).sum();
        let share = f64::from(line.weight.0) / weights.max(1.0) * f64::from(slots.max(1));
        let ahead: usize = line.classes[..=class as usize].iter().map(VecDeque::len).sum();
        line.mean_cost.mul_f64(ahead as f64 / share.max(f64::MIN_POSITIVE))
    }

    /// Puts `item` at the end of its group's and class's line.
    ///
    /// # Errors
    ///
    /// Fails if the line is full, or if the wait by the group's share of `slots` is too long; the
    /// request was then not queued.
    pub fn push(
        &mut self,
        ask: &QueueRequest,
        item: T,
        slots: u32,
        now: BootInstant,
    ) -> Result<(), QueueError> {
        if now + self.expected_wait(&ask.group, ask.class, slots) > ask.deadline {
            return Err(QueueError::Late);
        }
        let time = self.time;
        let line =
            self.lines.entry(ask.group.clone()).or_insert_with(|| Line::new(Weight(1), usize::MAX));
        if line.len() >= line.limit {
            return Err(QueueError::Full);
        }
        if line.is_empty() {
            // A group that was idle does not save its share up.
            line.time = line.time.max(time);
        }
        line.classes[ask.class as usize].push_back(Entry { item, deadline: ask.deadline });
        self.len += 1;
        Ok(())
    }

    /// Charges a request of `group` that runs without waiting.
    pub fn charge(&mut self, group: &GroupName) -> Charge {
        let time = self.time;
        let line =
            self.lines.entry(group.clone()).or_insert_with(|| Line::new(Weight(1), usize::MAX));
        if line.is_empty() {
            line.time = line.time.max(time);
        }
        self.time = time.max(line.time);
        let cost = line.mean_cost;
        line.time += line.step(cost);
        Charge { group: group.clone(), cost }
    }

    /// Takes the request whose turn it is, and every one met on the way that would be late.
    pub fn pop(&mut self, now: BootInstant) -> PopResult<T> {
        let mut late = Vec::new();
        while let Some((group, entry)) = self.pop_entry() {
            if !entry.item.is_wanted() {
                continue;
            }
            let cost = self.lines.get(&group).map_or(FIRST_COST, |line| line.mean_cost);
            if now + cost > entry.deadline {
                late.push(entry.item);
                continue;
            }
            let charge = self.charge_turn(group, cost);
            return PopResult { next: Some(Dequeued { item: entry.item, charge }), late };
        }
        PopResult { next: None, late }
    }

    fn pop_entry(&mut self) -> Option<(GroupName, Entry<T>)> {
        let waiting = self.lines.iter_mut().filter(|(_, line)| !line.is_empty());
        let (group, line) = waiting.min_by(|a, b| a.1.time.total_cmp(&b.1.time))?;
        let entry = line.classes.iter_mut().find_map(VecDeque::pop_front)?;
        self.len -= 1;
        Some((group.clone(), entry))
    }

    fn charge_turn(&mut self, group: GroupName, cost: Duration) -> Charge {
        if let Some(line) = self.lines.get_mut(&group) {
            self.time = self.time.max(line.time);
            line.time += line.step(cost);
        }
        Charge { group, cost }
    }

    /// Replaces a charge by the slot time that the request really took.
    pub fn settle(&mut self, charge: &Charge, took: Duration) {
        let Some(line) = self.lines.get_mut(&charge.group) else {
            return;
        };
        line.time += line.step(took) - line.step(charge.cost);
        line.mean_cost = line.mean_cost.mul_f64(1.0 - COST_GAIN) + took.mul_f64(COST_GAIN);
    }
}
