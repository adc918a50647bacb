//! Entry hosts as they know each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{HostId, Incarnation, ZoneName};

/// An entry host, as its row in the store describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host's name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The start of its control process.
    pub incarnation: Incarnation,
    /// Counts up with each write of the row; a row that stands still is a host that is gone.
    pub counter: u64,
    /// Where its control answers.
    pub control: SocketAddr,
    /// Where its entry process answers other entry hosts.
    pub entry: SocketAddr,
}
