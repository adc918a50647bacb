//! Forwards jobs to be stored by another process: the owner of their pool, or a peer that reaches
//! the store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::join_all;
use reachhead_jobs::ports::Answer;
use reachhead_ops::client::CallError;
use reachhead_types::{error::ErrorKind, id::PoolName, size::Millis};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{Submission, refuse};
use crate::{
    failure_detector,
    node::Node,
    peer::{PeerReply, PeerRequest, UnstoredJob},
};

/// Timeout of a peer that stores jobs for this process; callers wait for three seconds.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(2200);

/// Maximum age of the owner's last heartbeat answer for jobs to be forwarded to it: a few
/// heartbeats.
const MAX_STATUS_AGE: Millis = Millis(900);

/// Maximum age of the owner's last contact with the store. A slow store answers late, and that is
/// when batches matter most.
const MAX_OWNER_STORE_AGE: Millis = Millis(1800);

/// Maximum age of this process's last contact with the store for it to store jobs that the owner
/// can't.
const MAX_OWN_STORE_AGE: Millis = Millis(1200);

/// The outcome of a job that was forwarded to be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreOutcome {
    /// The job is stored.
    Stored,
    /// The job is not stored and never will be.
    NotStored,
    /// The store refuses the job.
    Refused,
    /// The job may or may not be stored.
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

impl StoreOutcome {
    /// Returns the caller's answer. If an earlier attempt may have stored the job, a failure of
    /// this one does not prove that the job is not stored.
    fn answer(self, maybe_stored: bool) -> Answer {
        match self {
            Self::Stored => Answer::Accepted,
            Self::NotStored | Self::Refused if maybe_stored => {
                Answer::Refused(ErrorKind::SubmissionLost)
            }
            Self::NotStored => Answer::Refused(ErrorKind::NotStored),
            Self::Refused => Answer::Refused(ErrorKind::BodyTooLarge),
            Self::Unknown => Answer::Refused(ErrorKind::SubmissionLost),
        }
    }
}

/// Returns the address of the pool's owner, if it is a peer that answered recently or answers now.
pub(super) async fn reachable_owner(node: &Node, pool: &PoolName) -> Option<SocketAddr> {
    let known = recent_owner(node, pool);
    if known.is_some() {
        return known;
    }
    failure_detector::check_owner(node, pool).await;
    recent_owner(node, pool)
}

fn recent_owner(node: &Node, pool: &PoolName) -> Option<SocketAddr> {
    let view = node.view();
    let (owner, address) = view.owner(pool)?;
    let status = view.peers.get(&owner)?;
    let is_recent = node.now().since(status.at) <= MAX_STATUS_AGE
        && status.pong.store_age <= MAX_OWNER_STORE_AGE.0;
    (owner != node.settings.node && is_recent && status.pong.owned.contains_key(pool))
        .then_some(address)
}

/// Forwards jobs to the owner of their pool, which batches the jobs of all processes; returns the
/// undecided jobs.
///
/// Undecided jobs are forwarded again, as a job that is already stored is found by its id, and
/// stored by this process only if the owner can't be reached or can't store it: many processes that
/// store on their own delay each other, most of all while the store is slow.
pub(super) async fn forward(
    node: &Arc<Node>,
    pool: &PoolName,
    owner: SocketAddr,
    batch: Vec<Submission>,
) -> Vec<Submission> {
    let jobs = batch
        .iter()
        .map(|submission| UnstoredJob { id: submission.id, record: submission.record.clone() });
    let request = PeerRequest::Store(pool.clone(), jobs.collect());
    let begun = Instant::now();
    let outcomes = match node.peers.call(owner, &request, FORWARD_TIMEOUT).await {
        Ok(PeerReply::Stored(outcomes)) if outcomes.len() == batch.len() => outcomes,
        Ok(_) => vec![StoreOutcome::Unknown; batch.len()],
        Err(CallError::NotSent(error) | CallError::PortClosed(error)) => {
            log::info!("pool={pool} owner={owner} could not be reached: {error}");
            let retriable =
                batch.into_iter().filter(|submission| submission.until > Instant::now());
            return retriable
                .map(|submission| Submission { store_here: true, ..submission })
                .collect();
        }
        Err(error) => {
            log::info!("pool={pool} owner={owner} did not confirm stored jobs: {error}");
            vec![StoreOutcome::Unknown; batch.len()]
        }
    };
    // A peer that fails at once is gone; one that times out is overloaded, and storing its jobs
    // elsewhere would not help it.
    let failed_fast = begun.elapsed() < FORWARD_TIMEOUT;
    // The owner may be partitioned from the store while this process reaches it.
    let reaches_store = node.now().since(node.view().store_answers.last()) <= MAX_OWN_STORE_AGE;
    let mut undecided = Vec::new();
    for (submission, outcome) in batch.into_iter().zip(outcomes) {
        let in_time = submission.until > Instant::now();
        if outcome == StoreOutcome::Unknown && in_time {
            undecided.push(Submission {
                maybe_stored: true,
                store_here: failed_fast,
                ..submission
            });
        } else if outcome == StoreOutcome::NotStored && reaches_store && in_time {
            undecided.push(Submission { store_here: true, ..submission });
        } else {
            // A caller that has left finds the job when it retries.
            let _ = submission.reply.send(outcome.answer(submission.maybe_stored));
        }
    }
    undecided
}

/// Stores jobs that a peer forwarded; returns the outcome of each.
pub async fn store_for_peer(node: &Arc<Node>, jobs: Vec<UnstoredJob>) -> Vec<StoreOutcome> {
    let until = Instant::now() + FORWARD_TIMEOUT;
    let answers =
        jobs.into_iter().map(|job| node.submitter.submit(node, job.id, job.record, until, true));
    join_all(answers).await.iter().map(StoreOutcome::from).collect()
}

/// Forwards jobs that the store did not accept from this process to a peer; refuses those that came
/// from a peer.
pub(super) async fn forward_or_refuse(
    node: &Arc<Node>,
    pool: &PoolName,
    batch: Vec<Submission>,
) -> Vec<Submission> {
    let (from_caller, forwarded): (Vec<Submission>, Vec<Submission>) =
        batch.into_iter().partition(|submission| submission.from_caller);
    refuse(forwarded, ErrorKind::NotStored);
    forward_to_peer(node, pool, from_caller).await
}

/// Forwards jobs to a peer that reaches the store; returns the undecided jobs. The store may reject
/// single processes, and their callers have few attempts.
async fn forward_to_peer(
    node: &Arc<Node>,
    pool: &PoolName,
    batch: Vec<Submission>,
) -> Vec<Submission> {
    if batch.is_empty() {
        return batch;
    }
    let peer = node.view().peer_reaching_store(node.now(), MAX_STATUS_AGE, MAX_OWN_STORE_AGE);
    let Some(peer) = peer else {
        refuse(batch, ErrorKind::NotStored);
        return Vec::new();
    };
    // This is the last attempt, except for jobs that may be stored.
    let batch = batch.into_iter().map(|submission| Submission { from_caller: false, ..submission });
    forward(node, pool, peer, batch.collect()).await
}
