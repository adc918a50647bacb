//! Changes by an operator of one subtree, compared with a model that decides row by row.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::collections::BTreeMap;

use futures::executor::block_on;
use reachhead_property::properties;
use reachhead_store::{
    config::{ChangeError, ChangeRequest, ConfigWrite, ConfigWriter},
    memory::MemoryStore,
};
use reachhead_types::{id::ChangeId, scope::Scope, size::Millis, snapshot::ConfigSnapshot};
use serde_json::{Value, json};

type Rows = BTreeMap<String, Value>;

/// The groups of the operator's subtree.
const OWN: [&str; 2] = ["red", "red-1"];

/// The groups whose pools the operator's services may use: its subtree and the groups above it.
const ABOVE: [&str; 3] = ["top", "red", "red-1"];

const GROUPS: [&str; 5] = ["top", "red", "red-1", "blue", "new"];
const POOLS: [&str; 4] = ["p-top", "p-red", "p-blue", "p-new"];
const SERVICES: [&str; 4] = ["s-top", "s-red", "s-blue", "s-new"];

fn first_rows() -> Vec<(String, Value)> {
    let mut rows = vec![
        ("group/top".to_owned(), json!({})),
        ("group/red".to_owned(), json!({ "parent": "top" })),
        ("group/blue".to_owned(), json!({ "parent": "top" })),
        ("group/red-1".to_owned(), json!({ "parent": "red" })),
    ];
    for group in ["top", "red", "blue"] {
        rows.push((format!("pool/p-{group}"), json!({ "group": group })));
        let service = json!({ "group": group, "pool": format!("p-{group}") });
        rows.push((format!("service/s-{group}"), service));
        rows.push((format!("operator/o-{group}"), operator(group)));
        let path = format!("/{group}");
        let route = json!({ "path": path, "group": group, "service": format!("s-{group}") });
        rows.push((format!("route/r-{group}"), route));
    }
    rows
}

fn operator(group: &str) -> Value {
    json!({ "group": group, "salt": "s", "hash": "h" })
}

/// Derives a write from three random numbers; the operator may make few of these writes.
fn write(kind: u8, name: u8, other: u8) -> (String, Option<Value>) {
    let pick = |list: &[&'static str], number: u8| list[usize::from(number) % list.len()];
    let (group, service) = (pick(&GROUPS, other), pick(&SERVICES, name));
    let is_deleted = other % 7 == 0;
    let (key, value) = match kind % 5 {
        0 => {
            let parents = [None, Some("top"), Some("red"), Some("blue")];
            let mut row = json!({ "settings": { "queue": other % 4 + 1 } });
            if let Some(parent) = parents[usize::from(other / 4) % 4] {
                row["parent"] = json!(parent);
            }
            if other % 5 == 0 {
                row["settings"]["weight"] = json!(other % 3 + 1);
            }
            (format!("group/{}", pick(&GROUPS, name)), row)
        }
        1 => (format!("pool/{}", pick(&POOLS, name)), json!({ "group": group })),
        2 => {
            let row = json!({ "group": group, "pool": pick(&POOLS, other / 5) });
            (format!("service/{service}"), row)
        }
        3 => {
            let target = pick(&SERVICES, other / 5);
            let path = format!("/{service}");
            let row = json!({ "path": path, "group": group, "service": target });
            (format!("route/r-{}", service.trim_start_matches("s-")), row)
        }
        _ => (format!("operator/o-{group}"), operator(pick(&GROUPS, name))),
    };
    (key, (!is_deleted).then_some(value))
}

fn rows(snapshot: &ConfigSnapshot) -> Rows {
    snapshot.rows().map(|(key, value)| (key.to_string(), value.clone())).collect()
}

fn request(id: usize, writes: Vec<(String, Option<Value>)>) -> ChangeRequest {
    let writes = writes.into_iter().map(|(key, value)| ConfigWrite {
        key: key.parse().unwrap(),
        value,
        expected: None,
    });
    ChangeRequest { id: ChangeId(id as u128), writes: writes.collect() }
}

/// Returns whether the operator may change the row of `key` from `before` to `after`.
fn is_allowed(key: &str, before: &Rows, after: &Rows) -> bool {
    let (kind, name) = key.split_once('/').unwrap();
    let is_own = |rows: &Rows| {
        let Some(row) = rows.get(key) else { return true };
        let group = row["group"].as_str().unwrap_or("none");
        let pool_group = |pool: &Value| {
            let row = &rows[&format!("pool/{}", pool.as_str().unwrap())];
            row["group"].as_str().unwrap().to_owned()
        };
        OWN.contains(&group)
            && match kind {
                "service" => ABOVE.contains(&pool_group(&row["pool"]).as_str()),
                "route" => {
                    let service = &rows[&format!("service/{}", row["service"].as_str().unwrap())];
                    OWN.contains(&service["group"].as_str().unwrap())
                }
                _ => true,
            }
    };
    if kind != "group" {
        return is_own(before) && is_own(after);
    }
    let share =
        |rows: &Rows| rows.get(key).map(|row| json!([row["parent"], row["settings"]["weight"]]));
    OWN.contains(&name) && share(before).is_some() && share(before) == share(after)
}

properties! {
    fn an_operator_changes_nothing_outside_its_subtree(drawn: Vec<(u8, u8, u8)>) -> bool {
        let store = MemoryStore::new();
        let mut snapshot = ConfigSnapshot::new();
        let first = first_rows().into_iter().map(|(key, value)| (key, Some(value))).collect();
        let root = ConfigWriter::new(&store, "root".parse().unwrap(), Millis(0));
        block_on(root.change(&mut snapshot, &request(0, first))).unwrap();
        for (index, (kind, name, other)) in drawn.into_iter().enumerate() {
            let before = rows(&snapshot);
            let (key, value) = write(kind, name, other);
            let mut naive = before.clone();
            match value.clone() {
                Some(value) => naive.insert(key.clone(), value),
                None => naive.remove(&key),
            };
            let red = ConfigWriter::new(&store, "o-red".parse().unwrap(), Millis(0))
                .with_scope(Scope::Group("red".parse().unwrap()));
            let result = block_on(red.change(&mut snapshot, &request(index + 1, vec![(key.clone(), value)])));
            let after = rows(&snapshot);
            let is_right = match result {
                Ok(_) => after == naive && is_allowed(&key, &before, &after),
                Err(ChangeError::Forbidden(_)) => after == before && !is_allowed(&key, &before, &naive),
                // The faults name no rows that the operator may not read.
                Err(ChangeError::Invalid(faults)) => {
                    let is_visible = |fault: String| fault == key || is_allowed(&fault, &before, &before);
                    after == before && faults.iter().all(|fault| is_visible(fault.key.to_string()))
                }
                Err(_) => false,
            };
            if !is_right {
                return false;
            }
        }
        true
    }
}
