//! What each group is owed of a pool: weighted max-min shares down the tree of groups.
//!
//! A group's share is split among its children and its own jobs by weight; what one does not ask for
//! goes to its siblings first and to the rest of the tree then. So a rival gains nothing by splitting
//! itself into many groups.

use std::collections::BTreeMap;

use reachhead_types::{
    id::GroupName,
    size::Weight,
    tree::{DEFAULT_WEIGHT, Tree},
};

/// Shares smaller than this are nothing, in parts of a pool.
const NEGLIGIBLE: f64 = 1e-12;

/// Parts of a pool by group.
pub type Shares = BTreeMap<GroupName, f64>;

/// One that draws on a common share.
struct Claimant {
    weight: Weight,
    demand: f64,
}

/// Returns what each group that asks for something is owed of `capacity`, when each asks for
/// `demands`; all in parts of the pool.
pub fn fair_shares(tree: &Tree, demands: &Shares, capacity: f64) -> Shares {
    let nodes = Nodes::new(tree, demands);
    let mut owed = Shares::new();
    nodes.split(&nodes.roots, None, capacity, &mut owed);
    owed
}

/// The groups that matter here: those with a demand, and those above them.
struct Nodes<'d> {
    weights: BTreeMap<GroupName, Weight>,
    children: BTreeMap<GroupName, Vec<GroupName>>,
    roots: Vec<GroupName>,
    /// What a group and all below it ask for.
    totals: Shares,
    demands: &'d Shares,
}

impl<'d> Nodes<'d> {
    fn new(tree: &Tree, demands: &'d Shares) -> Self {
        let mut nodes = Self {
            weights: BTreeMap::new(),
            children: BTreeMap::new(),
            roots: Vec::new(),
            totals: Shares::new(),
            demands,
        };
        for (group, demand) in demands {
            nodes.add(tree, group, *demand);
        }
        nodes
    }

    fn add(&mut self, tree: &Tree, group: &GroupName, demand: f64) {
        let mut next = Some(group.clone());
        while let Some(name) = next {
            *self.totals.entry(name.clone()).or_default() += demand;
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

    /// Splits `capacity` among `groups` and the jobs of `own`, their parent.
    fn split(
        &self,
        groups: &[GroupName],
        own: Option<&GroupName>,
        capacity: f64,
        owed: &mut Shares,
    ) {
        let mut claimants: Vec<Claimant> = groups
            .iter()
            .map(|name| Claimant { weight: self.weights[name], demand: self.totals[name] })
            .collect();
        let own_demand = own.and_then(|own| self.demands.get(own)).copied().unwrap_or_default();
        claimants.push(Claimant { weight: DEFAULT_WEIGHT, demand: own_demand });
        let parts = fill(&claimants, capacity);
        for (name, &part) in groups.iter().zip(&parts) {
            let children = self.children.get(name).map(Vec::as_slice).unwrap_or_default();
            self.split(children, Some(name), part, owed);
        }
        if let (Some(own), Some(&part)) = (own, parts.last())
            && own_demand > 0.0
        {
            owed.insert(own.clone(), part);
        }
    }
}

/// Splits `capacity` by weight, nobody getting more than its demand: exact water filling.
fn fill(claimants: &[Claimant], capacity: f64) -> Vec<f64> {
    let mut parts = vec![0.0; claimants.len()];
    // The level at which a claimant has all it asks for; those with the lowest are done first.
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
