//! The messages between the system's own processes.

use reachhead_types::{
    answer::KeptAnswer,
    hosts::LeavingHosts,
    id::{AttemptId, HostId, Incarnation, LoanId, MinionId, ServiceName},
    member::{Member, MemberId},
    size::{Millis, Revision, Version},
    snapshot::Delta,
};
use serde::{Deserialize, Serialize};

/// An identifier of a membership list, used to compare lists without sending them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStamp {
    /// The store's revision when the list was read.
    pub revision: Revision,
    /// Digest of the hosts on the list.
    pub digest: u64,
}

/// The membership list of entry hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberList {
    /// The hosts, ordered by name.
    pub members: Vec<Member>,
    /// The store's revision when the list was read.
    pub revision: Revision,
}

/// A request to a control process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControlRequest {
    /// The entry process of the same host requests updates.
    Follow {
        /// The configuration version of the entry process.
        have: Version,
        /// The revision of its copy of the platform's host list.
        hosts: Revision,
    },
    /// A gossip round of a peer, which reports its versions and forwards new changes.
    Gossip {
        /// The configuration version of the peer.
        have: Version,
        /// The changes that the peer received since its last round, if any.
        delta: Option<Delta>,
        /// The stamp of the peer's membership list.
        list: ListStamp,
        /// The revision of the peer's copy of the platform's host list.
        hosts: Revision,
    },
    /// An operator's tool requests the configuration version of this host.
    Status,
}

/// A control process's reply.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControlReply {
    /// Updates for the entry process.
    Follow(Box<FollowReply>),
    /// Updates for the peer.
    Gossip(Box<GossipReply>),
    /// The status of this host.
    Status(StatusReply),
}

/// A reply to a gossip round, with what is newer than the peer's state.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GossipReply {
    /// Configuration changes after the peer's version.
    pub delta: Option<Delta>,
    /// The membership list, if it is newer than the peer's.
    pub list: Option<MemberList>,
    /// The leaving hosts, if they are of a newer host list than the peer's.
    pub leaving: Option<LeavingHosts>,
    /// Whether the store did not answer the last call of the replying process.
    #[serde(rename = "is_blind")]
    pub is_cut_off: bool,
    /// Maximum age of the replying process's membership list; `None` if it never confirmed one.
    pub age: Option<Millis>,
}

/// A reply to the entry process of the same host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowReply {
    /// The configuration changes after the requested version; `None` if that is the newest.
    pub delta: Option<Delta>,
    /// The leaving hosts, if they are of a newer host list.
    pub leaving: Option<LeavingHosts>,
    /// The members, ordered by name.
    pub members: Vec<Member>,
    /// The id of this host's own membership; `None` if it is not a member.
    pub own: Option<MemberId>,
    /// Maximum time until every entry host notices a new list.
    pub notice: Millis,
    /// Maximum age of the list: the time since the last check that confirmed it as the newest;
    /// `None` if there was no such check.
    pub age: Option<Millis>,
}

/// The configuration status of one host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusReply {
    /// The host.
    pub host: HostId,
    /// The version of its control process.
    pub version: Version,
    /// The version that its entry process last reported.
    pub entry: Version,
}

/// A request to an entry process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryRequest {
    /// Another entry host found a claim of this process and requests the state of its attempt.
    Claim {
        /// The incarnation that made the claim.
        incarnation: Incarnation,
        /// The attempt that holds the claim.
        attempt: AttemptId,
    },
    /// Another entry host requests a loan of slots, since it has more requests than slots.
    Borrow {
        /// The service.
        service: ServiceName,
        /// Number of slots that the borrower could use.
        want: u32,
    },
    /// Another entry host returns a loan, on whose slots none of its requests run any more.
    Return {
        /// The loan.
        loan: LoanId,
    },
}

/// Lent slots of one minion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LentSlots {
    /// The minion.
    pub minion: MinionId,
    /// Number of slots.
    pub slots: u32,
}

/// An entry process's reply.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryReply {
    /// The attempt is in progress.
    InProgress,
    /// The attempt was never sent to a minion and never will be.
    Abandoned,
    /// The attempt ended with this answer.
    Done(Box<KeptAnswer>),
    /// A loan of slots, empty if the lender has none to spare.
    Lent {
        /// The loan.
        loan: LoanId,
        /// The lent slots.
        slots: Vec<LentSlots>,
    },
    /// The loan was returned.
    Returned,
    /// The attempt was sent to a minion and its answer is lost.
    Lost,
    /// The attempt ended, but its answer is too large to keep.
    #[serde(rename = "unkept")]
    NotKept,
    /// This process doesn't know the attempt: it is another incarnation or has forgotten it.
    #[serde(rename = "stranger")]
    UnknownAttempt,
}
