//! The list of entry hosts, as the store has it, and who on it seems to be gone.
//!
//! The list is the set of rows, so all hosts see the same lists in the same order. Nobody is left
//! out by one host's own judgement: a row that stands still is deleted, by a write that fails if
//! the row moved after all. docs/LIMITS.md tells what depends on that.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use reachhead_link::message::{ListStamp, MemberList};
use reachhead_types::{
    boot_instant::BootInstant,
    id::HostId,
    member::{Member, MemberId},
    size::Revision,
};

#[derive(Debug, Clone)]
struct Watched {
    id: MemberId,
    counter: u64,
    /// When this host last saw the counter move, or the store come back.
    moved: BootInstant,
}

/// The rows of the list as this host has seen them move, by its own clock.
///
/// An outage of the store counts for nobody's silence: after it every row gets the whole term
/// again, since hosts find out at different moments that the store is back.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    list: Vec<Member>,
    revision: Revision,
    watched: BTreeMap<HostId, Watched>,
}

impl MemberTable {
    /// Returns an empty book.
    pub fn new() -> Self {
        Self { list: Vec::new(), revision: Revision(0), watched: BTreeMap::new() }
    }

    /// Notes that the store answers again after an outage.
    pub fn note_back(&mut self, now: BootInstant) {
        for seen in self.watched.values_mut() {
            seen.moved = now;
        }
    }

    /// Notes the rows of one read of the store, as of `revision`, and tells whether the list is
    /// another one than before.
    pub fn observe(&mut self, rows: Vec<Member>, revision: Revision, now: BootInstant) -> bool {
        let mut watched = BTreeMap::new();
        for member in &rows {
            let id = member.id();
            let moved = match self.watched.get(&member.host) {
                Some(seen) if seen.id == id && seen.counter == member.counter => seen.moved,
                _ => now,
            };
            let seen = Watched { id, counter: member.counter, moved };
            watched.insert(member.host.clone(), seen);
        }
        self.watched = watched;
        self.replace(MemberList { members: rows, revision })
    }

    /// Takes over a peer's list if it is newer, as a host must that can't read the store itself.
    pub fn adopt(&mut self, list: MemberList) -> bool {
        list.revision > self.revision && self.replace(list)
    }

    fn replace(&mut self, list: MemberList) -> bool {
        let before = self.ids();
        self.list = list.members;
        self.revision = self.revision.max(list.revision);
        before != self.ids()
    }

    /// Returns the entry hosts on the list.
    pub fn members(&self) -> &[Member] {
        &self.list
    }

    /// Returns the hosts whose rows stood still for `term` at `now` and should be deleted.
    pub fn gone(&self, term: Duration, now: BootInstant) -> Vec<HostId> {
        let is_gone = |seen: &Watched| now.duration_since(seen.moved) >= term;
        let gone = self.watched.iter().filter(|(_, seen)| is_gone(seen));
        gone.map(|(host, _)| host.clone()).collect()
    }

    /// Returns what a peer needs to tell whether its list is another one.
    pub fn stamp(&self) -> ListStamp {
        let mut hasher = DefaultHasher::new();
        self.ids().hash(&mut hasher);
        ListStamp { revision: self.revision, digest: hasher.finish() }
    }

    /// Returns the list for a peer with `stamp`, if it lacks it.
    pub fn newer_than(&self, stamp: ListStamp) -> Option<MemberList> {
        let own = self.stamp();
        let is_newer = own.revision > stamp.revision && own.digest != stamp.digest;
        is_newer.then(|| MemberList { members: self.list.clone(), revision: self.revision })
    }

    fn ids(&self) -> Vec<MemberId> {
        self.list.iter().map(Member::id).collect()
    }
}
