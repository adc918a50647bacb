//! Borrows slots of other entry hosts when requests wait here, and returns them.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use rand::seq::IndexedRandom;
use reachhead_link::message::{EntryReply, EntryRequest, LentSlots};
use reachhead_path::loan::LOAN_DURATION;
use reachhead_types::{boot_instant::BootInstant, id::LoanId};
use tokio::{task::spawn_local, time};

use crate::process::{peer_client::Asks, service::Service};

/// Pause between two questions for loans of one service.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two looks whether requests on borrowed slots are over.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// What borrowing needs to know of the other entry hosts.
pub struct Loans {
    asks: Rc<Asks>,
    peers: RefCell<Vec<SocketAddr>>,
    /// The longest time for which a request may run on a slot.
    longest: Cell<Duration>,
    is_on: bool,
}

impl Loans {
    /// Returns loans over `asks`; nothing is borrowed unless `is_on`.
    pub fn new(asks: Rc<Asks>, is_on: bool) -> Rc<Self> {
        let peers = RefCell::default();
        Rc::new(Self { asks, peers, longest: Cell::default(), is_on })
    }

    /// Sets the other entry hosts and the longest time of a request.
    pub fn update(&self, peers: Vec<SocketAddr>, longest: Duration) {
        *self.peers.borrow_mut() = peers;
        self.longest.set(longest);
    }

    /// Returns for how long after a loan's term its requests may still run.
    pub fn grace(&self) -> Duration {
        self.longest.get()
    }

    /// Tells whether there is anyone to borrow from.
    pub fn is_possible(&self) -> bool {
        self.is_on && !self.peers.borrow().is_empty()
    }

    /// Borrows for `service` as long as requests wait there; one task a service does.
    pub fn need(self: &Rc<Self>, service: &Rc<Service>) {
        if !self.is_possible() || !service.begin_borrowing() {
            return;
        }
        let loans = Rc::clone(self);
        let service = Rc::downgrade(service);
        spawn_local(async move { loans.borrow_for(&service).await });
    }

    async fn borrow_for(self: Rc<Self>, service: &Weak<Service>) {
        while let Some(service) = service.upgrade() {
            let want = service.waiting();
            if want == 0 {
                service.end_borrowing();
                return;
            }
            let asked = BootInstant::now();
            if let Some((loan, peer, slots)) = self.ask(&service, want).await {
                // This host may have been taken off the list while it asked.
                if self.is_possible() {
                    service.borrow(loan, &slots, asked);
                }
                spawn_local(Rc::clone(&self).give_back(service, loan, peer, slots));
            }
            time::sleep(ASK_PAUSE).await;
        }
    }

    async fn ask(
        &self,
        service: &Service,
        want: u32,
    ) -> Option<(LoanId, SocketAddr, Vec<LentSlots>)> {
        let peer = self.peers.borrow().choose(&mut rand::rng()).copied()?;
        let question = EntryRequest::Borrow { service: service.name().clone(), want };
        match self.asks.ask(peer, question).await? {
            EntryReply::Lent { loan, slots } if !slots.is_empty() => Some((loan, peer, slots)),
            _ => None,
        }
    }

    /// Returns a loan once its term is over and no request is left on it.
    async fn give_back(
        self: Rc<Self>,
        service: Rc<Service>,
        loan: LoanId,
        peer: SocketAddr,
        slots: Vec<LentSlots>,
    ) {
        time::sleep(LOAN_DURATION).await;
        let limit = BootInstant::now() + self.grace();
        while service.is_over_limit(&slots) && BootInstant::now() < limit {
            time::sleep(LOOK_PAUSE).await;
        }
        // If this is lost, the lender takes them back after the grace.
        let _ = self.asks.ask(peer, EntryRequest::Return { loan }).await;
    }
}
