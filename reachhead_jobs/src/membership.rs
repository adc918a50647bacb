//! Membership: which processes watch the owners of pools and take over vacant pools.
//!
//! Hundreds or thousands of processes may start, restart or lose power at the same moment. All of
//! them follow the membership list, so with every process on it each entry would be read by each
//! process, and all entries would be written to one partition of the store at once. A few processes
//! with much capacity suffice, whatever the size of the fleet.

use std::time::Duration;

use reachhead_types::{
    id::NodeName,
    size::{Millis, Strength},
};

/// Minimum number of members, since zones can be lost and hosts be under maintenance.
const MIN_MEMBERS: usize = 16;

/// Members per pool, so that owners can be processes without other work.
const MEMBERS_PER_POOL: usize = 2;

/// Largest allowed ratio of members to the target. Each leave is read by every process, so a small
/// surplus costs less than leaving.
const MAX_SURPLUS_FACTOR: usize = 4;

/// Delay of a process of [`REFERENCE_STRENGTH`] before it joins; stronger ones come earlier. Once
/// enough of these have joined, the others need not join at all.
const REFERENCE_DELAY: Millis = Millis(400);

/// Longest delay of a weak process.
const MAX_STRENGTH_DELAY: Millis = Millis(2000);

/// Time between two join rounds, in which all processes learn who has joined.
const JOIN_ROUND: Millis = Millis(150);

/// Number of join rounds. In each about twice as many processes try to join as in the one before,
/// so that even with some thousand times as many processes as needed only a few too many join.
const JOIN_ROUNDS: f64 = 12.0;

/// Capacity weight of a typical process, in starts of tasks a second.
const REFERENCE_STRENGTH: u64 = 1000;

/// First backoff after a failed write.
const MIN_RETRY_PAUSE: Millis = Millis(200);

/// Longest backoff after failed writes.
const MAX_RETRY_PAUSE: Millis = Millis(5000);

/// Consecutive unanswered pings after which a member is removed.
pub const MAX_MISSED_PINGS: u32 = 4;

/// A process considered for membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberCandidate<'a> {
    /// Name of the process.
    pub node: &'a NodeName,
    /// Capacity weight.
    pub strength: Strength,
}

impl MemberCandidate<'_> {
    /// Returns whether this process is preferred over `other` as a member.
    fn precedes(&self, other: &MemberCandidate<'_>) -> bool {
        (self.strength, other.node) > (other.strength, self.node)
    }
}

/// Returns the target number of members.
pub fn target_members(pools: usize) -> usize {
    MIN_MEMBERS.max(MEMBERS_PER_POOL * pools)
}

/// Returns whether a process should join: there are fewer than `target_members` others that are at
/// least as strong.
pub fn should_join<'a>(
    own: MemberCandidate<'_>,
    others: impl Iterator<Item = MemberCandidate<'a>>,
    target_members: usize,
) -> bool {
    others.filter(|other| other.strength >= own.strength).take(target_members).count()
        < target_members
}

/// Returns whether a member should leave: there are far more than `target_members` others that are
/// preferred over it.
pub fn should_leave<'a>(
    own: MemberCandidate<'_>,
    others: impl Iterator<Item = MemberCandidate<'a>>,
    target_members: usize,
) -> bool {
    let limit = MAX_SURPLUS_FACTOR * target_members;
    others.filter(|other| other.precedes(&own)).take(limit).count() == limit
}

/// Returns how long a process of this strength waits before it joins. `share`, random and uniform
/// from 0 to 1, spreads processes of equal strength.
pub fn join_delay(strength: Strength, share: f64) -> Duration {
    let delay = REFERENCE_DELAY.0 * REFERENCE_STRENGTH / u64::from(strength.0).max(1);
    let first = Millis(delay.min(MAX_STRENGTH_DELAY.0)).duration();
    let join_round = (JOIN_ROUNDS + share.max(f64::MIN_POSITIVE).log2()).max(0.0);
    first + JOIN_ROUND.duration().mul_f64(join_round)
}

/// Returns the backoff after this many consecutive failed or late writes of the membership list,
/// with jitter `share` from 0 to 1.
pub fn retry_pause(failures: u32, share: f64) -> Duration {
    let pause = MIN_RETRY_PAUSE.0 << failures.min(8);
    Millis(pause.min(MAX_RETRY_PAUSE.0)).duration().mul_f64(0.5 + share)
}

/// Returns whether unreachable members may be removed: a process that reaches less than half of
/// them is itself partitioned.
pub fn can_remove_members(answered: usize, asked: usize) -> bool {
    2 * answered >= asked
}
