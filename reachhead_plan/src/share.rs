//! Weighted max-min fair shares of a pool along the tree of groups.
//!
//! The share of a group is split among its children and its own jobs by weight. What one of them
//! does not demand goes to its siblings first and then to the rest of the tree, so a group gains
//! nothing by splitting itself into many.

use std::collections::BTreeMap;

use reachhead_types::{
    id::GroupName,
    size::Weight,
    tree::{DEFAULT_WEIGHT, Tree},
};

/// Shares below this fraction of a pool are rounded to zero.
const NEGLIGIBLE: f64 = 1e-12;

/// Fractions of a pool by group.
pub type Shares = BTreeMap<GroupName, f64>;

/// A party to a split: a child group, or the jobs of the group itself.
struct Claimant {
    weight: Weight,
    demand: f64,
}

/// Returns the fair share of `capacity` of each group in `demands`; all values are fractions of the
/// pool.
pub fn fair_shares(tree: &Tree, demands: &Shares, capacity: f64) -> Shares {
    let demand_tree = DemandTree::new(tree, demands);
    let mut shares = Shares::new();
    demand_tree.split(&demand_tree.roots, None, capacity, &mut shares);
    shares
}

/// The part of the tree that has demand: groups with a demand and their ancestors.
struct DemandTree<'d> {
    weights: BTreeMap<GroupName, Weight>,
    children: BTreeMap<GroupName, Vec<GroupName>>,
    roots: Vec<GroupName>,
    /// Demand of each group with its descendants.
    total_demands: Shares,
    demands: &'d Shares,
}

impl<'d> DemandTree<'d> {
    fn new(tree: &Tree, demands: &'d Shares) -> Self {
        let mut demand_tree = Self {
            weights: BTreeMap::new(),
            children: BTreeMap::new(),
            roots: Vec::new(),
            total_demands: Shares::new(),
            demands,
        };
        for (group, demand) in demands {
            demand_tree.add(tree, group, *demand);
        }
        demand_tree
    }

    fn add(&mut self, tree: &Tree, group: &GroupName, demand: f64) {
        let mut next = Some(group.clone());
        while let Some(name) = next {
            *self.total_demands.entry(name.clone()).or_default() += demand;
            let node = tree.get(&name);
            let parent = node.and_then(|node| node.row.parent.clone());
            let weight = node.map_or(DEFAULT_WEIGHT, |node| node.effective.weight);
            if self.weights.insert(name.clone(), weight).is_none() {
                match &parent {
                    Some(parent) => self.children.entry(parent.clone()).or_default().push(name),
                    None => self.roots.push(name),
                }
            }
            next = parent;
        }
    }

    /// Splits `capacity` among `groups` and the jobs of `parent`, their parent.
    fn split(
        &self,
        groups: &[GroupName],
        parent: Option<&GroupName>,
        capacity: f64,
        shares: &mut Shares,
    ) {
        let mut claimants: Vec<Claimant> = groups
            .iter()
            .map(|name| Claimant { weight: self.weights[name], demand: self.total_demands[name] })
            .collect();
        let own_demand =
            parent.and_then(|parent| self.demands.get(parent)).copied().unwrap_or_default();
        claimants.push(Claimant { weight: DEFAULT_WEIGHT, demand: own_demand });
        let parts = water_fill(&claimants, capacity);
        for (name, &part) in groups.iter().zip(&parts) {
            let children = self.children.get(name).map(Vec::as_slice).unwrap_or_default();
            self.split(children, Some(name), part, shares);
        }
        if let (Some(parent), Some(&part)) = (parent, parts.last())
            && own_demand > 0.0
        {
            shares.insert(parent.clone(), part);
        }
    }
}

/// Splits `capacity` by weight, with no part larger than its demand, by exact water-filling.
fn water_fill(claimants: &[Claimant], capacity: f64) -> Vec<f64> {
    let mut parts = vec![0.0; claimants.len()];
    // The water level at which the demand of a claimant is met; the lowest levels are handled
    // first.
    let level = |claimant: &Claimant| claimant.demand / f64::from(claimant.weight.0.max(1));
    let mut order: Vec<usize> = (0..claimants.len()).collect();
    order.sort_by(|&a, &b| level(&claimants[a]).total_cmp(&level(&claimants[b])));
    let mut left = capacity;
    let mut weights: f64 = claimants.iter().map(|one| f64::from(one.weight.0.max(1))).sum();
    for index in order {
        let claimant = &claimants[index];
        let weight = f64::from(claimant.weight.0.max(1));
        let part = claimant.demand.min(left * weight / weights);
        parts[index] = if part < NEGLIGIBLE { 0.0 } else { part };
        left -= parts[index];
        weights -= weight;
    }
    parts
}
