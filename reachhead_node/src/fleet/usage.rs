//! The stored record of the pools' use of their hosts, which the fleet owner leaves to its
//! successor.

use std::sync::Arc;

use reachhead_jobs::{
    balance::{ClockPair, UsageRecord},
    clock::Tick,
    record::{lease_key, usage_key, value},
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::{
    StoreError,
    row::{Commit, Txn},
};
use reachhead_types::size::{Millis, Revision};
use tokio::task::JoinHandle;

use super::{Fleet, name};

/// Minimum time between two writes: a successor needs no more than the usage of a burst some
/// seconds ago.
const SAVE_PERIOD: Millis = Millis(2000);

/// The row of the record, and the state of reading and writing it.
#[derive(Default)]
pub(super) struct UsageStore {
    /// The record of the previous fleet owner has been read.
    loaded: bool,
    revision: Option<Revision>,
    stored: UsageRecord,
    next: Tick,
    /// The write in progress; rounds do not wait for it.
    pending_write: Option<JoinHandle<Result<Commit, StoreError>>>,
}

impl Fleet {
    /// Returns the monotonic time together with the time of day.
    fn clock_pair(&self) -> ClockPair {
        ClockPair { now: self.node.now(), wall: self.node.clock.wall() }
    }

    /// Loads the record of the previous fleet owner, unless that was done before.
    pub(super) async fn load_usage(&mut self) {
        if self.usage.loaded {
            return;
        }
        let rows = self.node.services.store.read(vec![usage_key(&name())]).await;
        self.node.record_store_result(&rows);
        let row = match rows {
            Ok(rows) => rows.into_iter().flatten().next(),
            Err(error) => {
                log::info!("the usage of hosts can't be read: {error}");
                return;
            }
        };
        self.usage.loaded = true;
        let Some(row) = row else {
            return;
        };
        self.usage.revision = Some(row.revision);
        match row.parse::<UsageRecord>() {
            Ok(record) => {
                let clock = self.clock_pair();
                self.moves.balance().restore(&record, clock);
                self.usage.stored = record;
            }
            Err(error) => emit(Event::RowRefused, error),
        }
    }

    /// Writes the record if it has changed.
    pub(super) async fn save_usage(&mut self) {
        self.finish_save().await;
        let now = self.node.now();
        if self.usage.pending_write.is_some() || now < self.usage.next {
            return;
        }
        let clock = self.clock_pair();
        let record = self.moves.balance().record(clock);
        if record == self.usage.stored {
            return;
        }
        self.usage.next = now + SAVE_PERIOD;
        let key = usage_key(&name());
        let txn = Txn::new()
            .with_check(lease_key(&name()), Some(self.token))
            .with_check(key.clone(), self.usage.revision)
            .with_write(key, value(&record));
        self.usage.stored = record;
        let store = Arc::clone(&self.node.services.store);
        self.usage.pending_write = Some(tokio::spawn(async move { store.commit(txn).await }));
    }

    /// Processes the result of a write that has ended.
    async fn finish_save(&mut self) {
        let Some(pending_write) =
            self.usage.pending_write.take_if(|pending_write| pending_write.is_finished())
        else {
            return;
        };
        match pending_write.await {
            Ok(Ok(Commit::Done(revision))) => self.usage.revision = Some(revision),
            Ok(Ok(Commit::Conflict(conflicts))) => {
                let own = conflicts.into_iter().find(|conflict| conflict.key == usage_key(&name()));
                // An owner that has lost its lease learns that from the leases.
                self.usage.revision = own.and_then(|conflict| conflict.row).map(|row| row.revision);
            }
            Ok(Err(error)) => emit(Event::RecordFailed, format_args!("usage of hosts: {error}")),
            Err(error) => log::warn!("writing the usage of hosts failed: {error}"),
        }
    }
}
