//! Jobs that pass between processes to be stored: to the owner of their pool, or to a peer that reaches the store.

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

/// Longest wait for an owner that stores jobs for this process; callers wait for three seconds.
const HAND_ON_TIME: Duration = Duration::from_millis(2200);

/// How lately an owner must have been heard for jobs to be handed to it: a few pings.
const HEARD_TIME: Millis = Millis(900);

/// How lately the store must have answered the owner. A slow store answers late, and that is when
/// batches matter most.
const STORE_AGE: Millis = Millis(1800);

/// How lately the store must have answered this process for it to store what the owner can't.
const SIGHT_AGE: Millis = Millis(1200);

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

impl StoreOutcome {
    /// Returns what the caller is told. A try before this one may have stored the job though this one did not.
    fn answer(self, doubtful: bool) -> Answer {
        match self {
            Self::Stored => Answer::Accepted,
            Self::NotStored | Self::Refused if doubtful => {
                Answer::Refused(ErrorKind::SubmissionLost)
            }
            Self::NotStored => Answer::Refused(ErrorKind::NotStored),
            Self::Refused => Answer::Refused(ErrorKind::BodyTooLarge),
            Self::Unknown => Answer::Refused(ErrorKind::SubmissionLost),
        }
    }
}

/// Returns where the owner of a pool answers, if it is a peer that answers or was heard of lately.
pub(super) async fn owner_of(node: &Node, pool: &PoolName) -> Option<SocketAddr> {
    let known = heard_owner(node, pool);
    if known.is_some() {
        return known;
    }
    failure_detector::check_owner(node, pool).await;
    heard_owner(node, pool)
}

fn heard_owner(node: &Node, pool: &PoolName) -> Option<SocketAddr> {
    let view = node.view();
    let (owner, address) = view.owner(pool)?;
    let status = view.peers.get(&owner)?;
    let lately = node.now().since(status.at) <= HEARD_TIME && status.pong.store_age <= STORE_AGE.0;
    (owner != node.settings.node && lately && status.pong.owned.contains_key(pool))
        .then_some(address)
}

/// Hands jobs to the owner of their pool, which stores those of all processes together; returns those of
/// which nothing is decided. They are handed on again, as a job that is stored already is found by its id,
/// and stored from here only if the owner can't be reached: many processes that store for themselves hold
/// each other up, most of all while the store is slow.
pub(super) async fn hand_on(
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
    let outcomes = match node.peers.call(owner, &request, HAND_ON_TIME).await {
        Ok(PeerReply::Stored(outcomes)) if outcomes.len() == batch.len() => outcomes,
        Ok(_) => vec![StoreOutcome::Unknown; batch.len()],
        Err(CallError::NotSent(error) | CallError::NoListener(error)) => {
            log::info!("pool={pool} owner={owner} was not asked: {error}");
            let again = batch.into_iter().filter(|submission| submission.until > Instant::now());
            return again.map(|submission| Submission { direct: true, ..submission }).collect();
        }
        Err(error) => {
            log::info!("pool={pool} owner={owner} stores nothing: {error}");
            vec![StoreOutcome::Unknown; batch.len()]
        }
    };
    // One that fails at once is gone; one that is late has much to do, and is not helped by others.
    let gone = begun.elapsed() < HAND_ON_TIME;
    // An owner that can't store may be cut off from the store alone.
    let sighted = node.now().since(node.view().store_answered_at) <= SIGHT_AGE;
    let mut left = Vec::new();
    for (submission, outcome) in batch.into_iter().zip(outcomes) {
        let in_time = submission.until > Instant::now();
        if outcome == StoreOutcome::Unknown && in_time {
            left.push(Submission { doubtful: true, direct: gone, ..submission });
        } else if outcome == StoreOutcome::NotStored && sighted && in_time {
            left.push(Submission { direct: true, ..submission });
        } else {
            // A caller that has left finds the job when it asks again.
            let _ = submission.reply.send(outcome.answer(submission.doubtful));
        }
    }
    left
}

/// Stores jobs that a peer handed on; returns what became of each.
pub async fn store_for_peer(node: &Arc<Node>, jobs: Vec<UnstoredJob>) -> Vec<StoreOutcome> {
    let until = Instant::now() + HAND_ON_TIME;
    let answers =
        jobs.into_iter().map(|job| node.submitter.submit(node, job.id, job.record, until, true));
    join_all(answers).await.iter().map(StoreOutcome::from).collect()
}

/// Has a peer store what the store did not take from this process, or refuses it.
pub(super) async fn not_taken(
    node: &Arc<Node>,
    pool: &PoolName,
    batch: Vec<Submission>,
) -> Vec<Submission> {
    let (own, others): (Vec<Submission>, Vec<Submission>) =
        batch.into_iter().partition(|submission| submission.own);
    refuse(others, ErrorKind::NotStored);
    relay(node, pool, own).await
}

/// Hands jobs that the store did not take from this process to a peer that reaches it; returns those of which nothing is
/// decided. The store may turn away single processes, and the callers of these have few tries.
async fn relay(node: &Arc<Node>, pool: &PoolName, batch: Vec<Submission>) -> Vec<Submission> {
    if batch.is_empty() {
        return batch;
    }
    let peer = node.view().peer_reaching_store(node.now(), HEARD_TIME, SIGHT_AGE);
    let Some(peer) = peer else {
        refuse(batch, ErrorKind::NotStored);
        return Vec::new();
    };
    // Whatever comes of it, it is the last try but for those that may be stored.
    let batch = batch.into_iter().map(|submission| Submission { own: false, ..submission });
    hand_on(node, pool, peer, batch.collect()).await
}
