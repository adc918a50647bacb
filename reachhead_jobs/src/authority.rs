//! For how long the holder of a lease may give orders that nobody checks a fencing token of.
//!
//! Where the platform refuses lower tokens, an order of a holder that was paused does no harm. Where it does not, two
//! processes must never order at the same time: the holder orders only for [`ORDER_WINDOW`] after it asked the store
//! and found its lease in force, and its successor waits for as long after it took the lease.

use reachhead_types::{
    boot_instant::BootInstant,
    size::{FencingToken, Millis, Revision},
};

use crate::{
    clock::{Tick, with_drift},
    record::LeaseRecord,
};

/// How long the holder may give orders after it asked the store. It takes a question to the store and an order, also
/// while the store is slow, and it is what the hosts stand still for when their owner is killed.
pub const ORDER_WINDOW: Millis = Millis(700);

/// How lately the question must have been sent for orders to go out on its answer; the rest of the term is the orders'
/// own. A slow store answers within it.
const FRESH_TERM: Millis = Millis(450);

/// How long a process that answers without the lease must have had it to be taken for over: it answers so for a
/// moment, too, between the store's answer and the start of its work.
const SETTLED_TIME: Millis = Millis(1000);

/// What an order is given on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderPermit {
    /// The holder's fencing token.
    pub token: FencingToken,
    /// No byte of the order leaves the process after this; `None` where tokens are checked.
    pub until: Option<BootInstant>,
}

/// The store's last word that the lease is in force.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaseConfirmation {
    /// When the question was sent: the lease may have been taken right after the store answered it.
    asked: Option<BootInstant>,
}

impl LeaseConfirmation {
    /// Notes the store's answer to a question that was sent at `asked`; tells whether the lease is in force.
    pub fn record(
        &mut self,
        asked: BootInstant,
        found: Option<Revision>,
        token: FencingToken,
    ) -> bool {
        let held = found == Some(Revision(token.0));
        self.asked = held.then_some(asked);
        held
    }

    /// Returns until when orders may go out, or `None` if the store has to be asked first.
    pub fn until(&self, now: BootInstant) -> Option<BootInstant> {
        let asked = self.asked?;
        let fresh = now.duration_since(asked) <= FRESH_TERM.duration();
        fresh.then(|| asked + ORDER_WINDOW.duration())
    }
}

/// What a successor knows of the holder before it.
#[derive(Debug, Clone, Copy)]
pub struct PreviousHolder<'a> {
    /// The lease as it was.
    pub record: &'a LeaseRecord,
    /// When this process first saw it so.
    pub since: Tick,
    /// This process saw it change to that, and did not find it so when it started.
    pub observed: bool,
    /// The holder was this process, now or before a restart.
    pub is_self: bool,
    /// When the holder last said that it does not hold the lease, if it did.
    pub disclaimed_at: Option<Tick>,
}

impl PreviousHolder<'_> {
    /// Returns how long after its lease is stored the successor gives no order, where tokens are checked or not.
    pub fn takeover_wait(&self, now: Tick, duty: Millis, checked: bool) -> Millis {
        let overlap = if checked { Millis(0) } else { self.overlap_time() };
        self.turn_time(now, duty).max(overlap)
    }

    /// Two that take charge from each other in turns must not act within the time of the duty. A holder that gave up,
    /// was killed or is cut off acts no more, so one that was in charge for long is not waited for. Nor is one whose
    /// lease this process found when it started, since it can't have been in charge shortly before that one: hosts
    /// would stand still for three seconds after each restart of all processes.
    fn turn_time(&self, now: Tick, duty: Millis) -> Millis {
        if !self.observed {
            return Millis(0);
        }
        Millis(duty.0.saturating_sub(now.since(self.since).0))
    }

    /// Orders of the holder may leave until its last answer of the store is too old. One that gave the lease back has
    /// no order under way; one that answers without the lease, long after it took it, has ended or was started again.
    fn overlap_time(&self) -> Millis {
        let ended =
            self.disclaimed_at.is_some_and(|denied| denied.since(self.since) >= SETTLED_TIME);
        if self.record.owner.is_none() || self.is_self || ended {
            return Millis(0);
        }
        with_drift(ORDER_WINDOW)
    }
}
