//! Storing accepted jobs: one transaction at a time for each pool, with all that wait for it.
//!
//! A part of the store carries transactions out one after the other. When it is slow, single ones pile
//! up until it refuses them; batches do not.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use reachhead_jobs::{
    ports::Answer,
    record::{JobRecord, final_key, job_key, value},
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::{
    StoreError,
    row::{Commit, Conflict, Txn},
};
use reachhead_types::{
    error::ErrorKind,
    id::{JobId, PoolName},
    size::{Millis, Revision},
};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{mpsc, oneshot},
    time::{self, Instant},
};

use crate::{
    frontend::ask_pool,
    node::Node,
    peer::{Ask, PoolAsk, Reply, Submitted, Unstored},
};

/// Jobs in one transaction at most: each takes three of the hundred entries that the platform allows.
const BATCH_JOBS: usize = 30;

/// Bytes of jobs in one transaction at most, well below the megabyte that the platform allows.
const BATCH_BYTES: usize = 500_000;

/// Pause after a transaction whose answer was lost.
const LOST_PAUSE: Duration = Duration::from_millis(150);

/// Longest wait for an owner that stores jobs for this process.
const HAND_ON_TIME: Duration = Duration::from_millis(1500);

/// How lately an owner must have been heard for jobs to be handed to it: a few pings.
const HEARD_TIME: Millis = Millis(900);

/// How lately the store must have answered the owner. A slow store answers late, and that is when
/// batches matter most.
const STORE_AGE: Millis = Millis(1800);

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
}

/// What became of a job that was handed to a peer to be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreOutcome {
    /// It is stored.
    Stored,
    /// It is not stored and never will be.
    NotStored,
    /// The store refuses it.
    Refused,
    /// Nobody knows.
    Unknown,
}

impl From<&Answer> for StoreOutcome {
    fn from(answer: &Answer) -> Self {
        match answer {
            Answer::Accepted => Self::Stored,
            Answer::Refused(ErrorKind::NotStored | ErrorKind::NotReady) => Self::NotStored,
            Answer::Refused(ErrorKind::BodyTooLarge) => Self::Refused,
            _ => Self::Unknown,
        }
    }
}

impl From<StoreOutcome> for Answer {
    fn from(outcome: StoreOutcome) -> Self {
        match outcome {
            StoreOutcome::Stored => Self::Accepted,
            StoreOutcome::NotStored => Self::Refused(ErrorKind::NotStored),
            StoreOutcome::Refused => Self::Refused(ErrorKind::BodyTooLarge),
            StoreOutcome::Unknown => Self::Refused(ErrorKind::SubmissionLost),
        }
    }
}

/// Stores jobs, pool by pool.
#[derive(Default)]
pub struct Submitter {
    pools: Mutex<BTreeMap<PoolName, mpsc::UnboundedSender<Submission>>>,
}

impl Submitter {
    /// Returns a submitter without work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a job and returns what its caller is told.
    pub async fn submit(
        &self,
        node: &Arc<Node>,
        id: JobId,
        record: JobRecord,
        until: Instant,
        direct: bool,
    ) -> Answer {
        let (reply, answer) = oneshot::channel();
        let submission = Submission { id, record, until, reply, doubtful: false, direct };
        let pool = submission.record.queue.pool.clone();
        let sent = self.queue(node, &pool).send(submission);
        match sent {
            // Its batch is dropped only if the process ends, and then it may have been sent.
            Ok(()) => answer.await.unwrap_or(Answer::Refused(ErrorKind::SubmissionLost)),
            Err(_) => Answer::Refused(ErrorKind::NotReady),
        }
    }

    fn queue(&self, node: &Arc<Node>, pool: &PoolName) -> mpsc::UnboundedSender<Submission> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let start = || {
            let (sender, receiver) = mpsc::unbounded_channel();
            tokio::spawn(run(Arc::clone(node), pool.clone(), receiver));
            sender
        };
        pools.entry(pool.clone()).or_insert_with(start).clone()
    }
}

