//! The guarded store: probes dropped by their callers, unavailable partitions and slow scans.

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
    link::LinkUse,
    memory::MemoryStore,
    progress::Progress,
    row::{Commit, Key, Page, Row, Scan, Txn},
};
use tokio::time;

/// Latency of the store, so that calls made together are in flight together.
const LATENCY: Duration = Duration::from_millis(4);

/// A store whose partitions with names starting with `away` fail while `down` is set, and whose partitions with names starting
/// with `silent` do not answer while `silent` is set.
#[derive(Default)]
struct FailingStore {
    inner: MemoryStore,
    down: Arc<AtomicBool>,
    silent: Arc<AtomicBool>,
    /// Additional latency of scans.
    scan_latency: Duration,
}

impl FailingStore {
    async fn answer(&self, key: &str) -> Result<(), StoreError> {
        time::sleep(LATENCY).await;
        while self.silent.load(Ordering::Relaxed) && key.contains("/silent") {
            time::sleep(LATENCY).await;
        }
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
            time::sleep(self.scan_latency).await;
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

fn partition_of(key: &str) -> &str {
    key.split('/').nth(1).unwrap_or_default()
}

/// Reads some keys concurrently and drops the other reads when one fails, as a takeover does.
async fn read_keys(store: &impl Store, partition: &str) -> Result<(), StoreError> {
    let reads = (0..5).map(|place| store.read(vec![Key(format!("table/{partition}/{place}"))]));
    try_join_all(reads).await.map(drop)
}

async fn fail_for_a_while(store: &impl Store, partition: &str) {
    for _ in 0..40 {
        time::sleep(Duration::from_millis(50)).await;
        let _ = read_keys(store, partition).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_probe_dropped_by_its_caller_still_closes_the_breaker() {
    let down = Arc::new(AtomicBool::new(true));
    let failing = FailingStore { down: Arc::clone(&down), ..FailingStore::default() };
    let store = GuardedStore::new(failing, 1000);
    fail_for_a_while(&store, "away").await;
    assert!(read_keys(&store, "away").await.is_err());
    down.store(false, Ordering::Relaxed);
    let begun = time::Instant::now();
    while read_keys(&store, "away").await.is_err() {
        assert!(begun.elapsed() < Duration::from_secs(4), "the breaker never closes");
        time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_unavailable_partition_does_not_block_the_others() {
    let down = Arc::new(AtomicBool::new(true));
    let failing = FailingStore { down, ..FailingStore::default() };
    let store = GuardedStore::new(failing, 1000).with_partitions(partition_of);
    for _ in 0..40 {
        time::sleep(Duration::from_millis(50)).await;
        assert!(read_keys(&store, "away").await.is_err());
        assert!(read_keys(&store, "here").await.is_ok(), "an available partition is blocked");
    }
}

#[tokio::test(start_paused = true)]
async fn a_partition_is_used_soon_after_a_long_outage() {
    let down = Arc::new(AtomicBool::new(true));
    let failing = FailingStore { down: Arc::clone(&down), ..FailingStore::default() };
    let max_pause = Duration::from_millis(400);
    let store = GuardedStore::new(failing, 1000)
        .with_partitions(partition_of)
        .with_max_probe_pause(max_pause);
    for _ in 0..20 {
        fail_for_a_while(&store, "away").await;
    }
    down.store(false, Ordering::Relaxed);
    let begun = time::Instant::now();
    while read_keys(&store, "away").await.is_err() {
        assert!(begun.elapsed() < Duration::from_millis(700), "{:?}", begun.elapsed());
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against scans that time out by the latency of other calls.
///
/// A process on a slow link that takes over a pool scans its hundreds of jobs, which takes a
/// second, while its other calls take some milliseconds. If the scan times out after six times
/// their latency it is retried for ever: no process of such a fleet can take over the pool, its
/// jobs make no progress, and the scans fill the link.
#[tokio::test(start_paused = true)]
async fn scans_do_not_time_out_by_the_latency_of_other_calls() {
    let slow =
        FailingStore { scan_latency: Duration::from_millis(1000), ..FailingStore::default() };
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

#[tokio::test(start_paused = true)]
async fn calls_to_a_partition_that_only_times_out_fail_at_once() {
    let silent = Arc::new(AtomicBool::new(true));
    let failing = FailingStore { silent: Arc::clone(&silent), ..FailingStore::default() };
    let store = GuardedStore::new(failing, 1000)
        .with_partitions(partition_of)
        .with_adaptive_timeouts()
        .with_max_probe_pause(Duration::from_millis(400));
    let mut waited = 0;
    for _ in 0..40 {
        let begun = time::Instant::now();
        assert!(store.read(vec![Key("table/silent/1".to_owned())]).await.is_err());
        waited += u32::from(begun.elapsed() > LATENCY);
        assert!(read_keys(&store, "here").await.is_ok(), "an available partition is blocked");
        time::sleep(Duration::from_millis(50)).await;
    }
    assert!(waited <= 20, "{waited} of 40 calls waited for an answer");
    silent.store(false, Ordering::Relaxed);
    let begun = time::Instant::now();
    while read_keys(&store, "silent").await.is_err() {
        assert!(begun.elapsed() < Duration::from_millis(700), "{:?}", begun.elapsed());
        time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_call_that_a_stalled_store_rejects_is_no_probe_of_its_partition() {
    let (down, silent) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(false)));
    let failing = FailingStore {
        down: Arc::clone(&down),
        silent: Arc::clone(&silent),
        ..FailingStore::default()
    };
    let store = Arc::new(GuardedStore::new(failing, 1000).with_partitions(partition_of));
    fail_for_a_while(&*store, "away").await;
    silent.store(true, Ordering::Relaxed);
    let unanswered = Arc::clone(&store);
    let key = Key("table/silent/1".to_owned());
    let unanswered = tokio::spawn(async move { unanswered.read(vec![key]).await });
    // The store is stalled from the first second on, and the next probe of the partition is due after two.
    fail_for_a_while(&*store, "away").await;
    fail_for_a_while(&*store, "away").await;
    silent.store(false, Ordering::Relaxed);
    down.store(false, Ordering::Relaxed);
    assert!(unanswered.await.unwrap().is_ok());
    let read = store.read(vec![Key("table/away/1".to_owned())]).await;
    assert!(read.is_ok(), "a probe is due: {read:?}");
}

#[tokio::test(start_paused = true)]
async fn scans_that_time_out_do_not_block_other_calls_of_their_partition() {
    let slow = FailingStore { scan_latency: Duration::from_secs(60), ..FailingStore::default() };
    let store =
        GuardedStore::new(slow, 1000).with_partitions(partition_of).with_adaptive_timeouts();
    let scan = || Scan { prefix: "job/p.0/".to_owned(), after: None, limit: u32::MAX };
    for _ in 0..10 {
        let (first, second, third) =
            tokio::join!(store.scan(scan()), store.scan(scan()), store.scan(scan()));
        assert!(first.is_err() && second.is_err() && third.is_err());
        let read = store.read(vec![Key("job/p.0/1".to_owned())]).await;
        assert!(read.is_ok(), "{read:?}");
    }
}

/// A store whose scans arrive in parts, each of which takes longer than the shortest adaptive timeout.
struct SlowLink {
    parts: u32,
    part_time: Duration,
}

impl Store for SlowLink {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        async move { Ok(vec![None; keys.len()]) }.boxed()
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        self.scan_with_progress(scan, Progress::new())
    }

    fn scan_with_progress(
        &self,
        scan: Scan,
        progress: Progress,
    ) -> BoxFuture<'_, Result<Page, StoreError>> {
        async move {
            for _ in 0..self.parts {
                progress.record_part();
                time::sleep(self.part_time).await;
            }
            MemoryStore::new().scan(scan).await
        }
        .boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        async move { MemoryStore::new().commit(txn).await }.boxed()
    }
}

/// Guards against scans that are given up while their rows arrive. On a link of 2 Mbit/s a shard takes longer than the longest
/// adaptive timeout, each attempt began at the first row, and other calls failed since the store counted as stalled.
#[tokio::test(start_paused = true)]
async fn scan_whose_answer_is_arriving_is_not_given_up_and_blocks_no_call() {
    let inner = SlowLink { parts: 12, part_time: Duration::from_millis(700) };
    let store = GuardedStore::new(inner, 1000).with_adaptive_timeouts();
    let scan = || Scan { prefix: "job/p.0/".to_owned(), after: None, limit: u32::MAX };
    let reads = async {
        for _ in 0..8 {
            time::sleep(Duration::from_millis(950)).await;
            assert!(store.read(vec![Key("job/p.0/1".to_owned())]).await.is_ok());
        }
    };
    let (scanned, ()) = tokio::join!(store.scan(scan()), reads);
    assert!(scanned.is_ok(), "{scanned:?}");
    // An answer that stops arriving is given up all the same.
    let inner = SlowLink { parts: 1, part_time: Duration::from_secs(60) };
    let store = GuardedStore::new(inner, 1000).with_adaptive_timeouts();
    let begun = time::Instant::now();
    assert!(store.scan(scan()).await.is_err());
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
}

/// A store with a partition whose transactions are slow and another one that is quick.
struct SlowPartition;

impl Store for SlowPartition {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        async move { Ok(vec![None; keys.len()]) }.boxed()
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        async move { MemoryStore::new().scan(scan).await }.boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        async move {
            time::sleep(Duration::from_millis(600)).await;
            MemoryStore::new().commit(txn).await
        }
        .boxed()
    }
}

#[tokio::test(start_paused = true)]
async fn slow_commit_beside_quick_reads_of_another_partition_succeeds_in_the_end() {
    let store = GuardedStore::new(SlowPartition, 1000)
        .with_partitions(partition_of)
        .with_adaptive_timeouts();
    let mut committed = false;
    for _ in 0..60 {
        store.read(vec![Key("table/small/1".to_owned())]).await.unwrap();
        let key = Key("table/large/1".to_owned());
        let txn = Txn::new().with_write(key, serde_json::Value::Null);
        committed |= store.commit(txn).await.is_ok();
        time::sleep(Duration::from_millis(150)).await;
    }
    assert!(committed, "the transaction never succeeds");
}

/// A link that a large answer fills while the flag is set.
struct SharedLink(Arc<AtomicBool>);

impl LinkUse for SharedLink {
    fn is_filled(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Guards against calls that are repeated while their answers wait behind a large answer on the process's own link, which then
/// carries each of them twice, and against a store that counts as down for that.
#[tokio::test(start_paused = true)]
async fn calls_that_wait_behind_a_large_answer_are_neither_repeated_nor_counted_as_failures() {
    let (silent, filled) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let failing = FailingStore { silent: Arc::clone(&silent), ..FailingStore::default() };
    let store = GuardedStore::new(failing, 1000)
        .with_partitions(partition_of)
        .with_adaptive_timeouts()
        .with_link(Arc::new(SharedLink(Arc::clone(&filled))));
    for _ in 0..10 {
        read_keys(&store, "silent").await.unwrap();
    }
    for passes_after in [1500, 4000] {
        for flag in [&silent, &filled] {
            flag.store(true, Ordering::Relaxed);
        }
        let pass = async {
            time::sleep(Duration::from_millis(passes_after)).await;
            for flag in [&silent, &filled] {
                flag.store(false, Ordering::Relaxed);
            }
        };
        let (answer, ()) = tokio::join!(read_keys(&store, "silent"), pass);
        assert_eq!(answer.is_ok(), passes_after < 2000, "{answer:?}");
        assert!(!store.is_down());
        read_keys(&store, "silent").await.unwrap();
    }
    silent.store(true, Ordering::Relaxed);
    let begun = time::Instant::now();
    assert!(read_keys(&store, "silent").await.is_err());
    assert!(begun.elapsed() < Duration::from_millis(1000), "the link is idle");
}
