//! Borrows slots from other entry hosts while requests are queued here, and returns them.

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

use crate::process::{peer_client::PeerClient, service::Service};

/// Pause between two loan requests for a service.
const BORROW_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two checks whether the requests on borrowed slots have ended.
const RETURN_CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Borrows slots from the entry processes of other hosts.
pub struct SlotBorrower {
    peer_client: Rc<PeerClient>,
    peers: RefCell<Vec<SocketAddr>>,
    /// The longest time that a request may occupy a slot.
    max_request_time: Cell<Duration>,
    is_enabled: bool,
}

impl SlotBorrower {
    /// Returns a borrower that uses `peer_client`; it does nothing unless `is_enabled`.
    pub fn new(peer_client: Rc<PeerClient>, is_enabled: bool) -> Rc<Self> {
        let peers = RefCell::default();
        Rc::new(Self { peer_client, peers, max_request_time: Cell::default(), is_enabled })
    }

    /// Sets the addresses of the other entry processes and the longest time of a request.
    pub fn update(&self, peers: Vec<SocketAddr>, max_request_time: Duration) {
        *self.peers.borrow_mut() = peers;
        self.max_request_time.set(max_request_time);
    }

    /// Returns how long requests may still run on borrowed slots after the end of a loan.
    pub fn loan_grace(&self) -> Duration {
        self.max_request_time.get()
    }

    /// Returns whether borrowing is enabled and there are other entry hosts.
    pub fn can_borrow(&self) -> bool {
        self.is_enabled && !self.peers.borrow().is_empty()
    }

    /// Starts a task that borrows for `service` while it has queued requests, unless one runs.
    pub fn borrow_while_queued(self: &Rc<Self>, service: &Rc<Service>) {
        if !self.can_borrow() || !service.try_begin_borrowing() {
            return;
        }
        let borrower = Rc::clone(self);
        let service = Rc::downgrade(service);
        spawn_local(async move { borrower.borrow_for(&service).await });
    }

    async fn borrow_for(self: Rc<Self>, service: &Weak<Service>) {
        while let Some(service) = service.upgrade() {
            let want = service.waiting();
            if want == 0 {
                service.end_borrowing();
                return;
            }
            let requested_at = BootInstant::now();
            if let Some((loan, peer, slots)) = self.request_loan(&service, want).await {
                // This host may have been removed from the membership list during the request.
                if self.can_borrow() {
                    service.add_loan(loan, &slots, requested_at);
                }
                spawn_local(Rc::clone(&self).return_loan(service, loan, peer, slots));
            }
            time::sleep(BORROW_PAUSE).await;
        }
    }

    async fn request_loan(
        &self,
        service: &Service,
        want: u32,
    ) -> Option<(LoanId, SocketAddr, Vec<LentSlots>)> {
        let peer = self.peers.borrow().choose(&mut rand::rng()).copied()?;
        let request = EntryRequest::Borrow { service: service.name().clone(), want };
        match self.peer_client.call(peer, request).await? {
            EntryReply::Lent { loan, slots } if !slots.is_empty() => Some((loan, peer, slots)),
            _ => None,
        }
    }

    /// Returns a loan to its lender once it has expired and no request runs on it any more, at the
    /// latest after the grace period.
    async fn return_loan(
        self: Rc<Self>,
        service: Rc<Service>,
        loan: LoanId,
        peer: SocketAddr,
        slots: Vec<LentSlots>,
    ) {
        time::sleep(LOAN_DURATION).await;
        let return_deadline = BootInstant::now() + self.loan_grace();
        while service.is_over_limit(&slots) && BootInstant::now() < return_deadline {
            time::sleep(RETURN_CHECK_PAUSE).await;
        }
        // If the message is lost, the lender reclaims the slots after the grace period.
        let _ = self.peer_client.call(peer, EntryRequest::Return { loan }).await;
    }
}
