//! What the platform does with hosts: draining, rebooting, telling how they are.

use std::fmt::{self, Display, Formatter};

use futures::future::BoxFuture;
use reachhead_types::{id::HostId, size::Revision};
use serde::{Deserialize, Serialize};

use crate::StoreError;

/// What the tags of this system's drains start with, so that it takes back none but its own.
const TAG_PREFIX: &str = "reachhead/";

/// Names one drain of one host, so that a call which comes late takes back no later drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DrainTag(String);

impl DrainTag {
    /// Returns the tag of the drain that a host's row of `revision` asks for.
    pub fn new(revision: Revision) -> Self {
        Self(format!("{TAG_PREFIX}{revision}"))
    }

    /// Tells whether this system drains by it.
    pub fn is_own(&self) -> bool {
        self.0.starts_with(TAG_PREFIX)
    }
}

impl Display for DrainTag {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// How a host is, by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Whether it runs.
    pub is_up: bool,
    /// The drain that it is under, if any.
    pub drain: Option<DrainTag>,
    /// Tasks and requests that run on it.
    pub running: u32,
    /// How often it was booted.
    pub boots: u64,
}

impl HostStatus {
    /// Tells whether it takes no new work.
    pub fn is_drained(&self) -> bool {
        self.drain.is_some()
    }

    /// Returns the drain that it is under, if it is one of this system's.
    pub fn own_drain(&self) -> Option<&DrainTag> {
        self.drain.as_ref().filter(|tag| tag.is_own())
    }
}

/// The platform's hosts. Each call may take effect though its answer is lost, and may be repeated.
pub trait Platform: Send + Sync {
    /// Returns how each of `hosts` is; `None` for one that the platform does not know.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; a look has no effect.
    fn status(
        &self,
        hosts: Vec<HostId>,
    ) -> BoxFuture<'_, Result<Vec<Option<HostStatus>>, StoreError>>;

    /// Lets `host` take no new work, by the drain `tag`; the host list tells everyone.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`].
    fn drain(&self, host: HostId, tag: DrainTag) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Lets `host` take work again if it is still under the drain `tag`.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`].
    fn undrain(&self, host: HostId, tag: DrainTag) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Reboots `host` if it is under the drain `tag` and was booted `boots` times so far; the platform
    /// refuses to otherwise, so a call that comes late reboots nothing a second time.
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
