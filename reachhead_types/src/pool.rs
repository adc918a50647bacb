//! Stored rows of hosts, pool leases, maintenance waves and availability budgets.
//!
//! docs/POOLS.md describes how a host moves between pools and why it is always in exactly one.

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

/// The resources of a host, or those that a job requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor cores.
    pub cores: Cores,
    /// Memory in GiB.
    pub memory: Gibibytes,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: Accelerators,
}

/// The phase of a host in its lifecycle within a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostPhase {
    /// The host runs work of its pool.
    Serving,
    /// The host takes no new work and finishes the work that it has.
    Draining,
    /// The host is empty and is being rebooted.
    Rebooting,
    /// The host is in its pool but takes no work yet.
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

/// A host's row, which is the only record of the pool that the host is in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRow {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// Its resources.
    pub resources: Resources,
    /// Its current pool.
    pub pool: PoolName,
    /// Number of moves between pools so far.
    #[serde(default)]
    pub epoch: Epoch,
    /// Its phase.
    pub phase: HostPhase,
    /// The pool that operators requested a move to; `None` if no move is pending.
    #[serde(rename = "want", default, skip_serializing_if = "Option::is_none")]
    pub target_pool: Option<PoolName>,
    /// The wave that the host is drained for; `None` if it is not drained or is drained for a move.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wave: Option<WaveName>,
    /// The last wave that finished on the host.
    #[serde(rename = "done", default, skip_serializing_if = "Option::is_none")]
    pub last_wave: Option<WaveName>,
    /// The services whose availability budgets the host's drain uses.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub spent: BTreeSet<ServiceName>,
    /// Number of boots before the requested reboot, which detects that the reboot is done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boots: Option<u64>,
}

impl HostRow {
    /// Returns the row of a new host that serves in `pool`.
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

/// The state of a maintenance wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// The wave processes hosts.
    Running,
    /// No further hosts are started; hosts in progress are finished.
    Paused,
    /// No further hosts are started, and unfinished drains are undone.
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

/// The maintenance wave of a pool; a pool has at most one at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// Its name; waves of several pools may share a name.
    pub name: WaveName,
    /// Its state.
    pub state: WaveState,
}

/// The part of a service's availability budget that planned work uses.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BudgetRow {
    /// The hosts that may be unavailable because of planned work.
    pub held: BTreeSet<HostId>,
}

/// The lease of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The incarnation of the entry host that owns the pool; `None` after it released the pool.
    pub owner: Option<MemberId>,
    /// Number of ownership changes so far.
    pub epoch: Epoch,
}
