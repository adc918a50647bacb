//! Writes claims to the store in batches, on a thread of its own.
//!
//! One transaction is under way at a time; whatever arrives meanwhile shares the next one.
//! docs/AT-MOST-ONCE.md tells what each result means for the request.

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

/// How long records wait for a claim to share a transaction with.
const RECORD_WAIT: Duration = Duration::from_millis(100);

/// Times that one batch is sent again without the rows that were in conflict.
const ROUND_LIMIT: u32 = 4;

/// Times that a record is written again after a failure; its owner can still be asked.
const RECORD_TRIES: u32 = 5;

/// What became of a claim.
#[derive(Debug)]
pub enum ClaimReply {
    /// The claim is in the store under this revision.
    Stored(Revision),
    /// Another claim is there.
    Held {
        /// The claim that is there; `None` if it went away meanwhile.
        row: Option<ClaimRow>,
        /// Its revision.
        revision: Option<Revision>,
    },
    /// The claim is not known to be in the store; the request must not be sent.
    NotStored,
}

enum Job {
    Claim(ClaimJob),
    Record(RecordJob),
    Flush(oneshot::Sender<()>),
}

struct ClaimJob {
    key: Key,
    row: ClaimRow,
    /// The revision of the claim that it takes over; `None` if there must be none.
    expected: Option<Revision>,
    reply: oneshot::Sender<ClaimReply>,
}

struct RecordJob {
    key: Key,
    /// The claim with its end; `None` takes the claim away.
    row: Option<ClaimRow>,
    revision: Revision,
    tries: u32,
}

/// The path thread's end of the ring.
pub struct Claims {
    jobs: mpsc::Sender<Job>,
}

impl Claims {
    /// Writes a claim, over the one with the revision `expected` if that is given.
    pub async fn claim(&self, key: Key, row: ClaimRow, expected: Option<Revision>) -> ClaimReply {
        let (reply, stored) = oneshot::channel();
        let job = Job::Claim(ClaimJob { key, row, expected, reply });
        match self.jobs.try_send(job) {
            Ok(()) => stored.await.unwrap_or(ClaimReply::NotStored),
            Err(_) => ClaimReply::NotStored,
        }
    }

    /// Records the end of a claim, or takes it away; nobody waits for it.
    pub fn record(&self, key: Key, row: Option<ClaimRow>, revision: Revision) {
        // A record that finds no room is lost; the owner still answers for the attempt.
        let _ = self.jobs.try_send(Job::Record(RecordJob { key, row, revision, tries: 0 }));
    }

    /// Waits until everything so far is written or given up.
    pub async fn flush(&self) {
        let (reply, done) = oneshot::channel();
        if self.jobs.send(Job::Flush(reply)).await.is_ok() {
            let _ = done.await;
        }
    }
}

/// Starts the claims thread.
///
/// # Errors
///
/// Fails if the system gives no thread.
pub fn start(settings: &EntrySettings) -> io::Result<Claims> {
    let (jobs, ring) = mpsc::channel(settings.claims.queue.get() as usize);
    let http = HttpStore::new(settings.store.address, settings.store.deadline.duration());
    let batcher = Batcher {
        ring,
        store: Arc::new(GuardedStore::new(http, settings.store.rate.get())),
        linger: linger(settings),
        limit: settings.claims.batch.get() as usize,
        batch: Batch::default(),
        last: None,
    };
    let runtime = runtime::current_thread()?;
    thread::Builder::new()
        .name("claims".to_owned())
        .spawn(move || runtime.block_on(batcher.run()))?;
    Ok(Claims { jobs })
}

/// Returns the time between two batches: never so short that the rate limit would refuse one.
fn linger(settings: &EntrySettings) -> Duration {
    let step = Duration::from_secs(1) / settings.store.rate.get();
    settings.claims.linger.duration().max(step)
}

#[derive(Default)]
struct Batch {
    claims: Vec<ClaimJob>,
    records: Vec<RecordJob>,
    flushes: Vec<oneshot::Sender<()>>,
    /// Jobs on a row that this batch writes already; they go into the next one.
    deferred: Vec<Job>,
    keys: BTreeSet<Key>,
}

impl Batch {
    fn len(&self) -> usize {
        self.claims.len() + self.records.len()
    }

