//! Leases for orders about hosts.
//!
//! A platform that rejects lower tokens does so for each host by itself: an order of a paused holder
//! for a host that its successor has not named is accepted. So the holder gives orders only within
//! [`ORDER_WINDOW`] after it asked the store and found its lease in force. Where tokens are not
//! checked, two processes must never give orders at the same time, and a successor also waits for as
//! long after it took the lease.

use reachhead_types::{
    boot_instant::BootInstant,
    size::{FencingToken, Millis, Revision},
};

use crate::{
    clock::{Tick, with_drift},
    record::LeaseRecord,
};

/// How long the holder may give orders after it asked the store. It covers a request to the store
/// and an order, also while the store is slow. Hosts make no progress for this long when their
/// owner is killed.
pub const ORDER_WINDOW: Millis = Millis(700);

/// Oldest request whose answer still permits new orders; the rest of the window is for the orders
/// themselves. A slow store answers within it.
const MAX_CONFIRMATION_AGE: Millis = Millis(450);

/// How long after taking the lease a process that denies holding it counts as dead or restarted. It
/// also denies it for a moment between the store's answer and the start of its work.
const MIN_SETTLED_TIME: Millis = Millis(1000);

/// Permission to give an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderPermit {
    /// Fencing token of the holder.
    pub token: FencingToken,
    /// Deadline for sending the order.
    pub until: BootInstant,
    /// The platform rejects tokens that are lower than an earlier one for the same host. Where it does
    /// not, no byte of the order may leave the process after the deadline.
    pub is_fenced: bool,
}

/// The store's latest confirmation that the lease is in force.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaseConfirmation {
    /// When the request was sent: the lease may have been taken by another right after the store
    /// answered it.
    asked: Option<BootInstant>,
}

impl LeaseConfirmation {
    /// Records the store's answer to a request that was sent at `asked`; returns whether the lease
    /// is in force.
    pub fn record(
        &mut self,
        asked: BootInstant,
        found: Option<Revision>,
        token: FencingToken,
    ) -> bool {
        let is_held = found == Some(Revision(token.0));
        self.asked = is_held.then_some(asked);
        is_held
    }

    /// Returns the deadline for orders, or `None` if the store has to be asked first.
    pub fn until(&self, now: BootInstant) -> Option<BootInstant> {
        let asked = self.asked?;
        let is_fresh = now.duration_since(asked) <= MAX_CONFIRMATION_AGE.duration();
        is_fresh.then(|| asked + ORDER_WINDOW.duration())
    }
}

/// The previous holder of a lease, as a successor sees it.
#[derive(Debug, Clone, Copy)]
pub struct PreviousHolder<'a> {
    /// Lease record of the previous holder.
    pub record: &'a LeaseRecord,
    /// When this process first saw that record.
    pub since: Tick,
    /// This process saw the lease change to that record, and did not find it at its start.
    pub observed: bool,
    /// The holder was this process, now or before a restart.
    pub is_self: bool,
    /// When the holder last said that it does not hold the lease, if ever.
    pub disclaimed_at: Option<Tick>,
}

impl PreviousHolder<'_> {
    /// Returns how long the successor gives no orders after its lease is stored. `checks_tokens`
    /// says whether the platform rejects orders with lower tokens.
    pub fn takeover_wait(&self, now: Tick, lease_duration: Millis, checks_tokens: bool) -> Millis {
        let overlap = if checks_tokens { Millis(0) } else { self.overlap_wait() };
        self.alternation_wait(now, lease_duration).max(overlap)
    }

    /// Returns the wait that prevents two processes that take the lease from each other in turn
    /// from both giving orders within one lease duration. A holder that gave up, was killed or is
    /// partitioned does not act any more, so there is no wait for one that held the lease for long.
    /// Nor is there one if this process found the lease at its start, since the process itself
    /// can't have held it shortly before; otherwise hosts would make no progress for three seconds
    /// after each restart of all processes.
    fn alternation_wait(&self, now: Tick, lease_duration: Millis) -> Millis {
        if !self.observed {
            return Millis(0);
        }
        Millis(lease_duration.0.saturating_sub(now.since(self.since).0))
    }

    /// Returns the wait until the holder's last confirmation is too old for further orders. A
    /// holder that released the lease has no order in flight; one that denies holding it, long
    /// after it took it, has ended or was restarted.
    fn overlap_wait(&self) -> Millis {
        let has_ended = self
            .disclaimed_at
            .is_some_and(|disclaimed_at| disclaimed_at.since(self.since) >= MIN_SETTLED_TIME);
        if self.record.owner.is_none() || self.is_self || has_ended {
            return Millis(0);
        }
        with_drift(ORDER_WINDOW)
    }
}
