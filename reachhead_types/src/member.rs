//! Entry hosts as members of the membership list.

use std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::id::{HostId, Incarnation, ZoneName};

/// One incarnation of an entry host: a host that was removed from the list rejoins under a new id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The host's name.
    pub host: HostId,
    /// Drawn at random each time the host joins.
    pub incarnation: Incarnation,
}

impl Display for MemberId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.host, self.incarnation)
    }
}

/// An entry host as described by its row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host's name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The incarnation since the host last joined.
    pub incarnation: Incarnation,
    /// Heartbeat counter, incremented with each write of the row; a host whose counter does not
    /// change is dead.
    pub counter: u64,
    /// Address of the host's control process.
    pub control: SocketAddr,
    /// Address on which the host's entry process answers other entry hosts.
    pub entry: SocketAddr,
}

impl Member {
    /// Returns the id of this incarnation of the host.
    pub fn id(&self) -> MemberId {
        MemberId { host: self.host.clone(), incarnation: self.incarnation }
    }
}
