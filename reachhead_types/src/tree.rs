//! The tree of groups, in which each group inherits its parent's settings unless it overrides them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    fleet::GroupRow,
    id::GroupName,
    size::{Millis, Weight},
};

/// Weight of a group where neither the group nor an ancestor sets one.
pub const DEFAULT_WEIGHT: Weight = Weight(1);

/// Deadline of a request where no group sets one.
pub const DEFAULT_DEADLINE: Millis = Millis(10_000);

/// Queue limit of a group for one service at one entry host where no group sets one, in requests.
pub const DEFAULT_QUEUE: u32 = 256;

/// Generates the types of overrides, effective settings and their origins from one list of
/// settings, so that no setting can be missing from one of them.
macro_rules! settings {
    ($($(#[$doc:meta])* $field:ident: $kind:ty = $default:expr;)*) => {
        /// The settings that a group overrides; `None` inherits.
        #[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct Overrides {
            $($(#[$doc])* #[serde(default, skip_serializing_if = "Option::is_none")]
            pub $field: Option<$kind>,)*
        }

        /// The effective settings of a group.
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
            /// Returns the effective settings of a child with the overrides `own`.
            fn with_overrides(&self, own: &Overrides) -> Self {
                Self { $($field: own.$field.clone().unwrap_or_else(|| self.$field.clone()),)* }
            }
        }

        /// The group that each effective setting comes from; `None` is the built-in default.
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
    /// Weight of the group's share relative to its siblings, without unit.
    weight: Weight = DEFAULT_WEIGHT;
    /// Deadline of a request, in milliseconds.
    deadline: Millis = DEFAULT_DEADLINE;
    /// Maximum number of requests queued at one entry host for one service.
    queue: u32 = DEFAULT_QUEUE;
}

/// A validation error in one group's row.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{group}: {text}")]
pub struct TreeError {
    /// The invalid group.
    pub group: GroupName,
    /// Description of the error for the operator.
    pub text: String,
}

/// One group with its effective settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// The group's own row.
    pub row: GroupRow,
    /// The effective settings.
    pub effective: Effective,
    /// The group that each of them comes from.
    pub origins: Origins,
}

/// All groups with their effective settings, which are computed once per version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tree {
    nodes: BTreeMap<GroupName, Node>,
}

impl Tree {
    /// Builds the tree and computes the effective settings of each group.
    ///
    /// # Errors
    ///
    /// Returns an error for each group whose parent is missing, whose ancestors form a cycle, or
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

    /// Returns whether `group` exists.
    pub fn contains(&self, group: &GroupName) -> bool {
        self.nodes.contains_key(group)
    }

    /// Returns whether there are no groups.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the groups, ordered by name.
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
            // Only the row that names the missing parent is invalid, not its descendants.
            return (group == name).then(|| format!("there is no parent group {parent}"));
        }
        if !seen.insert(parent) {
            return Some(format!("is its own ancestor by way of {parent}"));
        }
        group = parent;
    }
    None
}
