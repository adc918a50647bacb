//! Stores accepted jobs in batches: one transaction at a time for each shard of a pool.
//!
//! The store commits the transactions of a shard one after the other. When it is slow, transactions
//! of single jobs pile up until it refuses them; batches do not.

mod forwarding;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use reachhead_jobs::{
    ports::Answer,
    record::{JobRecord, final_key, job_key, value},
    shard::Shard,
};
use reachhead_ops::{
    event::{Event, emit},
    supervise,
};
use reachhead_store::{
    StoreError,
    row::{Commit, Conflict, Txn},
};
use reachhead_types::{
    error::ErrorKind,
    id::{JobId, PoolName},
    size::{FencingToken, Revision},
};
use tokio::{
    sync::{Semaphore, mpsc, oneshot},
    time::{self, Instant},
};

pub use self::forwarding::{StoreOutcome, store_for_peer};
use self::forwarding::{forward, forward_or_refuse, reachable_owner};
use crate::{
    node::Node,
    owner_call::call_pool_owner,
    peer::{AcceptedJob, PoolRequest},
};

/// Maximum number of jobs in one transaction: each takes three of the hundred entries that the
/// platform allows.
const MAX_BATCH_JOBS: usize = 30;

/// Maximum payload of the jobs in one transaction, in bytes: well below the megabyte that the
/// platform allows.
const MAX_BATCH_BYTES: usize = 500_000;

/// Pause after a transaction whose answer was lost.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Maximum number of concurrent messages to the owner of a pool, for each shard.
const MAX_CONCURRENT_FORWARDS: usize = 3;

/// Pause between attempts to notify an owner.
const NOTIFY_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Maximum attempts to notify an owner of jobs; afterwards its scan finds them in the store.
const MAX_NOTIFY_ATTEMPTS: u32 = 4;

/// A job that waits to be stored.
pub struct Submission {
    /// The job's id.
    pub id: JobId,
    /// The job.
    pub record: JobRecord,
    /// The deadline of the caller.
    pub until: Instant,
    /// The channel of the caller's answer.
    pub reply: oneshot::Sender<Answer>,
    /// A transaction with the job was sent and its answer lost, so the job may be stored.
    pub maybe_stored: bool,
    /// This process stores the job itself, whichever process owns the pool: a peer forwarded it, or
    /// the owner could not be reached or could not store it.
    pub store_here: bool,
    /// The job came from a caller of this process and not from a peer, so it may be forwarded once
    /// to a peer that reaches the store.
    pub from_caller: bool,
    /// Set by whichever comes first: the sender, or the caller that gives up.
    claimed: Arc<AtomicBool>,
    /// The job was sent, so the caller can no longer withdraw it.
    sent: bool,
}

impl Submission {
    /// Claims the job for sending, so that its caller can no longer withdraw it; returns whether it
    /// may be sent: its caller still waits, or it was sent before.
    fn take(&mut self) -> bool {
        self.sent = self.sent || !self.claimed.swap(true, Ordering::Relaxed);
        self.sent
    }
}

/// Key of a submission queue: the jobs of a pool in one shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    pool: PoolName,
    shard: Shard,
}

/// Stores jobs, with one queue for each pool and shard.
#[derive(Default)]
pub struct Submitter {
    queues: Mutex<BTreeMap<QueueKey, mpsc::UnboundedSender<Submission>>>,
}

impl Submitter {
    /// Returns a submitter without queues.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a job and returns the answer for its caller. A job that exceeds the size limit of a
    /// row is refused before it is batched, since the whole batch would be refused with it.
    pub async fn submit(
        &self,
        node: &Arc<Node>,
        id: JobId,
        record: JobRecord,
        until: Instant,
        store_here: bool,
    ) -> Answer {
        if value(&record).to_string().len() > node.settings.row_limit {
            return Answer::Refused(ErrorKind::BodyTooLarge);
        }
        let (reply, answer) = oneshot::channel();
        let claimed = Arc::new(AtomicBool::new(false));
        let caller_claim = Arc::clone(&claimed);
        let submission = Submission {
            id,
            record,
            until,
            reply,
            maybe_stored: false,
            store_here,
            from_caller: !store_here,
            claimed,
            sent: false,
        };
        let pool = submission.record.queue.pool.clone();
        let sent = self.queue(node, QueueKey { pool, shard: Shard::of(id) }).send(submission);
        if sent.is_err() {
            return Answer::Refused(ErrorKind::NotReady);
        }
        match time::timeout_at(until, answer).await {
            Ok(Ok(answer)) => answer,
            // A batch is dropped only if its queue or the process ends, and then it may have been
            // sent.
            Ok(Err(_)) => Answer::Refused(ErrorKind::SubmissionLost),
            Err(_) if caller_claim.swap(true, Ordering::Relaxed) => {
                Answer::Refused(ErrorKind::SubmissionLost)
            }
            Err(_) => Answer::Refused(ErrorKind::NotStored),
        }
    }

