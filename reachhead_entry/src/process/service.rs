//! The services: each with its minions, its fair queue and its retry budget.

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
    follow::Limits,
    loans::Loans,
    minion::{Minion, MinionReport},
};

/// All services of the configuration in force.
#[derive(Default)]
pub struct Services {
    services: RefCell<BTreeMap<ServiceName, Rc<Service>>>,
}

/// One service.
pub struct Service {
    name: ServiceName,
    inner: RefCell<Inner>,
    loans: Rc<Loans>,
    is_borrowing: Cell<bool>,
}

struct Inner {
    minions: Vec<Rc<Minion>>,
    queue: FairQueue<Waiter>,
    retries: RetryBudget,
    rng: SmallRng,
}

/// A service as `/state` shows it.
#[derive(Debug, Serialize)]
pub struct ServiceState {
    name: ServiceName,
    waiting: usize,
    minions: Vec<MinionReport>,
}

/// Someone who waits for a permit.
struct Waiter {
    tried: Vec<MinionId>,
    reply: oneshot::Sender<Result<Permit, ErrorKind>>,
}

impl QueueItem for Waiter {
    fn is_wanted(&self) -> bool {
        !self.reply.is_closed()
    }
}

/// The right to run one request at a minion; dropping it gives the slot to the next.
pub struct Permit {
    service: Rc<Service>,
    /// The minion.
    pub minion: Rc<Minion>,
    charge: Charge,
    started: BootInstant,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.minion.end();
        let took = self.started.elapsed();
        self.service.inner.borrow_mut().queue.settle(&self.charge, took);
        self.service.pump();
    }
}

impl Services {
    /// Returns the service of `name`.
    pub fn get(&self, name: &ServiceName) -> Option<Rc<Service>> {
        self.services.borrow().get(name).cloned()
    }

    /// Brings the services in line with `fleet`; requests under way keep what they hold.
    pub fn update(&self, fleet: &Fleet, zone: &ZoneName, loans: &Rc<Loans>) {
        let mut services = self.services.borrow_mut();
        services.retain(|name, _| fleet.services.contains_key(name));
        for (name, described) in &fleet.services {
            let service =
                services.entry(name.clone()).or_insert_with(|| Service::new(name.clone(), loans));
            service.update(described, zone);
        }
        for route in fleet.routes.values() {
            if let (Some(service), Some(group)) =
                (services.get(&route.service), fleet.tree.get(&route.group))
            {
                service.set_group(&route.group, &group.effective);
            }
        }
    }

    /// Sets the limits of all minions.
    pub fn set_limits(&self, limits: &Limits) {
        for (name, service) in &*self.services.borrow() {
            if let Some(limits) = limits.get(name) {
                service.set_limits(limits);
            }
        }
    }

    /// Sets the hosts whose minions get nothing new.
    pub fn set_leaving(&self, hosts: &BTreeSet<HostId>) {
        for service in self.services.borrow().values() {
            for minion in &service.inner.borrow().minions {
                minion.set_host_leaving(hosts);
            }
        }
    }

    /// Takes back what was lent as `loan`.
    pub fn take_back(&self, loan: LoanId) {
        for service in self.services.borrow().values() {
            service.take_back(loan);
        }
    }

    /// Tells whether this host may run anything anywhere, or there is nothing to run.
    pub fn has_share(&self) -> bool {
        let services = self.services.borrow();
        let mut used = services.values().filter(|service| service.has_minions()).peekable();
        used.peek().is_none() || used.any(|service| service.slots() > 0)
    }

    /// Returns the services for operators.
    pub fn state(&self) -> Vec<ServiceState> {
        self.services.borrow().values().map(|service| service.state()).collect()
    }
}

impl Service {
    fn new(name: ServiceName, loans: &Rc<Loans>) -> Rc<Self> {
        let inner = Inner {
            minions: Vec::new(),
            queue: FairQueue::new(),
            retries: RetryBudget::new(),
            rng: SmallRng::from_os_rng(),
        };
        Rc::new(Self {
            name,
            inner: RefCell::new(inner),
            loans: Rc::clone(loans),
            is_borrowing: Cell::new(false),
        })
    }

