//! History, differences and undo, compared with a model that keeps a copy of all rows per version.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{collections::BTreeMap, sync::Arc};

use futures::executor::block_on;
use quickcheck::TestResult;
use reachhead_property::properties;
use reachhead_store::{
    config::{self, ChangeError, ChangeRequest, ConfigWrite, ConfigWriter, history},
    memory::MemoryStore,
};
use reachhead_types::{
    fleet::RowKey,
    id::ChangeId,
    size::{Millis, Version},
    snapshot::{Change, ConfigSnapshot, Delta},
};
use serde_json::{Value, json};

type Rows = BTreeMap<RowKey, Value>;

/// Number of rows that the changes write.
const ROWS: u8 = 5;

struct History {
    store: MemoryStore,
    snapshot: ConfigSnapshot,
    /// The rows at each version, version 0 first.
    copies: Vec<Rows>,
    /// The keys that each version wrote, version 0 first.
    written: Vec<Vec<RowKey>>,
}

fn rows(snapshot: &ConfigSnapshot) -> Rows {
    snapshot.rows().map(|(key, value)| (key.clone(), value.clone())).collect()
}

impl History {
    fn new() -> Self {
        let (store, snapshot) = (MemoryStore::new(), ConfigSnapshot::new());
        Self { store, snapshot, copies: vec![Rows::new()], written: vec![Vec::new()] }
    }

    fn change(&mut self, request: &ChangeRequest) -> Result<Version, ChangeError> {
        let writer = ConfigWriter::new(&self.store, "tester".parse().unwrap(), Millis(0));
        let version = block_on(writer.change(&mut self.snapshot, request))?;
        self.copies.push(rows(&self.snapshot));
        self.written.push(request.writes.iter().map(|write| write.key.clone()).collect());
        Ok(version)
    }
}

/// Derives a change from random numbers: each number writes or deletes a row.
fn request(id: usize, numbers: &[u8]) -> ChangeRequest {
    let writes: BTreeMap<RowKey, Option<Value>> = numbers
        .iter()
        .map(|number| {
            let key = format!("group/g{}", number % ROWS).parse().unwrap();
            let value =
                (number % 3 > 0).then(|| json!({ "settings": { "queue": number / 3 + 1 } }));
            (key, value)
        })
        .collect();
    let write = |(key, value)| ConfigWrite { key, value, expected: None };
    ChangeRequest { id: ChangeId(id as u128), writes: writes.into_iter().map(write).collect() }
}

fn history(changes: &[Vec<u8>]) -> History {
    let mut history = History::new();
    for (id, numbers) in changes.iter().enumerate() {
        history.change(&request(id, numbers)).unwrap();
    }
    history
}

properties! {
    fn a_difference_is_what_two_copies_differ_by(changes: Vec<Vec<u8>>, from: usize, to: usize) -> bool {
        let history = history(&changes);
        let (from, to) = (from % history.copies.len(), to % history.copies.len());
        let (from, to) = (from.min(to), from.max(to));
        let range = (Version(from as u64), Version(to as u64));
        let diff = block_on(history::diff(&history.store, range.0, range.1, |_| true)).unwrap();
        let (before, after) = (&history.copies[from], &history.copies[to]);
        let mut naive: Rows = Rows::new();
        for key in before.keys().chain(after.keys()) {
            if before.get(key) != after.get(key) {
                naive.insert(key.clone(), json!([before.get(key), after.get(key)]));
            }
        }
        let found: Rows =
            diff.into_iter().map(|row| (row.key, json!([row.before, row.after]))).collect();
        found == naive
    }
}

properties! {
    fn an_undo_brings_back_what_was_or_names_what_was_written_since(changes: Vec<Vec<u8>>, version: usize) -> TestResult {
        let mut history = history(&changes);
        let newest = history.copies.len() - 1;
        if newest == 0 {
            return TestResult::discard();
        }
        let version = 1 + version % newest;
        let touched = history.written[version].clone();
        // A later write conflicts unless both it and this one left the row absent.
        let is_conflicting = |key: &RowKey| {
            let last = (1..=newest).rev().find(|&at| history.written[at].contains(key));
            let is_gone = |at: usize| !history.copies[at].contains_key(key);
            last != Some(version) && !(is_gone(version) && is_gone(newest))
        };
        let conflicting: Vec<RowKey> = touched.iter().filter(|key| is_conflicting(key)).cloned().collect();
        let id = ChangeId(u128::MAX);
        let log = block_on(history::find(&history.store, Version(version as u64))).unwrap();
        let request = history::undo(id, log.unwrap());
        match history.change(&request) {
            Err(ChangeError::Raced(raced)) => {
                TestResult::from_bool(!raced.is_empty() && raced == conflicting)
            }
            Err(error) => TestResult::error(error.to_string()),
            Ok(_) => {
                let mut expected = history.copies[newest].clone();
                for key in &touched {
                    match history.copies[version - 1].get(key) {
                        Some(value) => expected.insert(key.clone(), value.clone()),
                        None => expected.remove(key),
                    };
                }
                let is_right = conflicting.is_empty() && rows(&history.snapshot) == expected;
                // Repeating the undo returns the same version.
                let again = history.change(&request).unwrap();
                TestResult::from_bool(is_right && again.0 == newest as u64 + 1)
            }
        }
    }
}

