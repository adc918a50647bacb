//! The platform's list of live and leaving hosts; reads of it may be stale.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{id::HostId, size::Revision};

/// Whether a host stays in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host runs and stays in service.
    Live,
    /// The host will be stopped soon.
    Leaving,
}

/// A host on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host.
    pub host: HostId,
    /// Whether the host stays in service.
    pub state: HostState,
}

/// The platform's host list as returned by one read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The list's revision; a read may return an older one than the read before it.
    pub revision: Revision,
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}

/// The leaving hosts of the newest list that was read.
///
/// Only leaving hosts are sent between processes: they are few, and all other hosts may get work.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeavingHosts {
    /// The revision of that list; 0 before the first read.
    pub revision: Revision,
    /// The leaving hosts.
    pub hosts: BTreeSet<HostId>,
}

impl LeavingHosts {
    /// Replaces this list by `other` if that is newer, and returns whether it was.
    pub fn replace_if_newer(&mut self, other: Self) -> bool {
        let is_newer = other.revision > self.revision;
        if is_newer {
            *self = other;
        }
        is_newer
    }

    /// Returns a copy of this list if it is newer than `revision`.
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
