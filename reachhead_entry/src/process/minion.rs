//! The state of a minion on this entry host: its slots, connections and failures.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

use reachhead_ops::event::{Event, emit};
use reachhead_path::{
    eject::{Ejection, EjectionChange},
    loan::{LoanTable, SlotUsage},
    pick::Candidate,
};
use reachhead_types::{
    boot_instant::BootInstant,
    fleet::{MinionRow, MinionState},
    id::{HostId, LoanId, MinionId, ServiceName, ZoneName},
};
use serde::Serialize;

use crate::connection::minion_client::Sender;

/// How long a minion that announced its shutdown gets no new requests.
const LEAVING_DURATION: Duration = Duration::from_secs(5);

/// An idle connection to a minion.
struct IdleConnection {
    sender: Sender,
    idle_since: BootInstant,
}

/// A minion of one service.
pub struct Minion {
    /// Its name, which is unique within the service.
    pub id: MinionId,
    /// The service.
    pub service: ServiceName,
    /// Its configuration row at creation; a change of address, zone or host creates a new `Minion`.
    pub row: MinionRow,
    is_local: bool,
    /// The slots that the slot shares assign to this host.
    own_slots: Cell<u32>,
    loans: RefCell<LoanTable>,
    running: Cell<u32>,
    state: Cell<MinionState>,
    /// Whether its host is leaving according to the platform's host list.
    is_host_leaving: Cell<bool>,
    announced_leaving_until: Cell<Option<BootInstant>>,
    ejection: RefCell<Ejection>,
    idle_connections: RefCell<Vec<IdleConnection>>,
}

/// A minion in the response to `/state`.
#[derive(Debug, Serialize)]
pub struct MinionReport {
    id: MinionId,
    limit: u32,
    running: u32,
    idle: usize,
    state: MinionState,
    is_serving: bool,
    is_ejected: bool,
}

impl Minion {
    /// Returns a minion without slots; it is local if it is in `zone`.
    pub fn new(id: MinionId, service: ServiceName, row: MinionRow, zone: &ZoneName) -> Rc<Self> {
        Rc::new(Self {
            id,
            service,
            is_local: row.zone == *zone,
            state: Cell::new(row.state),
            row,
            own_slots: Cell::new(0),
            loans: RefCell::default(),
            running: Cell::new(0),
            is_host_leaving: Cell::new(false),
            announced_leaving_until: Cell::new(None),
            ejection: RefCell::new(Ejection::new()),
            idle_connections: RefCell::default(),
        })
    }

    /// Returns whether `row` describes the same server, though its state may differ.
    pub fn is_same_server(&self, row: &MinionRow) -> bool {
        let own = &self.row;
        own.address == row.address && own.zone == row.zone && own.host == row.host
    }

    /// Returns how many requests this host may run on the minion at once.
    pub fn limit(&self, now: BootInstant) -> u32 {
        let loans = self.loans.borrow();
        match loans.is_empty() {
            true => self.own_slots.get(),
            false => loans.limit(self.own_slots.get(), now),
        }
    }

    /// Returns whether more requests of this host run than the current limit allows.
    pub fn is_over_limit(&self, now: BootInstant) -> bool {
        self.running.get() > self.limit(now)
    }

    /// Lends up to `want` slots and returns the number of slots that were lent.
    pub fn lend(&self, loan: LoanId, want: u32, grace: Duration, now: BootInstant) -> u32 {
        let usage = SlotUsage { slots: self.own_slots.get(), running: self.running.get() };
        self.loans.borrow_mut().lend(loan, usage, want, grace, now)
    }

    /// Ends `loan`, so that its slots can be used here again.
    pub fn reclaim(&self, loan: LoanId) {
        self.loans.borrow_mut().end_loan(loan);
    }

    /// Adds slots that were borrowed with a request sent at `requested_at`.
    pub fn add_loan(&self, loan: LoanId, slots: u32, requested_at: BootInstant) {
        self.loans.borrow_mut().borrow(loan, slots, requested_at, BootInstant::now());
    }

