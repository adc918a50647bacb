//! Several reads of a followed table can be under way at once, so an older one may be applied after
//! a newer one.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures::future::{BoxFuture, FutureExt};
use reachhead_jobs::{
    clock::Tick,
    ports::{Change, FeedError, FeedPage, TableFeed},
    record::{MemberRecord, member_key, value},
};
use reachhead_store::{
    StoreError,
    progress::Progress,
    row::{Key, Row},
};
use reachhead_types::{
    id::NodeName,
    size::{Millis, Revision, Strength, Version},
};
use serde_json::{Value, json};
use tokio::time::{self, Instant};

use super::{Follower, Leases, Operators, follow};
use crate::{
    config_reads::{read_from_store, run_to_end},
    node::Node,
    tests::{broken_node, idle_node},
};

/// Nothing is read from the store.
const UNUSED_STORE: &str = "127.0.0.1:1";

fn written(key: Key, value: Value, revision: u64) -> Change {
    Change { row: Row { key, value, revision: Revision(revision) }, deleted: false }
}

fn deleted(key: Key, revision: u64) -> Change {
    Change { row: Row { key, value: Value::Null, revision: Revision(revision) }, deleted: true }
}

fn member(port: u16, revision: u64) -> Change {
    let record = MemberRecord {
        address: format!("127.0.0.1:{port}").parse().unwrap(),
        strength: Strength(10),
    };
    written(member_key(&other()), value(&record), revision)
}

fn other() -> NodeName {
    "node-2".parse().unwrap()
}

fn member_port(node: &Node) -> Option<u16> {
    node.view().members.get(&other()).map(|member| member.record.address.port())
}

fn drain(revision: u64) -> Change {
    written(Key("op//evacuate/z1".to_owned()), json!({}), revision)
}

fn configuration(version: u64, revision: u64) -> Change {
    let config = json!({ "version": version, "routes": [], "services": [],
        "limits": { "maxHeaderBytes": 1, "maxBodyBytes": 1, "headerTimeoutMs": 1,
            "idleTimeoutMs": 1 } });
    written(Key("op//config".to_owned()), config, revision)
}

#[tokio::test]
async fn older_read_of_a_member_does_not_replace_a_newer_one() {
    let node = idle_node::new(UNUSED_STORE);
    let leases = Leases(Arc::clone(&node));
    leases.apply(&[member(1, 15)]);
    leases.apply(&[member(2, 20)]);
    leases.apply(&[member(1, 15)]);
    assert_eq!(member_port(&node), Some(2));
    leases.apply(&[deleted(member_key(&other()), 25)]);
    leases.apply(&[member(2, 20)]);
    assert_eq!(member_port(&node), None, "it left at a later revision");
    leases.apply(&[member(3, 30)]);
    assert_eq!(member_port(&node), Some(3));
}

#[tokio::test]
async fn older_read_of_the_whole_table_does_not_undo_later_changes() {
    let node = idle_node::new(UNUSED_STORE);
    let leases = Leases(Arc::clone(&node));
    leases.apply(&[member(2, 20)]);
    leases.reset(&FeedPage { changes: vec![member(1, 15)], revision: Revision(18) });
    assert_eq!(member_port(&node), Some(2));
    leases.reset(&FeedPage { changes: Vec::new(), revision: Revision(18) });
    assert_eq!(member_port(&node), Some(2), "it was written after that read");
    leases.reset(&FeedPage { changes: Vec::new(), revision: Revision(21) });
    assert_eq!(member_port(&node), None);
}

#[tokio::test]
async fn older_read_of_the_operators_table_does_not_restore_an_ended_drain() {
    let node = idle_node::new(UNUSED_STORE);
    let operators = Operators(Arc::clone(&node));
    let drained = || !node.view().drained.is_empty();
    operators.apply(&[drain(6)]);
    assert!(drained());
    operators.apply(&[deleted(drain(7).row.key, 7)]);
    operators.apply(&[drain(6)]);
    assert!(!drained(), "no later page of the feed would end it");
    operators.apply(&[drain(9)]);
    operators.reset(&FeedPage { changes: vec![drain(6)], revision: Revision(6) });
    operators.reset(&FeedPage { changes: Vec::new(), revision: Revision(8) });
    assert!(drained(), "it began after these reads");
    operators.reset(&FeedPage { changes: Vec::new(), revision: Revision(10) });
    assert!(!drained());
}

