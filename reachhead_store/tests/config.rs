//! Configuration changes that race each other while the store loses answers.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use futures::future::{BoxFuture, FutureExt};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use reachhead_store::{
    Store, StoreError,
    config::{self, ChangeError, ChangeRequest, ConfigWrite, ConfigWriter},
    memory::MemoryStore,
    row::{Commit, Key, Page, Row, Scan, Txn},
};
use reachhead_types::{
    fleet::RowKey,
    id::ChangeId,
    size::{Millis, Version},
    snapshot::ConfigSnapshot,
};
use serde_json::json;

/// A store that loses the answers of commits at random, before or after they take effect.
struct FlakyStore {
    inner: MemoryStore,
    rng: Mutex<SmallRng>,
    rate: f64,
}

impl FlakyStore {
    fn new(seed: u64, rate: f64) -> Arc<Self> {
        let rng = Mutex::new(SmallRng::seed_from_u64(seed));
        Arc::new(Self { inner: MemoryStore::new(), rng, rate })
    }

    fn should_fail(&self) -> bool {
        let mut rng = self.rng.lock().unwrap();
        rng.random_bool(self.rate)
    }
}

impl Store for FlakyStore {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        async move {
            tokio::task::yield_now().await;
            self.inner.read(keys).await
        }
        .boxed()
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        async move {
            tokio::task::yield_now().await;
            self.inner.scan(scan).await
        }
        .boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        async move {
            tokio::task::yield_now().await;
            if self.should_fail() {
                return Err(StoreError::Lost("before".to_owned()));
            }
            let commit = self.inner.commit(txn).await;
            if self.should_fail() {
                return Err(StoreError::Lost("after".to_owned()));
            }
            commit
        }
        .boxed()
    }
}

fn request(id: u128, row: &str, value: u32, expected: Option<Version>) -> ChangeRequest {
    let value = Some(json!({ "settings": { "queue": value } }));
    let write = ConfigWrite { key: row.parse().unwrap(), value, expected };
    ChangeRequest { id: ChangeId(id), writes: vec![write] }
}

fn config_writer(store: &dyn Store) -> ConfigWriter<'_> {
    ConfigWriter::new(store, "tester".parse().unwrap(), Millis(0))
}

/// Runs several operators concurrently, each of which repeats every change until it is accepted.
async fn race(seed: u64, rate: f64) {
    let store = FlakyStore::new(seed, rate);
    let operators = (0..4_u128).map(|operator| {
        let store = Arc::clone(&store);
        tokio::spawn(async move {
            let mut snapshot = ConfigSnapshot::new();
            let mut accepted = Vec::new();
            for number in 0..10_u128 {
                let id = operator * 100 + number;
                let row = format!("group/o{}", (operator + number) % 3);
                let request = request(id, &row, id as u32 + 1, None);
                loop {
                    match config_writer(&*store).change(&mut snapshot, &request).await {
                        Ok(version) => {
                            accepted.push((id, version));
                            break;
                        }
                        Err(ChangeError::Unknown(_) | ChangeError::NotDone(_)) => {}
                        Err(error) => panic!("{error}"),
                    }
                }
            }
            accepted
        })
    });
    let mut accepted = BTreeMap::new();
    for operator in futures::future::join_all(operators).await {
        for (id, version) in operator.unwrap() {
            assert!(accepted.insert(version, id).is_none(), "two changes are version {version}");
        }
    }
    // Every change was applied once, and there is no gap between the versions.
    let versions: Vec<u64> = accepted.keys().map(|version| version.0).collect();
    assert_eq!(versions, (1..=40).collect::<Vec<u64>>());
    // Each row has the value of the newest version that wrote it.
    let mut expected = BTreeMap::new();
    for id in accepted.values() {
        let row = format!("group/o{}", (id / 100 + id % 100) % 3);
        expected.insert(row, json!({ "settings": { "queue": *id as u32 + 1 } }));
    }
    let mut snapshot = ConfigSnapshot::new();
    assert!(config::follow(&store.inner, &mut snapshot).await.unwrap());
    let rows: BTreeMap<String, _> =
        snapshot.rows().map(|(key, value)| (key.to_string(), value.clone())).collect();
    assert_eq!(rows, expected);
}

#[tokio::test(start_paused = true)]
async fn races_and_lost_answers_lose_and_undo_no_change() {
    for seed in 0..20 {
        race(seed, 0.0).await;
        race(seed, 0.2).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_of_a_row_written_since_is_rejected_and_other_rows_do_not_conflict() {
    let store = MemoryStore::new();
    let mut snapshot = ConfigSnapshot::new();
    let first =
        config_writer(&store).change(&mut snapshot, &request(1, "group/a", 1, None)).await.unwrap();
    let second = config_writer(&store)
        .change(&mut snapshot, &request(2, "group/b", 2, Some(Version(0))))
        .await;
    assert_eq!(second.unwrap(), Version(2));
    // Group b was written by the second change; group a is still at the expected version.
    let stale =
        config_writer(&store).change(&mut snapshot, &request(3, "group/b", 3, Some(first))).await;
    let key: RowKey = "group/b".parse().unwrap();
    assert!(matches!(stale, Err(ChangeError::Raced(rows)) if rows == [key]));
    let accepted =
        config_writer(&store).change(&mut snapshot, &request(4, "group/a", 4, Some(first))).await;
    assert_eq!(accepted.unwrap(), Version(3));
    // Repeating the request returns the same version and changes nothing.
    let again =
        config_writer(&store).change(&mut snapshot, &request(4, "group/a", 4, Some(first))).await;
    assert_eq!(again.unwrap(), Version(3));
    assert_eq!(snapshot.version(), Version(3));
}

#[tokio::test(start_paused = true)]
async fn a_follower_far_behind_reads_all_rows_with_the_same_result() {
    let store = MemoryStore::new();
    let mut writer = ConfigSnapshot::new();
    let mut near = ConfigSnapshot::new();
    for number in 0..200_u128 {
        let row = format!("group/g{}", number % 70);
        let request = request(number, &row, number as u32 + 1, None);
        config_writer(&store).change(&mut writer, &request).await.unwrap();
        if number % 7 == 0 {
            config::follow(&store, &mut near).await.unwrap();
        }
    }
    let mut far = ConfigSnapshot::new();
    config::follow(&store, &mut near).await.unwrap();
    config::follow(&store, &mut far).await.unwrap();
    let rows = |snapshot: &ConfigSnapshot| {
        snapshot.rows().map(|(k, v)| (k.clone(), v.clone())).collect::<Vec<_>>()
    };
    assert_eq!(rows(&near), rows(&writer));
    assert_eq!(rows(&far), rows(&writer));
    assert_eq!(far.version(), Version(200));
}
