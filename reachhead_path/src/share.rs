//! The slots of a minion that each entry host may use, assigned without communication.
//!
//! Each slot belongs to one entry host by rendezvous hashing over the membership list, so the sum
//! over all hosts with the same list is exactly the limit of the minion. After a change the lists
//! of the hosts differ for a while; [`ShareHistory`] makes this safe. docs/LIMITS.md has the
//! argument.

use std::{
    collections::VecDeque,
    hash::{Hash, Hasher},
    time::Duration,
};

use reachhead_types::{boot_instant::BootInstant, member::MemberId};
use siphasher::sip::SipHasher13;

/// Keys of the rendezvous hash. All entry hosts must agree on them, so they must never change.
const HASH_KEYS: [u64; 2] = [0x7265_6163_6868_6561, 0x6473_6c6f_7473_3031];

/// Returns the owner of each of the `slots` of `minion`, as an index into `hosts`; empty if there
/// are no hosts.
///
/// Each slot goes to the host with the highest score among those that have less than an even share,
/// so no host is left without a slot while there are enough. The score depends on the host name
/// alone, so a host that rejoins gets the same slots again.
pub fn slot_owners(hosts: &[MemberId], minion: &str, slots: u32) -> Vec<usize> {
    if hosts.is_empty() {
        return Vec::new();
    }
    let even_share = slots.div_ceil(hosts.len() as u32);
    let mut owned = vec![0; hosts.len()];
    let assign = |slot| {
        let candidates = (0..hosts.len()).filter(|&index| owned[index] < even_share);
        let best =
            candidates.max_by_key(|&index| (score(&hosts[index], minion, slot), &hosts[index]));
        let index = best.unwrap_or_default();
        owned[index] += 1;
        index
    };
    (0..slots).map(assign).collect()
}

/// Returns the rendezvous score of a host for a slot; it is the same on every host.
pub fn score(member: &MemberId, minion: &str, slot: u32) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS[0], HASH_KEYS[1]);
    (member.host.as_str(), minion, slot).hash(&mut hasher);
    hasher.finish()
}

/// The membership lists that this host has recently used.
///
/// A slot may be used only if every list that was in force during the last `hold` assigns it to
/// this host. A host that loses a slot stops using it at once, and the host that gains it waits for
/// `hold`, which must be twice the time within which every host notices a new list, plus
/// the duration of the longest request.
#[derive(Debug, Clone, Default)]
pub struct ShareHistory {
    lists: VecDeque<MemberList>,
}

#[derive(Debug, Clone)]
struct MemberList {
    /// This host and its incarnation on the list, if it is on it.
    own: Option<MemberId>,
    hosts: Vec<MemberId>,
    /// When the list was replaced; `None` for the list in force.
    replaced_at: Option<BootInstant>,
}

impl ShareHistory {
    /// Returns the history of a process that has just started.
    ///
    /// It begins with an empty list, which assigns no slots to this host: other hosts may not have
    /// noticed it yet.
    pub fn new() -> Self {
        let empty = MemberList { own: None, hosts: Vec::new(), replaced_at: None };
        Self { lists: VecDeque::from([empty]) }
    }

    /// Records the list that is in force from `now` on, and this host on it; returns whether it
    /// differs from the previous one.
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
        last.replaced_at = Some(now);
        self.lists.push_back(MemberList { own, hosts, replaced_at: None });
        true
    }

    /// Removes the lists that were replaced at least `hold` before `now` and returns whether there
    /// were any.
    pub fn expire_lists(&mut self, hold: Duration, now: BootInstant) -> bool {
        let old_len = self.lists.len();
        let is_expired =
            |list: &MemberList| list.replaced_at.is_some_and(|at| now.duration_since(at) >= hold);
        while self.lists.front().is_some_and(is_expired) {
            self.lists.pop_front();
        }
        self.lists.len() != old_len
    }

    /// Returns how many of `slots` of `minion` this host may use.
    pub fn usable_slots(&self, minion: &str, slots: u32) -> u32 {
        let Some(own) = self.lists.back().and_then(|last| last.own.as_ref()) else {
            return 0;
        };
        // An earlier incarnation of this host counts as a different owner, since others may have
        // used its slots in the meantime.
        let owned: Vec<Vec<bool>> = self
            .lists
            .iter()
            .map(|list| {
                let owners = slot_owners(&list.hosts, minion, slots);
                owners.into_iter().map(|index| list.hosts[index] == *own).collect()
            })
            .collect();
        let is_own = |slot: &usize| owned.iter().all(|slots| slots.get(*slot) == Some(&true));
        (0..slots as usize).filter(is_own).count() as u32
    }

    /// Returns whether lists other than the one in force still restrict the usable slots.
    pub fn is_transitioning(&self) -> bool {
        self.lists.len() > 1
    }
}
