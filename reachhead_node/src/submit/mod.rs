//! Storing accepted jobs: one transaction at a time for each part of the store, with all that wait for it.
//!
//! A part of the store carries transactions out one after the other. When it is slow, single ones pile
//! up until it refuses them; batches do not.

mod peers;

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
use reachhead_ops::event::{Event, emit};
use reachhead_store::{
    StoreError,
    row::{Commit, Conflict, Txn},
};
use reachhead_types::{
    error::ErrorKind,
    id::{JobId, PoolName},
    size::Revision,
};
use tokio::{
    sync::{Semaphore, mpsc, oneshot},
    time::{self, Instant},
};

pub use self::peers::{StoreOutcome, store_for_peer};
use self::peers::{hand_on, not_taken, owner_of};
use crate::{
    frontend::call_pool_owner,
    node::Node,
    peer::{AcceptedJob, PoolRequest},
};

/// Jobs in one transaction at most: each takes three of the hundred entries that the platform allows.
const BATCH_JOBS: usize = 30;

/// Bytes of jobs in one transaction at most, well below the megabyte that the platform allows.
const BATCH_BYTES: usize = 500_000;

/// Pause after a transaction whose answer was lost.
const LOST_PAUSE: Duration = Duration::from_millis(150);

/// Messages to the owner of a pool that are under way at once, for each part of the store.
const HAND_ONS: usize = 3;

/// Pause between tries to tell an owner.
const NOTIFY_PAUSE: Duration = Duration::from_millis(150);

/// Tries to tell an owner of jobs; afterwards it finds them in the store.
const NOTIFY_TRIES: u32 = 4;

/// A job that waits to be stored.
pub struct Submission {
    /// The job's id.
    pub id: JobId,
    /// The job.
    pub record: JobRecord,
    /// Until when its caller waits.
    pub until: Instant,
    /// Who waits for the answer.
    pub reply: oneshot::Sender<Answer>,
    /// A transaction with it was sent whose answer was lost, so it may be stored.
    pub doubtful: bool,
    /// It is stored from here, whoever owns the pool: a peer handed it on, or could not be reached.
    pub direct: bool,
    /// A caller of this process handed it in, so a peer may be asked to store it.
    pub own: bool,
    /// Set by whoever is first: what sends it, or the caller that waits no longer.
    taken: Arc<AtomicBool>,
    /// It was sent, so the caller can't withdraw it any more.
    sent: bool,
}

impl Submission {
    /// Tells whether it may be sent: its caller still waits, or it was sent before.
    fn take(&mut self) -> bool {
        self.sent = self.sent || !self.taken.swap(true, Ordering::Relaxed);
        self.sent
    }
}

/// Jobs of a pool in one part of the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    pool: PoolName,
    shard: Shard,
}

/// Stores jobs, place by place.
#[derive(Default)]
pub struct Submitter {
    places: Mutex<BTreeMap<Place, mpsc::UnboundedSender<Submission>>>,
}

impl Submitter {
    /// Returns a submitter without work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a job and returns what its caller is told. One that no row of the store could hold is refused before it waits with
    /// others, which would be refused with it.
    pub async fn submit(
        &self,
        node: &Arc<Node>,
        id: JobId,
        record: JobRecord,
        until: Instant,
        direct: bool,
    ) -> Answer {
        if value(&record).to_string().len() > node.settings.row_limit {
            return Answer::Refused(ErrorKind::BodyTooLarge);
        }
        let (reply, answer) = oneshot::channel();
        let taken = Arc::new(AtomicBool::new(false));
        let withdrawn = Arc::clone(&taken);
        let submission = Submission {
            id,
            record,
            until,
            reply,
            doubtful: false,
            direct,
            own: !direct,
            taken,
            sent: false,
        };
        let pool = submission.record.queue.pool.clone();
        let sent = self.queue(node, Place { pool, shard: Shard::of(id) }).send(submission);
        if sent.is_err() {
            return Answer::Refused(ErrorKind::NotReady);
        }
        match time::timeout_at(until, answer).await {
            Ok(Ok(answer)) => answer,
            // Its batch is dropped only if the process ends, and then it may have been sent.
            Ok(Err(_)) => Answer::Refused(ErrorKind::SubmissionLost),
            Err(_) if withdrawn.swap(true, Ordering::Relaxed) => {
                Answer::Refused(ErrorKind::SubmissionLost)
            }
            Err(_) => Answer::Refused(ErrorKind::NotStored),
        }
    }

    /// Takes jobs of which nothing is decided yet once more.
    fn again(&self, node: &Arc<Node>, place: &Place, left: Vec<Submission>) {
        for submission in left {
            // The other end lives as long as the process.
            let _ = self.queue(node, place.clone()).send(submission);
        }
    }

    fn queue(&self, node: &Arc<Node>, place: Place) -> mpsc::UnboundedSender<Submission> {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let start = || {
            let (sender, receiver) = mpsc::unbounded_channel();
            tokio::spawn(run(Arc::clone(node), place.clone(), receiver));
            sender
        };
        places.entry(place.clone()).or_insert_with(start).clone()
    }
}

