//! The state of the proxy, shared by all tasks of the path thread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use reachhead_config::entry::EntrySettings;
use reachhead_link::message::EntryReply;
use reachhead_ops::{
    connections::Budget,
    event::{Event, emit},
};
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
        claim_writer::ClaimWriter,
        control_follower::ControlUpdate,
        metrics::Metrics,
        peer_client::PeerClient,
        service::{ServiceReport, Services},
        slot_borrower::SlotBorrower,
        status::{Readiness, STALE_VIEW},
    },
    route_table::RouteTable,
};

/// The state of the proxy; only the path thread accesses it.
pub struct Proxy {
    /// The settings that the process was started with.
    pub settings: EntrySettings,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// Limits on what callers' connections hold.
    pub budget: Arc<Budget>,
    /// Writes idempotency claims to the store.
    pub claim_writer: ClaimWriter,
    /// Sends requests to other entry hosts.
    pub peer_client: Rc<PeerClient>,
    /// Borrows slots from other entry hosts.
    pub borrower: Rc<SlotBorrower>,
    /// The attempts of this process to run requests with idempotency keys.
    pub attempts: RefCell<ClaimTable>,
    services: Services,
    routes: RefCell<Rc<RouteTable>>,
    /// The hosts that are leaving according to the platform's host list.
    leaving_hosts: RefCell<LeavingHosts>,
    /// Until when this process may rely on its view of configuration and membership.
    fresh_until: Cell<Option<BootInstant>>,
    is_stopping: Cell<bool>,
    readiness: Readiness,
}

/// The state of the process in the response to `/state`.
#[derive(Debug, Serialize)]
pub struct ProxyReport {
    host: String,
    incarnation: Incarnation,
    version: Version,
    not_ready: Option<&'static str>,
    attempts: usize,
    services: Vec<ServiceReport>,
}

impl Proxy {
    /// Returns the state of a process that has no configuration yet.
    pub fn new(
        settings: EntrySettings,
        incarnation: Incarnation,
        metrics: Metrics,
        budget: Arc<Budget>,
        claim_writer: ClaimWriter,
        peer_client: PeerClient,
        readiness: Readiness,
    ) -> Rc<Self> {
        let peer_client = Rc::new(peer_client);
        let borrower = SlotBorrower::new(Rc::clone(&peer_client), settings.minions.loans);
        Rc::new(Self {
            settings,
            incarnation,
            metrics,
            budget,
            claim_writer,
            peer_client,
            borrower,
            attempts: RefCell::new(ClaimTable::new()),
            services: Services::default(),
            routes: RefCell::default(),
            leaving_hosts: RefCell::default(),
            fresh_until: Cell::new(None),
            is_stopping: Cell::new(false),
            readiness,
        })
    }

    /// Returns the current routes; a request keeps the ones that it started with.
    pub fn routes(&self) -> Rc<RouteTable> {
        Rc::clone(&self.routes.borrow())
    }

    /// Applies an update from the control process.
    pub fn apply_update(&self, update: ControlUpdate) {
        self.fresh_until.set(self.fresh_until.get().max(update.fresh_until));
        if let Some(fleet) = &update.fleet {
            self.services.update(fleet, &self.settings.zone, &self.borrower);
            let routes = RouteTable::new(fleet, &self.services, &self.metrics);
            *self.routes.borrow_mut() = Rc::new(routes);
            emit(Event::ConfigInForce, format_args!("version {}", fleet.version));
        }
        if let Some(leaving_hosts) = update.leaving_hosts {
            *self.leaving_hosts.borrow_mut() = leaving_hosts;
        }
        self.services.set_leaving_hosts(&self.leaving_hosts.borrow().hosts);
        if let Some(slot_limits) = &update.slot_limits {
            self.services.set_slot_limits(slot_limits);
        }
        self.borrower.update(update.peers, update.max_request_time);
        self.attempts
            .borrow_mut()
            .evict_ended(self.settings.claims.keep.duration(), BootInstant::now());
        self.readiness.set(self.unready_reason(), self.fresh_until.get());
    }

    /// Lends up to `want` slots of `service` to another entry host; returns those that were lent.
    pub fn lend(&self, service: &ServiceName, want: u32) -> EntryReply {
        let loan = LoanId(rand::random());
        // With a stale view, this host can't rely on its own slots, so it lends none.
        let service = self.services.get(service).filter(|_| self.is_fresh());
        let slots = service.map(|service| service.lend(loan, want, self.borrower.loan_grace()));
        EntryReply::Lent { loan, slots: slots.unwrap_or_default() }
    }

    /// Ends `loan`, so that its slots can be used here again.
    pub fn reclaim(&self, loan: LoanId) {
        self.services.reclaim(loan);
    }

    /// Returns whether the view of configuration and membership is fresh, as dispatching requires.
    pub fn is_fresh(&self) -> bool {
        self.fresh_until.get().is_some_and(|until| BootInstant::now() < until)
    }

    /// Returns whether the process has received a shutdown signal.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Makes the process report not ready from now on.
    pub fn begin_shutdown(&self) {
        self.is_stopping.set(true);
        self.readiness.set(self.unready_reason(), self.fresh_until.get());
    }

    fn unready_reason(&self) -> Option<&'static str> {
        if self.is_stopping.get() {
            return Some("shutting down");
        }
        if !self.is_fresh() {
            return Some(STALE_VIEW);
        }
        if self.routes.borrow().version().0 == 0 {
            return Some("no configuration yet");
        }
        if !self.services.has_slots() {
            return Some("no share of any minion yet");
        }
        None
    }

    /// Returns the state for `/state`.
    pub fn report(&self) -> ProxyReport {
        ProxyReport {
            host: self.settings.host.to_string(),
            incarnation: self.incarnation,
            version: self.routes.borrow().version(),
            not_ready: self.unready_reason(),
            attempts: self.attempts.borrow().len(),
            services: self.services.report(),
        }
    }
}
