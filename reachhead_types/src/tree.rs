//! The tree of groups: each inherits its parent's settings and overrides only what differs.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    fleet::GroupRow,
    id::GroupName,
    size::{Millis, Weight},
};

/// Weight of a group that inherits none.
pub const DEFAULT_WEIGHT: Weight = Weight(1);

/// Deadline of a request where no group sets one, in milliseconds.
pub const DEFAULT_DEADLINE: Millis = Millis(10_000);

/// Requests of a group that may wait at one entry host for one service, where no group sets it.
pub const DEFAULT_QUEUE: u32 = 256;

/// Declares the settings once: what a group may override, what is in force, and how one makes the
/// other. A setting that stood in three lists would one day miss in one of them.
macro_rules! settings {
    ($($(#[$doc:meta])* $field:ident: $kind:ty = $default:expr;)*) => {
        /// What a group sets itself; `None` inherits.
        #[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct Overrides {
            $($(#[$doc])* #[serde(default, skip_serializing_if = "Option::is_none")]
            pub $field: Option<$kind>,)*
        }

        /// What is in force for a group.
        #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
        pub struct Effective {
            $($(#[$doc])* pub $field: $kind,)*
        }

        impl Default for Effective {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        impl Effective {
            /// Returns these settings as a child sees them that overrides `own`.
            fn with_overrides(&self, own: &Overrides) -> Self {
                Self { $($field: own.$field.clone().unwrap_or_else(|| self.$field.clone()),)* }
            }
        }

        /// The group that each setting in force comes from; `None` is the built-in default.
        #[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
        pub struct Origins {
            $($(#[$doc])* pub $field: Option<GroupName>,)*
        }

        impl Origins {
            fn with_overrides(&self, group: &GroupName, own: &Overrides) -> Self {
                Self {
                    $($field: match own.$field {
                        Some(_) => Some(group.clone()),
                        None => self.$field.clone(),
                    },)*
                }
            }
        }
    };
}

settings! {
    /// Share of the group against its rivals, without unit.
    weight: Weight = DEFAULT_WEIGHT;
    /// Deadline of a request, in milliseconds.
    deadline: Millis = DEFAULT_DEADLINE;
    /// Requests that may wait at one entry host for one service.
    queue: u32 = DEFAULT_QUEUE;
}

/// A fault of one group's row.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{group}: {text}")]
pub struct TreeError {
    /// The group at fault.
    pub group: GroupName,
    /// What is wrong, for the operator.
    pub text: String,
}

/// One group as the tree sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// The group's own row.
    pub row: GroupRow,
    /// The settings in force.
    pub effective: Effective,
    /// Where each of them comes from.
    pub origins: Origins,
}

/// All groups with their effective settings, which are worked out once a version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tree {
    nodes: BTreeMap<GroupName, Node>,
}

impl Tree {
    /// Builds the tree and works out what is in force for each group.
    ///
    /// # Errors
    ///
    /// Returns a fault for each group whose parent is missing, whose ancestors form a ring, or
    /// whose settings are out of range.
    pub fn new(rows: BTreeMap<GroupName, GroupRow>) -> Result<Self, Vec<TreeError>> {
        let faults = check(&rows);
        if !faults.is_empty() {
            return Err(faults);
        }
        let mut tree = Self::default();
        for name in rows.keys() {
            tree.insert(name, &rows);
        }
        Ok(tree)
    }

    /// Returns the node of `group`.
    pub fn get(&self, group: &GroupName) -> Option<&Node> {
        self.nodes.get(group)
    }

    /// Tells whether `group` exists.
    pub fn contains(&self, group: &GroupName) -> bool {
        self.nodes.contains_key(group)
    }

    /// Tells whether there is no group at all.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the groups in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&GroupName, &Node)> {
        self.nodes.iter()
    }

    fn insert(&mut self, name: &GroupName, rows: &BTreeMap<GroupName, GroupRow>) {
        if self.nodes.contains_key(name) {
            return;
        }
        let row = rows[name].clone();
        if let Some(parent) = &row.parent {
            self.insert(parent, rows);
        }
        let parent = row.parent.as_ref().map(|parent| &self.nodes[parent]);
        let (effective, origins) = match parent {
            Some(parent) => (
                parent.effective.with_overrides(&row.settings),
                parent.origins.with_overrides(name, &row.settings),
            ),
            None => (
                Effective::default().with_overrides(&row.settings),
                Origins::default().with_overrides(name, &row.settings),
            ),
        };
        self.nodes.insert(name.clone(), Node { row, effective, origins });
    }
}

fn check(rows: &BTreeMap<GroupName, GroupRow>) -> Vec<TreeError> {
    let mut faults = Vec::new();
    for (name, row) in rows {
        let mut fault = |text: String| faults.push(TreeError { group: name.clone(), text });
        if row.settings.weight == Some(Weight(0)) {
            fault("weight must be at least 1".to_owned());
        }
        if row.settings.deadline == Some(Millis(0)) {
            fault("deadline must be at least 1 ms".to_owned());
        }
        if row.settings.queue == Some(0) {
            fault("queue must be at least 1".to_owned());
        }
        if let Some(text) = check_ancestors(name, rows) {
            fault(text);
        }
    }
    faults
}

fn check_ancestors(name: &GroupName, rows: &BTreeMap<GroupName, GroupRow>) -> Option<String> {
    let mut seen = BTreeSet::from([name]);
    let mut group = name;
    while let Some(parent) = &rows[group].parent {
        if !rows.contains_key(parent) {
            // The fault belongs to the row that names the missing parent, not to its children.
            return (group == name).then(|| format!("there is no parent group {parent}"));
        }
        if !seen.insert(parent) {
            return Some(format!("is its own ancestor by way of {parent}"));
        }
        group = parent;
    }
    None
}
