use std::{sync::Arc, time::Duration};

use tokio::{task::JoinHandle, time};

use super::*;
use crate::tests::paused_runtime;

/// Takeovers read all shards of their pools at once; the pages filled a narrow link for seconds, and
/// the process was taken for dead.
#[test]
fn pages_of_a_takeover_do_not_fill_a_narrow_link_together() {
    paused_runtime().block_on(async {
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
    paused_runtime().block_on(async {
        let reads = BulkReads::new(ByteRate(250_000));
        let large = time::timeout(Duration::from_secs(1), reads.acquire(500)).await;
        assert!(large.is_ok_and(|permit| permit.is_some()));
    });
}

#[test]
fn all_shards_are_read_at_once_on_a_fast_link() {
    paused_runtime().block_on(async {
        let reads = BulkReads::new(ByteRate(125_000_000));
        let pages = [reads.acquire(500).await, reads.acquire(500).await, reads.acquire(500).await];
        let fourth = time::timeout(Duration::from_millis(20), reads.acquire(500)).await;
        assert!(fourth.is_ok() && pages.iter().all(Option::is_some));
    });
}

/// Guards against jobs of one pool that fill a narrow link while another pool's roster waits behind
/// them: the leases of its workers ended.
#[test]
fn a_roster_goes_before_the_waiting_pages_of_jobs() {
    paused_runtime().block_on(async {
        let reads = Arc::new(BulkReads::new(ByteRate(250_000)));
        let in_flight = reads.acquire(reads.capacity()).await;
        let waiting: Vec<_> = (0..20)
            .map(|_| {
                let reads = Arc::clone(&reads);
                tokio::spawn(async move { reads.acquire(6).await.map(drop) })
            })
            .collect();
        time::sleep(Duration::from_millis(20)).await;
        let roster = reads.announce();
        drop(in_flight);
        time::sleep(Duration::from_millis(50)).await;
        let started = waiting.iter().filter(|page| page.is_finished()).count();
        assert!(started <= 1, "{started} pages went before the roster");
        let page = time::timeout(Duration::from_millis(50), reads.acquire_urgent(60)).await;
        assert!(page.is_ok_and(|permit| permit.is_some()));
        time::sleep(Duration::from_millis(700)).await;
        assert!(waiting.iter().any(JoinHandle::is_finished), "a roster holds pages back for ever");
        drop(roster);
        for page in waiting {
            assert!(time::timeout(Duration::from_millis(200), page).await.is_ok());
        }
    });
}
