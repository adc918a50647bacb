//! The rows that operators configure, and the checked fleet that they make up together.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    str::FromStr,
};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use serde_json::Value;
use thiserror::Error;

use crate::{
    id::{GroupName, HostId, IdError, MinionId, PoolName, RouteName, ServiceName, ZoneName},
    size::{Connections, Millis, Slots, Version},
    tree::{Overrides, Tree, TreeError},
};

/// Slots of a minion that names none.
pub const DEFAULT_SLOTS: Slots = Slots(8);

/// Connections of a minion that names none.
pub const DEFAULT_CONNECTIONS: Connections = Connections(64);

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
pub enum KeyUse {
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
    pub key: KeyUse,
    /// Priority inside the group.
    #[serde(default)]
    pub class: Class,
    /// Deadline of a request in milliseconds; the group's setting where there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Millis>,
}

/// The name of a configuration row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKey {
    /// `group/NAME`.
    Group(GroupName),
    /// `pool/NAME`.
    Pool(PoolName),
    /// `service/NAME`.
    Service(ServiceName),
    /// `minion/SERVICE/NAME`.
    Minion(ServiceName, MinionId),
    /// `route/NAME`.
    Route(RouteName),
}

/// Why a text is not a row key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RowKeyError {
    /// The first part names no kind of row.
    #[error("starts with none of group/, pool/, service/, minion/, route/")]
    Kind,
    /// A part is not a name.
    #[error("{0}")]
    Name(#[from] IdError),
}

impl Display for RowKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Group(name) => write!(f, "group/{name}"),
            Self::Pool(name) => write!(f, "pool/{name}"),
            Self::Service(name) => write!(f, "service/{name}"),
            Self::Minion(service, name) => write!(f, "minion/{service}/{name}"),
            Self::Route(name) => write!(f, "route/{name}"),
        }
    }
}

impl FromStr for RowKey {
    type Err = RowKeyError;

    fn from_str(text: &str) -> Result<Self, RowKeyError> {
        let (kind, name) = text.split_once('/').ok_or(RowKeyError::Kind)?;
        match kind {
            "group" => Ok(Self::Group(name.parse()?)),
            "pool" => Ok(Self::Pool(name.parse()?)),
            "service" => Ok(Self::Service(name.parse()?)),
            "route" => Ok(Self::Route(name.parse()?)),
            "minion" => {
                let (service, minion) = name.split_once('/').ok_or(IdError::Empty)?;
                Ok(Self::Minion(service.parse()?, minion.parse()?))
            }
            _ => Err(RowKeyError::Kind),
        }
    }
}

impl Serialize for RowKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RowKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(|error| de::Error::custom(format!("{text:?} {error}")))
    }
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

/// Collects typed rows and their faults.
#[derive(Default)]
struct RowReader {
    groups: BTreeMap<GroupName, GroupRow>,
    minions: Vec<(ServiceName, MinionId, MinionRow)>,
    fleet: Fleet,
    faults: Vec<RowFault>,
}

impl RowReader {
    fn read(&mut self, key: &RowKey, value: &Value) {
        let fault = match key {
            RowKey::Group(name) => insert(&mut self.groups, name, value),
            RowKey::Pool(name) => insert(&mut self.fleet.pools, name, value),
            RowKey::Route(name) => insert(&mut self.fleet.routes, name, value),
            RowKey::Service(name) => match ServiceRow::deserialize(value) {
                Ok(row) => {
                    let service = Service { row, minions: BTreeMap::new() };
                    self.fleet.services.insert(name.clone(), service);
                    None
                }
                Err(error) => Some(error.to_string()),
            },
            RowKey::Minion(service, name) => match MinionRow::deserialize(value) {
                Ok(row) => {
                    self.minions.push((service.clone(), name.clone(), row));
                    None
                }
                Err(error) => Some(error.to_string()),
            },
        };
        if let Some(text) = fault {
            self.fault(key.clone(), text);
        }
    }

    fn fault(&mut self, key: RowKey, text: impl Into<String>) {
        self.faults.push(RowFault { key, text: text.into() });
    }

    fn finish(mut self, version: Version) -> Result<Fleet, Vec<RowFault>> {
        self.fleet.version = version;
        self.place_minions();
        self.build_tree();
        self.check_pools();
        self.check_services();
        self.check_routes();
        match self.faults.is_empty() {
            true => Ok(self.fleet),
            false => Err(self.faults),
        }
    }

    fn place_minions(&mut self) {
        for (service, name, row) in std::mem::take(&mut self.minions) {
            let key = RowKey::Minion(service.clone(), name.clone());
            if row.slots.0 == 0 || row.connections.0 < row.slots.0 {
                self.fault(key.clone(), "needs a slot, and a connection for each slot");
            }
            match self.fleet.services.get_mut(&service) {
                Some(service) => drop(service.minions.insert(name, row)),
                None => self.fault(key, format!("there is no service {service}")),
            }
        }
    }

    fn build_tree(&mut self) {
        match Tree::new(std::mem::take(&mut self.groups)) {
            Ok(tree) => self.fleet.tree = tree,
            Err(faults) => {
                for TreeError { group, text } in faults {
                    self.fault(RowKey::Group(group), text);
                }
            }
        }
    }

    /// Returns the fault of a row that names a group which is not there.
    fn missing_group(&self, group: &GroupName) -> Option<String> {
        // A tree with faults is empty; its own faults are enough to tell.
        let is_missing = !self.fleet.tree.is_empty() && !self.fleet.tree.contains(group);
        is_missing.then(|| format!("there is no group {group}"))
    }

    fn check_pools(&mut self) {
        let mut faults = Vec::new();
        for (name, row) in &self.fleet.pools {
            let texts = self.missing_group(&row.group);
            faults.extend(texts.map(|text| RowFault { key: RowKey::Pool(name.clone()), text }));
        }
        self.faults.extend(faults);
    }

    fn check_services(&mut self) {
        let mut faults = Vec::new();
        for (name, service) in &self.fleet.services {
            let pool = &service.row.pool;
            let is_missing = !self.fleet.pools.contains_key(pool);
            let texts = is_missing.then(|| format!("there is no pool {pool}"));
            let texts = texts.into_iter().chain(self.missing_group(&service.row.group));
            faults.extend(texts.map(|text| RowFault { key: RowKey::Service(name.clone()), text }));
        }
        self.faults.extend(faults);
    }

    fn check_routes(&mut self) {
        let mut faults = Vec::new();
        let mut paths: BTreeMap<&str, &RouteName> = BTreeMap::new();
        for (name, row) in &self.fleet.routes {
            let mut texts = Vec::new();
            if !row.path.starts_with('/') || (row.path.len() > 1 && row.path.ends_with('/')) {
                texts.push("path must start with '/' and not end with one".to_owned());
            }
            if !self.fleet.services.contains_key(&row.service) {
                texts.push(format!("there is no service {}", row.service));
            }
            if let Some(other) = paths.insert(&row.path, name) {
                texts.push(format!("route {other} has the same path"));
            }
            texts.extend(self.missing_group(&row.group));
            let fault = |text| RowFault { key: RowKey::Route(name.clone()), text };
            faults.extend(texts.into_iter().map(fault));
        }
        self.faults.extend(faults);
    }
}

fn insert<K: Ord + Clone, V: for<'de> Deserialize<'de>>(
    rows: &mut BTreeMap<K, V>,
    name: &K,
    value: &Value,
) -> Option<String> {
    match V::deserialize(value) {
        Ok(row) => {
            rows.insert(name.clone(), row);
            None
        }
        Err(error) => Some(error.to_string()),
    }
}
