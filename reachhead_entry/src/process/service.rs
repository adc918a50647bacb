//! The services, each with its minions, its fair queue and its retry budget.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use rand::{SeedableRng, rngs::SmallRng};
use reachhead_link::message::LentSlots;
use reachhead_path::{
    fair::{Charge, Dequeued, FairQueue, QueueError, QueueItem, QueueRequest},
    pick,
    retry::RetryBudget,
};
use reachhead_types::{
    boot_instant::BootInstant,
    error::ErrorKind,
    fleet::{self, Fleet},
    id::{GroupName, HostId, LoanId, MinionId, ServiceName, ZoneName},
    tree::Effective,
};
use serde::Serialize;
use tokio::{sync::oneshot, time};

use crate::process::{
    control_follower::SlotLimits,
    minion::{Minion, MinionReport},
    slot_borrower::SlotBorrower,
};

/// All services of the current configuration.
#[derive(Default)]
pub struct Services {
    services: RefCell<BTreeMap<ServiceName, Rc<Service>>>,
}

/// A service.
pub struct Service {
    name: ServiceName,
    inner: RefCell<Inner>,
    borrower: Rc<SlotBorrower>,
    is_borrowing: Cell<bool>,
}

struct Inner {
    minions: Vec<Rc<Minion>>,
    queue: FairQueue<Waiter>,
    retries: RetryBudget,
    rng: SmallRng,
}

/// A service in the response to `/state`.
#[derive(Debug, Serialize)]
pub struct ServiceReport {
    name: ServiceName,
    waiting: usize,
    minions: Vec<MinionReport>,
}

/// A queued request that waits for a permit.
struct Waiter {
    tried: Vec<MinionId>,
    reply: oneshot::Sender<Result<Permit, ErrorKind>>,
}

impl QueueItem for Waiter {
    fn is_wanted(&self) -> bool {
        !self.reply.is_closed()
    }
}

/// A slot of a minion for one request; dropping it hands the slot to the next queued request.
pub struct Permit {
    service: Rc<Service>,
    /// The minion.
    pub minion: Rc<Minion>,
    charge: Charge,
    started: BootInstant,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.minion.end_request();
        let duration = self.started.elapsed();
        self.service.inner.borrow_mut().queue.settle(&self.charge, duration);
        self.service.grant_slots();
    }
}

impl Services {
    /// Returns the service with the name `name`.
    pub fn get(&self, name: &ServiceName) -> Option<Rc<Service>> {
        self.services.borrow().get(name).cloned()
    }

    /// Updates the services to `fleet`; requests in flight keep their slots and connections.
    pub fn update(&self, fleet: &Fleet, zone: &ZoneName, borrower: &Rc<SlotBorrower>) {
        let mut services = self.services.borrow_mut();
        services.retain(|name, _| fleet.services.contains_key(name));
        for (name, config) in &fleet.services {
            let service = services
                .entry(name.clone())
                .or_insert_with(|| Service::new(name.clone(), borrower));
            service.update(config, zone);
        }
        for route in fleet.routes.values() {
            if let (Some(service), Some(group)) =
                (services.get(&route.service), fleet.tree.get(&route.group))
            {
                service.set_group(&route.group, &group.effective);
            }
        }
    }

    /// Sets the slots of all minions.
    pub fn set_slot_limits(&self, limits: &SlotLimits) {
        for (name, service) in &*self.services.borrow() {
            if let Some(limits) = limits.get(name) {
                service.set_slot_limits(limits);
            }
        }
    }

    /// Sets the leaving hosts, whose minions get no new requests.
    pub fn set_leaving_hosts(&self, hosts: &BTreeSet<HostId>) {
        for service in self.services.borrow().values() {
            for minion in &service.inner.borrow().minions {
                minion.set_host_leaving(hosts);
            }
        }
    }

    /// Ends `loan`, so that its slots can be used here again.
    pub fn reclaim(&self, loan: LoanId) {
        for service in self.services.borrow().values() {
            service.reclaim(loan);
        }
    }

    /// Returns whether this host has a slot of any minion, or there are no minions.
    pub fn has_slots(&self) -> bool {
        let services = self.services.borrow();
        let mut in_use = services.values().filter(|service| service.has_minions()).peekable();
        in_use.peek().is_none() || in_use.any(|service| service.slots() > 0)
    }

    /// Returns the services for `/state`.
    pub fn report(&self) -> Vec<ServiceReport> {
        self.services.borrow().values().map(|service| service.report()).collect()
    }
}

impl Service {
    fn new(name: ServiceName, borrower: &Rc<SlotBorrower>) -> Rc<Self> {
        let inner = Inner {
            minions: Vec::new(),
            queue: FairQueue::new(),
            retries: RetryBudget::new(),
            rng: SmallRng::from_os_rng(),
        };
        Rc::new(Self {
            name,
            inner: RefCell::new(inner),
            borrower: Rc::clone(borrower),
            is_borrowing: Cell::new(false),
        })
    }

