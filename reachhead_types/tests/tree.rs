//! The tree of groups, compared with a naive resolver that walks to the root for each setting.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::collections::BTreeMap;

use reachhead_property::properties;
use reachhead_types::{
    fleet::GroupRow,
    id::GroupName,
    size::{Millis, Weight},
    tree::{DEFAULT_DEADLINE, DEFAULT_QUEUE, DEFAULT_WEIGHT, Overrides, Tree},
};

fn name(number: usize) -> GroupName {
    format!("g{number}").parse().unwrap()
}

type Drawn = (u8, Option<u8>, Option<u8>, Option<u8>);

/// Derives rows in which each group's parent is an earlier one, so that there is no cycle.
fn rows(drawn: &[Drawn]) -> BTreeMap<GroupName, GroupRow> {
    let row = |(number, &(parent, weight, deadline, queue)): (usize, &Drawn)| {
        let parent = (number > 0 && parent % 5 > 0).then(|| name(usize::from(parent) % number));
        let positive = |value: u8| u64::from(value) + 1;
        let settings = Overrides {
            weight: weight.map(|value| Weight(positive(value) as u32)),
            deadline: deadline.map(|value| Millis(positive(value))),
            queue: queue.map(|value| positive(value) as u32),
        };
        (name(number), GroupRow { parent, settings })
    };
    drawn.iter().enumerate().map(row).collect()
}

/// Returns the value and name of the nearest group on the way to the root that sets a setting.
fn find_nearest<'r, T>(
    rows: &'r BTreeMap<GroupName, GroupRow>,
    group: &'r GroupName,
    get: impl Fn(&Overrides) -> Option<T>,
) -> Option<(T, &'r GroupName)> {
    let mut group = Some(group);
    while let Some(name) = group {
        if let Some(value) = get(&rows[name].settings) {
            return Some((value, name));
        }
        group = rows[name].parent.as_ref();
    }
    None
}

properties! {
    fn effective_settings_and_origins_are_those_of_the_walk(drawn: Vec<Drawn>) -> bool {
        let rows = rows(&drawn);
        let tree = Tree::new(rows.clone()).unwrap();
        rows.keys().all(|group| {
            let node = tree.get(group).unwrap();
            let weight = find_nearest(&rows, group, |own| own.weight);
            let deadline = find_nearest(&rows, group, |own| own.deadline);
            let queue = find_nearest(&rows, group, |own| own.queue);
            node.effective.weight == weight.map_or(DEFAULT_WEIGHT, |found| found.0)
                && node.effective.deadline == deadline.map_or(DEFAULT_DEADLINE, |found| found.0)
                && node.effective.queue == queue.map_or(DEFAULT_QUEUE, |found| found.0)
                && node.origins.weight.as_ref() == weight.map(|found| found.1)
                && node.origins.deadline.as_ref() == deadline.map(|found| found.1)
                && node.origins.queue.as_ref() == queue.map(|found| found.1)
        })
    }

    fn rings_and_missing_parents_are_faults_and_nothing_hangs(parents: Vec<u8>) -> bool {
        let count = parents.len();
        let rows: BTreeMap<GroupName, GroupRow> = parents
            .iter()
            .enumerate()
            .map(|(number, &parent)| {
                let parent = Some(name(usize::from(parent) % (count + 1)));
                (name(number), GroupRow { parent, ..GroupRow::default() })
            })
            .collect();
        // Every group has a parent, so there is a cycle or a missing parent.
        Tree::new(rows).is_err() == (count > 0)
    }
}
