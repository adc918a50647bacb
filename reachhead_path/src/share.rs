//! Which of a minion's slots each entry host may use, without a word between them.
//!
//! Each slot belongs to one entry host by rendezvous hashing over the list of entry hosts, so the
//! sum over all hosts with the same list is exactly the minion's limit. Lists differ for a while
//! after a change; [`ShareHistory`] makes the change safe. docs/LIMITS.md gives the argument.

use std::{
    collections::VecDeque,
    hash::{Hash, Hasher},
    time::Duration,
};

use reachhead_types::{boot_instant::BootInstant, member::MemberId};
use siphasher::sip::SipHasher13;

/// Keys of the hash; part of the agreement between entry hosts, so never changed.
const HASH_KEYS: [u64; 2] = [0x7265_6163_6868_6561, 0x6473_6c6f_7473_3031];

/// Returns the owner of each of the `slots` of `minion`, as an index into `hosts`; empty if there
/// are no hosts.
///
/// Each slot goes to the host with the highest score that has not its even part yet, so nobody is
/// left without a slot while there are enough. The score is by name alone, so a host that comes
/// back gets its slots back.
pub fn slot_owners(hosts: &[MemberId], minion: &str, slots: u32) -> Vec<usize> {
    if hosts.is_empty() {
        return Vec::new();
    }
    let even = slots.div_ceil(hosts.len() as u32);
    let mut owned = vec![0; hosts.len()];
    let assign = |slot| {
        let open = (0..hosts.len()).filter(|&index| owned[index] < even);
        let best = open.max_by_key(|&index| (score(&hosts[index], minion, slot), &hosts[index]));
        let index = best.unwrap_or_default();
        owned[index] += 1;
        index
    };
    (0..slots).map(assign).collect()
}

/// Returns how strongly a host draws a slot; the same on every host.
pub fn score(member: &MemberId, minion: &str, slot: u32) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS[0], HASH_KEYS[1]);
    (member.host.as_str(), minion, slot).hash(&mut hasher);
    hasher.finish()
}

/// The lists of entry hosts that this host has seen lately.
///
/// A slot may be used only while every list in force during the last `hold` gives it to this host.
/// A host that loses a slot stops at once; the one that gains it waits out the hold, which must be
/// twice the time in which every host notices a new list, plus the longest request.
#[derive(Debug, Clone, Default)]
pub struct ShareHistory {
    lists: VecDeque<Seen>,
}

#[derive(Debug, Clone)]
struct Seen {
    /// This host's place on the list, if it has one.
    own: Option<MemberId>,
    hosts: Vec<MemberId>,
    /// When this list was replaced; `None` for the list in force.
    until: Option<BootInstant>,
}

impl ShareHistory {
    /// Returns the history of a process that just started.
    ///
    /// It has seen no list, which counts as a list that gives it nothing: the others may not have
    /// noticed this host yet.
    pub fn new() -> Self {
        let none = Seen { own: None, hosts: Vec::new(), until: None };
        Self { lists: VecDeque::from([none]) }
    }

    /// Notes the list that is in force from `now` on, and this host's place on it, and tells
    /// whether it is a new one.
    pub fn record_list(
        &mut self,
        hosts: Vec<MemberId>,
        own: Option<MemberId>,
        now: BootInstant,
    ) -> bool {
        let Some(last) = self.lists.back_mut() else {
            return false;
        };
        if last.hosts == hosts && last.own == own {
            return false;
        }
        last.until = Some(now);
        self.lists.push_back(Seen { own, hosts, until: None });
        true
    }

    /// Forgets the lists that ended longer than `hold` before `now` and tells whether any did.
    pub fn expire_lists(&mut self, hold: Duration, now: BootInstant) -> bool {
        let before = self.lists.len();
        let is_over =
            |seen: &Seen| seen.until.is_some_and(|until| now.duration_since(until) >= hold);
        while self.lists.front().is_some_and(is_over) {
            self.lists.pop_front();
        }
        self.lists.len() != before
    }

    /// Returns how many of `slots` of `minion` this host may use.
    pub fn usable_slots(&self, minion: &str, slots: u32) -> u32 {
        let Some(own) = self.lists.back().and_then(|last| last.own.as_ref()) else {
            return 0;
        };
        // An earlier stay of this host is another owner: others may have used its slots since.
        let owned: Vec<Vec<bool>> = self
            .lists
            .iter()
            .map(|seen| {
                let owners = slot_owners(&seen.hosts, minion, slots);
                owners.into_iter().map(|index| seen.hosts[index] == *own).collect()
            })
            .collect();
        let is_own = |slot: &usize| owned.iter().all(|list| list.get(*slot) == Some(&true));
        (0..slots as usize).filter(is_own).count() as u32
    }

    /// Tells whether a list other than the one in force still counts.
    pub fn is_transitioning(&self) -> bool {
        self.lists.len() > 1
    }
}
