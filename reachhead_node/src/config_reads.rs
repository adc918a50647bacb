//! Reads of the operators' table, one at a time, each of which goes on until it has ended.
//!
//! On a narrow link the table takes seconds, and callers that wait for the newest configuration
//! give up after 300 ms. If each read ended with its caller, and each call began another one, they
//! would fill the link and none would ever end (docs/design/large-reads.md).

use std::{
    collections::BTreeSet,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use futures::future::{self, BoxFuture, Either};
use reachhead_jobs::{
    clock::Tick,
    ports::{FeedError, FeedPage},
    slow_reads::SLOW_ARRIVAL,
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::{StoreError, progress::Progress};
use reachhead_types::size::{Millis, Revision};
use tokio::sync::{Mutex, OwnedMutexGuard, oneshot};

use crate::{
    follow::{Follower, Operators},
    node::Node,
    relay,
};

/// The reads of the operators' table.
#[derive(Debug, Default)]
pub struct ConfigReads {
    running: Arc<Mutex<()>>,
    /// The follower reads the whole table until it has caught up.
    catching_up: AtomicBool,
}

/// Shows that the follower reads the whole table until it has caught up; ends when it is dropped.
pub struct CatchUp<'a>(&'a ConfigReads);

impl Drop for CatchUp<'_> {
    fn drop(&mut self) {
        self.0.catching_up.store(false, Ordering::Relaxed);
    }
}

impl ConfigReads {
    /// Waits until no read runs; the next one begins when the permit is dropped.
    pub async fn begin(&self) -> OwnedMutexGuard<()> {
        Arc::clone(&self.running).lock_owned().await
    }

    /// Begins to read the whole table until it has caught up. Other reads that wait for the permit end
    /// without one: they would read superseded versions first.
    pub fn catch_up(&self) -> CatchUp<'_> {
        self.catching_up.store(true, Ordering::Relaxed);
        CatchUp(self)
    }

    /// Returns whether the follower reads the whole table until it has caught up.
    pub fn is_catching_up(&self) -> bool {
        self.catching_up.load(Ordering::Relaxed)
    }

    /// Returns a permit if no read runs.
    pub fn try_begin(&self) -> Option<OwnedMutexGuard<()>> {
        Arc::clone(&self.running).try_lock_owned().ok()
    }
}

/// Waits until no other read runs, then runs `read` to its end, also if the caller stops waiting.
/// Successes that come too late for the caller count for the calls after it.
///
/// # Errors
///
/// Those of `read`.
pub async fn run_to_end<T: Send + 'static>(
    node: &Arc<Node>,
    read: impl FnOnce(Arc<Node>) -> BoxFuture<'static, Result<T, String>>,
) -> Result<T, String> {
    let permit = node.config_reads.begin().await;
    run_with(node, permit, read).await
}

/// As [`run_to_end`], with a permit.
///
/// # Errors
///
/// Those of `read`.
pub async fn run_with<T: Send + 'static>(
    node: &Arc<Node>,
    permit: OwnedMutexGuard<()>,
    read: impl FnOnce(Arc<Node>) -> BoxFuture<'static, Result<T, String>>,
) -> Result<T, String> {
    let (sender, receiver) = oneshot::channel();
    let read = read(Arc::clone(node));
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let started = node.now();
        let result = read.await;
        drop(permit);
        if let Err(Ok(_)) = sender.send(result) {
            node.admission.record_success(started).await;
        }
    });
    receiver.await.map_err(|error| error.to_string())?
}

/// Applies the changes that a member knows of, if this process reads tables from members.
///
/// # Errors
///
/// If no member knows the configuration.
pub async fn read_from_member(node: Arc<Node>) -> Result<(), String> {
    let operators = Operators(Arc::clone(&node));
    let known = node.view().config_revision;
    let dated = relay::latest_from_member(&node, operators.table(), known).await;
    let dated = dated.ok_or_else(|| "no member knows the configuration".to_owned())?;
    operators.apply(&dated.page.changes);
    operators.confirm_current(dated.at, dated.page.revision);
    Ok(())
}

/// Applies changes from the feed. The whole configuration can be large and a host's link small, so
/// it is not read in full for each call with an unknown route.
///
/// # Errors
///
/// The text of any [`StoreError`], or that the follower catches up.
pub async fn read_from_store(node: Arc<Node>) -> Result<(), String> {
    if node.config_reads.is_catching_up() {
        return Err("the whole table is read".to_owned());
    }
    let known = node.view().config_revision;
    read_changes(node, known).await.map(drop)
}

/// Applies and returns the operators' changes after `known`, which this process knows at least.
///
/// # Errors
///
/// The text of any [`StoreError`].
pub async fn read_changes(node: Arc<Node>, known: Revision) -> Result<FeedPage, String> {
    let operators = Operators(Arc::clone(&node));
    let sent = node.now();
    let page = operator_changes(&node, operators.table(), known).await;
    node.record_store_result(&page);
    let page = page.map_err(|error| error.to_string())?;
    log_arrival(&node, "refresh", &page, sent);
    operators.apply(&page.changes);
    operators.confirm_current(sent, page.revision);
    Ok(page)
}

/// Returns the operators' changes after `revision`, or the whole table if the store no longer keeps
/// the changes.
///
/// # Errors
///
/// Any [`StoreError`].
async fn operator_changes(
    node: &Node,
    table: &'static str,
    revision: Revision,
) -> Result<FeedPage, StoreError> {
    match node.services.feed.changes(table, revision, Millis(0)).await {
        Ok(page) => Ok(page),
        Err(FeedError::Forgotten) => node.services.feed.table(table).await,
        Err(FeedError::Store(error)) => Err(error),
    }
}

/// Waits for changes of the operators' table, and returns them with the time that they took to arrive.
/// As soon as an answer begins to arrive, no other read begins, since it would carry the same changes
/// over the same link.
///
/// # Errors
///
/// Any [`FeedError`].
pub async fn poll_operators(
    node: &Node,
    table: &'static str,
    revision: Revision,
    wait: Millis,
) -> Result<(FeedPage, Millis), FeedError> {
    let progress = Progress::new();
    let mut parts = progress.parts();
    let mut poll = node.services.feed.changes_with_progress(table, revision, wait, progress);
    let first_part = pin!(parts.changed());
    let has_begun = match future::select(&mut poll, first_part).await {
        Either::Left((result, _)) => return Ok((result?, Millis(0))),
        Either::Right((part, _)) => part.is_ok(),
    };
    // A read that runs already goes on beside it.
    let _permit = has_begun.then(|| node.config_reads.try_begin()).flatten();
    let began = node.now();
    let page = poll.await?;
    let arrival = log_arrival(node, "poll", &page, began);
    Ok((page, arrival))
}

/// Returns how long an answer with rows of the operators' table took, which began to arrive at `began` or
/// was requested then, and logs it if that was long.
pub fn log_arrival(node: &Node, read: &str, page: &FeedPage, began: Tick) -> Millis {
    let arrival = node.now().since(began);
    if arrival >= SLOW_ARRIVAL {
        emit(
            Event::ConfigReadSlow,
            format_args!(
                "read={read} rows={} superseded={} arrival={arrival}ms revision={}",
                page.changes.len(),
                superseded(page),
                page.revision
            ),
        );
    }
    arrival
}

/// Returns how many changes of a page are replaced by later ones of the same rows.
fn superseded(page: &FeedPage) -> usize {
    let keys: BTreeSet<_> = page.changes.iter().map(|change| &change.row.key).collect();
    page.changes.len() - keys.len()
}
