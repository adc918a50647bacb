//! What an owner tells its successors about orders of its predecessors that may still have effect. See
//! [`order_effect`](crate::order_effect).

use reachhead_types::size::Millis;

use crate::{clock::Tick, pool::Pool, record::SettledRecord, shard::Shard};

/// State of the pool's [`SettledRecord`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Settlement {
    /// It is written once the pool is settled.
    Unrecorded,
    /// The store has it.
    Recorded,
    /// The store rejects it, so successors count on orders that have no effect any more.
    Withheld,
}

impl Pool {
    /// Returns whether no order of a predecessor can have effect any more: each of their workers has
    /// answered, or what was ordered there has expired, and all shards are fenced.
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty() && self.is_fenced()
    }

    fn is_fenced(&self) -> bool {
        Shard::all().all(|shard| self.fences.contains_key(&shard))
    }

    /// Returns whether the pool's [`SettledRecord`] is to be written.
    pub(super) fn is_settlement_due(&self) -> bool {
        self.settlement == Settlement::Unrecorded && self.is_settled()
    }

    pub(super) fn settled_record(&self) -> SettledRecord {
        SettledRecord { token: self.token }
    }

    /// Records that the store rejects the [`SettledRecord`].
    pub(super) fn withhold_settlement(&mut self) {
        if self.settlement == Settlement::Unrecorded {
            self.settlement = Settlement::Withheld;
        }
    }

    /// Returns for how long runs of a predecessor may still be active on workers that have not
    /// answered.
    pub fn remaining_takeover_delay(&self, now: Tick) -> Millis {
        let last = self.pending.values().map(|pending| pending.until).max();
        last.map_or(Millis(0), |until| until.since(now))
    }
}