    fn update(&self, described: &fleet::Service, zone: &ZoneName) {
        let mut inner = self.inner.borrow_mut();
        let mut minions = Vec::with_capacity(described.minions.len());
        for (id, row) in &described.minions {
            let is_same = |minion: &&Rc<Minion>| minion.id == *id && minion.is_at(row);
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

    fn set_limits(self: &Rc<Self>, limits: &BTreeMap<MinionId, u32>) {
        for minion in &self.inner.borrow().minions {
            minion.set_share(limits.get(&minion.id).copied().unwrap_or_default());
        }
        self.pump();
    }

    fn has_minions(&self) -> bool {
        !self.inner.borrow().minions.is_empty()
    }

    fn slots(&self) -> u32 {
        self.inner.borrow().slots(BootInstant::now())
    }

    fn state(&self) -> ServiceState {
        let inner = self.inner.borrow();
        ServiceState {
            name: self.name.clone(),
            waiting: inner.queue.len(),
            minions: inner.minions.iter().map(|minion| minion.report()).collect(),
        }
    }

    /// Waits for a minion that may run a request, a `tried` one only if there is no other.
    ///
    /// # Errors
    ///
    /// `NoMinion`, `Overloaded` or `DeadlineInQueue`, each as soon as it is known.
    pub async fn acquire(
        self: &Rc<Self>,
        ask: &QueueRequest,
        tried: &[MinionId],
    ) -> Result<Permit, ErrorKind> {
        let granted = match self.try_acquire(ask, tried)? {
            Acquired::Now(permit) => return Ok(permit),
            Acquired::Later(granted) => granted,
        };
        match time::timeout(ask.deadline.remaining(), granted).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(ErrorKind::NoMinion),
            Err(_) => Err(ErrorKind::DeadlineInQueue),
        }
    }

    fn try_acquire(
        self: &Rc<Self>,
        ask: &QueueRequest,
        tried: &[MinionId],
    ) -> Result<Acquired, ErrorKind> {
        let now = BootInstant::now();
        let mut inner = self.inner.borrow_mut();
        if inner.queue.is_empty()
            && let Some(minion) = inner.choose(tried, now)
        {
            let charge = inner.queue.charge(&ask.group);
            return Ok(Acquired::Now(self.permit(minion, charge, now)));
        }
        let slots = inner.slots(now);
        // Without a slot of its own this host can still borrow some.
        if slots == 0 && (inner.minions.is_empty() || !self.loans.is_possible()) {
            return Err(ErrorKind::NoMinion);
        }
        let (reply, granted) = oneshot::channel();
        let waiter = Waiter { tried: tried.to_vec(), reply };
        match inner.queue.push(ask, waiter, slots, now) {
            Ok(()) => {
                drop(inner);
                self.loans.need(self);
                Ok(Acquired::Later(granted))
            }
            Err(QueueError::Full | QueueError::Late) => Err(ErrorKind::Overloaded),
        }
    }

    fn permit(self: &Rc<Self>, minion: Rc<Minion>, charge: Charge, now: BootInstant) -> Permit {
        minion.start();
        Permit { service: Rc::clone(self), minion, charge, started: now }
    }

    /// Hands free slots to those who wait, by their groups' shares.
    fn pump(self: &Rc<Self>) {
        // Nothing is sent while the state is borrowed: a receiver that is gone drops its permit
        // here, which ends in another pump.
        while let Some(next) = self.next_turn() {
            for waiter in next.late {
                let _ = waiter.reply.send(Err(ErrorKind::DeadlineInQueue));
            }
            let Some((waiter, permit)) = next.granted else {
                return;
            };
            let _ = waiter.reply.send(Ok(permit));
        }
    }

    fn next_turn(self: &Rc<Self>) -> Option<NextTurn> {
        let now = BootInstant::now();
        let mut inner = self.inner.borrow_mut();
        if inner.queue.is_empty() || inner.choose(&[], now).is_none() {
            return None;
        }
        let popped = inner.queue.pop(now);
        let granted = popped.next.and_then(|Dequeued { item, charge }| {
            let minion = inner.choose(&item.tried, now)?;
            Some((item, self.permit(minion, charge, now)))
        });
        Some(NextTurn { granted, late: popped.late })
    }

    /// Returns the service's name.
    pub fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> u32 {
        self.inner.borrow().queue.len() as u32
    }

    /// Tells whether nobody borrows for this service yet, and marks that someone does.
    pub fn begin_borrowing(&self) -> bool {
        !self.is_borrowing.replace(true)
    }

    /// Marks that nobody borrows for this service any more.
    pub fn end_borrowing(&self) {
        self.is_borrowing.set(false);
    }

    /// Lends up to `want` slots, if no request waits here.
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

    /// Takes back what was lent as `loan`.
    fn take_back(self: &Rc<Self>, loan: LoanId) {
        for minion in &self.inner.borrow().minions {
            minion.take_back(loan);
        }
        self.pump();
    }

    /// Uses slots that were borrowed by a question asked at `asked`.
    pub fn borrow(self: &Rc<Self>, loan: LoanId, lent: &[LentSlots], asked: BootInstant) {
        for LentSlots { minion, slots } in lent {
            if let Some(minion) = self.minion(minion) {
                minion.borrow(loan, *slots, asked);
            }
        }
        self.pump();
    }

    /// Tells whether more requests run at one of the minions of `lent` than this host may run now.
    pub fn is_over_limit(&self, lent: &[LentSlots]) -> bool {
        let now = BootInstant::now();
        let minions = lent.iter().filter_map(|lent| self.minion(&lent.minion));
        minions.into_iter().any(|minion| minion.is_over_limit(now))
    }

    fn minion(&self, id: &MinionId) -> Option<Rc<Minion>> {
        self.inner.borrow().minions.iter().find(|minion| minion.id == *id).cloned()
    }

    /// Notes a success, which earns a part of a retry.
    pub fn succeed(&self) {
        self.inner.borrow_mut().retries.record_success();
    }

    /// Takes a retry off the budget, if there is one.
    pub fn take_retry(&self) -> bool {
        self.inner.borrow_mut().retries.take()
    }
}

enum Acquired {
    Now(Permit),
    Later(oneshot::Receiver<Result<Permit, ErrorKind>>),
}

struct NextTurn {
    granted: Option<(Waiter, Permit)>,
    late: Vec<Waiter>,
}

impl Inner {
    /// Returns the slots at minions that take new work.
    fn slots(&self, now: BootInstant) -> u32 {
        let serving = self.minions.iter().filter(|minion| minion.is_serving(now));
        let slots: u32 = serving.map(|minion| minion.limit(now)).sum();
        match slots {
            // Everyone is leaving: better a leaving minion than none.
            0 => self.minions.iter().map(|minion| minion.limit(now)).sum(),
            slots => slots,
        }
    }

