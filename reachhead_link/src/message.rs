//! What the processes say to each other.

use reachhead_types::{
    answer::KeptAnswer,
    book::Delta,
    id::{AttemptId, HostId, Incarnation},
    member::Member,
    size::{Millis, Version},
};
use serde::{Deserialize, Serialize};

/// A question to a control process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControlRequest {
    /// The entry process of the same host wants what is new.
    Follow {
        /// The version that it has.
        have: Version,
    },
    /// A peer tells its version and hands on what it just learned.
    Gossip {
        /// The peer.
        host: HostId,
        /// The version that it has.
        have: Version,
        /// What it learned since its last round; empty in a quiet one.
        delta: Option<Delta>,
        /// Whether the peer knows no entry hosts yet.
        wants_members: bool,
    },
    /// An operator's tool asks which version is in force here.
    Status,
}

/// A control process's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControlReply {
    /// What the entry process should know.
    Follow(Box<FollowReply>),
    /// What the peer lacks.
    Gossip {
        /// The version here.
        have: Version,
        /// What the peer lacks, if anything.
        delta: Option<Delta>,
        /// The entry hosts, where the peer knows none.
        members: Vec<Member>,
    },
    /// The state of this host.
    Status(StatusReply),
}

/// What the entry process should know.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowReply {
    /// The configuration since the version that was named; `None` where that is the newest.
    pub delta: Option<Delta>,
    /// The entry hosts that are taken for alive, this one included.
    pub members: Vec<Member>,
    /// The longest time in which every entry host notices a change of the members.
    pub notice: Millis,
    /// Whether this host hears the store or a peer; if not, its view may be old.
    pub connected: bool,
}

/// The state of one host's control.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusReply {
    /// The host.
    pub host: HostId,
    /// The version that its control has.
    pub version: Version,
    /// The version that its entry process said it has.
    pub entry: Version,
}

/// A question to an entry process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryRequest {
    /// Another entry host met a claim of this process and asks what became of it.
    Claim {
        /// The incarnation that made the claim.
        incarnation: Incarnation,
        /// The attempt that the claim names.
        attempt: AttemptId,
    },
}

/// An entry process's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryReply {
    /// The attempt is under way.
    InProgress,
    /// The attempt was never sent to a minion and never will be.
    Abandoned,
    /// The attempt ended with this answer.
    Done(Box<KeptAnswer>),
    /// The attempt was sent to a minion and its answer is lost.
    Lost,
    /// The attempt ended, and its answer is too large to keep.
    Unkept,
    /// This process does not know the attempt: it is another incarnation, or forgot it.
    Stranger,
}
