//! The platform's hosts: their list, and orders about them.

use futures::future::BoxFuture;
use reachhead_types::id::{HostId, PoolName, WaveName, WorkerId, ZoneName};
use thiserror::Error;

use crate::authority::OrderPermit;

/// What a host is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformHostState {
    /// It is up.
    Up,
    /// It is moving to another pool.
    Moving,
    /// It is under maintenance.
    Maintenance,
    /// It is down.
    Down,
}

/// A host on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformHost {
    /// The host.
    pub host: HostId,
    /// Its pool.
    pub pool: PoolName,
    /// The availability zone where it stands, if the list says so.
    pub zone: Option<ZoneName>,
    /// What it is doing.
    pub state: PlatformHostState,
    /// The life of its worker, if it has one.
    pub worker: Option<WorkerId>,
}

/// Why an order for a host was not taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HostOrderError {
    /// Somebody else has given orders for it with a higher token.
    #[error("fenced")]
    Fenced,
    /// It is not up, or it is leaving.
    #[error("busy")]
    Busy,
    /// It does not belong to the wave.
    #[error("not of that wave")]
    Foreign,
    /// There is no such host, or it can't be in that pool.
    #[error("no such host or pool")]
    Unknown,
    /// Nothing was done; a retry may help.
    #[error("not taken: {0}")]
    NotDone(String),
    /// There is no answer; it may have been done.
    #[error("no answer: {0}")]
    Lost(String),
}

/// The platform's hosts.
pub trait HostApi: Send + Sync {
    /// Returns all hosts.
    ///
    /// # Errors
    ///
    /// Any [`HostOrderError`].
    fn list(&self) -> BoxFuture<'_, Result<Vec<PlatformHost>, HostOrderError>>;

    /// Puts a host under the maintenance of a wave; everything on it ends at once.
    ///
    /// # Errors
    ///
    /// Any [`HostOrderError`].
    fn maintain(
        &self,
        permit: OrderPermit,
        host: HostId,
        wave: WaveName,
    ) -> BoxFuture<'_, Result<(), HostOrderError>>;

    /// Moves a host to another pool; everything on it ends at once.
    ///
    /// # Errors
    ///
    /// Any [`HostOrderError`].
    fn relocate(
        &self,
        permit: OrderPermit,
        host: HostId,
        pool: PoolName,
    ) -> BoxFuture<'_, Result<(), HostOrderError>>;
}