async fn run(node: Arc<Node>, place: Place, mut queue: mpsc::UnboundedReceiver<Submission>) {
    let free = Arc::new(Semaphore::new(HAND_ONS));
    let mut batch: Vec<Submission> = Vec::new();
    loop {
        if batch.is_empty() {
            match queue.recv().await {
                Some(first) => batch.push(first),
                None => return,
            }
        }
        // Jobs gather while all are busy, and share the next message.
        let Ok(permit) = Arc::clone(&free).acquire_owned().await else {
            return;
        };
        fill(&mut batch, &mut queue);
        batch.retain_mut(Submission::take);
        if batch.is_empty() {
            continue;
        }
        let direct = batch.iter().any(|submission| submission.direct);
        match owner_of(&node, &place.pool).await.filter(|_| !direct) {
            Some(owner) => {
                let (node, place) = (Arc::clone(&node), place.clone());
                let batch = std::mem::take(&mut batch);
                tokio::spawn(async move {
                    let left = hand_on(&node, &place.pool, owner, batch).await;
                    drop(permit);
                    node.submitter.again(&node, &place, left);
                });
            }
            None => batch = store(&node, &place.pool, batch).await,
        }
    }
}

/// Adds what waits, as far as one transaction takes it.
fn fill(batch: &mut Vec<Submission>, queue: &mut mpsc::UnboundedReceiver<Submission>) {
    let mut bytes: usize = batch.iter().map(size).sum();
    while batch.len() < BATCH_JOBS && bytes < BATCH_BYTES {
        let Ok(next) = queue.try_recv() else {
            return;
        };
        bytes += size(&next);
        batch.push(next);
    }
}

fn size(submission: &Submission) -> usize {
    submission.record.plan.payload.len()
}

/// Sends one transaction; returns the jobs of which nothing is decided yet.
async fn store(node: &Arc<Node>, pool: &PoolName, batch: Vec<Submission>) -> Vec<Submission> {
    if node.outage().is_some() && batch.iter().all(|submission| !submission.doubtful) {
        // Nothing is sent, so that none of them is in doubt; polls of tables tell when the store is back.
        return not_taken(node, pool, batch).await;
    }
    let mut ids = BTreeSet::new();
    let mut txn = Txn::new();
    for submission in &batch {
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
        Ok(Commit::Conflict(conflicts)) => known(pool, batch, &conflicts),
        Err(StoreError::Lost(_)) => {
            let left =
                batch.into_iter().map(|submission| Submission { doubtful: true, ..submission });
            let left = wait_again(left.collect());
            time::sleep(LOST_PAUSE).await;
            left
        }
        Err(StoreError::Refused(error)) => {
            log::warn!("pool={pool} the store refuses {} jobs: {error}", batch.len());
            node.metrics.store_refusals.inc();
            refused(node, pool, batch).await
        }
        Err(StoreError::NotDone(_) | StoreError::Busy(_)) => not_taken(node, pool, batch).await,
    }
}

/// Refuses the job that the store refuses, and stores those that were in one transaction with it: halves are tried until it is
/// alone. Returns the jobs of which nothing is decided yet.
async fn refused(node: &Arc<Node>, pool: &PoolName, mut batch: Vec<Submission>) -> Vec<Submission> {
    if batch.len() == 1 {
        refuse(batch, ErrorKind::BodyTooLarge);
        return Vec::new();
    }
    let second = batch.split_off(batch.len() / 2);
    let mut left = Box::pin(store(node, pool, batch)).await;
    left.extend(Box::pin(store(node, pool, second)).await);
    left
}

fn accept(node: &Arc<Node>, pool: &PoolName, batch: Vec<Submission>, revision: Revision) {
    let mut jobs = Vec::with_capacity(batch.len());
    for submission in batch {
        let Submission { id, record, reply, .. } = submission;
        emit(
            Event::JobAccepted,
            format_args!("job={id} queue={} pool={pool} revision={revision}", record.queue.name),
        );
        // A caller that has left finds the job when it asks again.
        let _ = reply.send(Answer::Accepted);
        jobs.push(AcceptedJob { id, record, row: revision });
    }
    tokio::spawn(notify(Arc::clone(node), pool.clone(), jobs));
}

/// Jobs that are stored already are accepted: their callers ask again, or a lost answer was a success.
fn known(pool: &PoolName, batch: Vec<Submission>, conflicts: &[Conflict]) -> Vec<Submission> {
    let is_known = |id: JobId| {
        let (job, ended) = (job_key(pool, id), final_key(pool, id));
        conflicts.iter().any(|conflict| conflict.key == job || conflict.key == ended)
    };
    let mut left = Vec::new();
    for submission in batch {
        if is_known(submission.id) {
            let _ = submission.reply.send(Answer::Accepted);
        } else {
            left.push(submission);
        }
    }
    left
}

/// Answers those whose callers can't wait for another try, and returns the others.
fn wait_again(batch: Vec<Submission>) -> Vec<Submission> {
    let end = Instant::now() + LOST_PAUSE;
    let (left, over): (Vec<Submission>, Vec<Submission>) =
        batch.into_iter().partition(|submission| submission.until > end);
    refuse(over, ErrorKind::SubmissionLost);
    left
}

fn refuse(batch: Vec<Submission>, kind: ErrorKind) {
    for submission in batch {
        let kind = if submission.doubtful { ErrorKind::SubmissionLost } else { kind };
        let _ = submission.reply.send(Answer::Refused(kind));
    }
}

/// Tells the owner of a pool of jobs; if that fails, it finds them in the store.
async fn notify(node: Arc<Node>, pool: PoolName, jobs: Vec<AcceptedJob>) {
    for _ in 0..NOTIFY_TRIES {
        if call_pool_owner(&node, &pool, PoolRequest::Submit(jobs.clone())).await.is_some() {
            return;
        }
        time::sleep(NOTIFY_PAUSE).await;
    }
    let count = jobs.len();
    log::info!("pool={pool} nobody could be told of {count} jobs; the owner will find them");
}
