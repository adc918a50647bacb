//! Customers' quotas in a pool: what counts as running, what is held back, and what the ledger of all pools is told.

use std::{collections::BTreeMap, sync::Arc};

use reachhead_plan::amount::Amount;
use reachhead_types::{
    id::{CustomerName, JobId},
    size::{FencingToken, Millis, Weight},
};

use crate::{
    clock::Tick,
    customer::Customers,
    job::Job,
    pool::{NoteKind, Pool},
    quota::{Allotment, CustomerLimits, Demand, UsageReport},
};

/// Least time between two lines about a customer that is held back.
const TELL_PERIOD: Millis = Millis(1000);

/// Quotas as the owner of a pool knows them.
#[derive(Debug, Clone, Default)]
pub(super) struct Quotas {
    limits: CustomerLimits,
    /// The customers are limited at all; without quotas nothing is counted.
    limited: bool,
    /// What customers have running, as of the current round.
    used: BTreeMap<CustomerName, Amount>,
    /// What the last round held back.
    held: BTreeMap<CustomerName, HeldBack>,
    /// When a line last told that a customer is held back.
    told: BTreeMap<CustomerName, Tick>,
}

impl Quotas {
    /// Returns the jobs a second that a customer is owed, if it is owed a number of them.
    pub(super) fn weight(&self, customer: &CustomerName) -> Option<Weight> {
        self.limits.weight(customer)
    }
}

/// Tasks of a customer that could start but for its quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct HeldBack {
    tasks: u32,
    wanted: Amount,
    next: Amount,
}

impl Pool {
    /// Takes over the customers of a configuration.
    pub fn configure(&mut self, customers: &Arc<Customers>) {
        self.quotas.limits.configure(customers);
        self.quotas.limited = self.quotas.limits.has_quotas();
    }

    /// Notes who keeps the ledger now, by the store's word.
    pub fn follow_ledger(&mut self, ledger: FencingToken, now: Tick) {
        self.quotas.limits.observe_ledger(ledger, now);
    }

    /// Takes in what the pool may have running for customers, and states what it has and could use.
    pub fn allot(&mut self, allotment: &Allotment) -> UsageReport {
        self.quotas.limits.apply(allotment, self.token);
        let mut demand: BTreeMap<CustomerName, Demand> = BTreeMap::new();
        for (customer, used) in self.count_used() {
            demand.entry(customer).or_default().used = used;
        }
        for (customer, held) in &self.quotas.held {
            let entry = demand.entry(customer.clone()).or_default();
            (entry.wanted, entry.next) = (held.wanted, held.next);
        }
        self.quotas.limits.answer(allotment, self.token, &demand)
    }

    /// Counts what customers have running, before a round starts anything.
    pub(super) fn begin_quotas(&mut self, now: Tick) {
        self.quotas.limits.expire(now);
        self.quotas.held.clear();
        if self.quotas.limited {
            self.quotas.used = self.count_used();
        }
    }

    /// Tells whether the quota of a job's customer lets one more of its tasks start.
    pub(super) fn within_quota(&self, job: JobId, need: Amount) -> bool {
        let Some(customer) = self.limited_customer(job) else {
            return true;
        };
        let used = self.quotas.used.get(customer).copied().unwrap_or_default();
        self.quotas.limits.allows(customer, used, need)
    }

    /// Counts a task that starts in this round.
    pub(super) fn charge_quota(&mut self, job: JobId, need: Amount) {
        if let Some(customer) = self.limited_customer(job).cloned() {
            let used = self.quotas.used.entry(customer).or_default();
            *used = used.plus(need);
        }
    }

    /// Notes tasks that could start but for the quota.
    pub(super) fn hold_back(&mut self, job: JobId, need: Amount, tasks: u32) {
        if let Some(customer) = self.limited_customer(job).cloned() {
            let held = self.quotas.held.entry(customer).or_default();
            if held.tasks == 0 {
                held.next = need;
            }
            held.tasks += tasks;
            held.wanted = held.wanted.plus(need.times(tasks));
        }
    }

