//! What the processes say to each other.

use reachhead_types::{
    answer::KeptAnswer,
    hosts::LeavingHosts,
    id::{AttemptId, HostId, Incarnation, LoanId, MinionId, ServiceName},
    member::{Member, MemberId},
    size::{Millis, Revision, Version},
    snapshot::Delta,
};
use serde::{Deserialize, Serialize};

/// Tells lists of entry hosts apart without sending them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStamp {
    /// The store's revision when the list was read.
    pub revision: Revision,
    /// Digest of the hosts on it.
    pub digest: u64,
}

/// A list of entry hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberList {
    /// The hosts in the order of their names.
    pub members: Vec<Member>,
    /// The store's revision when it was read.
    pub revision: Revision,
}

/// A question to a control process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControlRequest {
    /// The entry process of the same host wants what is new.
    Follow {
        /// The version that it has.
        have: Version,
        /// The revision of the platform's host list that it has.
        hosts: Revision,
    },
    /// A peer tells its version and hands on what it just learned.
    Gossip {
        /// The version that it has.
        have: Version,
        /// What it learned since its last round; empty in a quiet one.
        delta: Option<Delta>,
        /// The list of entry hosts that it has.
        list: ListStamp,
        /// The revision of the platform's host list that it has.
        hosts: Revision,
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
    Gossip(Box<GossipReply>),
    /// The state of this host.
    Status(StatusReply),
}

/// What a peer lacks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GossipReply {
    /// Configuration changes after the peer's version.
    pub delta: Option<Delta>,
    /// A newer list of entry hosts.
    pub list: Option<MemberList>,
    /// The leaving hosts of a newer host list.
    pub leaving: Option<LeavingHosts>,
    /// Whether the store did not answer the peer's last call.
    #[serde(rename = "is_blind")]
    pub is_cut_off: bool,
    /// How old the peer's list is at most.
    pub age: Option<Millis>,
}

/// What the entry process should know.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowReply {
    /// The configuration since the version that was named; `None` where that is the newest.
    pub delta: Option<Delta>,
    /// The leaving hosts of a newer host list.
    pub leaving: Option<LeavingHosts>,
    /// The entry hosts on the list, in the order of their names.
    pub members: Vec<Member>,
    /// This host's place on the list; `None` while it has none.
    pub own: Option<MemberId>,
    /// The longest time in which every entry host notices a new list.
    pub notice: Millis,
    /// How old the list is at most: the age of the last look that found it the newest; `None` if
    /// there was none.
    pub age: Option<Millis>,
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
    /// Another entry host has more to do than its slots allow.
    Borrow {
        /// The service.
        service: ServiceName,
        /// Slots that it could use.
        want: u32,
    },
    /// Another entry host has no request left on what it borrowed.
    Return {
        /// The loan.
        loan: LoanId,
    },
}

/// Slots of one minion that are lent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LentSlots {
    /// The minion.
    pub minion: MinionId,
    /// How many.
    pub slots: u32,
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
    /// Slots for the term of a loan; empty if there are none to spare.
    Lent {
        /// The loan.
        loan: LoanId,
        /// What is lent.
        slots: Vec<LentSlots>,
    },
    /// What was lent is taken back.
    Returned,
    /// The attempt was sent to a minion and its answer is lost.
    Lost,
    /// The attempt ended, and its answer is too large to keep.
    #[serde(rename = "unkept")]
    NotKept,
    /// This process does not know the attempt: it is another incarnation, or forgot it.
    #[serde(rename = "stranger")]
    UnknownAttempt,
}
