//! Fair shares, compared with a naive implementation that assigns capacity in small steps.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::collections::BTreeMap;

use reachhead_plan::share::{Shares, fair_shares};
use reachhead_property::properties;
use reachhead_types::{
    fleet::GroupRow,
    id::GroupName,
    size::Weight,
    tree::{Overrides, Tree},
};

/// Number of steps in which the naive implementation assigns a pool.
const STEPS: usize = 4000;

/// Parent, weight and demand of a group, drawn at random.
type GroupSpec = (u8, u8, u8);

fn name(number: usize) -> GroupName {
    format!("g{number}").parse().unwrap()
}

fn tree(specs: &[GroupSpec]) -> Tree {
    let row = |(number, &(parent, weight, _)): (usize, &GroupSpec)| {
        let parent = (number > 0 && parent % 4 > 0).then(|| name(usize::from(parent) % number));
        let settings =
            Overrides { weight: Some(Weight(u32::from(weight) % 4 + 1)), ..Overrides::default() };
        (name(number), GroupRow { parent, settings })
    };
    Tree::new(specs.iter().enumerate().map(row).collect()).unwrap()
}

fn demands(specs: &[GroupSpec]) -> Shares {
    let demand = |(number, &(_, _, demand)): (usize, &GroupSpec)| {
        (demand % 3 > 0).then(|| (name(number), f64::from(demand) / 300.0))
    };
    specs.iter().enumerate().filter_map(demand).collect()
}

/// Assigns each step to the group found by descending to the child with the lowest share per
/// weight.
fn naive(tree: &Tree, demands: &Shares, capacity: f64) -> Shares {
    let step = capacity / STEPS as f64;
    let mut shares: Shares = demands.keys().map(|group| (group.clone(), 0.0)).collect();
    for _ in 0..STEPS {
        let Some(group) = descend(tree, demands, &shares, None) else { break };
        *shares.get_mut(&group).unwrap() += step;
    }
    shares
}

fn descend(
    tree: &Tree,
    demands: &Shares,
    shares: &Shares,
    parent: Option<&GroupName>,
) -> Option<GroupName> {
    let total = |group: &GroupName| -> f64 {
        shares
            .iter()
            .filter(|(name, _)| is_descendant(tree, name, group))
            .map(|(_, share)| share)
            .sum()
    };
    let has_unmet_demand = |group: &GroupName| {
        demands
            .iter()
            .any(|(name, demand)| is_descendant(tree, name, group) && shares[name] < *demand)
    };
    let mut best: Option<(f64, Option<GroupName>)> = None;
    let mut consider = |level: f64, group: Option<GroupName>| {
        if best.as_ref().is_none_or(|(lowest, _)| level < *lowest) {
            best = Some((level, group));
        }
    };
    if let Some(own) = parent
        && demands.get(own).is_some_and(|demand| shares[own] < *demand)
    {
        consider(shares[own], None);
    }
    for (group, node) in tree.iter() {
        if node.row.parent.as_ref() == parent && has_unmet_demand(group) {
            consider(total(group) / f64::from(node.effective.weight.0), Some(group.clone()));
        }
    }
    match best? {
        (_, None) => parent.cloned(),
        (_, Some(group)) => descend(tree, demands, shares, Some(&group)),
    }
}

fn is_descendant(tree: &Tree, group: &GroupName, ancestor: &GroupName) -> bool {
    let mut next = Some(group);
    while let Some(name) = next {
        if name == ancestor {
            return true;
        }
        next = tree.get(name).unwrap().row.parent.as_ref();
    }
    false
}

properties! {
    fn shares_are_those_of_the_naive_filler(specs: Vec<(u8, u8, u8)>) -> bool {
        let specs = &specs[..specs.len().min(7)];
        let (tree, demands) = (tree(specs), demands(specs));
        let exact = fair_shares(&tree, &demands, 1.0);
        let naive = naive(&tree, &demands, 1.0);
        // The result may be off by one step at each level of the tree.
        let tolerance = 8.0 * 1.0 / STEPS as f64;
        let of = |shares: &Shares, group: &GroupName| shares.get(group).copied().unwrap_or_default();
        demands.keys().all(|group| (of(&exact, group) - of(&naive, group)).abs() < tolerance)
    }

    fn nobody_gets_more_than_it_asks_and_nothing_asked_for_is_left(specs: Vec<(u8, u8, u8)>) -> bool {
        let specs = &specs[..specs.len().min(30)];
        let (tree, demands) = (tree(specs), demands(specs));
        let shares = fair_shares(&tree, &demands, 1.0);
        let given: f64 = shares.values().sum();
        let demanded: f64 = demands.values().sum();
        shares.iter().all(|(group, part)| *part <= demands[group] + 1e-9)
            && (given - demanded.min(1.0)).abs() < 1e-9
    }

    fn splitting_a_group_into_many_gains_it_nothing(parts: u8, weight: u8) -> bool {
        let parts = usize::from(parts % 6) + 1;
        let row = |parent: Option<usize>, weight: u32| GroupRow {
            parent: parent.map(name),
            settings: Overrides { weight: Some(Weight(weight)), ..Overrides::default() },
        };
        // Two groups of the same weight; the second one has split itself.
        let mut rows = BTreeMap::from([(name(0), row(None, 1)), (name(1), row(None, 1))]);
        let mut demands = Shares::from([(name(0), 2.0)]);
        for part in 0..parts {
            rows.insert(name(2 + part), row(Some(1), u32::from(weight % 9) + 1));
            demands.insert(name(2 + part), 2.0);
        }
        let shares = fair_shares(&Tree::new(rows).unwrap(), &demands, 1.0);
        (shares[&name(0)] - 0.5).abs() < 1e-9
    }
}