    fn add(&mut self, job: Job) {
        let key = match &job {
            Job::Claim(claim) => &claim.key,
            Job::Record(record) => &record.key,
            Job::Flush(_) => {
                if let Job::Flush(reply) = job {
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
            Job::Claim(claim) => self.claims.push(claim),
            Job::Record(record) => self.records.push(record),
            Job::Flush(_) => {}
        }
    }

    /// Returns one transaction for all jobs.
    fn txn(&self) -> Txn {
        let mut txn = Txn::new();
        for claim in &self.claims {
            let value = serde_json::to_value(&claim.row).unwrap_or_default();
            txn = txn
                .with_check(claim.key.clone(), claim.expected)
                .with_write(claim.key.clone(), value);
        }
        for record in &self.records {
            txn = txn.with_check(record.key.clone(), Some(record.revision));
            txn = match &record.row {
                Some(row) => {
                    let value = serde_json::to_value(row).unwrap_or_default();
                    txn.with_write(record.key.clone(), value)
                }
                None => txn.with_delete(record.key.clone()),
            };
        }
        txn
    }

    /// Answers the claims on rows that were in conflict and takes them out.
    fn resolve_conflicts(&mut self, conflicts: &[Conflict]) {
        let find = |key: &Key| conflicts.iter().find(|conflict| conflict.key == *key);
        // A record in conflict was written before, or its claim was taken over: nothing to do.
        self.records.retain(|record| find(&record.key).is_none());
        for claim in std::mem::take(&mut self.claims) {
            match find(&claim.key) {
                None => self.claims.push(claim),
                Some(conflict) => {
                    let reply = held(&claim.row, conflict.row.as_ref());
                    let _ = claim.reply.send(reply);
                }
            }
        }
    }

    fn answer_stored(&mut self, revision: Revision) {
        self.records.clear();
        for claim in self.claims.drain(..) {
            let _ = claim.reply.send(ClaimReply::Stored(revision));
        }
    }

    fn answer_not_stored(&mut self) {
        for claim in self.claims.drain(..) {
            let _ = claim.reply.send(ClaimReply::NotStored);
        }
    }
}

/// Tells what the row that is there means for the claim `own`.
fn held(own: &ClaimRow, found: Option<&Row>) -> ClaimReply {
    let Some(found) = found else {
        return ClaimReply::Held { row: None, revision: None };
    };
    match ClaimRow::deserialize(&found.value) {
        // A try whose answer was lost took effect after all.
        Ok(row) if row.attempt == own.attempt => ClaimReply::Stored(found.revision),
        Ok(row) => ClaimReply::Held { row: Some(row), revision: Some(found.revision) },
        Err(_) => ClaimReply::NotStored,
    }
}

struct Batcher {
    ring: mpsc::Receiver<Job>,
    store: Arc<dyn Store>,
    linger: Duration,
    limit: usize,
    batch: Batch,
    last: Option<Instant>,
}

impl Batcher {
    async fn run(mut self) {
        while self.collect().await {
            self.last = Some(Instant::now());
            self.write().await;
            self.next_batch();
        }
    }

    /// Fills the batch and tells whether there is one; `false` ends the thread.
    async fn collect(&mut self) -> bool {
        if self.batch.len() == 0 && self.batch.flushes.is_empty() {
            match self.ring.recv().await {
                Some(job) => self.batch.add(job),
                None => return false,
            }
        }
        let started = Instant::now();
        loop {
            let due = self.due(started);
            if self.batch.len() >= self.limit || Instant::now() >= due {
                return true;
            }
            tokio::select! {
                job = self.ring.recv() => match job {
                    Some(job) => self.batch.add(job),
                    None => return true,
                },
                () = time::sleep_until(due) => return true,
            }
        }
    }

    /// Claims go a linger after the batch before, so the first after a quiet time goes at once.
    fn due(&self, started: Instant) -> Instant {
        if !self.batch.flushes.is_empty() {
            return started;
        }
        match (self.batch.claims.is_empty(), self.last) {
            (true, _) => started + RECORD_WAIT,
            (false, Some(last)) => last + self.linger,
            (false, None) => started,
        }
    }

    async fn write(&mut self) {
        for _ in 0..ROUND_LIMIT {
            if self.batch.len() == 0 {
                return;
            }
            match self.store.commit(self.batch.txn()).await {
                Ok(Commit::Done(revision)) => return self.batch.answer_stored(revision),
                Ok(Commit::Conflict(conflicts)) => self.batch.resolve_conflicts(&conflicts),
                Err(StoreError::Lost(_)) => return self.read_back().await,
                Err(StoreError::NotDone(_) | StoreError::Busy(_) | StoreError::Refused(_)) => break,
            }
        }
        self.batch.answer_not_stored();
    }

    /// Finds out by their attempts which claims a transaction with a lost answer has stored.
    async fn read_back(&mut self) {
        let keys = self.batch.claims.iter().map(|claim| claim.key.clone()).collect();
        let Ok(rows) = self.store.read(keys).await else {
            return self.batch.answer_not_stored();
        };
        for (claim, row) in self.batch.claims.drain(..).zip(rows) {
            let reply = match row {
                Some(row) => held(&claim.row, Some(&row)),
                // It may still take effect later, so it counts as not stored and is never sent.
                None => ClaimReply::NotStored,
            };
            let _ = claim.reply.send(reply);
        }
    }

    /// Starts the next batch with what is left of this one.
    fn next_batch(&mut self) {
        let done = std::mem::take(&mut self.batch);
        for flush in done.flushes {
            let _ = flush.send(());
        }
        for mut record in done.records {
            record.tries += 1;
            if record.tries < RECORD_TRIES {
                self.batch.add(Job::Record(record));
            }
        }
        for job in done.deferred {
            self.batch.add(job);
        }
    }
}
