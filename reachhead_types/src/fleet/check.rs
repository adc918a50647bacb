//! Validation of configuration rows, which reports all errors of all rows at once.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;

use crate::{
    fleet::{Fleet, GroupRow, MinionRow, RowFault, RowKey, Service, ServiceRow},
    id::{GroupName, MinionId, RouteName, ServiceName},
    size::Version,
    tree::{Tree, TreeError},
};

/// Parses and validates rows, and collects their errors.
#[derive(Default)]
pub(super) struct FleetBuilder {
    groups: BTreeMap<GroupName, GroupRow>,
    minions: Vec<(ServiceName, MinionId, MinionRow)>,
    fleet: Fleet,
    faults: Vec<RowFault>,
}

impl FleetBuilder {
    pub fn add_row(&mut self, key: &RowKey, value: &Value) {
        let fault = match key {
            RowKey::Group(name) => insert(&mut self.groups, name, value),
            RowKey::Pool(name) => insert(&mut self.fleet.pools, name, value),
            RowKey::Route(name) => insert(&mut self.fleet.routes, name, value),
            RowKey::Operator(name) => insert(&mut self.fleet.operators, name, value),
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
            self.add_fault(key.clone(), text);
        }
    }

    fn add_fault(&mut self, key: RowKey, text: impl Into<String>) {
        self.faults.push(RowFault { key, text: text.into() });
    }

    pub fn build(mut self, version: Version) -> Result<Fleet, Vec<RowFault>> {
        self.fleet.version = version;
        self.assign_minions();
        self.build_tree();
        self.check_pools();
        self.check_services();
        self.check_routes();
        self.check_operators();
        match self.faults.is_empty() {
            true => Ok(self.fleet),
            false => Err(self.faults),
        }
    }

    fn assign_minions(&mut self) {
        for (service, name, row) in std::mem::take(&mut self.minions) {
            let key = RowKey::Minion(service.clone(), name.clone());
            if row.slots.0 == 0 || row.connections.0 < row.slots.0 {
                self.add_fault(key.clone(), "needs a slot, and a connection for each slot");
            }
            match self.fleet.services.get_mut(&service) {
                Some(service) => drop(service.minions.insert(name, row)),
                None => self.add_fault(key, format!("there is no service {service}")),
            }
        }
    }

    fn build_tree(&mut self) {
        match Tree::new(std::mem::take(&mut self.groups)) {
            Ok(tree) => self.fleet.tree = tree,
            Err(faults) => {
                for TreeError { group, text } in faults {
                    self.add_fault(RowKey::Group(group), text);
                }
            }
        }
    }

    /// Returns the error text for a row that names `group` if there is no such group.
    fn missing_group(&self, group: &GroupName) -> Option<String> {
        // An invalid tree is empty; then only the errors of the tree itself are reported.
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

    fn check_operators(&mut self) {
        let mut faults = Vec::new();
        for (name, row) in &self.fleet.operators {
            let texts = row.group.as_ref().and_then(|group| self.missing_group(group));
            let fault = |text| RowFault { key: RowKey::Operator(name.clone()), text };
            faults.extend(texts.map(fault));
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

/// Parses a row and inserts it; returns the error text if it is malformed.
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
