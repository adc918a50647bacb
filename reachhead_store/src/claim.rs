//! The stored row of a claim on an idempotency key; docs/AT-MOST-ONCE.md explains claims.

use std::net::SocketAddr;

use reachhead_types::{
    answer::KeptAnswer,
    id::{AttemptId, Fingerprint, HostId, Incarnation},
};
use serde::{Deserialize, Serialize};

/// The state of a claimed request as recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The claim is held; only its owner knows how far the request has got.
    Claimed,
    /// The request ran and got this answer.
    Done(KeptAnswer),
    /// The request ran, but its answer is too large to keep.
    #[serde(rename = "unkept")]
    NotKept,
    /// The request was sent to a minion and its answer is lost.
    Lost,
}

/// A claim on an idempotency key by one attempt to run the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The attempt that may run.
    pub attempt: AttemptId,
    /// Digest of the request, which detects reuse of the key for another request.
    pub fingerprint: Fingerprint,
    /// The entry host that makes the attempt.
    pub host: HostId,
    /// The incarnation of the entry process that makes the attempt.
    pub incarnation: Incarnation,
    /// The address on which that process answers other entry hosts.
    pub entry: SocketAddr,
    /// The state of the request.
    pub state: ClaimState,
}
