//! How long orders of earlier owners can have effect after a process has taken a pool.
//!
//! Tasks that no worker reports wait for that time where a worker does not answer, so each takeover
//! counts it as short as what is known of the owners before it allows. See "How a pool changes its
//! owner" in [Platform](../../docs/PLATFORM.md).

use std::collections::BTreeMap;

use reachhead_types::{id::WorkerId, size::Millis};

use crate::{clock::with_drift, pool::PoolTimeouts, record::LeaseRecord};

/// The owner before the one that takes a pool, as its successor knows it.
#[derive(Debug, Clone, Copy)]
pub struct Predecessor<'a> {
    /// The lease that is taken.
    pub record: &'a LeaseRecord,
    /// The process or the owner in it has certainly ended, so it gives no more orders.
    pub has_ended: bool,
    /// It recorded under this lease that no order of the owners before it can have effect any more.
    pub is_settled: bool,
}

/// How long orders of earlier owners can have effect at workers that do not answer, from when the new
/// owner holds the lease and all fences.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OrderEffect {
    /// At a worker that is not in `silent`.
    pub usual: Millis,
    /// At the workers that the released lease lists; see [`LeaseRecord::silent`].
    pub silent: BTreeMap<WorkerId, Millis>,
}

impl OrderEffect {
    /// Returns the time for the worker where it is longest.
    pub fn longest(&self) -> Millis {
        self.silent.values().copied().fold(self.usual, Millis::max)
    }
}

/// Returns how long orders of earlier owners can have effect; `None` stands for a pool without an
/// earlier owner.
///
/// An owner that has ended leaves its leases. Before it is settled, orders of the owners before it
/// may have effect, too. None of their time counts as passed: as long as a shard is not fenced, an
/// owner that does not see the lease takes its commits there as a confirmation.
pub fn order_effect(timeouts: &PoolTimeouts, predecessor: Option<Predecessor<'_>>) -> OrderEffect {
    let Some(Predecessor { record, has_ended, is_settled }) = predecessor else {
        return OrderEffect::default();
    };
    let leases = with_drift(timeouts.hold);
    if record.owner.is_none() {
        return match &record.silent {
            Some(silent) => OrderEffect { usual: leases, silent: silent.clone() },
            None => OrderEffect { usual: timeouts.after_release(record), silent: BTreeMap::new() },
        };
    }
    let before = record.unsettled_for;
    let usual = match has_ended {
        true if is_settled => leases,
        true => leases.max(before.unwrap_or(timeouts.takeover_delay())),
        false => timeouts.takeover_delay().max(before.unwrap_or_default()),
    };
    OrderEffect { usual, silent: BTreeMap::new() }
}
