//! Writes idempotency claims to the store in batches, on a separate thread.
//!
//! One transaction is in flight at a time, and jobs that arrive meanwhile share the next one.
//! docs/AT-MOST-ONCE.md describes what each result means for the request.

use std::{collections::BTreeSet, io, sync::Arc, thread, time::Duration};

use reachhead_config::entry::EntrySettings;
use reachhead_ops::runtime;
use reachhead_store::{
    Store, StoreError,
    claim::ClaimRow,
    guarded::GuardedStore,
    http::HttpStore,
    row::{Commit, Conflict, Key, Row, Txn},
};
use reachhead_types::size::Revision;
use serde::Deserialize;
use tokio::{
    sync::{mpsc, oneshot},
    time::{self, Instant},
};

/// How long outcomes wait for a claim, to share its transaction.
const MAX_OUTCOME_DELAY: Duration = Duration::from_millis(100);

/// Number of times that a batch is sent; after a conflict, it is sent without the rows in conflict.
const MAX_COMMIT_TRIES: u32 = 4;

/// Number of times that the write of an outcome is tried. If all fail, other hosts can still query
/// this process.
const MAX_OUTCOME_TRIES: u32 = 5;

/// The result of writing a claim.
#[derive(Debug)]
pub enum ClaimResult {
    /// The claim is in the store with this revision.
    Stored(Revision),
    /// The store has another claim for the key.
    Held {
        /// The other claim; `None` if it was deleted in the meantime.
        row: Option<ClaimRow>,
        /// The revision of the other claim.
        revision: Option<Revision>,
    },
    /// The claim may not be in the store, so the request must not be sent.
    NotStored,
}

enum WriteJob {
    Claim(ClaimWrite),
    Outcome(OutcomeWrite),
    Flush(oneshot::Sender<()>),
}

struct ClaimWrite {
    key: Key,
    row: ClaimRow,
    /// The revision of the claim that is replaced; `None` if there must be no claim.
    expected: Option<Revision>,
    reply: oneshot::Sender<ClaimResult>,
}

struct OutcomeWrite {
    key: Key,
    /// The claim with its final state; `None` deletes the claim.
    row: Option<ClaimRow>,
    revision: Revision,
    tries: u32,
}

/// Queues claims and outcomes for the `claims` thread.
pub struct ClaimWriter {
    jobs: mpsc::Sender<WriteJob>,
}

impl ClaimWriter {
    /// Writes a claim, which replaces the claim with the revision `expected` if that is given.
    pub async fn claim(&self, key: Key, row: ClaimRow, expected: Option<Revision>) -> ClaimResult {
        let (reply, stored) = oneshot::channel();
        let job = WriteJob::Claim(ClaimWrite { key, row, expected, reply });
        match self.jobs.try_send(job) {
            Ok(()) => stored.await.unwrap_or(ClaimResult::NotStored),
            Err(_) => ClaimResult::NotStored,
        }
    }

    /// Queues the final state of a claim, or its deletion, without waiting for the write.
    pub fn record_outcome(&self, key: Key, row: Option<ClaimRow>, revision: Revision) {
        // If the queue is full, the outcome is not stored, but other hosts can query this process.
        let _ =
            self.jobs.try_send(WriteJob::Outcome(OutcomeWrite { key, row, revision, tries: 0 }));
    }

    /// Waits until the batch of the jobs queued so far was sent to the store.
    ///
    /// Outcomes that failed in it, and jobs that were deferred, may still be pending.
    pub async fn flush(&self) {
        let (reply, done) = oneshot::channel();
        if self.jobs.send(WriteJob::Flush(reply)).await.is_ok() {
            let _ = done.await;
        }
    }
}

