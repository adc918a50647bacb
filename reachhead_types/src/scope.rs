//! Permissions of operators: the whole tree of groups, or the subtree of one group.
//!
//! Competing groups share one configuration. Each row therefore has owners, all of whom must allow
//! a change, and one owner whose operators may read it. docs/API.md has the table for operators.

use serde::{Deserialize, Serialize};

use crate::{
    fleet::{Fleet, GroupRow, RowKey, Service},
    id::GroupName,
    size::Weight,
    tree::Tree,
};

/// The part of the tree of groups that an operator may administer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// The whole tree.
    Tree,
    /// A group and its descendants.
    Group(GroupName),
}

/// The owner of a row, whose operators may change or read it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Owner {
    /// Only operators of the whole tree.
    Tree,
    /// Operators of this group or of one of its ancestors.
    Group(GroupName),
}

impl Scope {
    /// Returns whether `group` is within this scope; the scope of a deleted group is empty.
    pub fn contains(&self, tree: &Tree, group: &GroupName) -> bool {
        let Self::Group(own) = self else {
            return true;
        };
        let mut next = Some(group);
        while let Some(name) = next {
            let Some(node) = tree.get(name) else {
                return false;
            };
            if name == own {
                return true;
            }
            next = node.row.parent.as_ref();
        }
        false
    }

    /// Returns whether this scope has the permissions of `owner`.
    pub fn covers(&self, tree: &Tree, owner: &Owner) -> bool {
        match owner {
            Owner::Tree => *self == Self::Tree,
            Owner::Group(group) => self.contains(tree, group),
        }
    }

    /// Returns whether an operator of this scope may read the row of `key`.
    pub fn can_read(&self, fleet: &Fleet, key: &RowKey) -> bool {
        match reader(fleet, key) {
            Some(owner) => self.covers(&fleet.tree, &owner),
            None => *self == Self::Tree,
        }
    }

    /// Returns those of `keys` whose change from `before` to `after` this scope does not allow.
    pub fn denied(&self, before: &Fleet, after: &Fleet, keys: &[RowKey]) -> Vec<RowKey> {
        let covered = |fleet: &Fleet, owners: Vec<Owner>| {
            owners.iter().all(|owner| self.covers(&fleet.tree, owner))
        };
        let is_denied = |key: &&RowKey| match key {
            RowKey::Group(group) => !covered(before, vec![group_owner(before, after, group)]),
            key => !covered(before, owners(before, key)) || !covered(after, owners(after, key)),
        };
        keys.iter().filter(is_denied).cloned().collect()
    }
}

/// Returns the owner whose operators may read a row; `None` if there is no such row.
pub fn reader(fleet: &Fleet, key: &RowKey) -> Option<Owner> {
    let group = match key {
        RowKey::Group(name) => fleet.tree.get(name).map(|_| name),
        RowKey::Pool(name) => fleet.pools.get(name).map(|row| &row.group),
        RowKey::Service(name) => fleet.services.get(name).map(|service| &service.row.group),
        RowKey::Minion(service, minion) => fleet
            .services
            .get(service)
            .filter(|service| service.minions.contains_key(minion))
            .map(|service| &service.row.group),
        RowKey::Route(name) => fleet.routes.get(name).map(|row| &row.group),
        RowKey::Operator(name) => {
            let row = fleet.operators.get(name)?;
            return Some(row.group.clone().map_or(Owner::Tree, Owner::Group));
        }
    };
    group.cloned().map(Owner::Group)
}

/// Returns the owner whose operators may read a change of a row.
///
/// If the row has different readers before and after the change, that is the whole tree.
pub fn change_reader(before: &Fleet, after: &Fleet, key: &RowKey) -> Owner {
    match (reader(before, key), reader(after, key)) {
        (Some(before), Some(after)) if before == after => after,
        (Some(owner), None) | (None, Some(owner)) => owner,
        _ => Owner::Tree,
    }
}

/// Returns the owners that must all allow a change of a row; none if there is no such row.
fn owners(fleet: &Fleet, key: &RowKey) -> Vec<Owner> {
    let mut owners: Vec<Owner> = reader(fleet, key).into_iter().collect();
    match key {
        RowKey::Service(name) => {
            let service = fleet.services.get(name);
            owners.extend(service.and_then(|service| pool_owner(fleet, service)));
        }
        // The group of the called service decides which routes lead to it.
        RowKey::Route(name) => {
            let route = fleet.routes.get(name);
            let service = route.and_then(|route| fleet.services.get(&route.service));
            owners.extend(service.map(|service| Owner::Group(service.row.group.clone())));
        }
        _ => {}
    }
    owners
}

/// Returns the owner that must allow a service to use its pool; `None` if the pool belongs to the
/// service's own group or to one of its ancestors.
fn pool_owner(fleet: &Fleet, service: &Service) -> Option<Owner> {
    let pool = fleet.pools.get(&service.row.pool)?;
    let pool_scope = Scope::Group(pool.group.clone());
    let is_own = pool_scope.contains(&fleet.tree, &service.row.group);
    (!is_own).then(|| Owner::Group(pool.group.clone()))
}

/// Returns the owner that must allow a change of a group's row.
///
/// Each group gets a share in proportion to its weight relative to its siblings. Creating, moving,
/// weighting and deleting groups therefore needs an operator of the whole tree; the group's own
/// operators may change all other settings.
fn group_owner(before: &Fleet, after: &Fleet, group: &GroupName) -> Owner {
    let row = |fleet: &Fleet| fleet.tree.get(group).map(|node| node.row.clone());
    let is_same_share = match (row(before), row(after)) {
        (Some(before), Some(after)) => share(&before) == share(&after),
        _ => false,
    };
    match is_same_share {
        true => Owner::Group(group.clone()),
        false => Owner::Tree,
    }
}

/// The part of a group's row that determines its share.
#[derive(PartialEq)]
struct Share {
    parent: Option<GroupName>,
    weight: Option<Weight>,
}

fn share(row: &GroupRow) -> Share {
    Share { parent: row.parent.clone(), weight: row.settings.weight }
}
