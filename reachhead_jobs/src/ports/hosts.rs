//! Hosts of the platform: their list, and orders for them.

use futures::future::BoxFuture;
use reachhead_types::id::{HostId, PoolName, WaveName, WorkerId, ZoneName};
use thiserror::Error;

use crate::authority::OrderPermit;

/// State of a host.
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

/// A host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformHost {
    /// Host id.
    pub host: HostId,
    /// Pool of the host.
    pub pool: PoolName,
    /// Availability zone, if the list has it.
    pub zone: Option<ZoneName>,
    /// State of the host.
    pub state: PlatformHostState,
    /// Incarnation of its worker, if it has one.
    pub worker: Option<WorkerId>,
}

/// Why an order for a host was rejected or has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HostOrderError {
    /// Another process has given orders for the host with a higher token.
    #[error("fenced")]
    Fenced,
    /// The host is not up, or it is leaving.
    #[error("busy")]
    Busy,
    /// The host does not belong to the wave.
    #[error("host does not belong to the wave")]
    Foreign,
    /// There is no such host, or it can't be in that pool.
    #[error("no such host or pool")]
    Unknown,
    /// Nothing was done; a retry may help.
    #[error("order not carried out: {0}")]
    NotDone(String),
    /// No answer arrived; the order may have been carried out.
    #[error("no answer: {0}")]
    Lost(String),
}

/// Operations on the platform's hosts.
pub trait HostApi: Send + Sync {
    /// Returns all hosts.
    ///
    /// # Errors
    ///
    /// Any [`HostOrderError`].
    fn list(&self) -> BoxFuture<'_, Result<Vec<PlatformHost>, HostOrderError>>;

    /// Starts the maintenance of a host for a wave; everything running on it ends at once.
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

    /// Moves a host to another pool; everything running on it ends at once.
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
