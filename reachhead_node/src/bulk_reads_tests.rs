use std::time::Duration;

use reachhead_ops::runtime;
use tokio::time;

use super::*;

/// Takeovers read all shards of their pools at once; the pages filled a narrow link for seconds, and
/// the process was taken for dead.
#[test]
fn pages_of_a_takeover_do_not_fill_a_narrow_link_together() {
    runtime::current_thread().unwrap().block_on(async {
        let reads = BulkReads::new(ByteRate(250_000));
        let first = reads.acquire(reads.capacity()).await;
        let second = time::timeout(Duration::from_millis(20), reads.acquire(1)).await;
        assert!(second.is_err(), "the first page occupies the link");
        drop(first);
        assert!(reads.acquire(1).await.is_some());
    });
}

#[test]
fn a_page_larger_than_the_limit_is_read_alone() {
    runtime::current_thread().unwrap().block_on(async {
        let reads = BulkReads::new(ByteRate(250_000));
        let large = time::timeout(Duration::from_secs(1), reads.acquire(500)).await;
        assert!(large.is_ok_and(|permit| permit.is_some()));
    });
}

#[test]
fn all_shards_are_read_at_once_on_a_fast_link() {
    runtime::current_thread().unwrap().block_on(async {
        let reads = BulkReads::new(ByteRate(125_000_000));
        let pages = [reads.acquire(500).await, reads.acquire(500).await, reads.acquire(500).await];
        let fourth = time::timeout(Duration::from_millis(20), reads.acquire(500)).await;
        assert!(fourth.is_ok() && pages.iter().all(Option::is_some));
    });
}
