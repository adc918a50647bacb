//! Reads of the host list that are stale and out of order.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use reachhead_property::properties;
use reachhead_types::{
    hosts::{HostEntry, HostList, HostState, LeavingHosts},
    size::Revision,
};

fn list(revision: usize, leaving: &[u8]) -> HostList {
    let entry = |number: u8| HostEntry {
        host: format!("w{number}").parse().unwrap(),
        state: if leaving.contains(&number) { HostState::Leaving } else { HostState::Live },
    };
    HostList { revision: Revision(revision as u64 + 1), hosts: (0..8).map(entry).collect() }
}

properties! {
    fn the_newest_list_that_was_seen_counts(lists: Vec<Vec<u8>>, reads: Vec<u8>) -> bool {
        let lists: Vec<HostList> =
            lists.iter().enumerate().map(|(number, leaving)| list(number, leaving)).collect();
        let mut known = LeavingHosts::default();
        let mut newest = None;
        reads.into_iter().filter(|_| !lists.is_empty()).all(|read| {
            let index = usize::from(read) % lists.len();
            known.replace_if_newer(LeavingHosts::from(&lists[index]));
            newest = newest.max(Some(index));
            // The model: the leaving hosts of the newest list read so far.
            newest.is_some_and(|newest| known == LeavingHosts::from(&lists[newest]))
        })
    }
}
