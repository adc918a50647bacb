//! Entry hosts as they know each other.

use std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::id::{HostId, Incarnation, ZoneName};

/// One stay of an entry host on the list: a host that was taken off and comes back is another one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The host's name.
    pub host: HostId,
    /// Drawn anew for each stay.
    pub incarnation: Incarnation,
}

impl Display for MemberId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.host, self.incarnation)
    }
}

/// An entry host, as its row in the store describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host's name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// This stay on the list.
    pub incarnation: Incarnation,
    /// Counts up with each write of the row; a row that stands still is a host that is gone.
    pub counter: u64,
    /// Where its control answers.
    pub control: SocketAddr,
    /// Where its entry process answers other entry hosts.
    pub entry: SocketAddr,
}

impl Member {
    /// Returns what tells this stay from the host's others.
    pub fn id(&self) -> MemberId {
        MemberId { host: self.host.clone(), incarnation: self.incarnation }
    }
}