    /// Logs who is held back, each customer once in a while.
    pub(super) fn tell_quotas(&mut self, now: Tick) {
        let mut lines = Vec::new();
        for (customer, held) in &self.quotas.held {
            let told = self.quotas.told.get(customer);
            if told.is_some_and(|told| now.since(*told) < TELL_PERIOD) {
                continue;
            }
            self.quotas.told.insert(customer.clone(), now);
            let used = self.quotas.used.get(customer).copied().unwrap_or_default();
            let room = self.quotas.limits.headroom(customer, used);
            lines.push(format!(
                "customer={customer} tasks={} cores={} used={} left={room}",
                held.tasks, held.wanted.cores, used.cores
            ));
        }
        for line in lines {
            self.note(NoteKind::QuotaReached, line);
        }
    }

    /// Returns what each customer may still start, in thousandths of a core. Work that its quota holds back asks for no
    /// hosts: they would stand idle.
    pub(super) fn headrooms(&self) -> BTreeMap<CustomerName, u64> {
        if !self.quotas.limited {
            return BTreeMap::new();
        }
        let used = self.count_used();
        let customers = self.jobs.values().filter_map(|job| job.customer.as_ref());
        let room = |customer: &CustomerName| {
            let used = used.get(customer).copied().unwrap_or_default();
            self.quotas.limits.headroom(customer, used)
        };
        customers.map(|customer| (customer.clone(), room(customer))).collect()
    }

    /// Tells whether more hosts would be of use to a customer's next job, as of the last round.
    pub(super) fn may_use_hosts(&self, customer: Option<&CustomerName>) -> bool {
        let Some(customer) = customer.filter(|_| self.quotas.limited) else {
            return true;
        };
        let used = self.quotas.used.get(customer).copied().unwrap_or_default();
        self.quotas.limits.headroom(customer, used) > 0
    }

    fn limited_customer(&self, job: JobId) -> Option<&CustomerName> {
        if !self.quotas.limited {
            return None;
        }
        self.jobs.get(&job)?.customer.as_ref()
    }

    /// Returns what customers have running: what this owner ordered or was told of, until it has surely ended; and
    /// what its predecessor may have ordered on workers that have not answered yet.
    fn count_used(&self) -> BTreeMap<CustomerName, Amount> {
        let mut used: BTreeMap<CustomerName, Amount> = BTreeMap::new();
        let mut unseen: BTreeMap<CustomerName, Amount> = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(customer) = &job.customer else {
                continue;
            };
            let sum = used.entry(customer.clone()).or_default();
            *sum = sum.plus(running(job));
            if self.may_be_elsewhere(job) {
                let sum = unseen.entry(customer.clone()).or_default();
                *sum = sum.plus(waiting(job));
            }
        }
        let most = self.pending_room();
        for (customer, unseen) in unseen {
            let sum = used.entry(customer).or_default();
            *sum = sum.plus(unseen.least(most));
        }
        used
    }

    /// Returns what the workers of the predecessor that have not answered can bear at most.
    fn pending_room(&self) -> Amount {
        let capacities = self.workers.values().map(|worker| worker.info.capacity);
        let largest = capacities.fold(Amount::default(), Amount::max);
        if largest == Amount::default() {
            return Amount::new(u64::MAX, u64::MAX, u64::MAX);
        }
        largest.times(self.pending.len() as u32)
    }
}

/// Returns what the runs of a job have.
fn running(job: &Job) -> Amount {
    let of_step = |(id, state): (&crate::task::StepId, &crate::job::StepState)| {
        let runs: usize = state.tasks.iter().map(|task| task.runs.len()).sum();
        job.step(*id).need.times(runs as u32)
    };
    job.steps.iter().map(of_step).fold(Amount::default(), Amount::plus)
}

/// Returns what the tasks of a job would have that are not done and of which no run is known.
fn waiting(job: &Job) -> Amount {
    let of_step = |(id, state): (&crate::task::StepId, &crate::job::StepState)| {
        let tasks = state.tasks.iter().filter(|task| !task.done && task.runs.is_empty());
        job.step(*id).need.times(tasks.count() as u32)
    };
    job.steps.iter().map(of_step).fold(Amount::default(), Amount::plus)
}
