//! The guarded store: probes whose callers give up, and parts that are away.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures::future::{BoxFuture, FutureExt, try_join_all};
use reachhead_store::{
    Store, StoreError,
    guarded::GuardedStore,
    memory::MemoryStore,
    row::{Commit, Key, Page, Row, Scan, Txn},
};
use tokio::time;

/// How long the store takes for an answer, so that calls made together are under way together.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// A store of which the parts whose names begin with `away` fail for a while.
#[derive(Default)]
struct FailingStore {
    inner: MemoryStore,
    down: Arc<AtomicBool>,
    /// How long reads of all rows of a part take beyond that.
    scan_time: Duration,
}

impl FailingStore {
    async fn answer(&self, key: &str) -> Result<(), StoreError> {
        time::sleep(ANSWER_TIME).await;
        if self.down.load(Ordering::Relaxed) && key.contains("/away") {
            return Err(StoreError::NotDone("reset".to_owned()));
        }
        Ok(())
    }
}

impl Store for FailingStore {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        async move {
            self.answer(&keys[0].0).await?;
            self.inner.read(keys).await
        }
        .boxed()
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        async move {
            self.answer(&scan.prefix).await?;
            time::sleep(self.scan_time).await;
            self.inner.scan(scan).await
        }
        .boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        async move {
            self.answer(&txn.writes[0].key.0).await?;
            self.inner.commit(txn).await
        }
        .boxed()
    }
}

fn part_of(key: &str) -> &str {
    key.split('/').nth(1).unwrap_or_default()
}

/// Reads some keys at once and gives up with the first that fails, as a takeover does.
async fn load(store: &impl Store, part: &str) -> Result<(), StoreError> {
    let reads = (0..5).map(|place| store.read(vec![Key(format!("table/{part}/{place}"))]));
    try_join_all(reads).await.map(drop)
}

async fn fail_for_a_while(store: &impl Store, part: &str) {
    for _ in 0..40 {
        time::sleep(Duration::from_millis(50)).await;
        let _ = load(store, part).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_probe_whose_caller_gives_up_still_tells_that_the_store_is_back() {
    let down = Arc::new(AtomicBool::new(true));
    let failing = FailingStore { down: Arc::clone(&down), ..FailingStore::default() };
    let store = GuardedStore::new(failing, 1000);
    fail_for_a_while(&store, "away").await;
    assert!(load(&store, "away").await.is_err());
    down.store(false, Ordering::Relaxed);
    let begun = time::Instant::now();
    while load(&store, "away").await.is_err() {
        assert!(begun.elapsed() < Duration::from_secs(4), "the store is never believed to be back");
        time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_part_that_is_away_does_not_close_the_others() {
    let down = Arc::new(AtomicBool::new(true));
    let failing = FailingStore { down, ..FailingStore::default() };
    let store = GuardedStore::new(failing, 1000).with_partitions(part_of);
    for _ in 0..40 {
        time::sleep(Duration::from_millis(50)).await;
        assert!(load(&store, "away").await.is_err());
        assert!(load(&store, "here").await.is_ok(), "a part that answers is closed");
    }
}

#[tokio::test(start_paused = true)]
async fn a_part_that_was_away_for_long_is_used_soon_after_it_is_back() {
    let down = Arc::new(AtomicBool::new(true));
    let failing = FailingStore { down: Arc::clone(&down), ..FailingStore::default() };
    let longest = Duration::from_millis(400);
    let store =
        GuardedStore::new(failing, 1000).with_partitions(part_of).with_max_probe_pause(longest);
    for _ in 0..20 {
        fail_for_a_while(&store, "away").await;
    }
    down.store(false, Ordering::Relaxed);
    let begun = time::Instant::now();
    while load(&store, "away").await.is_err() {
        assert!(begun.elapsed() < Duration::from_millis(700), "{:?}", begun.elapsed());
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// A process on a weak link reads the hundreds of jobs of a pool that it takes over, which takes a second, while its other calls take some
/// milliseconds. Each read was given up after six times what those took and begun anew, for ever: nobody of such a fleet could
/// take the pool, its jobs stood still, and the reads filled the link.
#[tokio::test(start_paused = true)]
async fn reads_of_whole_parts_are_waited_for_though_other_calls_are_quick() {
    let slow = FailingStore { scan_time: Duration::from_millis(1000), ..FailingStore::default() };
    let store = GuardedStore::new(slow, 1000).with_adaptive_timeouts();
    let scan = || Scan { prefix: "job/p.0/".to_owned(), after: None, limit: u32::MAX };
    let mut tries = 0;
    for _ in 0..20 {
        for _ in 0..20 {
            let read = store.read(vec![Key("lease/p/owner".to_owned())]).await;
            assert!(read.is_ok() || tries > 0, "{read:?}");
        }
        tries += 1;
        if store.scan(scan()).await.is_ok() {
            break;
        }
        time::sleep(Duration::from_millis(1100)).await;
    }
    assert!(tries <= 4, "{tries} tries");
}
