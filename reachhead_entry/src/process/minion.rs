//! A minion as this entry host uses it: its share, its connections, its failures.

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

/// How long a minion that said it is going away gets nothing new.
const LEAVING_TERM: Duration = Duration::from_secs(5);

/// A connection that waits for its next request.
struct Idle {
    sender: Sender,
    since: BootInstant,
}

/// A minion of one service.
pub struct Minion {
    /// Its name, unique in the service.
    pub id: MinionId,
    /// The service.
    pub service: ServiceName,
    /// Its row when this value was made; another address makes another value.
    pub row: MinionRow,
    is_local: bool,
    /// Slots of this host's own.
    share: Cell<u32>,
    loans: RefCell<LoanTable>,
    running: Cell<u32>,
    state: Cell<MinionState>,
    /// Whether its host is leaving by the platform's list.
    is_host_leaving: Cell<bool>,
    leaving_until: Cell<Option<BootInstant>>,
    ejection: RefCell<Ejection>,
    idle: RefCell<Vec<Idle>>,
}

/// A minion as `/state` shows it.
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
    /// Returns a minion without a share, as seen from `zone`.
    pub fn new(id: MinionId, service: ServiceName, row: MinionRow, zone: &ZoneName) -> Rc<Self> {
        Rc::new(Self {
            id,
            service,
            is_local: row.zone == *zone,
            state: Cell::new(row.state),
            row,
            share: Cell::new(0),
            loans: RefCell::default(),
            running: Cell::new(0),
            is_host_leaving: Cell::new(false),
            leaving_until: Cell::new(None),
            ejection: RefCell::new(Ejection::new()),
            idle: RefCell::default(),
        })
    }

    /// Tells whether `row` describes the same process, which may have another state by now.
    pub fn is_at(&self, row: &MinionRow) -> bool {
        let own = &self.row;
        own.address == row.address && own.zone == row.zone && own.host == row.host
    }

    /// Returns how many requests this host may run here.
    pub fn limit(&self, now: BootInstant) -> u32 {
        let loans = self.loans.borrow();
        match loans.is_empty() {
            true => self.share.get(),
            false => loans.limit(self.share.get(), now),
        }
    }

    /// Tells whether more requests run here than may be started now.
    pub fn is_over_limit(&self, now: BootInstant) -> bool {
        self.running.get() > self.limit(now)
    }

    /// Lends up to `want` slots and returns how many.
    pub fn lend(&self, loan: LoanId, want: u32, grace: Duration, now: BootInstant) -> u32 {
        let share = SlotUsage { slots: self.share.get(), running: self.running.get() };
        self.loans.borrow_mut().lend(loan, share, want, grace, now)
    }

    /// Takes back what was lent as `loan`.
    pub fn take_back(&self, loan: LoanId) {
        self.loans.borrow_mut().end_loan(loan);
    }

    /// Uses slots that were borrowed by a question asked at `asked`.
    pub fn borrow(&self, loan: LoanId, slots: u32, asked: BootInstant) {
        self.loans.borrow_mut().borrow(loan, slots, asked, BootInstant::now());
    }

    /// Sets this host's own slots here; connections beyond them are closed.
    pub fn set_share(&self, share: u32) {
        self.share.set(share);
        self.idle.borrow_mut().truncate(share as usize);
    }

    /// Sets whether the configuration lets it take new work.
    pub fn set_state(&self, state: MinionState) {
        self.state.set(state);
    }

    /// Sets whether its host is among the leaving `hosts`.
    pub fn set_host_leaving(&self, hosts: &BTreeSet<HostId>) {
        let is_leaving = self.row.host.as_ref().is_some_and(|host| hosts.contains(host));
        self.is_host_leaving.set(is_leaving);
    }

    /// Tells whether it takes new work as far as it and the configuration say.
    pub fn is_serving(&self, now: BootInstant) -> bool {
        let said_leaving = self.leaving_until.get().is_some_and(|until| now < until);
        let is_leaving = said_leaving || self.is_host_leaving.get();
        self.state.get() == MinionState::Serving && !is_leaving
    }

    /// Tells whether it failed so often that it is left alone.
    pub fn is_ejected(&self, now: BootInstant) -> bool {
        self.ejection.borrow().is_ejected(now)
    }

    /// Returns the minion as the choice sees it.
    pub fn candidate(&self, now: BootInstant, is_open: bool, was_tried: bool) -> Candidate {
        Candidate {
            running: self.running.get(),
            limit: self.limit(now),
            is_local: self.is_local,
            is_open,
            was_tried,
        }
    }

    /// Counts a request that starts here.
    pub fn start(&self) {
        self.running.set(self.running.get() + 1);
    }

    /// Counts a request that is over.
    pub fn end(&self) {
        self.running.set(self.running.get().saturating_sub(1));
    }

    /// Notes an answer.
    pub fn succeed(&self) {
        let step = self.ejection.borrow_mut().record_success();
        self.tell(step);
    }

    /// Notes a failure.
    pub fn fail(&self) {
        let step = self.ejection.borrow_mut().record_failure(BootInstant::now());
        self.tell(step);
    }

    fn tell(&self, step: EjectionChange) {
        let event = match step {
            EjectionChange::Unchanged => return,
            EjectionChange::Ejected => Event::MinionEjected,
            EjectionChange::Restored => Event::MinionRestored,
        };
        emit(event, format_args!("{}/{}", self.service, self.id));
    }

    /// Notes that the minion said it is going away.
    pub fn note_leaving(&self) {
        let now = BootInstant::now();
        if self.is_serving(now) {
            emit(Event::MinionLeaving, format_args!("{}/{}", self.service, self.id));
        }
        self.leaving_until.set(Some(now + LEAVING_TERM));
    }

    /// Takes a connection that is still open and was not idle for longer than `idle_time`.
    pub fn take_idle(&self, idle_time: Duration) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        while let Some(Idle { sender, since }) = idle.pop() {
            if !sender.is_closed() && since.elapsed() < idle_time {
                return Some(sender);
            }
        }
        None
    }

    /// Keeps a connection whose last answer is whole.
    pub fn put_idle(&self, sender: Sender) {
        let mut idle = self.idle.borrow_mut();
        if !sender.is_closed() && idle.len() < self.share.get() as usize {
            idle.push(Idle { sender, since: BootInstant::now() });
        }
    }

    /// Returns the minion for operators.
    pub fn report(&self) -> MinionReport {
        MinionReport {
            id: self.id.clone(),
            limit: self.limit(BootInstant::now()),
            running: self.running.get(),
            idle: self.idle.borrow().len(),
            state: self.state.get(),
            is_serving: self.is_serving(BootInstant::now()),
            is_ejected: self.is_ejected(BootInstant::now()),
        }
    }
}
