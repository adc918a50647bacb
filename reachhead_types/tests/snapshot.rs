//! Configuration snapshots with deltas in any order, compared with a plain map.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{collections::BTreeMap, sync::Arc};

use reachhead_property::properties;
use reachhead_types::{
    fleet::RowKey,
    size::Version,
    snapshot::{Change, ConfigSnapshot, Delta},
};
use serde_json::{Value, json};

fn key(number: u8) -> RowKey {
    format!("pool/p{}", number % 8).parse().unwrap()
}

/// Returns deltas with one change per version; `None` deletes the row.
fn history(changes: &[(u8, Option<u8>)]) -> Vec<Delta> {
    let delta = |(index, &(row, value)): (usize, &(u8, Option<u8>))| {
        let (from, to) = (Version(index as u64), Version(index as u64 + 1));
        let change =
            Change { key: key(row), value: value.map(|v| Arc::new(json!(v))), version: to };
        Delta { from, to, changes: vec![change] }
    };
    changes.iter().enumerate().map(delta).collect()
}

fn naive(history: &[Delta], version: usize) -> BTreeMap<RowKey, Value> {
    let mut rows = BTreeMap::new();
    for change in history[..version].iter().flat_map(|delta| &delta.changes) {
        match &change.value {
            Some(value) => drop(rows.insert(change.key.clone(), Value::clone(value))),
            None => drop(rows.remove(&change.key)),
        }
    }
    rows
}

fn rows(snapshot: &ConfigSnapshot) -> BTreeMap<RowKey, Value> {
    snapshot.rows().map(|(key, value)| (key.clone(), value.clone())).collect()
}

properties! {
    fn any_order_of_deltas_leads_only_up_and_to_the_same_rows(
        changes: Vec<(u8, Option<u8>)>,
        order: Vec<(u8, u8)>
    ) -> bool {
        let history = history(&changes);
        let snapshots: Vec<ConfigSnapshot> = (0..=history.len())
            .map(|version| {
                let mut snapshot = ConfigSnapshot::new();
                for delta in &history[..version] {
                    snapshot.apply(delta).unwrap();
                }
                snapshot
            })
            .collect();
        let mut snapshot = ConfigSnapshot::new();
        order.into_iter().all(|(from, to)| {
            // Any process may send a delta between any two versions, early, late or twice.
            let to = usize::from(to) % snapshots.len();
            let from = usize::from(from) % (to + 1);
            let delta = snapshots[to].since(Version(from as u64));
            let before = snapshot.version();
            let applied = snapshot.apply(&delta);
            let version = snapshot.version().0 as usize;
            (applied.is_ok() == (delta.from <= before || delta.to <= before))
                && snapshot.version() == if applied == Ok(true) { delta.to } else { before }
                && rows(&snapshot) == naive(&history, version)
        })
    }
}

#[test]
fn a_full_delta_replaces_all_rows() {
    let history = history(&[(1, Some(1)), (2, Some(2)), (1, None)]);
    let mut newest = ConfigSnapshot::new();
    for delta in &history {
        newest.apply(delta).unwrap();
    }
    let mut snapshot = ConfigSnapshot::new();
    snapshot.apply(&history[0]).unwrap();
    assert!(snapshot.apply(&newest.since(Version(0))).unwrap());
    assert_eq!(rows(&snapshot), rows(&newest));
    assert_eq!(snapshot.row_version(&key(1)), Version(0));
    assert_eq!(snapshot.row_version(&key(2)), Version(2));
}
