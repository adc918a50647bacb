//! The platform's hosts: drains, reboots, and the host list that tells of them.

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

/// What a test sets of a host; posted to `/platform`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostKnob {
    host: HostId,
    #[serde(default)]
    running: Option<u32>,
    #[serde(default)]
    is_up: Option<bool>,
}

/// Every host that was ever named, and every host list.
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

    /// Makes `list` the newest.
    pub fn add_list(&self, list: HostList) {
        self.lists().push(list);
    }

    /// Returns the newest list if it is newer than `after`.
    pub fn list(&self, after: Revision) -> Option<HostList> {
        self.lists().last().filter(|list| list.revision > after).cloned()
    }

    /// Returns some list, as a stale read may; it knows nothing of what the reader has.
    pub fn stale_list(&self, number: usize) -> Option<HostList> {
        let lists = self.lists();
        lists.get(number % lists.len().max(1)).cloned()
    }

    /// Sets what a test wants of a host.
    pub fn set(&self, knob: HostKnob) {
        self.change(&knob.host, |status| {
            status.running = knob.running.unwrap_or(status.running);
            status.is_up = knob.is_up.unwrap_or(status.is_up);
        });
    }

    /// Returns how each of `hosts` is.
    pub fn status(&self, hosts: &[HostId]) -> Vec<HostStatus> {
        let mut known = self.hosts();
        hosts.iter().map(|host| known.entry(host.clone()).or_insert_with(fresh).clone()).collect()
    }

    /// Drains a host.
    pub fn drain(&self, call: HostCall) {
        self.change(&call.host, |status| status.drain = Some(call.tag));
    }

    /// Takes a drain back, if it is still the one that is meant.
    pub fn undrain(&self, call: &HostCall) {
        self.change(&call.host, |status| {
            status.drain = status.drain.take().filter(|tag| *tag != call.tag);
        });
    }

    /// Reboots a host that is under the drain that is meant and was not rebooted yet.
    pub fn reboot(&self, call: &RebootCall) -> Result<(), String> {
        let mut result = Ok(());
        self.change(&call.host, |status| {
            if status.drain.as_ref() == Some(&call.tag) && status.boots == call.boots {
                status.boots += 1;
            } else {
                result = Err(format!("host {} is not as the call says", call.host));
            }
        });
        result
    }

    /// Changes a host and adds a list if its state on it is another one.
    fn change(&self, host: &HostId, change: impl FnOnce(&mut HostStatus)) {
        let mut hosts = self.hosts();
        let before = states(&hosts);
        change(hosts.entry(host.clone()).or_insert_with(fresh));
        let after = states(&hosts);
        if before == after {
            return;
        }
        let mut lists = self.lists();
        let revision = lists.last().map_or(Revision(0), |list| list.revision);
        lists.push(HostList { revision: Revision(revision.0 + 1), hosts: after });
    }
}

fn fresh() -> HostStatus {
    HostStatus { is_up: true, drain: None, running: 0, boots: 0 }
}

fn states(hosts: &BTreeMap<HostId, HostStatus>) -> Vec<HostEntry> {
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