    /// Queues undecided jobs again.
    fn resubmit(&self, node: &Arc<Node>, key: &QueueKey, undecided: Vec<Submission>) {
        for submission in undecided {
            // The receiver lives as long as the process.
            let _ = self.queue(node, key.clone()).send(submission);
        }
    }

    fn queue(&self, node: &Arc<Node>, key: QueueKey) -> mpsc::UnboundedSender<Submission> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        // A queue whose task panicked is replaced. Its jobs are lost with it, and their callers
        // are told that they may be stored.
        if let Some(sender) = queues.get(&key).filter(|sender| !sender.is_closed()) {
            return sender.clone();
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let name = format!("submissions of pool {} shard {}", key.pool, key.shard);
        supervise::spawn(name, run_queue(Arc::clone(node), key.clone(), receiver));
        queues.insert(key, sender.clone());
        sender
    }
}

async fn run_queue(node: Arc<Node>, key: QueueKey, mut queue: mpsc::UnboundedReceiver<Submission>) {
    let free = Arc::new(Semaphore::new(MAX_CONCURRENT_FORWARDS));
    let mut batch: Vec<Submission> = Vec::new();
    loop {
        if batch.is_empty() {
            match queue.recv().await {
                Some(first) => batch.push(first),
                None => return,
            }
        }
        // Jobs accumulate while all senders are busy, and share the next message.
        let Ok(permit) = Arc::clone(&free).acquire_owned().await else {
            return;
        };
        fill_batch(&mut batch, &mut queue);
        batch.retain_mut(Submission::take);
        batch = refuse_unrouted(&node, batch);
        if batch.is_empty() {
            continue;
        }
        let store_here = batch.iter().any(|submission| submission.store_here);
        match reachable_owner(&node, &key.pool).await.filter(|_| !store_here) {
            Some(owner) => {
                let (node, key) = (Arc::clone(&node), key.clone());
                let batch = std::mem::take(&mut batch);
                tokio::spawn(async move {
                    let undecided = forward(&node, &key.pool, owner, batch).await;
                    drop(permit);
                    node.submitter.resubmit(&node, &key, undecided);
                });
            }
            None => batch = store(&node, &key.pool, batch).await,
        }
    }
}

/// Refuses jobs whose route was removed or leads to another pool since they were admitted, and
/// returns the others. What a peer forwarded was admitted there, perhaps by a newer configuration.
fn refuse_unrouted(node: &Node, batch: Vec<Submission>) -> Vec<Submission> {
    let Some(config) = node.view().config.clone() else {
        return batch;
    };
    let mut routed = Vec::with_capacity(batch.len());
    for submission in batch {
        let admitted = &submission.record.queue;
        let queue = config.queue(&admitted.name);
        if !submission.from_caller
            || submission.maybe_stored
            || queue.is_some_and(|queue| queue.pool == admitted.pool)
        {
            routed.push(submission);
        } else {
            let kind = if queue.is_some() { ErrorKind::NotReady } else { ErrorKind::NoRoute };
            let _ = submission.reply.send(Answer::Refused(kind));
        }
    }
    routed
}

/// Adds waiting jobs to the batch, up to the limits of one transaction.
fn fill_batch(batch: &mut Vec<Submission>, queue: &mut mpsc::UnboundedReceiver<Submission>) {
    let mut bytes: usize = batch.iter().map(payload_size).sum();
    while batch.len() < MAX_BATCH_JOBS && bytes < MAX_BATCH_BYTES {
        let Ok(next) = queue.try_recv() else {
            return;
        };
        bytes += payload_size(&next);
        batch.push(next);
    }
}

fn payload_size(submission: &Submission) -> usize {
    submission.record.plan.payload.len()
}

