//! Confirmation of the owner's own lease before it concludes anything from the expiry of others.
//!
//! A successor adopts runs and renews the leases of their workers. An owner that does not reach the
//! store learns nothing of that, and may give orders for longer than a worker's lease lasts. So an
//! expiry proves an end only if the owner's lease was in force at that time or later.

use reachhead_types::size::Millis;

use crate::{
    clock::Tick,
    pool::{Action, Pool},
};

/// Pause between two requests. Leases of many workers expire one after the other when a link is cut,
/// and one request confirms the expiry of all before it.
const REQUEST_PAUSE: Millis = Millis(100);

/// State of the request for the owner's lease row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// The next request may be sent at this time.
    Due(Tick),
    /// The store is being read.
    InFlight,
}

impl Pool {
    /// Returns whether orders and leases that expire at `expiry` have certainly lost their effect:
    /// no successor had come by then that could have renewed them.
    pub(super) fn has_ended(&self, expiry: Tick) -> bool {
        expiry <= self.verified
    }

    /// Requests the owner's lease row if something has expired since it was last confirmed. The
    /// polls of the lease table confirm it seconds late, and tasks wait for it.
    pub(super) fn request_confirmation(&mut self, now: Tick) {
        if matches!(self.confirmation, Confirmation::Due(due) if due <= now)
            && self.awaits_confirmation(now)
        {
            self.confirmation = Confirmation::InFlight;
            self.actions.push(Action::ConfirmLease);
        }
    }

    fn awaits_confirmation(&self, now: Tick) -> bool {
        let silent = self.workers.values().filter(|worker| worker.silent);
        let leases = silent.filter(|worker| !worker.runs.is_empty()).flat_map(|worker| {
            let unreported = worker.unreported_expire_at(self.timeouts.grant);
            [worker.leases_expire_at(), unreported].into_iter().flatten()
        });
        let orders =
            self.pending.iter().filter_map(|(id, pending)| self.pending_until(id, pending));
        leases.chain(orders).any(|expiry| expiry <= now && !self.has_ended(expiry))
    }

    /// Processes the end of a request. The lease row named this owner when the store was asked, at
    /// `asked`; `None` if the store did not answer so.
    pub fn lease_read(&mut self, asked: Option<Tick>, now: Tick) {
        if let Some(at) = asked {
            self.verify(at);
        }
        self.confirmation = Confirmation::Due(now + REQUEST_PAUSE);
    }
}
