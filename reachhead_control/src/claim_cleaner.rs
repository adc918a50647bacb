//! Deletes at-most-once claims past their retention time, without comparing clocks of different
//! hosts.
//!
//! A row in the store holds marks: revisions of the store, written at least one step apart by the
//! clock of the writing host. A claim last written before the oldest mark is older than all steps
//! together, even if every host was replaced meanwhile. See docs/AT-MOST-ONCE.md.

use std::{sync::Arc, time::Duration};

use log::debug;
use reachhead_config::control::CleanSettings;
use reachhead_ops::{
    event::{Event, emit},
    runtime,
};
use reachhead_store::{
    Store, StoreError, keys,
    row::{Commit, Key, Scan, Txn},
};
use reachhead_types::{boot_instant::BootInstant, size::Revision};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time};

/// Number of steps that make up the retention time of claims.
const STEPS_KEPT: usize = 24;

/// Reads of the marks per step.
const CHECKS_PER_STEP: u32 = 8;

/// Maximum number of claims read by one scan and deleted by one transaction.
const PAGE_SIZE: u32 = 200;

/// Pause between two pages, so that cleaning does not crowd out other users of the store.
const PAGE_PAUSE: Duration = Duration::from_millis(50);

/// Value of the row [`keys::claim_marks`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Marks {
    /// Revisions of the store, oldest first.
    revisions: Vec<Revision>,
}

/// Revision of the marks row at the last read, and since when this host has seen that revision.
struct ObservedMarks {
    revision: Option<Revision>,
    since: BootInstant,
}

/// Deletes expired claims for all hosts; the host that writes a mark runs one cleanup.
pub struct ClaimCleaner {
    store: Arc<dyn Store>,
    step: Duration,
    observed: Option<ObservedMarks>,
}

impl ClaimCleaner {
    /// Returns a cleaner with the retention time from `settings`.
    pub fn new(store: Arc<dyn Store>, settings: &CleanSettings) -> Self {
        let step = Duration::from_millis(settings.keep.get()) / STEPS_KEPT as u32;
        Self { store, step, observed: None }
    }

    /// Cleans periodically until `stop` turns true.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        loop {
            tokio::select! {
                () = runtime::wait_for_stop(&mut stop) => return,
                () = time::sleep(self.step / CHECKS_PER_STEP) => {}
            }
            if let Err(error) = self.check_marks().await {
                debug!("cleaning up claims failed: {error}");
            }
        }
    }

    async fn check_marks(&mut self) -> Result<(), StoreError> {
        let rows = self.store.read(vec![keys::claim_marks()]).await?;
        let row = rows.into_iter().next().flatten();
        let revision = row.as_ref().map(|row| row.revision);
        let now = BootInstant::now();
        let since = match &self.observed {
            Some(observed) if observed.revision == revision => observed.since,
            _ => now,
        };
        self.observed = Some(ObservedMarks { revision, since });
        if now.duration_since(since) < self.step {
            return Ok(());
        }
        let marks = row.and_then(|row| Marks::deserialize(&row.value).ok()).unwrap_or_default();
        if let Some(horizon) = self.write_mark(marks, revision).await? {
            self.delete_claims(horizon).await?;
        }
        Ok(())
    }

    /// Writes a mark and returns the revision up to which claims have expired; `None` if another
    /// host wrote one first or there are too few marks yet.
    async fn write_mark(
        &self,
        mut marks: Marks,
        row_revision: Option<Revision>,
    ) -> Result<Option<Revision>, StoreError> {
        // The row has not changed for a whole step, so its own revision is at least one step old.
        marks.revisions.extend(row_revision);
        let excess = marks.revisions.len().saturating_sub(STEPS_KEPT);
        marks.revisions.drain(..excess);
        let horizon =
            marks.revisions.first().copied().filter(|_| marks.revisions.len() == STEPS_KEPT);
        let value =
            serde_json::to_value(&marks).map_err(|error| StoreError::Refused(error.to_string()))?;
        let txn = Txn::new()
            .with_check(keys::claim_marks(), row_revision)
            .with_write(keys::claim_marks(), value);
        match self.store.commit(txn).await? {
            Commit::Done(_) => Ok(horizon),
            Commit::Conflict(_) => Ok(None),
        }
    }

    async fn delete_claims(&self, horizon: Revision) -> Result<(), StoreError> {
        let mut after: Option<Key> = None;
        let mut deleted = 0;
        loop {
            let scan = Scan {
                prefix: keys::CLAIM_PREFIX.to_owned(),
                after: after.take(),
                limit: PAGE_SIZE,
            };
            let page = self.store.scan(scan).await?;
            let mut txn = Txn::new();
            for row in page.rows.iter().filter(|row| row.revision <= horizon) {
                txn = txn
                    .with_check(row.key.clone(), Some(row.revision))
                    .with_delete(row.key.clone());
            }
            // A claim that changed meanwhile fails the transaction of the whole page; the next
            // cleanup deletes the rest.
            if !txn.writes.is_empty()
                && let Commit::Done(_) = self.store.commit(txn.clone()).await?
            {
                deleted += txn.writes.len();
            }
            after = page.rows.last().map(|row| row.key.clone());
            if !page.more {
                break;
            }
            time::sleep(PAGE_PAUSE).await;
        }
        if deleted > 0 {
            emit(Event::ClaimsCleaned, format_args!("{deleted} up to revision {horizon}"));
        }
        Ok(())
    }
}
