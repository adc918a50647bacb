//! The platform's host operations: status, drain, undrain and reboot.

use std::fmt::{self, Display, Formatter};

use futures::future::BoxFuture;
use reachhead_types::{id::HostId, size::Revision};
use serde::{Deserialize, Serialize};

use crate::StoreError;

/// Prefix of the tags of this system's drains, so that it undoes no drain of another system.
const TAG_PREFIX: &str = "reachhead/";

/// The id of one drain of one host, so that a delayed call can't undo a later drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DrainTag(String);

impl DrainTag {
    /// Returns the tag of the drain that a host's row requests at `revision`.
    pub fn new(revision: Revision) -> Self {
        Self(format!("{TAG_PREFIX}{revision}"))
    }

    /// Returns whether the drain is one of this system's.
    pub fn is_own(&self) -> bool {
        self.0.starts_with(TAG_PREFIX)
    }
}

impl Display for DrainTag {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The status of a host as the platform reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Whether the host runs.
    pub is_up: bool,
    /// The current drain of the host, if any.
    pub drain: Option<DrainTag>,
    /// Number of tasks and requests that run on the host.
    pub running: u32,
    /// Number of boots so far.
    pub boots: u64,
}

impl HostStatus {
    /// Returns whether the host takes no new work.
    pub fn is_drained(&self) -> bool {
        self.drain.is_some()
    }

    /// Returns the current drain if it is one of this system's.
    pub fn own_drain(&self) -> Option<&DrainTag> {
        self.drain.as_ref().filter(|tag| tag.is_own())
    }
}

/// The platform's operations on hosts.
///
/// All of them are idempotent: a call may take effect even if its answer is lost, and may be
/// retried.
pub trait Platform: Send + Sync {
    /// Returns the status of each of `hosts`; `None` for a host that the platform does not know.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; the call has no side effects.
    fn status(
        &self,
        hosts: Vec<HostId>,
    ) -> BoxFuture<'_, Result<Vec<Option<HostStatus>>, StoreError>>;

    /// Starts the drain `tag` of `host`: it takes no new work, and the host list shows it as
    /// leaving.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`].
    fn drain(&self, host: HostId, tag: DrainTag) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Ends the drain of `host` if its current drain is still `tag`, so that it takes work again.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`].
    fn undrain(&self, host: HostId, tag: DrainTag) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Reboots `host` if its current drain is `tag` and it was booted `boots` times so far.
    ///
    /// The platform refuses otherwise, so a delayed call does not reboot the host a second time.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`].
    fn reboot(
        &self,
        host: HostId,
        tag: DrainTag,
        boots: u64,
    ) -> BoxFuture<'_, Result<(), StoreError>>;
}