#[tokio::test]
async fn configuration_never_goes_back_whatever_the_order_of_reads() {
    let node = idle_node::new(UNUSED_STORE);
    let operators = Operators(Arc::clone(&node));
    let version = || node.view().config.as_ref().map(|config| config.version.0);
    operators.apply(&[configuration(9, 20)]);
    operators.apply(&[configuration(4, 10)]);
    operators.reset(&FeedPage { changes: vec![configuration(4, 10)], revision: Revision(12) });
    operators.confirm_current(Tick(5), Revision(12));
    assert_eq!(version(), Some(9));
    assert_eq!(node.view().config_row, Revision(20));
}

/// Time that a version of the configuration takes on the link.
const VERSION_TIME: Duration = Duration::from_millis(600);

/// Time for which a caller waits for a refresh.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(300);

/// A feed of the configuration over a narrow link, which carries one version after the other.
#[derive(Default)]
struct NarrowFeed {
    newest: AtomicU64,
    /// The largest number of versions in an answer.
    most_rows: AtomicUsize,
}

impl NarrowFeed {
    async fn carry(
        &self,
        versions: std::ops::RangeInclusive<u64>,
        progress: &Progress,
    ) -> FeedPage {
        let revision = Revision(*versions.end());
        let changes: Vec<Change> =
            versions.map(|version| configuration(version, version)).collect();
        self.most_rows.fetch_max(changes.len(), Ordering::Relaxed);
        progress.record_part();
        time::sleep(VERSION_TIME * changes.len() as u32).await;
        FeedPage { changes, revision }
    }
}

impl TableFeed for NarrowFeed {
    fn table(&self, _: &'static str) -> BoxFuture<'_, Result<FeedPage, StoreError>> {
        async move {
            let newest = self.newest.load(Ordering::Relaxed);
            Ok(self.carry(newest..=newest, &Progress::new()).await)
        }
        .boxed()
    }

    fn changes(
        &self,
        table: &'static str,
        after: Revision,
        wait: Millis,
    ) -> BoxFuture<'_, Result<FeedPage, FeedError>> {
        self.changes_with_progress(table, after, wait, Progress::new())
    }

    fn changes_with_progress(
        &self,
        _: &'static str,
        after: Revision,
        wait: Millis,
        progress: Progress,
    ) -> BoxFuture<'_, Result<FeedPage, FeedError>> {
        async move {
            let end = Instant::now() + wait.duration();
            while self.newest.load(Ordering::Relaxed) <= after.0 {
                if Instant::now() >= end {
                    return Ok(FeedPage { changes: Vec::new(), revision: after });
                }
                time::sleep(Duration::from_millis(5)).await;
            }
            let newest = self.newest.load(Ordering::Relaxed);
            Ok(self.carry(after.0 + 1..=newest, &progress).await)
        }
        .boxed()
    }
}

/// Guards against a process on a narrow link that reads every version of a configuration which changes quickly: it
/// knew the last one many seconds late, and nothing else passed meanwhile.
#[tokio::test(start_paused = true)]
async fn superseded_versions_of_a_large_configuration_are_skipped_on_a_narrow_link() {
    const VERSIONS: u64 = 10;
    let feed = Arc::new(NarrowFeed { newest: AtomicU64::new(1), ..NarrowFeed::default() });
    let (mut node, _) = broken_node::node();
    Arc::get_mut(&mut node).unwrap().services.feed = Arc::clone(&feed) as _;
    let node: Arc<Node> = node;
    let follower = Arc::new(Operators(Arc::clone(&node)));
    let followed = tokio::spawn(follow(Arc::clone(&node), follower));
    let refreshing = Arc::clone(&node);
    let refreshed = tokio::spawn(async move {
        loop {
            let read = run_to_end(&refreshing, |node| read_from_store(node).boxed());
            let _ = time::timeout(REFRESH_TIMEOUT, read).await;
            time::sleep(Duration::from_millis(20)).await;
        }
    });
    let version = || node.view().config.as_ref().map(|config| config.version);
    while version().is_none() {
        time::sleep(Duration::from_millis(5)).await;
    }
    for newest in 2..=VERSIONS {
        feed.newest.store(newest, Ordering::Relaxed);
        time::sleep(Duration::from_millis(150)).await;
    }
    let published = Instant::now();
    while version() != Some(Version(VERSIONS)) {
        assert!(published.elapsed() < 3 * VERSION_TIME, "only {:?} is known", version());
        time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(feed.most_rows.load(Ordering::Relaxed), 1, "an answer has superseded versions");
    followed.abort();
    refreshed.abort();
}
