//! Which entry host is in charge of a pool.
//!
//! Each pool prefers one entry host by rendezvous hashing, so all pools are spread without a word. A
//! lease row makes the choice exclusive. An owner is taken for gone by its row on the list of entry
//! hosts, which it counts up anyway: by the watcher's own clock, never by comparing clocks. A wrong
//! guess does no harm, since every write of an owner has its lease's revision as a precondition.

use std::hash::{Hash, Hasher};

use reachhead_types::{id::PoolName, member::MemberId, pool::LeaseRow};
use siphasher::sip::SipHasher13;

/// Keys of the hash; part of the agreement between entry hosts, so never changed.
const HASH_KEYS: [u64; 2] = [0x7265_6163_6868_6561, 0x6470_6f6f_6c73_3031];

/// An entry host as a watcher sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The entry host in one stay on the list.
    pub id: MemberId,
    /// Whether its row stood still for longer than the lease's term.
    pub is_silent: bool,
}

/// What to do about a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStep {
    /// This host is in charge and stays so.
    Keep,
    /// Nobody is in charge, or whoever was is gone: take the lease.
    Acquire,
    /// Another host is preferred and there: hand the pool over.
    Release,
    /// It is another host's business.
    Wait,
}

/// Returns the entry host that should be in charge of `pool`.
pub fn preferred_owner<'c>(pool: &PoolName, candidates: &'c [Candidate]) -> Option<&'c MemberId> {
    let present = candidates.iter().filter(|candidate| !candidate.is_silent);
    present.map(|candidate| &candidate.id).max_by_key(|id| (score(id, pool), *id))
}

/// Returns how strongly an entry host draws a pool; the same on every host.
pub fn score(member: &MemberId, pool: &PoolName) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS[0], HASH_KEYS[1]);
    (member.host.as_str(), pool.as_str()).hash(&mut hasher);
    hasher.finish()
}

/// Returns what `own` does about the lease of `pool`; `lease` is `None` where there is no row yet.
///
/// `is_overdue` tells that another owner, though it is there, has not handed the pool over for too
/// long: it may not know that the lease is its own, if it was taken by a write whose answer was lost.
pub fn next_step(
    own: &MemberId,
    pool: &PoolName,
    candidates: &[Candidate],
    lease: Option<&LeaseRow>,
    is_overdue: bool,
) -> LeaseStep {
    let preferred = preferred_owner(pool, candidates);
    let owner = lease.and_then(|lease| lease.owner.as_ref());
    let is_there = |id: &MemberId| candidates.iter().any(|one| one.id == *id && !one.is_silent);
    match owner {
        Some(owner) if owner == own => match preferred {
            Some(preferred) if preferred != own => LeaseStep::Release,
            _ => LeaseStep::Keep,
        },
        Some(owner) if is_there(owner) && !is_overdue => LeaseStep::Wait,
        _ if preferred == Some(own) => LeaseStep::Acquire,
        _ => LeaseStep::Wait,
    }
}
