//! Short loans of slots between entry hosts, for when the balancer gives one host more than others.
//!
//! A loan has a term that both sides count on their own clocks: the borrower from before it asked,
//! the lender from when it answered, so the borrower stops first. Requests may still run then, so
//! the lender waits for the return, or for a grace after which none can be left. docs/LIMITS.md has
//! the argument together with that of the shares.

use std::time::Duration;

use reachhead_types::{boot_instant::BootInstant, id::LoanId};

/// For how long a borrower may start requests on borrowed slots; shorter than any time to notice a
/// new list of entry hosts.
pub const LOAN_DURATION: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct Loan {
    id: LoanId,
    slots: u32,
    until: BootInstant,
}

/// The loans of one minion's slots that one entry host has given and taken.
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

    /// Tells whether there is no loan, which is the usual case.
    pub fn is_empty(&self) -> bool {
        self.lent.is_empty() && self.borrowed.is_empty()
    }

    /// Returns how many requests may run with `share` slots of this host's own.
    pub fn limit(&self, share: u32, now: BootInstant) -> u32 {
        share.saturating_sub(running(&self.lent, now)) + running(&self.borrowed, now)
    }

    /// Lends up to `want` of the free ones of `share` slots and returns how many.
    ///
    /// Half of what is free stays here, and borrowed slots are not lent on. They come back when the
    /// borrower returns them, or after the term and `grace`.
    pub fn lend(
        &mut self,
        id: LoanId,
        share: SlotUsage,
        want: u32,
        grace: Duration,
        now: BootInstant,
    ) -> u32 {
        self.expire(now);
        let own = share.slots.saturating_sub(running(&self.lent, now));
        let free = own.saturating_sub(share.running);
        let slots = want.min(free / 2);
        if slots > 0 {
            self.lent.push(Loan { id, slots, until: now + LOAN_DURATION + grace });
        }
        slots
    }

    /// Notes slots that were borrowed by a question asked at `asked`.
    pub fn borrow(&mut self, id: LoanId, slots: u32, asked: BootInstant, now: BootInstant) {
        self.expire(now);
        self.borrowed.push(Loan { id, slots, until: asked + LOAN_DURATION });
    }

    /// Takes back what was lent as `id`.
    pub fn end_loan(&mut self, id: LoanId) {
        self.lent.retain(|loan| loan.id != id);
    }

    fn expire(&mut self, now: BootInstant) {
        self.lent.retain(|loan| loan.until > now);
        self.borrowed.retain(|loan| loan.until > now);
    }
}

/// What a lender has of a minion.
#[derive(Debug, Clone, Copy)]
pub struct SlotUsage {
    /// Its own slots.
    pub slots: u32,
    /// Requests that run there for it.
    pub running: u32,
}

fn running(loans: &[Loan], now: BootInstant) -> u32 {
    loans.iter().filter(|loan| loan.until > now).map(|loan| loan.slots).sum()
}
