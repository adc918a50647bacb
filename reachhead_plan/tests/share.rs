//! Shares down the tree against a naive filler that hands out one small step after the other.

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

/// Steps in which the naive version hands out a pool.
const STEPS: usize = 4000;

type Drawn = (u8, u8, u8);

fn name(number: usize) -> GroupName {
    format!("g{number}").parse().unwrap()
}

fn tree(drawn: &[Drawn]) -> Tree {
    let row = |(number, &(parent, weight, _)): (usize, &Drawn)| {
        let parent = (number > 0 && parent % 4 > 0).then(|| name(usize::from(parent) % number));
        let settings =
            Overrides { weight: Some(Weight(u32::from(weight) % 4 + 1)), ..Overrides::default() };
        (name(number), GroupRow { parent, settings })
    };
    Tree::new(drawn.iter().enumerate().map(row).collect()).unwrap()
}

fn demands(drawn: &[Drawn]) -> Shares {
    let demand = |(number, &(_, _, demand)): (usize, &Drawn)| {
        (demand % 3 > 0).then(|| (name(number), f64::from(demand) / 300.0))
    };
    drawn.iter().enumerate().filter_map(demand).collect()
}

/// Gives each step to the leaf that is found by going down to whoever has least for its weight.
fn naive(tree: &Tree, demands: &Shares, capacity: f64) -> Shares {
    let step = capacity / STEPS as f64;
    let mut owed: Shares = demands.keys().map(|group| (group.clone(), 0.0)).collect();
    for _ in 0..STEPS {
        let Some(group) = descend(tree, demands, &owed, None) else { break };
        *owed.get_mut(&group).unwrap() += step;
    }
    owed
}

fn descend(
    tree: &Tree,
    demands: &Shares,
    owed: &Shares,
    parent: Option<&GroupName>,
) -> Option<GroupName> {
    let total = |group: &GroupName| -> f64 {
        owed.iter().filter(|(name, _)| is_below(tree, name, group)).map(|(_, owed)| owed).sum()
    };
    let is_hungry = |group: &GroupName| {
        demands.iter().any(|(name, demand)| is_below(tree, name, group) && owed[name] < *demand)
    };
    let mut best: Option<(f64, Option<GroupName>)> = None;
    let mut consider = |level: f64, group: Option<GroupName>| {
        if best.as_ref().is_none_or(|(lowest, _)| level < *lowest) {
            best = Some((level, group));
        }
    };
    if let Some(own) = parent
        && demands.get(own).is_some_and(|demand| owed[own] < *demand)
    {
        consider(owed[own], None);
    }
    for (group, node) in tree.iter() {
        if node.row.parent.as_ref() == parent && is_hungry(group) {
            consider(total(group) / f64::from(node.effective.weight.0), Some(group.clone()));
        }
    }
    match best? {
        (_, None) => parent.cloned(),
        (_, Some(group)) => descend(tree, demands, owed, Some(&group)),
    }
}

fn is_below(tree: &Tree, group: &GroupName, above: &GroupName) -> bool {
    let mut next = Some(group);
    while let Some(name) = next {
        if name == above {
            return true;
        }
        next = tree.get(name).unwrap().row.parent.as_ref();
    }
    false
}

properties! {
    fn shares_are_those_of_the_naive_filler(drawn: Vec<(u8, u8, u8)>) -> bool {
        let drawn = &drawn[..drawn.len().min(7)];
        let (tree, demands) = (tree(drawn), demands(drawn));
        let exact = fair_shares(&tree, &demands, 1.0);
        let naive = naive(&tree, &demands, 1.0);
        // A step may be off at each group on the way.
        let room = 8.0 * 1.0 / STEPS as f64;
        let of = |shares: &Shares, group: &GroupName| shares.get(group).copied().unwrap_or_default();
        demands.keys().all(|group| (of(&exact, group) - of(&naive, group)).abs() < room)
    }

    fn nobody_gets_more_than_it_asks_and_nothing_asked_for_is_left(drawn: Vec<(u8, u8, u8)>) -> bool {
        let drawn = &drawn[..drawn.len().min(30)];
        let (tree, demands) = (tree(drawn), demands(drawn));
        let owed = fair_shares(&tree, &demands, 1.0);
        let given: f64 = owed.values().sum();
        let asked: f64 = demands.values().sum();
        owed.iter().all(|(group, part)| *part <= demands[group] + 1e-9)
            && (given - asked.min(1.0)).abs() < 1e-9
    }

    fn splitting_a_group_into_many_gains_it_nothing(parts: u8, weight: u8) -> bool {
        let parts = usize::from(parts % 6) + 1;
        let row = |parent: Option<usize>, weight: u32| GroupRow {
            parent: parent.map(name),
            settings: Overrides { weight: Some(Weight(weight)), ..Overrides::default() },
        };
        // Two rivals of the same weight; the second has split itself.
        let mut rows = BTreeMap::from([(name(0), row(None, 1)), (name(1), row(None, 1))]);
        let mut demands = Shares::from([(name(0), 2.0)]);
        for part in 0..parts {
            rows.insert(name(2 + part), row(Some(1), u32::from(weight % 9) + 1));
            demands.insert(name(2 + part), 2.0);
        }
        let owed = fair_shares(&Tree::new(rows).unwrap(), &demands, 1.0);
        (owed[&name(0)] - 0.5).abs() < 1e-9
    }
}