properties! {
    fn the_history_of_a_row_has_each_of_its_writes_and_no_other(changes: Vec<Vec<u8>>, row: u8) -> bool {
        let history = history(&changes);
        let key: RowKey = format!("group/g{}", row % ROWS).parse().unwrap();
        let mut events = Vec::new();
        let mut after = Version(0);
        loop {
            let page = block_on(history::row_history(&history.store, &key, after)).unwrap();
            let Some(last) = page.last() else { break };
            after = last.version;
            events.extend(page);
        }
        let naive: Vec<(u64, Option<&Value>, Option<&Value>)> = (1..history.copies.len())
            .filter(|&at| history.written[at].contains(&key))
            .map(|at| (at as u64, history.copies[at - 1].get(&key), history.copies[at].get(&key)))
            .collect();
        let found: Vec<(u64, Option<&Value>, Option<&Value>)> = events
            .iter()
            .map(|event| (event.version.0, event.before.as_ref(), event.value.as_ref()))
            .collect();
        found == naive
    }
}

#[test]
fn duplicate_writes_and_missing_versions_are_rejected() {
    let mut history = History::new();
    let mut twice = request(1, &[1]);
    twice.writes.extend(request(1, &[1]).writes);
    assert!(
        matches!(history.change(&twice), Err(ChangeError::Invalid(faults)) if faults.len() == 1)
    );
    assert!(block_on(history::find(&history.store, Version(7))).unwrap().is_none());
    assert!(block_on(history::diff(&history.store, Version(0), Version(3), |_| true)).is_err());
    assert!(block_on(config::fetch(&history.store, Version(0))).unwrap().is_none());
}

properties! {
    fn a_log_that_was_cut_keeps_the_newest_and_loses_no_row(changes: Vec<Vec<u8>>, keep: u8) -> bool {
        let history = history(&changes);
        let newest = history.copies.len() - 1;
        let keep = usize::from(keep) % (newest + 1);
        while block_on(history::truncate_log(&history.store, Version(newest as u64), keep as u64)).unwrap() > 0 {}
        let versions: Vec<u64> = block_on(history::log(&history.store, Version(0)))
            .unwrap()
            .iter()
            .map(|log| log.version.0)
            .collect();
        let kept: Vec<u64> = (newest - keep + 1..=newest).map(|version| version as u64).collect();
        // The row histories have exactly the versions that the log still has.
        let has_exact_histories = (0..ROWS).all(|number| {
            let key: RowKey = format!("group/g{number}").parse().unwrap();
            let events = block_on(history::row_history(&history.store, &key, Version(0))).unwrap();
            let found: Vec<u64> = events.iter().map(|event| event.version.0).collect();
            let written = |version: &&u64| history.written[**version as usize].contains(&key);
            found == kept.iter().filter(written).copied().collect::<Vec<u64>>()
        });
        // Followers at any version arrive at the same rows.
        let is_followed = (0..=newest).all(|from| {
            let mut snapshot = ConfigSnapshot::new();
            for version in 1..=from {
                let changes = history.copies[version].iter().map(|(key, value)| Change {
                    key: key.clone(),
                    value: Some(Arc::new(value.clone())),
                    version: Version(version as u64),
                });
                let whole =
                    Delta { from: Version(0), to: Version(version as u64), changes: changes.collect() };
                snapshot.apply(&whole).unwrap();
            }
            block_on(config::follow(&history.store, &mut snapshot)).unwrap();
            rows(&snapshot) == history.copies[newest]
        });
        versions == kept.iter().take(100).copied().collect::<Vec<u64>>() && has_exact_histories && is_followed
    }
}