/// Commits one transaction; returns the undecided jobs.
async fn store(node: &Arc<Node>, pool: &PoolName, mut batch: Vec<Submission>) -> Vec<Submission> {
    if node.store_outage().is_some() && batch.iter().all(|submission| !submission.maybe_stored) {
        // Nothing is sent, so that no job is in doubt; polls of tables detect that the store is
        // back.
        return forward_or_refuse(node, pool, batch).await;
    }
    let mut ids = BTreeSet::new();
    let mut txn = Txn::new();
    let stored_by = node.local_owner(pool).map(|owner| FencingToken(owner.token.0));
    for submission in &mut batch {
        submission.record.stored_by = stored_by;
        if ids.insert(submission.id) {
            txn = txn
                .with_check(job_key(pool, submission.id), None)
                .with_check(final_key(pool, submission.id), None)
                .with_write(job_key(pool, submission.id), value(&submission.record));
        }
    }
    let result = node.services.store.commit(txn).await;
    node.record_store_result(&result);
    match result {
        Ok(Commit::Done(revision)) => {
            accept(node, pool, batch, revision);
            Vec::new()
        }
        Ok(Commit::Conflict(conflicts)) => accept_stored(pool, batch, &conflicts),
        Err(StoreError::Lost(_)) => {
            let undecided =
                batch.into_iter().map(|submission| Submission { maybe_stored: true, ..submission });
            let undecided = keep_retriable(undecided.collect());
            time::sleep(RETRY_PAUSE).await;
            undecided
        }
        Err(StoreError::Refused(error)) => {
            log::warn!(
                "pool={pool} the store refused a transaction with {} jobs: {error}",
                batch.len()
            );
            node.metrics.store_refusals.inc();
            split_refused(node, pool, batch).await
        }
        Err(StoreError::NotDone(_) | StoreError::Busy(_)) => {
            forward_or_refuse(node, pool, batch).await
        }
    }
}

/// Refuses the one job that the store refuses and stores the others of its batch, by bisection.
/// Returns the undecided jobs.
async fn split_refused(
    node: &Arc<Node>,
    pool: &PoolName,
    mut batch: Vec<Submission>,
) -> Vec<Submission> {
    if batch.len() == 1 {
        refuse(batch, ErrorKind::BodyTooLarge);
        return Vec::new();
    }
    let second = batch.split_off(batch.len() / 2);
    let mut undecided = Box::pin(store(node, pool, batch)).await;
    undecided.extend(Box::pin(store(node, pool, second)).await);
    undecided
}

fn accept(node: &Arc<Node>, pool: &PoolName, batch: Vec<Submission>, revision: Revision) {
    let mut jobs = Vec::with_capacity(batch.len());
    for submission in batch {
        let Submission { id, record, reply, .. } = submission;
        emit(
            Event::JobAccepted,
            format_args!("job={id} queue={} pool={pool} revision={revision}", record.queue.name),
        );
        // A caller that has left finds the job when it retries.
        let _ = reply.send(Answer::Accepted);
        jobs.push(AcceptedJob { id, record, row: revision });
    }
    tokio::spawn(notify_owner(Arc::clone(node), pool.clone(), jobs));
}

/// Accepts jobs that are already stored, because their callers retried or a lost answer was a
/// success; returns the others.
fn accept_stored(
    pool: &PoolName,
    batch: Vec<Submission>,
    conflicts: &[Conflict],
) -> Vec<Submission> {
    let is_known = |id: JobId| {
        let (job, ended) = (job_key(pool, id), final_key(pool, id));
        conflicts.iter().any(|conflict| conflict.key == job || conflict.key == ended)
    };
    let mut undecided = Vec::new();
    for submission in batch {
        if is_known(submission.id) {
            let _ = submission.reply.send(Answer::Accepted);
        } else {
            undecided.push(submission);
        }
    }
    undecided
}

/// Refuses the jobs whose callers can't wait for another attempt, and returns the others.
fn keep_retriable(batch: Vec<Submission>) -> Vec<Submission> {
    let end = Instant::now() + RETRY_PAUSE;
    let (undecided, expired): (Vec<Submission>, Vec<Submission>) =
        batch.into_iter().partition(|submission| submission.until > end);
    refuse(expired, ErrorKind::SubmissionLost);
    undecided
}

fn refuse(batch: Vec<Submission>, kind: ErrorKind) {
    for submission in batch {
        let kind = if submission.maybe_stored { ErrorKind::SubmissionLost } else { kind };
        let _ = submission.reply.send(Answer::Refused(kind));
    }
}

/// Notifies the owner of a pool of stored jobs; if that fails, its scan finds them.
async fn notify_owner(node: Arc<Node>, pool: PoolName, jobs: Vec<AcceptedJob>) {
    for _ in 0..MAX_NOTIFY_ATTEMPTS {
        if call_pool_owner(&node, &pool, PoolRequest::Submit(jobs.clone())).await.is_ok() {
            return;
        }
        time::sleep(NOTIFY_RETRY_PAUSE).await;
    }
    let count = jobs.len();
    log::info!(
        "pool={pool} the owner could not be notified of {count} jobs, its scan will find them"
    );
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
