//! Membership list of the entry hosts and heartbeat timeouts.
//!
//! The list is the set of member rows in the store, so all hosts see the same lists in the same
//! order. No host excludes a member by its own judgement: a row without progress is deleted by a
//! conditional write, which fails if the row has changed after all. docs/LIMITS.md states what
//! depends on that.

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

/// The last heartbeat seen from a member.
#[derive(Debug, Clone)]
struct HeartbeatRecord {
    id: MemberId,
    counter: u64,
    /// When this host last saw the counter change, or the store come back.
    last_progress: BootInstant,
    /// The store came back since the counter changed.
    had_outage: bool,
}

/// Members and their heartbeat progress, timed by this host's clock.
///
/// A store outage doesn't count against any member: after it every row gets its full timeout again,
/// since hosts notice at different times that the store is back. A row without progress gets it
/// once, and after further outages only their own time: the rows of dead hosts would otherwise stay
/// for as long as the store fails now and then.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    members: Vec<Member>,
    revision: Revision,
    heartbeats: BTreeMap<HostId, HeartbeatRecord>,
}

impl MemberTable {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self { members: Vec::new(), revision: Revision(0), heartbeats: BTreeMap::new() }
    }

    /// Extends all heartbeat timeouts after a store outage.
    pub fn excuse_outage(&mut self, start: BootInstant, end: BootInstant) {
        let outage = end.duration_since(start);
        for record in self.heartbeats.values_mut() {
            let is_first = !std::mem::replace(&mut record.had_outage, true);
            record.last_progress =
                if is_first { end } else { end.min(record.last_progress + outage) };
        }
    }

    /// Applies the rows of one read of the store at `revision`, and returns whether membership
    /// changed. A read older than the list, which a peer sent in the meantime, is ignored.
    pub fn process_rows(
        &mut self,
        rows: Vec<Member>,
        revision: Revision,
        now: BootInstant,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let mut heartbeats = BTreeMap::new();
        for member in &rows {
            let id = member.id();
            let record = match self.heartbeats.remove(&member.host) {
                Some(record) if record.id == id && record.counter == member.counter => record,
                _ => {
                    let counter = member.counter;
                    HeartbeatRecord { id, counter, last_progress: now, had_outage: false }
                }
            };
            heartbeats.insert(member.host.clone(), record);
        }
        self.heartbeats = heartbeats;
        self.replace(MemberList { members: rows, revision })
    }

    /// Adopts a peer's list if it is newer, for hosts that can't read the store, and returns
    /// whether membership changed.
    pub fn adopt(&mut self, list: MemberList) -> bool {
        list.revision > self.revision && self.replace(list)
    }

    fn replace(&mut self, list: MemberList) -> bool {
        let before = self.member_ids();
        self.members = list.members;
        self.revision = self.revision.max(list.revision);
        before != self.member_ids()
    }

    /// Returns the entry hosts on the list.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the hosts without heartbeat progress for `max_silence` at `now`.
    pub fn expired_hosts(&self, max_silence: Duration, now: BootInstant) -> Vec<HostId> {
        let is_expired =
            |record: &HeartbeatRecord| now.duration_since(record.last_progress) >= max_silence;
        let expired = self.heartbeats.iter().filter(|(_, record)| is_expired(record));
        expired.map(|(host, _)| host.clone()).collect()
    }

    /// Returns the stamp by which a peer can tell whether its list differs.
    pub fn stamp(&self) -> ListStamp {
        let mut hasher = DefaultHasher::new();
        self.member_ids().hash(&mut hasher);
        ListStamp { revision: self.revision, digest: hasher.finish() }
    }

    /// Returns the list if it is newer than that of a peer with `stamp` and differs from it.
    pub fn newer_than(&self, stamp: ListStamp) -> Option<MemberList> {
        let own = self.stamp();
        let is_newer = own.revision > stamp.revision && own.digest != stamp.digest;
        is_newer.then(|| MemberList { members: self.members.clone(), revision: self.revision })
    }

    fn member_ids(&self) -> Vec<MemberId> {
        self.members.iter().map(Member::id).collect()
    }
}

#[cfg(test)]
#[path = "member_table_tests.rs"]
mod tests;
