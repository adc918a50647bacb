//! Hosts in their pools, and the leases by which entry hosts take charge of pools.
//!
//! docs/POOLS.md tells how a host changes its pool and why it is always in exactly one.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::{
    id::{PoolName, RackName, ZoneName},
    member::MemberId,
    size::{Accelerators, Cores, Epoch, Gibibytes},
};

/// What a host has, or what a job asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor cores.
    pub cores: Cores,
    /// Memory.
    pub memory: Gibibytes,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: Accelerators,
}

/// Where a host stands on its way from pool to pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostPhase {
    /// It carries its pool's work.
    Serving,
    /// It takes no new work and finishes what it has.
    Draining,
    /// It is in its pool and takes no work yet.
    Arriving,
}

impl Display for HostPhase {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Arriving => "arriving",
        })
    }
}

/// A host's row: the one place that says which pool it is in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRow {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// What it has.
    pub resources: Resources,
    /// The pool it is in.
    pub pool: PoolName,
    /// How often it has changed its pool.
    #[serde(default)]
    pub epoch: Epoch,
    /// Where it stands.
    pub phase: HostPhase,
    /// The pool that operators want it in; `None` leaves it where it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub want: Option<PoolName>,
}

/// Who is in charge of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The entry host in charge, in one stay on the list; `None` once it has handed the pool over.
    pub owner: Option<MemberId>,
    /// How often the pool has changed hands.
    pub epoch: Epoch,
}
