//! The rows that operators configure, and the checked fleet that they make up together.

mod check;
mod key;

pub use key::{RowKey, RowKeyError};

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::{
    fleet::check::RowReader,
    id::{GroupName, HostId, MinionId, OperatorName, PoolName, RouteName, ServiceName, ZoneName},
    size::{Connections, Millis, Slots, Version},
    tree::{Overrides, Tree},
};

/// Slots of a minion that names none.
pub const DEFAULT_SLOTS: Slots = Slots(8);

/// Connections of a minion that names none.
pub const DEFAULT_CONNECTIONS: Connections = Connections(64);

/// Minions of a service that may be away at once, where the service does not say.
pub const DEFAULT_UNAVAILABLE: u32 = 1;

/// A group's row.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupRow {
    /// The group it inherits from; `None` for a root.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<GroupName>,
    /// What this group sets differently from its parent.
    #[serde(default)]
    pub settings: Overrides,
}

/// A pool's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// The group that owns the pool.
    pub group: GroupName,
}

/// A service's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRow {
    /// The group that runs the service.
    pub group: GroupName,
    /// The pool whose hosts carry its minions.
    pub pool: PoolName,
    /// Its availability budget: minions that may be away at once, planned and unplanned together.
    #[serde(default = "default_unavailable")]
    pub max_unavailable: u32,
}

const fn default_unavailable() -> u32 {
    DEFAULT_UNAVAILABLE
}

/// Whether a minion takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MinionState {
    /// It takes work.
    #[default]
    Serving,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// A minion's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MinionRow {
    /// Where it listens, by IP number.
    pub address: SocketAddr,
    /// The availability zone it runs in.
    pub zone: ZoneName,
    /// The host it runs on, by the platform's list; `None` if the list does not tell of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<HostId>,
    /// Requests that it runs at once.
    #[serde(default = "default_slots")]
    pub slots: Slots,
    /// Connections that it accepts.
    #[serde(default = "default_connections")]
    pub connections: Connections,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: MinionState,
}

const fn default_slots() -> Slots {
    DEFAULT_SLOTS
}

const fn default_connections() -> Connections {
    DEFAULT_CONNECTIONS
}

/// How a route treats `Idempotency-Key`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyMode {
    /// A key is handed on untouched; what may be repeated is told by the method alone.
    #[default]
    Ignored,
    /// A request with a key runs at most once; one without is treated as if keys were ignored.
    Accepted,
    /// Every request must carry a key and runs at most once.
    Required,
}

/// Priority inside a group, the most urgent first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Someone stands and waits.
    Urgent,
    /// Someone waits at a screen.
    #[default]
    Normal,
    /// Nobody waits.
    Batch,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];
}

/// A route's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// Path prefix, matched by whole segments.
    pub path: String,
    /// The group on whose share the requests count.
    pub group: GroupName,
    /// The service that answers.
    pub service: ServiceName,
    /// How `Idempotency-Key` is treated.
    #[serde(default)]
    pub key: IdempotencyMode,
    /// Priority inside the group.
    #[serde(default)]
    pub class: Class,
    /// Deadline of a request in milliseconds; the group's setting where there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Millis>,
}

/// An operator's row; docs/API.md tells what an operator of a group may do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorRow {
    /// The group whose subtree the operator works in; `None` for the whole tree.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupName>,
    /// What is hashed in front of the token.
    pub salt: String,
    /// Digest of salt and token, as [`crate::token::digest`] makes it.
    pub hash: String,
}

/// One fault of a set of rows.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{key}: {text}")]
pub struct RowFault {
    /// The row at fault.
    pub key: RowKey,
    /// What is wrong with it, for the operator.
    pub text: String,
}

/// A service together with its minions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The service's own row.
    pub row: ServiceRow,
    /// Its minions.
    pub minions: BTreeMap<MinionId, MinionRow>,
}

/// All rows of one version, checked against each other.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Fleet {
    /// The version that the rows belong to.
    pub version: Version,
    /// The groups with their effective settings.
    pub tree: Tree,
    /// The pools.
    pub pools: BTreeMap<PoolName, PoolRow>,
    /// The services with their minions.
    pub services: BTreeMap<ServiceName, Service>,
    /// The routes.
    pub routes: BTreeMap<RouteName, RouteRow>,
    /// The operators.
    pub operators: BTreeMap<OperatorName, OperatorRow>,
}

impl Fleet {
    /// Builds the fleet of `version` from its rows.
    ///
    /// # Errors
    ///
    /// Returns every fault of every row at once, so that an operator mends them in one go.
    pub fn from_rows<'a>(
        version: Version,
        rows: impl IntoIterator<Item = (&'a RowKey, &'a Value)>,
    ) -> Result<Self, Vec<RowFault>> {
        let mut reader = RowReader::default();
        for (key, value) in rows {
            reader.read(key, value);
        }
        reader.finish(version)
    }
}
