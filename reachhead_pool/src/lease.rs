//! The lease of a pool: which entry host owns it.
//!
//! Each pool prefers one entry host by rendezvous hashing, which spreads pools without
//! communication. A lease row makes ownership exclusive. An owner counts as failed if its heartbeat,
//! a counter in its member row, makes no progress for longer than the lease lasts, measured by the
//! clock of the observer; clocks are never compared. A wrong verdict is harmless, since every write
//! of an owner has the revision of its lease as a precondition (a fencing token).

use std::hash::{Hash, Hasher};

use reachhead_types::{id::PoolName, member::MemberId, pool::LeaseRow};
use siphasher::sip::SipHasher13;

/// Keys of the rendezvous hash. All entry hosts must agree on them, so they must never change.
const HASH_KEYS: [u64; 2] = [0x7265_6163_6868_6561, 0x6470_6f6f_6c73_3031];

/// An entry host that may own pools, as seen by an observer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The entry host and its incarnation on the membership list.
    pub id: MemberId,
    /// Whether its heartbeat made no progress for longer than the lease lasts.
    pub is_silent: bool,
}

/// The next action for the lease of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStep {
    /// Keep the lease, which this host holds.
    Keep,
    /// Acquire the lease, which is free, expired or overdue for a handover.
    Acquire,
    /// Release the lease, since another live host is preferred.
    Release,
    /// Take no action, since another host owns or should own the pool.
    Wait,
}

/// Returns the live entry host that should own `pool`.
pub fn preferred_owner<'c>(pool: &PoolName, candidates: &'c [Candidate]) -> Option<&'c MemberId> {
    let live = candidates.iter().filter(|candidate| !candidate.is_silent);
    live.map(|candidate| &candidate.id).max_by_key(|id| (score(id, pool), *id))
}

/// Returns the rendezvous score of an entry host for a pool; it is the same on every host.
pub fn score(member: &MemberId, pool: &PoolName) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS[0], HASH_KEYS[1]);
    (member.host.as_str(), pool.as_str()).hash(&mut hasher);
    hasher.finish()
}

/// Returns the next step of the entry host `own` for the lease of `pool`; `lease` is `None` if
/// there is no row yet.
///
/// `is_overdue` is set if another owner, although it is alive, has not handed the pool over in
/// time. It may not know that it holds the lease, if its write succeeded and the answer was lost.
pub fn next_step(
    own: &MemberId,
    pool: &PoolName,
    candidates: &[Candidate],
    lease: Option<&LeaseRow>,
    is_overdue: bool,
) -> LeaseStep {
    let preferred = preferred_owner(pool, candidates);
    let owner = lease.and_then(|lease| lease.owner.as_ref());
    let is_live = |id: &MemberId| candidates.iter().any(|one| one.id == *id && !one.is_silent);
    match owner {
        Some(owner) if owner == own => match preferred {
            Some(preferred) if preferred != own => LeaseStep::Release,
            _ => LeaseStep::Keep,
        },
        Some(owner) if is_live(owner) && !is_overdue => LeaseStep::Wait,
        _ if preferred == Some(own) => LeaseStep::Acquire,
        _ => LeaseStep::Wait,
    }
}
