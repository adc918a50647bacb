//! The configuration rows, and the validated fleet that they describe.

mod check;
mod key;

pub use key::{RowKey, RowKeyError};

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::{
    fleet::check::FleetBuilder,
    id::{GroupName, HostId, MinionId, OperatorName, PoolName, RouteName, ServiceName, ZoneName},
    size::{Connections, Millis, Slots, Version},
    tree::{Overrides, Tree},
};

/// Slots of a minion whose row doesn't set them.
pub const DEFAULT_SLOTS: Slots = Slots(8);

/// Connections of a minion whose row doesn't set them.
pub const DEFAULT_CONNECTIONS: Connections = Connections(64);

/// Availability budget of a service whose row doesn't set it, in minions.
pub const DEFAULT_UNAVAILABLE: u32 = 1;

/// A group's row.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupRow {
    /// The group that this group inherits from; `None` for a root.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<GroupName>,
    /// The settings that this group overrides.
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
    /// The pool whose hosts run the minions.
    pub pool: PoolName,
    /// Availability budget: minions that may be unavailable at once, planned and unplanned
    /// together.
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
    /// The minion takes new requests.
    #[default]
    Serving,
    /// The minion finishes its requests and takes no new ones.
    Leaving,
}

/// A minion's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MinionRow {
    /// The IP address and port on which it listens.
    pub address: SocketAddr,
    /// The availability zone in which it runs.
    pub zone: ZoneName,
    /// The host on which it runs, as named in the platform's list; `None` if it is not listed
    /// there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<HostId>,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_slots")]
    pub slots: Slots,
    /// Maximum number of connections.
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
    /// Keys are forwarded unchanged; only the method decides whether a request may be retried.
    #[default]
    Ignored,
    /// A request with a key runs at most once; one without a key is handled as with `Ignored`.
    Accepted,
    /// Every request must have a key and runs at most once.
    Required,
}

/// Priority class of requests within a group, the most urgent first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A person is blocked until the answer arrives.
    Urgent,
    /// An interactive user waits for the answer.
    #[default]
    Normal,
    /// No person waits for the answer.
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
    /// The group whose share the requests use.
    pub group: GroupName,
    /// The service that handles the requests.
    pub service: ServiceName,
    /// How `Idempotency-Key` is treated.
    #[serde(default)]
    pub key: IdempotencyMode,
    /// Priority class within the group.
    #[serde(default)]
    pub class: Class,
    /// Deadline of a request in milliseconds; `None` uses the group's setting.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Millis>,
}

/// An operator's row; docs/API.md describes the permissions of a group's operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorRow {
    /// The group whose subtree the operator may administer; `None` for the whole tree.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupName>,
    /// Salt that is hashed in front of the token.
    pub salt: String,
    /// Digest of salt and token, from [`crate::token::digest`].
    pub hash: String,
}

/// A validation error in a configuration row.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{key}: {text}")]
pub struct RowFault {
    /// The invalid row.
    pub key: RowKey,
    /// Description of the error for the operator.
    pub text: String,
}

/// A service with its minions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The service's own row.
    pub row: ServiceRow,
    /// Its minions.
    pub minions: BTreeMap<MinionId, MinionRow>,
}

/// The validated configuration of one version.
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
    /// Validates the rows of `version` and builds the fleet from them.
    ///
    /// # Errors
    ///
    /// Returns all errors of all rows, so that an operator can fix them at once.
    pub fn from_rows<'a>(
        version: Version,
        rows: impl IntoIterator<Item = (&'a RowKey, &'a Value)>,
    ) -> Result<Self, Vec<RowFault>> {
        let mut builder = FleetBuilder::default();
        for (key, value) in rows {
            builder.add_row(key, value);
        }
        builder.build(version)
    }
}