/// Starts the `claims` thread.
///
/// # Errors
///
/// Fails if the operating system can't start a thread.
pub fn start(settings: &EntrySettings) -> io::Result<ClaimWriter> {
    let (jobs, receiver) = mpsc::channel(settings.claims.queue.get() as usize);
    let http = HttpStore::new(settings.store.address, settings.store.deadline.duration());
    let batcher = Batcher {
        jobs: receiver,
        store: Arc::new(GuardedStore::new(http, settings.store.rate.get())),
        commit_interval: commit_interval(settings),
        max_size: settings.claims.batch.get() as usize,
        batch: Batch::default(),
        last: None,
    };
    let runtime = runtime::current_thread()?;
    thread::Builder::new()
        .name("claims".to_owned())
        .spawn(move || runtime.block_on(batcher.run()))?;
    Ok(ClaimWriter { jobs })
}

/// Returns the time between two batches, at least as long as the rate limit of the store requires.
fn commit_interval(settings: &EntrySettings) -> Duration {
    let min_interval = Duration::from_secs(1) / settings.store.rate.get();
    settings.claims.linger.duration().max(min_interval)
}

#[derive(Default)]
struct Batch {
    claims: Vec<ClaimWrite>,
    outcomes: Vec<OutcomeWrite>,
    flushes: Vec<oneshot::Sender<()>>,
    /// Jobs for rows that this batch already writes; they are moved to the next batch.
    deferred: Vec<WriteJob>,
    keys: BTreeSet<Key>,
}

impl Batch {
    fn len(&self) -> usize {
        self.claims.len() + self.outcomes.len()
    }

    fn add(&mut self, job: WriteJob) {
        let key = match &job {
            WriteJob::Claim(claim) => &claim.key,
            WriteJob::Outcome(outcome) => &outcome.key,
            WriteJob::Flush(_) => {
                if let WriteJob::Flush(reply) = job {
                    self.flushes.push(reply);
                }
                return;
            }
        };
        if !self.keys.insert(key.clone()) {
            self.deferred.push(job);
            return;
        }
        match job {
            WriteJob::Claim(claim) => self.claims.push(claim),
            WriteJob::Outcome(outcome) => self.outcomes.push(outcome),
            WriteJob::Flush(_) => {}
        }
    }

    /// Returns a transaction for all jobs of the batch.
    fn to_txn(&self) -> Txn {
        let mut txn = Txn::new();
        for claim in &self.claims {
            let value = serde_json::to_value(&claim.row).unwrap_or_default();
            txn = txn
                .with_check(claim.key.clone(), claim.expected)
                .with_write(claim.key.clone(), value);
        }
        for outcome in &self.outcomes {
            txn = txn.with_check(outcome.key.clone(), Some(outcome.revision));
            txn = match &outcome.row {
                Some(row) => {
                    let value = serde_json::to_value(row).unwrap_or_default();
                    txn.with_write(outcome.key.clone(), value)
                }
                None => txn.with_delete(outcome.key.clone()),
            };
        }
        txn
    }

    /// Answers the claims whose rows were in conflict and removes all jobs on such rows.
    fn resolve_conflicts(&mut self, conflicts: &[Conflict]) {
        let find = |key: &Key| conflicts.iter().find(|conflict| conflict.key == *key);
        // A conflict means that the outcome was already written or its claim was replaced.
        self.outcomes.retain(|outcome| find(&outcome.key).is_none());
        for claim in std::mem::take(&mut self.claims) {
            match find(&claim.key) {
                None => self.claims.push(claim),
                Some(conflict) => {
                    let reply = claim_result(&claim.row, conflict.row.as_ref());
                    let _ = claim.reply.send(reply);
                }
            }
        }
    }

    fn answer_stored(&mut self, revision: Revision) {
        self.outcomes.clear();
        for claim in self.claims.drain(..) {
            let _ = claim.reply.send(ClaimResult::Stored(revision));
        }
    }

    fn answer_not_stored(&mut self) {
        for claim in self.claims.drain(..) {
            let _ = claim.reply.send(ClaimResult::NotStored);
        }
    }
}

