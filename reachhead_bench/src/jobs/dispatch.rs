//! Limits of a pool owner on a small host, without and with dispatchers.

use std::collections::BTreeSet;

use reachhead_jobs::{
    clock::Tick,
    dispatch::{
        assignment::{Assignment, Dispatcher},
        need::NeedDetector,
    },
    pool::Pool,
    ports::StartOrder,
    start_pace::StartPacer,
};
use reachhead_types::{
    id::{JobId, NodeName, WorkerId},
    size::{ByteRate, Bytes, Millis, Strength},
};

/// Queues that have bursts in turn.
pub const QUEUES: u64 = 4;

/// Rate of a queue in its burst, in multiples of its mean.
pub const BURST_FACTOR: f64 = 4.0;

/// Rate of a queue outside its burst, in multiples of its mean.
const REST_FACTOR: f64 = 0.05;

/// Duration of a burst.
const BURST: Millis = Millis(2500);

/// Link of a small host: 10 Mbit/s.
const BANDWIDTH: ByteRate = ByteRate(1_250_000);

/// Processor of a small host.
const CORES: f64 = 0.12;

/// Capacity weight of a small host, as its process computes it.
const STRENGTH: Strength = Strength(800);

/// Small hosts beside that of the owner.
const OTHERS: usize = 28;

/// Time between two updates of the assignment.
const UPDATE_PERIOD: Millis = Millis(100);

/// Delay of an order by its batch and by the way over a dispatcher.
const DISPATCH_DELAY: Millis = Millis(16);

/// Returns the rate of the queue whose burst has this turn, in multiples of its mean.
pub fn rate_factor(turn: u64, elapsed: Millis) -> f64 {
    if elapsed.0 / BURST.0 % QUEUES == turn { BURST_FACTOR } else { REST_FACTOR }
}

/// Owner on a small host.
pub struct LimitedOwner {
    pacer: StartPacer,
    need: NeedDetector,
    assignment: Assignment,
    others: Vec<Dispatcher>,
    /// Dispatchers that have a job's payload.
    payloads: BTreeSet<(JobId, NodeName)>,
    next_update: Tick,
}

impl LimitedOwner {
    /// Returns an owner, with or without processes that may dispatch for it.
    pub fn new(dispatches: bool) -> Self {
        let other = |number: usize| match format!("n{number}").parse() {
            Ok(node) => Dispatcher { node, strength: STRENGTH, owned: 0 },
            Err(error) => unreachable!("a constant name: {error}"),
        };
        Self {
            pacer: StartPacer::new(BANDWIDTH, CORES, Tick(0)),
            need: NeedDetector::new(STRENGTH),
            assignment: Assignment::new(),
            others: (0..if dispatches { OTHERS } else { 0 }).map(other).collect(),
            payloads: BTreeSet::new(),
            next_update: Tick(0),
        }
    }

    /// Updates the assignment and sets what the pool may send.
    pub fn begin_round(&mut self, pool: &mut Pool, now: Tick) {
        if self.next_update <= now {
            self.next_update = now + UPDATE_PERIOD;
            if self.need.is_needed(now) {
                let demand = self.need.demand(now);
                self.assignment.update(pool.workers().keys(), &self.others, demand);
            } else {
                self.assignment.clear();
                self.payloads.clear();
            }
            self.pacer.set_dispatchers(Some(self.assignment.strength()));
        }
        pool.set_start_budget(self.pacer.budget(now));
    }

    /// Records what the pool has sent.
    pub fn end_round(&mut self, pool: &Pool, now: Tick) {
        self.pacer.record(pool.start_budget());
        let outcome = pool.round_outcome();
        self.need.record(outcome.started, outcome.limited, now);
    }

    /// Records an order that is sent, and returns its delay on the way to the worker.
    pub fn send(&mut self, worker: &WorkerId, order: &StartOrder) -> Millis {
        let Some(node) = self.assignment.dispatcher_of(worker) else {
            return Millis(0);
        };
        if self.payloads.insert((order.task.job, node.clone())) {
            self.pacer.record_payload(Bytes(order.payload.len() as u64));
        }
        DISPATCH_DELAY
    }
}
