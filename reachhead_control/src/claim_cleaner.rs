//! Deletes claims that are older than they need to be kept, without comparing anyone's clocks.
//!
//! A row in the store holds marks: revisions of the store, written at least a step apart by the
//! clock of whoever writes. What was last written before the oldest of them is older than all the
//! steps together, also when every host is replaced meanwhile. docs/AT-MOST-ONCE.md says more.

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

/// Steps that make up the time for which claims are kept.
const STEPS: usize = 24;

/// Looks at the marks in each step.
const LOOKS: u32 = 8;

/// Claims that one scan reads and one transaction deletes.
const PAGE_SIZE: u32 = 200;

/// Pause between two pages, so that cleaning leaves the store to others.
const PAGE_PAUSE: Duration = Duration::from_millis(50);

/// The row of [`keys::claim_marks`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Marks {
    /// Revisions of the store, the oldest first.
    revisions: Vec<Revision>,
}

/// The marks' row as it was last seen, and since when it has been so.
struct Seen {
    revision: Option<Revision>,
    since: BootInstant,
}

/// Deletes old claims on behalf of all hosts; whoever writes a mark cleans once.
pub struct ClaimCleaner {
    store: Arc<dyn Store>,
    step: Duration,
    seen: Option<Seen>,
}

impl ClaimCleaner {
    /// Returns a cleaner by `settings`.
    pub fn new(store: Arc<dyn Store>, settings: &CleanSettings) -> Self {
        let step = Duration::from_millis(settings.keep.get()) / STEPS as u32;
        Self { store, step, seen: None }
    }

    /// Cleans until `stop` turns true.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        loop {
            tokio::select! {
                () = runtime::wait_for_stop(&mut stop) => return,
                () = time::sleep(self.step / LOOKS) => {}
            }
            if let Err(error) = self.look().await {
                debug!("cleaning claims: {error}");
            }
        }
    }

    async fn look(&mut self) -> Result<(), StoreError> {
        let rows = self.store.read(vec![keys::claim_marks()]).await?;
        let row = rows.into_iter().next().flatten();
        let revision = row.as_ref().map(|row| row.revision);
        let now = BootInstant::now();
        let since = match &self.seen {
            Some(seen) if seen.revision == revision => seen.since,
            _ => now,
        };
        self.seen = Some(Seen { revision, since });
        if now.duration_since(since) < self.step {
            return Ok(());
        }
        let marks = row.and_then(|row| Marks::deserialize(&row.value).ok()).unwrap_or_default();
        if let Some(horizon) = self.mark(marks, revision).await? {
            self.clean(horizon).await?;
        }
        Ok(())
    }

    /// Writes a mark, unless another host was first, and returns the revision up to which claims
    /// are old enough.
    async fn mark(
        &self,
        mut marks: Marks,
        seen: Option<Revision>,
    ) -> Result<Option<Revision>, StoreError> {
        // The row itself has not changed for a step, so its own revision is that old.
        marks.revisions.extend(seen);
        let surplus = marks.revisions.len().saturating_sub(STEPS);
        marks.revisions.drain(..surplus);
        let horizon = marks.revisions.first().copied().filter(|_| marks.revisions.len() == STEPS);
        let value =
            serde_json::to_value(&marks).map_err(|error| StoreError::Refused(error.to_string()))?;
        let txn =
            Txn::new().with_check(keys::claim_marks(), seen).with_write(keys::claim_marks(), value);
        match self.store.commit(txn).await? {
            Commit::Done(_) => Ok(horizon),
            Commit::Conflict(_) => Ok(None),
        }
    }

    async fn clean(&self, horizon: Revision) -> Result<(), StoreError> {
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
            // A claim that changed meanwhile fails the whole page, which is then old next time.
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