/// Returns the result of writing the claim `own`, given the row that the store has.
fn claim_result(own: &ClaimRow, stored: Option<&Row>) -> ClaimResult {
    let Some(stored) = stored else {
        return ClaimResult::Held { row: None, revision: None };
    };
    match ClaimRow::deserialize(&stored.value) {
        // An earlier write whose reply was lost has taken effect.
        Ok(row) if row.attempt == own.attempt => ClaimResult::Stored(stored.revision),
        Ok(row) => ClaimResult::Held { row: Some(row), revision: Some(stored.revision) },
        Err(_) => ClaimResult::NotStored,
    }
}

struct Batcher {
    jobs: mpsc::Receiver<WriteJob>,
    store: Arc<dyn Store>,
    commit_interval: Duration,
    max_size: usize,
    batch: Batch,
    /// When the last batch was sent.
    last: Option<Instant>,
}

impl Batcher {
    async fn run(mut self) {
        while self.collect_batch().await {
            self.last = Some(Instant::now());
            self.commit_batch().await;
            self.start_next_batch();
        }
    }

    /// Waits until a batch is due; returns false if the channel is closed and no jobs are left.
    async fn collect_batch(&mut self) -> bool {
        if self.batch.len() == 0 && self.batch.flushes.is_empty() {
            match self.jobs.recv().await {
                Some(job) => self.batch.add(job),
                None => return false,
            }
        }
        let started = Instant::now();
        loop {
            let due = self.commit_due(started);
            if self.batch.len() >= self.max_size || Instant::now() >= due {
                return true;
            }
            tokio::select! {
                job = self.jobs.recv() => match job {
                    Some(job) => self.batch.add(job),
                    None => return true,
                },
                () = time::sleep_until(due) => return true,
            }
        }
    }

    /// Returns when to commit the batch. Claims wait for the commit interval since the last batch,
    /// so the first claim after an idle time is written at once.
    fn commit_due(&self, started: Instant) -> Instant {
        if !self.batch.flushes.is_empty() {
            return started;
        }
        match (self.batch.claims.is_empty(), self.last) {
            (true, _) => started + MAX_OUTCOME_DELAY,
            (false, Some(last)) => last + self.commit_interval,
            (false, None) => started,
        }
    }

    async fn commit_batch(&mut self) {
        for _ in 0..MAX_COMMIT_TRIES {
            if self.batch.len() == 0 {
                return;
            }
            match self.store.commit(self.batch.to_txn()).await {
                Ok(Commit::Done(revision)) => return self.batch.answer_stored(revision),
                Ok(Commit::Conflict(conflicts)) => self.batch.resolve_conflicts(&conflicts),
                Err(StoreError::Lost(_)) => return self.read_back_claims().await,
                Err(StoreError::NotDone(_) | StoreError::Busy(_) | StoreError::Refused(_)) => break,
            }
        }
        self.batch.answer_not_stored();
    }

    /// Reads which claims were stored by a transaction whose reply was lost, by their attempt IDs.
    async fn read_back_claims(&mut self) {
        let keys = self.batch.claims.iter().map(|claim| claim.key.clone()).collect();
        let Ok(rows) = self.store.read(keys).await else {
            return self.batch.answer_not_stored();
        };
        for (claim, row) in self.batch.claims.drain(..).zip(rows) {
            let reply = match row {
                Some(row) => claim_result(&claim.row, Some(&row)),
                // The write may still take effect later, so the request must not be sent.
                None => ClaimResult::NotStored,
            };
            let _ = claim.reply.send(reply);
        }
    }

    /// Starts the next batch with the failed outcomes and the deferred jobs of this one.
    fn start_next_batch(&mut self) {
        let finished = std::mem::take(&mut self.batch);
        for flush in finished.flushes {
            let _ = flush.send(());
        }
        for mut outcome in finished.outcomes {
            outcome.tries += 1;
            if outcome.tries < MAX_OUTCOME_TRIES {
                self.batch.add(WriteJob::Outcome(outcome));
            }
        }
        for job in finished.deferred {
            self.batch.add(job);
        }
    }
}
