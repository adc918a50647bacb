//! What the owner of all hosts leaves to its successor about the pools' use of their hosts.

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

/// Least time between two writes: a successor needs no more than what bursts filled some seconds ago.
const SAVE_PERIOD: Millis = Millis(2000);

/// The row, and what of it is known.
#[derive(Default)]
pub(super) struct Memory {
    /// What a predecessor left was read.
    read: bool,
    revision: Option<Revision>,
    stored: UsageRecord,
    next: Tick,
    /// A write that is under way; rounds do not wait for it.
    saving: Option<JoinHandle<Result<Commit, StoreError>>>,
}

impl Fleet {
    /// Returns the time of day at this moment.
    fn clock_pair(&self) -> ClockPair {
        ClockPair { now: self.node.now(), wall: self.node.clock.wall() }
    }

    /// Takes over what a predecessor left, unless that is done.
    pub(super) async fn recall(&mut self) {
        if self.memory.read {
            return;
        }
        let rows = self.node.services.store.read(vec![usage_key(&name())]).await;
        self.node.note_store(&rows);
        let row = match rows {
            Ok(rows) => rows.into_iter().flatten().next(),
            Err(error) => {
                log::info!("what hosts were used can't be read: {error}");
                return;
            }
        };
        self.memory.read = true;
        let Some(row) = row else {
            return;
        };
        self.memory.revision = Some(row.revision);
        match row.parse::<UsageRecord>() {
            Ok(record) => {
                let clock = self.clock_pair();
                self.moves.balance().restore(&record, clock);
                self.memory.stored = record;
            }
            Err(error) => emit(Event::RowRefused, error),
        }
    }

    /// Writes what a successor has to know, if that has changed.
    pub(super) async fn remember(&mut self) {
        self.saved().await;
        let now = self.node.now();
        if self.memory.saving.is_some() || now < self.memory.next {
            return;
        }
        let clock = self.clock_pair();
        let record = self.moves.balance().record(clock);
        if record == self.memory.stored {
            return;
        }
        self.memory.next = now + SAVE_PERIOD;
        let key = usage_key(&name());
        let txn = Txn::new()
            .with_check(lease_key(&name()), Some(self.token))
            .with_check(key.clone(), self.memory.revision)
            .with_write(key, value(&record));
        self.memory.stored = record;
        let store = Arc::clone(&self.node.services.store);
        self.memory.saving = Some(tokio::spawn(async move { store.commit(txn).await }));
    }

    /// Takes in what became of a write, if it has ended.
    async fn saved(&mut self) {
        let Some(saving) = self.memory.saving.take_if(|saving| saving.is_finished()) else {
            return;
        };
        match saving.await {
            Ok(Ok(Commit::Done(revision))) => self.memory.revision = Some(revision),
            Ok(Ok(Commit::Conflict(conflicts))) => {
                let own = conflicts.into_iter().find(|conflict| conflict.key == usage_key(&name()));
                // An owner that is relieved learns that from the leases.
                self.memory.revision =
                    own.and_then(|conflict| conflict.row).map(|row| row.revision);
            }
            Ok(Err(error)) => emit(Event::RecordFailed, format_args!("hosts in use: {error}")),
            Err(error) => log::warn!("the write of what hosts are used has failed: {error}"),
        }
    }
}
