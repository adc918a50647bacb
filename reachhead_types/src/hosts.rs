//! The platform's list of live and leaving hosts, whose reads may be stale.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{id::HostId, size::Revision};

/// Whether a host stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It runs and stays.
    Live,
    /// It will be stopped soon.
    Leaving,
}

/// A host on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host.
    pub host: HostId,
    /// Whether it stays.
    pub state: HostState,
}

/// The platform's list as one read gave it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The list's revision; a read may give an older one than the read before.
    pub revision: Revision,
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}

/// The hosts that are leaving by the newest list that was seen.
///
/// Only they travel between processes: they are few, and everyone else may have work.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeavingHosts {
    /// The revision of that list; 0 before any was seen.
    pub revision: Revision,
    /// The hosts.
    pub hosts: BTreeSet<HostId>,
}

impl LeavingHosts {
    /// Takes over `newer` if it is, and tells whether it was; an older list undoes nothing.
    pub fn replace_if_newer(&mut self, newer: Self) -> bool {
        let is_newer = newer.revision > self.revision;
        if is_newer {
            *self = newer;
        }
        is_newer
    }

    /// Returns the leaving hosts, if they are of a newer list than `revision`.
    pub fn newer_than(&self, revision: Revision) -> Option<Self> {
        (self.revision > revision).then(|| self.clone())
    }
}

impl From<&HostList> for LeavingHosts {
    fn from(list: &HostList) -> Self {
        let leaving = list.hosts.iter().filter(|entry| entry.state == HostState::Leaving);
        Self { revision: list.revision, hosts: leaving.map(|entry| entry.host.clone()).collect() }
    }
}