async fn run(node: Arc<Node>, pool: PoolName, mut queue: mpsc::UnboundedReceiver<Submission>) {
    let mut batch: Vec<Submission> = Vec::new();
    loop {
        if batch.is_empty() {
            match queue.recv().await {
                Some(first) => batch.push(first),
                None => return,
            }
        }
        let mut bytes: usize = batch.iter().map(size).sum();
        while batch.len() < BATCH_JOBS && bytes < BATCH_BYTES {
            let Ok(next) = queue.try_recv() else {
                break;
            };
            bytes += size(&next);
            batch.push(next);
        }
        batch = match owner_of(&node, &pool) {
            Some(owner) if !batch.iter().any(|submission| submission.direct) => {
                hand_on(&node, &pool, owner, batch).await
            }
            _ => store(&node, &pool, batch).await,
        };
    }
}

/// Returns where the owner of a pool answers, if it is a peer that was heard of lately.
fn owner_of(node: &Node, pool: &PoolName) -> Option<SocketAddr> {
    let view = node.view();
    let (owner, address) = view.owner(pool)?;
    let heard = view.heard.get(&owner)?;
    let lately = node.now().since(heard.at) <= HEARD_TIME && heard.store_age <= STORE_AGE.0;
    (owner != node.settings.node && lately && heard.owned.contains_key(pool)).then_some(address)
}

/// Hands jobs to the owner of their pool, which stores those of all processes together. What it can't
/// answer is stored from here: a job that is stored already is found by its id.
async fn hand_on(
    node: &Arc<Node>,
    pool: &PoolName,
    owner: SocketAddr,
    batch: Vec<Submission>,
) -> Vec<Submission> {
    let jobs = batch
        .iter()
        .map(|submission| Unstored { id: submission.id, record: submission.record.clone() });
    let ask = Ask::Store(pool.clone(), jobs.collect());
    let outcomes = match node.peers.ask(owner, &ask, HAND_ON_TIME).await {
        Ok(Reply::Stored(outcomes)) if outcomes.len() == batch.len() => outcomes,
        Ok(_) => vec![StoreOutcome::Unknown; batch.len()],
        Err(error) => {
            log::info!("pool={pool} owner={owner} stores nothing: {error}");
            vec![StoreOutcome::Unknown; batch.len()]
        }
    };
    let mut left = Vec::new();
    for (submission, outcome) in batch.into_iter().zip(outcomes) {
        if outcome == StoreOutcome::Unknown && submission.until > Instant::now() {
            left.push(Submission { doubtful: true, direct: true, ..submission });
        } else {
            // A caller that has left finds the job when it asks again.
            let _ = submission.reply.send(outcome.into());
        }
    }
    left
}

/// Stores jobs that a peer handed on; returns what became of each.
pub async fn store_for_peer(node: &Arc<Node>, jobs: Vec<Unstored>) -> Vec<StoreOutcome> {
    let until = Instant::now() + HAND_ON_TIME;
    let answers =
        jobs.into_iter().map(|job| node.submitter.submit(node, job.id, job.record, until, true));
    join_all(answers).await.iter().map(StoreOutcome::from).collect()
}

fn size(submission: &Submission) -> usize {
    submission.record.plan.payload.len()
}

/// Sends one transaction; returns the jobs of which nothing is decided yet.
async fn store(node: &Arc<Node>, pool: &PoolName, batch: Vec<Submission>) -> Vec<Submission> {
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
    node.note_store(&result);
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
            refuse(batch, ErrorKind::BodyTooLarge);
            Vec::new()
        }
        Err(StoreError::NotDone(_) | StoreError::Busy(_)) => {
            refuse(batch, ErrorKind::NotStored);
            Vec::new()
        }
    }
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
        jobs.push(Submitted { id, record, row: revision });
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
async fn notify(node: Arc<Node>, pool: PoolName, jobs: Vec<Submitted>) {
    for _ in 0..NOTIFY_TRIES {
        if ask_pool(&node, &pool, PoolAsk::Submit(jobs.clone())).await.is_some() {
            return;
        }
        time::sleep(NOTIFY_PAUSE).await;
    }
    let count = jobs.len();
    log::info!("pool={pool} nobody could be told of {count} jobs; the owner will find them");
}
