//! Who is alive among the entry hosts, judged by counters that move and by nobody's wall clock.

use std::collections::BTreeMap;

use reachhead_types::{
    id::{HostId, Incarnation},
    member::Member,
};

/// How often a row may be read without progress before its host may delete it, in rounds for each
/// round after which the host is taken for gone.
const DELETE_FACTOR: u32 = 5;

#[derive(Debug, Clone)]
struct Watched {
    member: Member,
    /// Reads in a row in which the counter stood still.
    still: u32,
}

/// The member rows as this host has seen them move.
///
/// Time is counted in successful reads: during a store outage no read succeeds, so nobody is taken
/// for gone because nobody could write.
#[derive(Debug, Clone)]
pub struct MemberBook {
    rows: BTreeMap<HostId, Watched>,
    missed: u32,
}

impl MemberBook {
    /// Returns an empty book that takes a host for gone after `missed` reads without progress.
    pub fn new(missed: u32) -> Self {
        Self { rows: BTreeMap::new(), missed }
    }

    /// Notes the rows of one read and tells whether the list of live hosts changed.
    pub fn observe(&mut self, rows: Vec<Member>) -> bool {
        let before = self.identities();
        let mut next = BTreeMap::new();
        for member in rows {
            let still = match self.rows.get(&member.host) {
                Some(seen) if is_still(&seen.member, &member) => seen.still + 1,
                _ => 0,
            };
            next.insert(member.host.clone(), Watched { member, still });
        }
        self.rows = next;
        before != self.identities()
    }

    /// Takes over a list that a peer gave, for a host that can't read the store yet.
    pub fn start_from(&mut self, members: Vec<Member>) {
        if self.rows.is_empty() {
            self.observe(members);
        }
    }

    /// Returns the hosts that are taken for alive, in the order of their names.
    pub fn live(&self) -> Vec<Member> {
        self.live_rows().cloned().collect()
    }

    /// Returns the hosts whose rows stood still so long that they may be deleted.
    pub fn dead(&self) -> Vec<HostId> {
        let limit = self.missed * DELETE_FACTOR;
        let dead = self.rows.values().filter(|row| row.still >= limit);
        dead.map(|row| row.member.host.clone()).collect()
    }

    fn live_rows(&self) -> impl Iterator<Item = &Member> {
        self.rows.values().filter(|row| row.still < self.missed).map(|row| &row.member)
    }

    fn identities(&self) -> Vec<(HostId, Incarnation)> {
        self.live_rows().map(|member| (member.host.clone(), member.incarnation)).collect()
    }
}

fn is_still(before: &Member, now: &Member) -> bool {
    before.incarnation == now.incarnation && before.counter == now.counter
}