    fn update(&self, config: &fleet::Service, zone: &ZoneName) {
        let mut inner = self.inner.borrow_mut();
        let mut minions = Vec::with_capacity(config.minions.len());
        for (id, row) in &config.minions {
            let is_same = |minion: &&Rc<Minion>| minion.id == *id && minion.is_same_server(row);
            let minion = match inner.minions.iter().find(is_same) {
                Some(minion) => Rc::clone(minion),
                None => Minion::new(id.clone(), self.name.clone(), row.clone(), zone),
            };
            minion.set_state(row.state);
            minions.push(minion);
        }
        inner.minions = minions;
    }

    fn set_group(&self, group: &GroupName, settings: &Effective) {
        let limit = settings.queue as usize;
        self.inner.borrow_mut().queue.set_group(group, settings.weight, limit);
    }

    fn set_slot_limits(self: &Rc<Self>, limits: &BTreeMap<MinionId, u32>) {
        for minion in &self.inner.borrow().minions {
            minion.set_slots(limits.get(&minion.id).copied().unwrap_or_default());
        }
        self.grant_slots();
    }

    fn has_minions(&self) -> bool {
        !self.inner.borrow().minions.is_empty()
    }

    fn slots(&self) -> u32 {
        self.inner.borrow().slots(BootInstant::now())
    }

    fn report(&self) -> ServiceReport {
        let inner = self.inner.borrow();
        ServiceReport {
            name: self.name.clone(),
            waiting: inner.queue.len(),
            minions: inner.minions.iter().map(|minion| minion.report()).collect(),
        }
    }

    /// Waits for a slot of a minion; one of `tried` is chosen only if there is no other.
    ///
    /// # Errors
    ///
    /// Returns `NoMinion` or `Overloaded` without waiting, and `DeadlineInQueue` once the deadline
    /// passes in the queue.
    pub async fn acquire(
        self: &Rc<Self>,
        queue_request: &QueueRequest,
        tried: &[MinionId],
    ) -> Result<Permit, ErrorKind> {
        let granted = match self.try_acquire(queue_request, tried)? {
            Acquired::Now(permit) => return Ok(permit),
            Acquired::Later(granted) => granted,
        };
        match time::timeout(queue_request.deadline.remaining(), granted).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(ErrorKind::NoMinion),
            Err(_) => Err(ErrorKind::DeadlineInQueue),
        }
    }

    fn try_acquire(
        self: &Rc<Self>,
        queue_request: &QueueRequest,
        tried: &[MinionId],
    ) -> Result<Acquired, ErrorKind> {
        let now = BootInstant::now();
        let mut inner = self.inner.borrow_mut();
        if inner.queue.is_empty()
            && let Some(minion) = inner.choose(tried, now)
        {
            let charge = inner.queue.charge(&queue_request.group);
            return Ok(Acquired::Now(self.permit(minion, charge, now)));
        }
        let slots = inner.slots(now);
        // A host without own slots can still borrow some.
        if slots == 0 && (inner.minions.is_empty() || !self.borrower.can_borrow()) {
            return Err(ErrorKind::NoMinion);
        }
        let (reply, granted) = oneshot::channel();
        let waiter = Waiter { tried: tried.to_vec(), reply };
        match inner.queue.push(queue_request, waiter, slots, now) {
            Ok(()) => {
                drop(inner);
                self.borrower.borrow_while_queued(self);
                Ok(Acquired::Later(granted))
            }
            Err(QueueError::Full | QueueError::Late) => Err(ErrorKind::Overloaded),
        }
    }

    fn permit(self: &Rc<Self>, minion: Rc<Minion>, charge: Charge, now: BootInstant) -> Permit {
        minion.start_request();
        Permit { service: Rc::clone(self), minion, charge, started: now }
    }

    /// Grants free slots to queued requests, in the order of the fair queue.
    fn grant_slots(self: &Rc<Self>) {
        // Permits are sent while `inner` is not borrowed: if a receiver is gone, its permit is
        // dropped here and calls this function again.
        while let Some(next) = self.next_grant() {
            for waiter in next.expired {
                let _ = waiter.reply.send(Err(ErrorKind::DeadlineInQueue));
            }
            let Some((waiter, permit)) = next.granted else {
                return;
            };
            let _ = waiter.reply.send(Ok(permit));
        }
    }

    fn next_grant(self: &Rc<Self>) -> Option<NextGrant> {
        let now = BootInstant::now();
        let mut inner = self.inner.borrow_mut();
        if inner.queue.is_empty() || inner.choose(&[], now).is_none() {
            return None;
        }
        let dequeued = inner.queue.pop(now);
        let granted = dequeued.next.and_then(|Dequeued { item, charge }| {
            let minion = inner.choose(&item.tried, now)?;
            Some((item, self.permit(minion, charge, now)))
        });
        Some(NextGrant { granted, expired: dequeued.late })
    }

    /// Returns the service's name.
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> u32 {
        self.inner.borrow().queue.len() as u32
    }

    /// Marks the service as borrowing and returns whether it was not before.
    pub fn try_begin_borrowing(&self) -> bool {
        !self.is_borrowing.replace(true)
    }

    /// Marks the service as not borrowing.
    pub fn end_borrowing(&self) {
        self.is_borrowing.set(false);
    }

    /// Lends up to `want` slots to another entry host, if no request is queued here.
    pub fn lend(&self, loan: LoanId, want: u32, grace: Duration) -> Vec<LentSlots> {
        let inner = self.inner.borrow();
        let now = BootInstant::now();
        let mut left = if inner.queue.is_empty() { want } else { 0 };
        let mut lent = Vec::new();
        for minion in inner.minions.iter().filter(|minion| minion.is_serving(now)) {
            let slots = minion.lend(loan, left, grace, now);
            left -= slots;
            if slots > 0 {
                lent.push(LentSlots { minion: minion.id.clone(), slots });
            }
        }
        lent
    }

    /// Ends `loan`, so that its slots can be used here again.
    fn reclaim(self: &Rc<Self>, loan: LoanId) {
        for minion in &self.inner.borrow().minions {
            minion.reclaim(loan);
        }
        self.grant_slots();
    }

    /// Adds slots that were borrowed with a request sent at `requested_at`.
    pub fn add_loan(self: &Rc<Self>, loan: LoanId, lent: &[LentSlots], requested_at: BootInstant) {
        for LentSlots { minion, slots } in lent {
            if let Some(minion) = self.minion(minion) {
                minion.add_loan(loan, *slots, requested_at);
            }
        }
        self.grant_slots();
    }

    /// Returns whether a minion in `lent` runs more requests of this host than its limit allows.
    pub fn is_over_limit(&self, lent: &[LentSlots]) -> bool {
        let now = BootInstant::now();
        let minions = lent.iter().filter_map(|lent| self.minion(&lent.minion));
        minions.into_iter().any(|minion| minion.is_over_limit(now))
    }

    fn minion(&self, id: &MinionId) -> Option<Rc<Minion>> {
        self.inner.borrow().minions.iter().find(|minion| minion.id == *id).cloned()
    }

    /// Records a success, which adds to the retry budget.
    pub fn record_success(&self) {
        self.inner.borrow_mut().retries.record_success();
    }

    /// Takes a retry from the budget and returns whether there was one.
    pub fn take_retry(&self) -> bool {
        self.inner.borrow_mut().retries.take()
    }
}

