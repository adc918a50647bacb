//! Which of a minion's slots each entry host may use, without a word between them.
//!
//! Each slot belongs to one entry host by rendezvous hashing over the list of entry hosts, so the
//! sum over all hosts with the same list is exactly the minion's limit. Lists differ for a while
//! after a change; [`ShareHistory`] makes the change safe. docs/LIMITS.md gives the argument.

use std::{
    collections::VecDeque,
    hash::{Hash, Hasher},
    time::{Duration, Instant},
};

use reachhead_types::id::HostId;
use siphasher::sip::SipHasher13;

/// Keys of the hash; part of the agreement between entry hosts, so never changed.
const HASH_KEYS: [u64; 2] = [0x7265_6163_6868_6561, 0x6473_6c6f_7473_3031];

/// Returns the host that owns slot number `slot` of `minion`; `None` if there are no hosts.
pub fn owner<'h>(hosts: &'h [HostId], minion: &str, slot: u32) -> Option<&'h HostId> {
    hosts.iter().max_by_key(|host| (score(host, minion, slot), *host))
}

fn score(host: &HostId, minion: &str, slot: u32) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS[0], HASH_KEYS[1]);
    (host.as_str(), minion, slot).hash(&mut hasher);
    hasher.finish()
}

/// The lists of entry hosts that this host has seen lately.
///
/// A slot may be used only while every list in force during the last `hold` gives it to this host.
/// A host that loses a slot stops at once; the one that gains it waits until the loser must have
/// noticed and its last request is over.
#[derive(Debug, Clone)]
pub struct ShareHistory {
    own: HostId,
    lists: VecDeque<Seen>,
}

#[derive(Debug, Clone)]
struct Seen {
    hosts: Vec<HostId>,
    /// When this list was replaced; `None` for the list in force.
    until: Option<Instant>,
}

impl ShareHistory {
    /// Returns the history of a process that just started, at `now`.
    ///
    /// It has seen no list, which counts as a list that gives it nothing: the others may not have
    /// noticed this host yet.
    pub fn new(own: HostId) -> Self {
        let none = Seen { hosts: Vec::new(), until: None };
        Self { own, lists: VecDeque::from([none]) }
    }

    /// Notes the list that is in force from `now` on and tells whether it is a new one.
    pub fn note(&mut self, hosts: Vec<HostId>, now: Instant) -> bool {
        let Some(last) = self.lists.back_mut() else {
            return false;
        };
        if last.hosts == hosts {
            return false;
        }
        last.until = Some(now);
        self.lists.push_back(Seen { hosts, until: None });
        true
    }

    /// Forgets the lists that ended longer than `hold` before `now` and tells whether any did.
    pub fn expire(&mut self, hold: Duration, now: Instant) -> bool {
        let before = self.lists.len();
        let is_over = |seen: &Seen| {
            seen.until.is_some_and(|until| now.saturating_duration_since(until) >= hold)
        };
        while self.lists.front().is_some_and(is_over) {
            self.lists.pop_front();
        }
        self.lists.len() != before
    }

    /// Returns how many of `slots` of `minion` this host may use.
    pub fn usable(&self, minion: &str, slots: u32) -> u32 {
        let is_own = |slot: u32| {
            self.lists.iter().all(|seen| owner(&seen.hosts, minion, slot) == Some(&self.own))
        };
        (0..slots).filter(|&slot| is_own(slot)).count() as u32
    }

    /// Tells whether a list other than the one in force still counts.
    pub fn is_changing(&self) -> bool {
        self.lists.len() > 1
    }
}
