//! What an operator may read and change: the whole tree, or the subtree of one group.
//!
//! Rivals share one configuration, so each row has owners who must all agree to a change, and one
//! reader. docs/API.md gives the table to operators.

use serde::{Deserialize, Serialize};

use crate::{
    fleet::{Fleet, GroupRow, RowKey, Service},
    id::GroupName,
    size::Weight,
    tree::Tree,
};

/// How far an operator's word goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// Everything.
    Tree,
    /// A group and all below it.
    Group(GroupName),
}

/// Whose operators a row needs for a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Owner {
    /// Those of the whole tree.
    Tree,
    /// Those of this group or of one above it.
    Group(GroupName),
}

impl Scope {
    /// Tells whether this scope reaches `group`; one whose own group is gone reaches nothing.
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

    /// Tells whether this scope's word is enough for what `owner` owns.
    pub fn covers(&self, tree: &Tree, owner: &Owner) -> bool {
        match owner {
            Owner::Tree => *self == Self::Tree,
            Owner::Group(group) => self.contains(tree, group),
        }
    }

    /// Tells whether an operator of this scope may read the row of `key`.
    pub fn can_read(&self, fleet: &Fleet, key: &RowKey) -> bool {
        match reader(fleet, key) {
            Some(owner) => self.covers(&fleet.tree, &owner),
            None => *self == Self::Tree,
        }
    }

    /// Returns those of `keys` whose change from `before` to `after` needs more than this scope.
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

/// Returns whose operators may read a row; `None` if there is no such row.
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

/// Returns whose operators may read a change of a row: those who may read it on both sides.
pub fn change_reader(before: &Fleet, after: &Fleet, key: &RowKey) -> Owner {
    match (reader(before, key), reader(after, key)) {
        (Some(before), Some(after)) if before == after => after,
        (Some(owner), None) | (None, Some(owner)) => owner,
        _ => Owner::Tree,
    }
}

/// Returns all whose operators must agree to a change of a row; none if there is no such row.
fn owners(fleet: &Fleet, key: &RowKey) -> Vec<Owner> {
    let mut owners: Vec<Owner> = reader(fleet, key).into_iter().collect();
    match key {
        RowKey::Service(name) => {
            let service = fleet.services.get(name);
            owners.extend(service.and_then(|service| pool_owner(fleet, service)));
        }
        // Who may be called from where is for the called service's group to say.
        RowKey::Route(name) => {
            let route = fleet.routes.get(name);
            let service = route.and_then(|route| fleet.services.get(&route.service));
            owners.extend(service.map(|service| Owner::Group(service.row.group.clone())));
        }
        _ => {}
    }
    owners
}

/// Returns who must agree that a service uses its pool: nobody, if the pool belongs to the service's
/// own group or to one above it.
fn pool_owner(fleet: &Fleet, service: &Service) -> Option<Owner> {
    let pool = fleet.pools.get(&service.row.pool)?;
    let shared = Scope::Group(pool.group.clone());
    let is_own = shared.contains(&fleet.tree, &service.row.group);
    (!is_own).then(|| Owner::Group(pool.group.clone()))
}

/// Returns who must agree to a change of a group's row.
///
/// Each group that exists draws a share, and its weight is measured against its rivals': making,
/// moving, weighing and deleting groups is for the whole tree, all other settings are the group's own.
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

/// What of a group's row decides on its share.
#[derive(PartialEq)]
struct Share {
    parent: Option<GroupName>,
    weight: Option<Weight>,
}

fn share(row: &GroupRow) -> Share {
    Share { parent: row.parent.clone(), weight: row.settings.weight }
}