enum Acquired {
    Now(Permit),
    Later(oneshot::Receiver<Result<Permit, ErrorKind>>),
}

struct NextGrant {
    granted: Option<(Waiter, Permit)>,
    expired: Vec<Waiter>,
}

impl Inner {
    /// Returns the number of slots of the serving minions, or of all minions if that is zero.
    fn slots(&self, now: BootInstant) -> u32 {
        let serving = self.minions.iter().filter(|minion| minion.is_serving(now));
        let slots: u32 = serving.map(|minion| minion.limit(now)).sum();
        match slots {
            // All minions are leaving; using a leaving minion is better than failing requests.
            0 => self.minions.iter().map(|minion| minion.limit(now)).sum(),
            slots => slots,
        }
    }

    fn choose(&mut self, tried: &[MinionId], now: BootInstant) -> Option<Rc<Minion>> {
        let eligibility = self.eligibility(now);
        let candidates = self.minions.iter().map(|minion| {
            minion.candidate(now, eligibility.allows(minion, now), tried.contains(&minion.id))
        });
        let index = pick::choose(candidates, &mut self.rng)?;
        Some(Rc::clone(&self.minions[index]))
    }

    /// Returns the strictest eligibility that a minion with slots satisfies, so that neither
    /// ejection nor leaving can exclude all minions of a service.
    fn eligibility(&self, now: BootInstant) -> Eligibility {
        let levels = [Eligibility::Healthy, Eligibility::Serving];
        let has = |level: &Eligibility| {
            self.minions.iter().any(|minion| minion.limit(now) > 0 && level.allows(minion, now))
        };
        levels.into_iter().find(has).unwrap_or(Eligibility::Any)
    }
}

/// The minions that get new requests.
#[derive(Debug, Clone, Copy)]
enum Eligibility {
    /// Minions that are serving and not ejected.
    Healthy,
    /// All serving minions, since all of them are ejected.
    Serving,
    /// All minions, since all of them are leaving.
    Any,
}

impl Eligibility {
    fn allows(self, minion: &Minion, now: BootInstant) -> bool {
        match self {
            Self::Healthy => minion.is_serving(now) && !minion.is_ejected(now),
            Self::Serving => minion.is_serving(now),
            Self::Any => true,
        }
    }
}
