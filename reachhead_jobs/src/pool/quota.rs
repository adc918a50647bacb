//! Customer quotas in a pool: accounting of running tasks, held-back tasks, and usage reports to
//! the ledger that divides quotas among pools.

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

/// Shortest time between two log lines about one customer's held-back tasks.
const LOG_PERIOD: Millis = Millis(1000);

/// Quota state of a pool.
#[derive(Debug, Clone, Default)]
pub(super) struct Quotas {
    limits: CustomerLimits,
    /// Any customer has a quota; without quotas nothing is counted.
    limited: bool,
    /// Usage by customer, as of the current round.
    used: BTreeMap<CustomerName, Amount>,
    /// Tasks held back in the last round, by customer.
    held: BTreeMap<CustomerName, HeldBack>,
    /// When held-back tasks were last logged, by customer.
    logged_at: BTreeMap<CustomerName, Tick>,
}

impl Quotas {
    /// Returns a customer's weight, in jobs per second, if it has one.
    pub(super) fn weight(&self, customer: &CustomerName) -> Option<Weight> {
        self.limits.weight(customer)
    }
}

/// Tasks of a customer that only its quota keeps from starting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct HeldBack {
    tasks: u32,
    wanted: Amount,
    next: Amount,
}

impl Pool {
    /// Applies the customers of a configuration.
    pub fn configure(&mut self, customers: &Arc<Customers>) {
        self.quotas.limits.configure(customers);
        self.quotas.limited = self.quotas.limits.has_quotas();
    }

    /// Records the fencing token of the ledger's current holder, as read from the store.
    pub fn follow_ledger(&mut self, ledger: FencingToken, now: Tick) {
        self.quotas.limits.observe_ledger(ledger, now);
    }

    /// Applies the pool's allotment from the ledger, and returns the pool's usage and demand.
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

    /// Starts a scheduling round: counts usage and clears the held-back tasks.
    pub(super) fn begin_quota_round(&mut self, now: Tick) {
        self.quotas.limits.expire(now);
        self.quotas.held.clear();
        if self.quotas.limited {
            self.quotas.used = self.count_used();
        }
    }

    /// Returns whether the customer's quota admits one more task of the job.
    pub(super) fn within_quota(&self, job: JobId, need: Amount) -> bool {
        let Some(customer) = self.limited_customer(job) else {
            return true;
        };
        let used = self.quotas.used.get(customer).copied().unwrap_or_default();
        self.quotas.limits.allows(customer, used, need)
    }

    /// Counts a task that starts in this round against its customer's quota.
    pub(super) fn charge_quota(&mut self, job: JobId, need: Amount) {
        if let Some(customer) = self.limited_customer(job).cloned() {
            let used = self.quotas.used.entry(customer).or_default();
            *used = used.plus(need);
        }
    }

    /// Records tasks that only the quota keeps from starting.
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

    /// Logs customers with held-back tasks, each at most once per [`LOG_PERIOD`].
    pub(super) fn log_quotas(&mut self, now: Tick) {
        let mut lines = Vec::new();
        for (customer, held) in &self.quotas.held {
            let logged_at = self.quotas.logged_at.get(customer);
            if logged_at.is_some_and(|logged_at| now.since(*logged_at) < LOG_PERIOD) {
                continue;
            }
            self.quotas.logged_at.insert(customer.clone(), now);
            let used = self.quotas.used.get(customer).copied().unwrap_or_default();
            let headroom = self.quotas.limits.headroom(customer, used);
            lines.push(format!(
                "customer={customer} tasks={} cores={} used={} left={headroom}",
                held.tasks, held.wanted.cores, used.cores
            ));
        }
        for line in lines {
            self.note(NoteKind::QuotaReached, line);
        }
    }

    /// Returns each customer's remaining quota, in thousandths of a core. Held-back work does not
    /// request hosts, since they would be idle.
    pub(super) fn headrooms(&self) -> BTreeMap<CustomerName, u64> {
        if !self.quotas.limited {
            return BTreeMap::new();
        }
        let used = self.count_used();
        let customers = self.jobs.values().filter_map(|job| job.customer.as_ref());
        let headroom = |customer: &CustomerName| {
            let used = used.get(customer).copied().unwrap_or_default();
            self.quotas.limits.headroom(customer, used)
        };
        customers.map(|customer| (customer.clone(), headroom(customer))).collect()
    }

    /// Returns whether more hosts would help the customer's next job, as of the last round.
    pub(super) fn can_use_hosts(&self, customer: Option<&CustomerName>) -> bool {
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

    /// Returns the usage by customer: runs that this owner ordered or that were reported to it,
    /// until they have certainly ended, and tasks that its predecessor may have started on workers
    /// that have not answered yet.
    fn count_used(&self) -> BTreeMap<CustomerName, Amount> {
        let mut used: BTreeMap<CustomerName, Amount> = BTreeMap::new();
        let mut unseen: BTreeMap<CustomerName, Amount> = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(customer) = &job.customer else {
                continue;
            };
            let sum = used.entry(customer.clone()).or_default();
            *sum = sum.plus(running_amount(job));
            if self.may_run_elsewhere(job) {
                let sum = unseen.entry(customer.clone()).or_default();
                *sum = sum.plus(waiting_amount(job));
            }
        }
        let limit = self.pending_capacity();
        for (customer, unseen) in unseen {
            let sum = used.entry(customer).or_default();
            *sum = sum.plus(unseen.least(limit));
        }
        used
    }

    /// Returns the largest capacity that the predecessor's unanswered workers may have.
    fn pending_capacity(&self) -> Amount {
        let capacities = self.workers.values().map(|worker| worker.info.capacity);
        let largest = capacities.fold(Amount::default(), Amount::max);
        if largest == Amount::default() {
            return Amount::new(u64::MAX, u64::MAX, u64::MAX);
        }
        largest.times(self.pending.len() as u32)
    }
}

/// Returns the amount taken by the runs of a job.
fn running_amount(job: &Job) -> Amount {
    let of_step = |(id, state): (&crate::task::StepId, &crate::job::StepState)| {
        let runs: usize = state.tasks.iter().map(|task| task.runs.len()).sum();
        job.step(*id).need.times(runs as u32)
    };
    job.steps.iter().map(of_step).fold(Amount::default(), Amount::plus)
}

/// Returns the amount that the job's unfinished tasks without a known run would take.
fn waiting_amount(job: &Job) -> Amount {
    let of_step = |(id, state): (&crate::task::StepId, &crate::job::StepState)| {
        let tasks = state.tasks.iter().filter(|task| !task.done && task.runs.is_empty());
        job.step(*id).need.times(tasks.count() as u32)
    };
    job.steps.iter().map(of_step).fold(Amount::default(), Amount::plus)
}
