//! The row of a claim on an idempotency key; docs/AT-MOST-ONCE.md explains it.

use std::net::SocketAddr;

use reachhead_types::{
    answer::KeptAnswer,
    id::{AttemptId, Fingerprint, HostId, Incarnation},
};
use serde::{Deserialize, Serialize};

/// What became of a claimed request, as far as the row tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// Its owner holds it; only the owner knows more.
    Claimed,
    /// It ran and this is its answer.
    Done(KeptAnswer),
    /// It ran, and its answer is too large to keep.
    #[serde(rename = "unkept")]
    NotKept,
    /// It was sent to a minion and its answer is lost.
    Lost,
}

/// A claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The attempt that may run.
    pub attempt: AttemptId,
    /// What the request asked for.
    pub fingerprint: Fingerprint,
    /// The entry host that makes the attempt.
    pub host: HostId,
    /// The start of the entry process that makes it.
    pub incarnation: Incarnation,
    /// Where that process answers other entry hosts.
    pub entry: SocketAddr,
    /// What became of it.
    pub state: ClaimState,
}
