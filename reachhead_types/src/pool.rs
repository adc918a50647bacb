//! Hosts in their pools, and the leases by which entry hosts take charge of pools.
//!
//! docs/POOLS.md tells how a host changes its pool and why it is always in exactly one.

use std::{
    collections::BTreeSet,
    fmt::{self, Display, Formatter},
};

use serde::{Deserialize, Serialize};

use crate::{
    id::{HostId, PoolName, RackName, ServiceName, WaveName, ZoneName},
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
    /// It is empty and is being rebooted.
    Rebooting,
    /// It is in its pool and takes no work yet.
    Arriving,
}

impl Display for HostPhase {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Rebooting => "rebooting",
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
    #[serde(rename = "want", default, skip_serializing_if = "Option::is_none")]
    pub target_pool: Option<PoolName>,
    /// The wave that it is drained for; `None` while it is not, or is drained to be moved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wave: Option<WaveName>,
    /// The last wave that it has been through.
    #[serde(rename = "done", default, skip_serializing_if = "Option::is_none")]
    pub last_wave: Option<WaveName>,
    /// The services whose budgets its drain spends.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub spent: BTreeSet<ServiceName>,
    /// How often it had been booted when its reboot was due.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boots: Option<u64>,
}

impl HostRow {
    /// Returns the row of a host that serves in `pool`.
    pub fn new(zone: ZoneName, rack: RackName, resources: Resources, pool: PoolName) -> Self {
        Self {
            zone,
            rack,
            resources,
            pool,
            epoch: Epoch(0),
            phase: HostPhase::Serving,
            target_pool: None,
            wave: None,
            last_wave: None,
            spent: BTreeSet::new(),
            boots: None,
        }
    }
}

/// Whether a wave goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// It goes on.
    Running,
    /// Nothing new is begun; what is under way is finished.
    Paused,
    /// Nothing new is begun, and drains that are not done are taken back.
    Cancelled,
}

impl Display for WaveState {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Running => "running",
            Self::Paused => "paused",
            Self::Cancelled => "cancelled",
        })
    }
}

/// The wave of a pool; there is one at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// Its name; waves of several pools may share one.
    pub name: WaveName,
    /// Whether it goes on.
    pub state: WaveState,
}

/// What of a service's availability budget is spent on planned work.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BudgetRow {
    /// The hosts that may be unavailable.
    pub held: BTreeSet<HostId>,
}

/// Who is in charge of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The entry host in charge, in one stay on the list; `None` once it has handed the pool over.
    pub owner: Option<MemberId>,
    /// How often the pool has changed hands.
    pub epoch: Epoch,
}