    fn choose(&mut self, tried: &[MinionId], now: BootInstant) -> Option<Rc<Minion>> {
        let openness = self.openness(now);
        let candidates = self.minions.iter().map(|minion| {
            minion.candidate(now, openness.takes(minion, now), tried.contains(&minion.id))
        });
        let index = pick::choose(candidates, &mut self.rng)?;
        Some(Rc::clone(&self.minions[index]))
    }

    /// Neither ejection nor leaving may empty a service: the best that there is counts as open.
    fn openness(&self, now: BootInstant) -> Openness {
        let levels = [Openness::Good, Openness::Serving];
        let has = |level: &Openness| {
            self.minions.iter().any(|minion| minion.limit(now) > 0 && level.takes(minion, now))
        };
        levels.into_iter().find(has).unwrap_or(Openness::Any)
    }
}

/// Which minions get new requests.
#[derive(Debug, Clone, Copy)]
enum Openness {
    /// Those that serve and are not ejected.
    Good,
    /// Those that serve, since all of them are ejected.
    Serving,
    /// All, since all of them are leaving.
    Any,
}

impl Openness {
    fn takes(self, minion: &Minion, now: BootInstant) -> bool {
        match self {
            Self::Good => minion.is_serving(now) && !minion.is_ejected(now),
            Self::Serving => minion.is_serving(now),
            Self::Any => true,
        }
    }
}