    /// Sets the slots of this host and closes idle connections beyond that number.
    pub fn set_slots(&self, slots: u32) {
        self.own_slots.set(slots);
        self.idle_connections.borrow_mut().truncate(slots as usize);
    }

    /// Sets the configured state.
    pub fn set_state(&self, state: MinionState) {
        self.state.set(state);
    }

    /// Sets whether its host is one of the leaving `hosts`.
    pub fn set_host_leaving(&self, hosts: &BTreeSet<HostId>) {
        let is_leaving = self.row.host.as_ref().is_some_and(|host| hosts.contains(host));
        self.is_host_leaving.set(is_leaving);
    }

    /// Returns whether it is configured as serving and neither it nor its host is leaving.
    pub fn is_serving(&self, now: BootInstant) -> bool {
        let has_announced = self.announced_leaving_until.get().is_some_and(|until| now < until);
        let is_leaving = has_announced || self.is_host_leaving.get();
        self.state.get() == MinionState::Serving && !is_leaving
    }

    /// Returns whether it is ejected because of its failures.
    pub fn is_ejected(&self, now: BootInstant) -> bool {
        self.ejection.borrow().is_ejected(now)
    }

    /// Returns the input for choosing a minion.
    pub fn candidate(&self, now: BootInstant, is_open: bool, was_tried: bool) -> Candidate {
        Candidate {
            running: self.running.get(),
            limit: self.limit(now),
            is_local: self.is_local,
            is_open,
            was_tried,
        }
    }

    /// Counts a request as running.
    pub fn start_request(&self) {
        self.running.set(self.running.get() + 1);
    }

    /// Stops counting a request as running.
    pub fn end_request(&self) {
        self.running.set(self.running.get().saturating_sub(1));
    }

    /// Records a response, which may restore the minion.
    pub fn record_success(&self) {
        let change = self.ejection.borrow_mut().record_success();
        self.emit_change(change);
    }

    /// Records a failure, which may eject the minion.
    pub fn record_failure(&self) {
        let change = self.ejection.borrow_mut().record_failure(BootInstant::now());
        self.emit_change(change);
    }

    fn emit_change(&self, change: EjectionChange) {
        let event = match change {
            EjectionChange::Unchanged => return,
            EjectionChange::Ejected => Event::MinionEjected,
            EjectionChange::Restored => Event::MinionRestored,
        };
        emit(event, format_args!("{}/{}", self.service, self.id));
    }

    /// Records that the minion announced its shutdown.
    pub fn mark_leaving(&self) {
        let now = BootInstant::now();
        if self.is_serving(now) {
            emit(Event::MinionLeaving, format_args!("{}/{}", self.service, self.id));
        }
        self.announced_leaving_until.set(Some(now + LEAVING_DURATION));
    }

    /// Takes an idle connection that is open and was idle for less than `idle_time`.
    pub fn take_idle(&self, idle_time: Duration) -> Option<Sender> {
        let mut idle_connections = self.idle_connections.borrow_mut();
        while let Some(IdleConnection { sender, idle_since }) = idle_connections.pop() {
            if !sender.is_closed() && idle_since.elapsed() < idle_time {
                return Some(sender);
            }
        }
        None
    }

    /// Keeps a connection whose last response was received completely.
    pub fn put_idle(&self, sender: Sender) {
        let mut idle_connections = self.idle_connections.borrow_mut();
        if !sender.is_closed() && idle_connections.len() < self.own_slots.get() as usize {
            idle_connections.push(IdleConnection { sender, idle_since: BootInstant::now() });
        }
    }

    /// Returns the state for `/state`.
    pub fn report(&self) -> MinionReport {
        MinionReport {
            id: self.id.clone(),
            limit: self.limit(BootInstant::now()),
            running: self.running.get(),
            idle: self.idle_connections.borrow().len(),
            state: self.state.get(),
            is_serving: self.is_serving(BootInstant::now()),
            is_ejected: self.is_ejected(BootInstant::now()),
        }
    }
}
