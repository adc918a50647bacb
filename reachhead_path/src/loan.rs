//! Short loans of slots between entry hosts, for when the load balancer in front sends one host
//! more requests than others.
//!
//! Both sides measure the duration of a loan by their own clocks: the borrower from before it sent
//! the request, the lender from when it answered, so the borrower stops first. Requests may still
//! run on borrowed slots at that time, so the lender waits until the loan is returned, or for a
//! grace period after which no request can be left. docs/LIMITS.md has the safety argument,
//! together with that of the slot shares.

use std::time::Duration;

use reachhead_types::{boot_instant::BootInstant, id::LoanId};

/// How long a borrower may start requests on borrowed slots. It is shorter than the time within
/// which any host notices a new membership list.
pub const LOAN_DURATION: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct Loan {
    id: LoanId,
    slots: u32,
    until: BootInstant,
}

/// The slots of one minion that an entry host has lent and borrowed.
#[derive(Debug, Clone, Default)]
pub struct LoanTable {
    lent: Vec<Loan>,
    borrowed: Vec<Loan>,
}

impl LoanTable {
    /// Returns a table without loans.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether there are no loans, which is the usual case.
    pub fn is_empty(&self) -> bool {
        self.lent.is_empty() && self.borrowed.is_empty()
    }

    /// Returns how many requests this host may run, given its own `share` of slots.
    pub fn limit(&self, share: u32, now: BootInstant) -> u32 {
        share.saturating_sub(active_slots(&self.lent, now)) + active_slots(&self.borrowed, now)
    }

    /// Lends up to `want` free slots of `share` and returns how many.
    ///
    /// Half of the free slots are kept, and borrowed slots are not lent to others. A loan ends when
    /// the borrower returns it, or after [`LOAN_DURATION`] plus `grace`.
    pub fn lend(
        &mut self,
        id: LoanId,
        share: SlotUsage,
        want: u32,
        grace: Duration,
        now: BootInstant,
    ) -> u32 {
        self.expire(now);
        let own = share.slots.saturating_sub(active_slots(&self.lent, now));
        let free = own.saturating_sub(share.running);
        let slots = want.min(free / 2);
        if slots > 0 {
            self.lent.push(Loan { id, slots, until: now + LOAN_DURATION + grace });
        }
        slots
    }

    /// Records slots that were borrowed by a request sent at `requested`.
    pub fn borrow(&mut self, id: LoanId, slots: u32, requested: BootInstant, now: BootInstant) {
        self.expire(now);
        self.borrowed.push(Loan { id, slots, until: requested + LOAN_DURATION });
    }

    /// Ends the loan `id` that this host gave, since the borrower returned it.
    pub fn end_loan(&mut self, id: LoanId) {
        self.lent.retain(|loan| loan.id != id);
    }

    fn expire(&mut self, now: BootInstant) {
        self.lent.retain(|loan| loan.until > now);
        self.borrowed.retain(|loan| loan.until > now);
    }
}

/// The slots of a minion that a lender has and uses.
#[derive(Debug, Clone, Copy)]
pub struct SlotUsage {
    /// Slots of its own share.
    pub slots: u32,
    /// Requests of this host that run on the minion.
    pub running: u32,
}

/// Returns the number of slots of the loans that have not expired.
fn active_slots(loans: &[Loan], now: BootInstant) -> u32 {
    loans.iter().filter(|loan| loan.until > now).map(|loan| loan.slots).sum()
}
