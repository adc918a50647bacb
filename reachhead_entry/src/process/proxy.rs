//! What the path thread's tasks share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use reachhead_config::entry::EntrySettings;
use reachhead_link::message::EntryReply;
use reachhead_ops::event::{Event, emit};
use reachhead_path::claim::ClaimTable;
use reachhead_types::{
    boot_instant::BootInstant,
    hosts::LeavingHosts,
    id::{Incarnation, LoanId, ServiceName},
    size::Version,
};
use serde::Serialize;

use crate::{
    process::{
        claim_writer::Claims,
        control_follower::Update,
        metrics::Metrics,
        peer_client::Asks,
        service::{ServiceState, Services},
        slot_borrower::Loans,
        status::{NO_VIEW, Ready},
    },
    route_table::Table,
};

/// The path thread's state; only that thread touches it.
pub struct Core {
    /// The settings that the process was started with.
    pub settings: EntrySettings,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// Counters.
    pub metrics: Metrics,
    /// The way to the store for claims.
    pub claims: Claims,
    /// The way to other entry hosts.
    pub asks: Rc<Asks>,
    /// Loans of slots from them.
    pub loans: Rc<Loans>,
    /// This process's attempts.
    pub attempts: RefCell<ClaimTable>,
    services: Services,
    table: RefCell<Rc<Table>>,
    /// The hosts that are leaving by the platform's list.
    leaving: RefCell<LeavingHosts>,
    /// Until when the view of configuration and members counts as fresh.
    fresh_until: Cell<Option<BootInstant>>,
    is_stopping: Cell<bool>,
    ready: Ready,
}

/// The state of the process as `/state` shows it.
#[derive(Debug, Serialize)]
pub struct CoreState {
    host: String,
    incarnation: Incarnation,
    version: Version,
    not_ready: Option<&'static str>,
    attempts: usize,
    services: Vec<ServiceState>,
}

impl Core {
    /// Returns the state of a process that knows no configuration yet.
    pub fn new(
        settings: EntrySettings,
        incarnation: Incarnation,
        metrics: Metrics,
        claims: Claims,
        asks: Asks,
        ready: Ready,
    ) -> Rc<Self> {
        let asks = Rc::new(asks);
        let loans = Loans::new(Rc::clone(&asks), settings.minions.loans);
        Rc::new(Self {
            settings,
            incarnation,
            metrics,
            claims,
            asks,
            loans,
            attempts: RefCell::new(ClaimTable::new()),
            services: Services::default(),
            table: RefCell::default(),
            leaving: RefCell::default(),
            fresh_until: Cell::new(None),
            is_stopping: Cell::new(false),
            ready,
        })
    }

    /// Returns the routes in force; a request keeps the ones that it started with.
    pub fn table(&self) -> Rc<Table> {
        Rc::clone(&self.table.borrow())
    }

    /// Takes what the follow thread learned.
    pub fn take_update(&self, update: Update) {
        self.fresh_until.set(self.fresh_until.get().max(update.fresh_until));
        if let Some(fleet) = &update.fleet {
            self.services.update(fleet, &self.settings.zone, &self.loans);
            let table = Table::new(fleet, &self.services, &self.metrics);
            *self.table.borrow_mut() = Rc::new(table);
            emit(Event::ConfigInForce, format_args!("version {}", fleet.version));
        }
        if let Some(leaving) = update.leaving {
            *self.leaving.borrow_mut() = leaving;
        }
        self.services.set_leaving(&self.leaving.borrow().hosts);
        if let Some(limits) = &update.limits {
            self.services.set_limits(limits);
        }
        self.loans.update(update.peers, update.longest);
        self.attempts
            .borrow_mut()
            .evict_ended(self.settings.claims.keep.duration(), BootInstant::now());
        self.ready.set(self.not_ready(), self.fresh_until.get());
    }

    /// Lends up to `want` slots of `service` to another entry host.
    pub fn lend(&self, service: &ServiceName, want: u32) -> EntryReply {
        let loan = LoanId(rand::random());
        // Whoever can't be sure of its own slots has none to lend.
        let service = self.services.get(service).filter(|_| self.is_fresh());
        let slots = service.map(|service| service.lend(loan, want, self.loans.grace()));
        EntryReply::Lent { loan, slots: slots.unwrap_or_default() }
    }

    /// Takes back what was lent as `loan`.
    pub fn take_back(&self, loan: LoanId) {
        self.services.take_back(loan);
    }

    /// Tells whether a request may be dispatched now by what this host knows.
    pub fn is_fresh(&self) -> bool {
        self.fresh_until.get().is_some_and(|until| BootInstant::now() < until)
    }

    /// Tells whether a shutdown was asked for.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Is not ready from now on.
    pub fn begin_shutdown(&self) {
        self.is_stopping.set(true);
        self.ready.set(self.not_ready(), self.fresh_until.get());
    }

    fn not_ready(&self) -> Option<&'static str> {
        if self.is_stopping.get() {
            return Some("shutting down");
        }
        if !self.is_fresh() {
            return Some(NO_VIEW);
        }
        if self.table.borrow().version().0 == 0 {
            return Some("no configuration yet");
        }
        if !self.services.has_share() {
            return Some("no share of any minion yet");
        }
        None
    }

    /// Returns the state for operators.
    pub fn state(&self) -> CoreState {
        CoreState {
            host: self.settings.host.to_string(),
            incarnation: self.incarnation,
            version: self.table.borrow().version(),
            not_ready: self.not_ready(),
            attempts: self.attempts.borrow().len(),
            services: self.services.state(),
        }
    }
}
