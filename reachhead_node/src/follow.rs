//! Follows the platform's tables through change feeds and keeps the local view current.

mod leases;
mod operators;
mod workers;

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use rand::Rng;
use reachhead_jobs::{
    clock::Tick,
    ports::{Change, FeedError, FeedPage},
    slow_reads::{pause_after, skips_versions},
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::StoreError;
use reachhead_types::size::{Millis, Revision};
use tokio::time;

pub use self::{
    leases::{Leases, update_lease},
    operators::Operators,
    workers::Workers,
};
use crate::{
    node::Node,
    relay::{self, DatedPage},
};

/// How long a poll of either table waits in a process that relays them to others. Until a poll is
/// answered the state of the previous one counts, so relayed state is up to two waits old.
const RELAY_POLL_WAIT: Millis = Millis(600);

/// First pause after a failed call.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Maximum pause after failed calls.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1000);

/// The table of leases and members.
pub const LEASE_TABLE: &str = "lease";

/// A followed table and the handling of its rows.
pub trait Follower: Send + Sync {
    /// Returns the table's name.
    fn table(&self) -> &'static str;

    /// Returns how long a poll waits for changes.
    fn poll_wait(&self) -> Millis;

    /// Returns the pause before the next poll after one that returned changes.
    fn pause_after_changes(&self) -> Millis {
        Millis(0)
    }

    /// Returns whether this process needs the table now.
    fn is_needed(&self) -> bool {
        true
    }

    /// Replaces the state by all rows of the table.
    fn reset(&self, page: &FeedPage);

    /// Applies changes.
    fn apply(&self, changes: &[Change]);

    /// Records that the state matched the table at `at`, and at this revision.
    fn confirm_current(&self, at: Tick, revision: Revision);

    /// Returns whether rows may be so large that superseded versions of them are skipped on a narrow link.
    fn has_large_rows(&self) -> bool {
        false
    }

    /// Marks the state as stale, because the table is no longer followed.
    fn mark_stale(&self) {}
}

/// Follows a table for as long as the process runs.
pub fn follow(node: Arc<Node>, follower: Arc<dyn Follower>) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        let mut pause = MIN_RETRY_PAUSE;
        loop {
            if !follower.is_needed() {
                // The need is checked again after a notification as well as after the timeout.
                let _ = time::timeout(MIN_RETRY_PAUSE, node.pool_acquired.notified()).await;
                continue;
            }
            let result = relay::read_table(&node, follower.table()).await;
            node.record_store_result(&result);
            match result {
                Ok(answer) => {
                    take_table(&*follower, &answer);
                    pause = MIN_RETRY_PAUSE;
                    poll(&node, &*follower, answer.page).await;
                }
                Err(error) => {
                    log::info!("table={} read failed, retrying: {error}", follower.table());
                    time::sleep(jittered(pause)).await;
                    pause = (pause * 2).min(MAX_RETRY_PAUSE);
                }
            }
            // Also after a failed read: the state before it is not followed either.
            if !follower.is_needed() {
                follower.mark_stale();
            }
        }
    })
}

/// Applies a read of a whole table.
fn take_table(follower: &dyn Follower, answer: &DatedPage) {
    let (table, page) = (follower.table(), &answer.page);
    emit(
        Event::TableRead,
        format_args!("table={table} rows={} revision={}", page.changes.len(), page.revision),
    );
    follower.reset(page);
    follower.confirm_current(answer.at, page.revision);
}

/// Reads the whole operators' table with pauses, until it has not changed from one read to the next or
/// arrives quickly, and returns the revision from which its feed is followed again. No other read of the table runs meanwhile:
/// each would carry the same rows.
async fn skip_versions(
    node: &Node,
    follower: &dyn Follower,
    last: DatedPage,
) -> Result<Revision, StoreError> {
    let _catch_up = node.config_reads.catch_up();
    let _permit = node.config_reads.begin().await;
    let (mut arrival, mut revision) = (last.arrival, last.page.revision);
    let mut newest = newest_row(&last.page);
    loop {
        time::sleep(pause_after(arrival).duration()).await;
        let answer = relay::read_table_with_permit(node, follower.table()).await?;
        take_table(follower, &answer);
        (arrival, revision) = (answer.arrival, revision.max(answer.page.revision));
        let known = newest.max(newest_row(&answer.page));
        if known == newest || !skips_versions(arrival) {
            return Ok(revision);
        }
        newest = known;
    }
}

/// Returns the revision of the row that changed last.
fn newest_row(page: &FeedPage) -> Revision {
    page.changes.iter().map(|change| change.row.revision).max().unwrap_or_default()
}

/// Polls for changes until the table has to be read in full or is no longer needed.
async fn poll(node: &Node, follower: &dyn Follower, start: FeedPage) {
    let mut revision = start.revision;
    let mut pause = MIN_RETRY_PAUSE;
    let mut poll_wait = follower.poll_wait();
    while follower.is_needed() {
        let result = relay::poll_changes(node, follower.table(), revision, poll_wait).await;
        // After a failure the next poll does not wait: one that waits would report the store's
        // return only when its wait is over.
        poll_wait = if result.is_ok() { follower.poll_wait() } else { Millis(0) };
        match result {
            Ok(answer) => {
                node.record_store_result(&Ok(()));
                revision = revision.max(answer.page.revision);
                let changed = !answer.page.changes.is_empty();
                if changed {
                    follower.apply(&answer.page.changes);
                }
                follower.confirm_current(answer.at, revision);
                pause = MIN_RETRY_PAUSE;
                if changed && follower.has_large_rows() && skips_versions(answer.arrival) {
                    match skip_versions(node, follower, answer).await {
                        Ok(read) => revision = revision.max(read),
                        Err(error) => {
                            let table = follower.table();
                            log::info!("table={table} read failed, its feed goes on: {error}");
                            node.record_store_result::<()>(&Err(error));
                        }
                    }
                } else if changed {
                    time::sleep(follower.pause_after_changes().duration()).await;
                }
            }
            Err(FeedError::Forgotten) => return,
            Err(FeedError::Store(error)) => {
                node.record_store_result::<()>(&Err(error.clone()));
                log::info!("table={} poll failed, retrying: {error}", follower.table());
                if follower.table() == LEASE_TABLE
                    && let Some(page) = relay::leases_from_member(node).await
                {
                    follower.apply(&page.changes);
                }
                time::sleep(jittered(pause)).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// Spreads the retries of many processes over time.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
