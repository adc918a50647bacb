//! Hosts of the platform: drains, reboots, and the host list that reports their state.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use reachhead_store::{
    http::{HostCall, RebootCall},
    platform::HostStatus,
};
use reachhead_types::{
    hosts::{HostEntry, HostList, HostState},
    id::HostId,
    size::Revision,
};
use serde::Deserialize;

/// Status fields that a test sets for a host; posted to `/platform`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostUpdate {
    host: HostId,
    #[serde(default)]
    running: Option<u32>,
    #[serde(default)]
    is_up: Option<bool>,
}

/// In-memory platform: status of every host named so far, and every host list published.
#[derive(Default)]
pub struct PlatformStandin {
    hosts: Mutex<BTreeMap<HostId, HostStatus>>,
    lists: Mutex<Vec<HostList>>,
}

impl PlatformStandin {
    fn hosts(&self) -> MutexGuard<'_, BTreeMap<HostId, HostStatus>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lists(&self) -> MutexGuard<'_, Vec<HostList>> {
        self.lists.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes `list` as the newest.
    pub fn add_list(&self, list: HostList) {
        self.lists().push(list);
    }

    /// Returns the newest list if it is newer than `after`.
    pub fn list(&self, after: Revision) -> Option<HostList> {
        self.lists().last().filter(|list| list.revision > after).cloned()
    }

    /// Returns one of all published lists, as a stale read may, whatever revision the reader has.
    ///
    /// `number` selects the list, modulo their count.
    pub fn stale_list(&self, number: usize) -> Option<HostList> {
        let lists = self.lists();
        lists.get(number % lists.len().max(1)).cloned()
    }

    /// Applies a status update from a test.
    pub fn update_host(&self, update: HostUpdate) {
        self.change(&update.host, |status| {
            status.running = update.running.unwrap_or(status.running);
            status.is_up = update.is_up.unwrap_or(status.is_up);
        });
    }

    /// Returns the status of each of `hosts`, adding unknown ones as up and idle.
    pub fn status(&self, hosts: &[HostId]) -> Vec<HostStatus> {
        let mut known = self.hosts();
        hosts
            .iter()
            .map(|host| known.entry(host.clone()).or_insert_with(idle_host).clone())
            .collect()
    }

    /// Starts a drain of a host, identified by the call's tag.
    pub fn drain(&self, call: HostCall) {
        self.change(&call.host, |status| status.drain = Some(call.tag));
    }

    /// Cancels a drain if its tag is still the call's.
    pub fn undrain(&self, call: &HostCall) {
        self.change(&call.host, |status| {
            status.drain = status.drain.take().filter(|tag| *tag != call.tag);
        });
    }

    /// Reboots a host once.
    ///
    /// # Errors
    ///
    /// If the host is not under the drain with the call's tag, or its boot count differs from the call's.
    pub fn reboot(&self, call: &RebootCall) -> Result<(), String> {
        let mut result = Ok(());
        self.change(&call.host, |status| {
            if status.drain.as_ref() == Some(&call.tag) && status.boots == call.boots {
                status.boots += 1;
            } else {
                result = Err(format!(
                    "host {}: drain tag or boot count differs from the call",
                    call.host
                ));
            }
        });
        result
    }

    /// Changes the status of a host, and publishes a new list if its entries differ from before.
    fn change(&self, host: &HostId, change: impl FnOnce(&mut HostStatus)) {
        let mut hosts = self.hosts();
        let before = host_entries(&hosts);
        change(hosts.entry(host.clone()).or_insert_with(idle_host));
        let after = host_entries(&hosts);
        if before == after {
            return;
        }
        let mut lists = self.lists();
        let revision = lists.last().map_or(Revision(0), |list| list.revision);
        lists.push(HostList { revision: Revision(revision.0 + 1), hosts: after });
    }
}

fn idle_host() -> HostStatus {
    HostStatus { is_up: true, drain: None, running: 0, boots: 0 }
}

fn host_entries(hosts: &BTreeMap<HostId, HostStatus>) -> Vec<HostEntry> {
    let state = |status: &HostStatus| match status.is_drained() || !status.is_up {
        true => HostState::Leaving,
        false => HostState::Live,
    };
    let entry = |(host, status): (&HostId, &HostStatus)| HostEntry {
        host: host.clone(),
        state: state(status),
    };
    hosts.iter().map(entry).collect()
}
