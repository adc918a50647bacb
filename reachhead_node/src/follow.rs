//! Follows the platform's tables through change feeds and keeps the local view current.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use rand::Rng;
use reachhead_jobs::{
    clock::Tick,
    ports::{Change, FeedError, FeedPage, OperatorRow},
    record::{FENCED_ROW, LeaseRecord, MEMBER_PART, MemberRecord, OWNER_ROW, SETTLED_ROW},
    registry::WorkerChange,
    slow_reads::{pause_after, skips_versions},
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::{
    StoreError,
    row::{Key, Row},
};
use reachhead_types::{
    id::{NodeName, PoolName, ZoneName},
    size::{Millis, Revision},
};
use tokio::time;

use crate::{
    node::Node,
    registry,
    relay::{self, DatedPage},
    view::MemberView,
};

/// How long a poll of the operators' table waits for changes. The configuration in force is
/// confirmed to be at most this old, which has to be well below the time in which a version must
/// take effect.
const OPERATOR_POLL_WAIT: Millis = Millis(1000);

/// How long a poll of the leases waits for changes; each answer confirms an owner's lease.
const LEASE_POLL_WAIT: Millis = Millis(1500);

/// How long a poll of the leases waits in a process that owns nothing and does not watch owners,
/// which needs the leases only to find owners.
const IDLE_LEASE_POLL_WAIT: Millis = Millis(6000);

/// Pause after changes of the leases in a process that is no member and owns nothing: at a first
/// start dozens of leases change one after the other, and each change would answer the polls of all
/// processes. It is well below the interval at which processes join, within which all have to learn
/// who has joined.
const NON_MEMBER_LEASE_PAUSE: Millis = Millis(60);

/// How long a poll of either table waits in a process that relays them to others. Until a poll is
/// answered the state of the previous one counts, so relayed state is up to two waits old.
const RELAY_POLL_WAIT: Millis = Millis(600);

/// How long a poll of the workers waits for changes. A draining worker must soon get no more tasks,
/// also when the connection has gone silent.
const WORKER_POLL_WAIT: Millis = Millis(1000);

/// Pause between two polls of the workers. On large deployments some worker changes all the time,
/// and each change would cost each owner a call.
const WORKER_POLL_PAUSE: Millis = Millis(80);

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

/// Follows the operators' table.
pub struct Operators(pub Arc<Node>);

impl Operators {
    /// Applies a change of a row.
    fn take(&self, change: &Change) {
        let node = &self.0;
        if change.deleted {
            if let Some(zone) = node.services.row_format.drained_zone(&change.row.key) {
                self.drain(zone, false);
            }
            return;
        }
        match node.services.row_format.operator_row(&change.row) {
            Ok(OperatorRow::Configuration(config)) => {
                let (version, revision) = (config.version, change.row.revision);
                if node.view().update_config(config, revision) {
                    node.peers.set_config_version(version);
                    emit(
                        Event::ConfigInForce,
                        format_args!("version={version} revision={revision}"),
                    );
                }
            }
            Ok(OperatorRow::Wave(order)) => {
                node.view().waves.insert(order.name.clone(), order);
            }
            Ok(OperatorRow::ZoneDrain(zone)) => self.drain(zone, true),
            Ok(OperatorRow::Other) => {}
            Err(error) => emit(Event::RowRefused, error),
        }
    }
}

impl Operators {
    fn take_all(&self, changes: &[Change]) {
        for change in changes {
            self.take(change);
        }
    }

    /// Records whether a zone is drained.
    fn drain(&self, zone: ZoneName, drained: bool) {
        let mut view = self.0.view();
        let changed = match drained {
            true => view.drained.insert(zone.clone()),
            false => view.drained.remove(&zone),
        };
        if changed {
            emit(Event::ZoneDrained, format_args!("zone={zone} drained={drained}"));
        }
    }
}

impl Follower for Operators {
    fn table(&self) -> &'static str {
        self.0.services.row_format.operator_table()
    }

    fn poll_wait(&self) -> Millis {
        if relay::allows_relayed_age(&self.0) { RELAY_POLL_WAIT } else { OPERATOR_POLL_WAIT }
    }

    fn reset(&self, page: &FeedPage) {
        let changes = self.0.view().operator_rows.take_table(page);
        self.take_all(&changes);
    }

    fn apply(&self, changes: &[Change]) {
        let newer = self.0.view().operator_rows.take_newer(changes);
        self.take_all(&newer);
    }

    fn has_large_rows(&self) -> bool {
        true
    }

    fn confirm_current(&self, at: Tick, revision: Revision) {
        let mut view = self.0.view();
        view.config_current_at = view.config_current_at.max(at);
        view.config_revision = view.config_revision.max(revision);
    }
}

/// Stores a lease if it is newer, and logs a change of its owner, so that the logs of all processes
/// show how long an ownership change took to reach them.
pub fn update_lease(
    node: &Node,
    pool: PoolName,
    record: LeaseRecord,
    revision: Revision,
    now: Tick,
) {
    let owner = record.owner.clone();
    if node.view().update_lease(pool.clone(), record, revision, now) {
        let owner = owner.as_ref().map_or("nobody", NodeName::as_str);
        emit(Event::OwnerKnown, format_args!("pool={pool} owner={owner} token={revision}"));
    }
}

/// Follows the table of leases and members.
pub struct Leases(pub Arc<Node>);

impl Leases {
    /// Applies a change of a row.
    fn take(&self, change: &Change, now: Tick) {
        match parse_lease_key(&change.row.key) {
            Some(LeaseKey::Member(node)) => self.update_member(node, change),
            Some(LeaseKey::Pool(pool)) if !change.deleted => {
                match change.row.parse::<LeaseRecord>() {
                    Ok(record) => update_lease(&self.0, pool, record, change.row.revision, now),
                    Err(error) => emit(Event::RowRefused, error),
                }
            }
            Some(LeaseKey::Settled(pool)) if !change.deleted => match change.row.parse() {
                Ok(record) => _ = self.0.view().settled.insert(pool, record),
                Err(error) => emit(Event::RowRefused, error),
            },
            Some(LeaseKey::Fenced(pool)) if !change.deleted => match change.row.parse() {
                Ok(record) => {
                    self.0.view().update_fenced(pool, record, change.row.revision, now);
                }
                Err(error) => emit(Event::RowRefused, error),
            },
            _ => {}
        }
    }

    fn take_all(&self, changes: &[Change], now: Tick) {
        for change in changes {
            self.take(change, now);
        }
    }

    fn update_member(&self, node: NodeName, change: &Change) {
        if change.deleted {
            self.0.view().members.remove(&node);
            return;
        }
        match change.row.parse::<MemberRecord>() {
            Ok(record) => {
                let revision = change.row.revision;
                self.0.view().members.insert(node, MemberView { record, revision });
            }
            Err(error) => emit(Event::RowRefused, error),
        }
    }
}

impl Follower for Leases {
    fn table(&self) -> &'static str {
        LEASE_TABLE
    }

    fn poll_wait(&self) -> Millis {
        if self.0.is_idle() {
            IDLE_LEASE_POLL_WAIT
        } else if relay::allows_relayed_age(&self.0) {
            RELAY_POLL_WAIT
        } else {
            LEASE_POLL_WAIT
        }
    }

    fn pause_after_changes(&self) -> Millis {
        let node = &self.0;
        let member = node.view().members.contains_key(&node.settings.node);
        if node.owns_any() || member { Millis(0) } else { NON_MEMBER_LEASE_PAUSE }
    }

    fn reset(&self, page: &FeedPage) {
        let now = self.0.now();
        let changes = {
            let mut view = self.0.view();
            let listed = |change: &Change| {
                matches!(parse_lease_key(&change.row.key), Some(LeaseKey::Member(_)))
            };
            if view.leases_first_read_at.is_none() {
                view.started_without_members = !page.changes.iter().any(listed);
            }
            view.leases_first_read_at.get_or_insert(now);
            view.lease_rows.take_table(page)
        };
        self.take_all(&changes, now);
    }

    fn apply(&self, changes: &[Change]) {
        let newer = self.0.view().lease_rows.take_newer(changes);
        self.take_all(&newer, self.0.now());
    }

    fn confirm_current(&self, at: Tick, revision: Revision) {
        let mut view = self.0.view();
        view.leases_revision = view.leases_revision.max(revision);
        view.leases_current_at = view.leases_current_at.max(at);
    }
}

enum LeaseKey {
    Member(NodeName),
    Pool(PoolName),
    Settled(PoolName),
    Fenced(PoolName),
}

fn parse_lease_key(key: &Key) -> Option<LeaseKey> {
    let mut parts = key.0.splitn(3, '/').skip(1);
    let (part, rest) = (parts.next()?, parts.next()?);
    if part == MEMBER_PART {
        return rest.parse().ok().map(LeaseKey::Member);
    }
    let kind = match rest {
        OWNER_ROW => LeaseKey::Pool,
        SETTLED_ROW => LeaseKey::Settled,
        FENCED_ROW => LeaseKey::Fenced,
        // A later release may write other rows.
        _ => return None,
    };
    part.parse().ok().map(kind)
}

/// Follows the table of registered workers, which only owners need.
pub struct Workers(pub Arc<Node>);

impl Workers {
    /// Applies a worker's row; returns whether the worker changed. Most rows are only heartbeats.
    fn take(&self, row: &Row, deleted: bool) -> bool {
        let node = &self.0;
        if deleted {
            return self.remove_worker(row);
        }
        match node.services.row_format.worker_row(row) {
            Ok(info) => {
                let previous = node.view().workers.insert(info.id.clone(), info.clone());
                let changed = previous.as_ref() != Some(&info);
                if changed {
                    let id = info.id.clone();
                    node.registry.record(WorkerChange { id, info: Some(info) });
                }
                changed
            }
            Err(error) => {
                // An unreadable row also invalidates the previous one, since it names no usable
                // worker.
                emit(Event::RowRefused, error);
                self.remove_worker(row)
            }
        }
    }

    fn remove_worker(&self, row: &Row) -> bool {
        let Some(id) = self.0.services.row_format.worker_of(&row.key) else {
            return false;
        };
        let known = self.0.view().workers.remove(&id).is_some();
        if known {
            self.0.registry.record(WorkerChange { id, info: None });
        }
        known
    }
}

impl Follower for Workers {
    fn table(&self) -> &'static str {
        self.0.services.row_format.worker_table()
    }

    fn poll_wait(&self) -> Millis {
        WORKER_POLL_WAIT
    }

    fn pause_after_changes(&self) -> Millis {
        WORKER_POLL_PAUSE
    }

    fn is_needed(&self) -> bool {
        self.0.owns_any() && registry::follows_store(&self.0)
    }

    fn reset(&self, page: &FeedPage) {
        {
            let mut view = self.0.view();
            view.workers.clear();
            view.workers_loaded = true;
            view.follows_workers = true;
        }
        self.apply(&page.changes);
        // Workers that were registered before may be gone.
        self.0.registry.reset();
        self.0.workers_changed.send_modify(|count| *count += 1);
    }

    fn apply(&self, changes: &[Change]) {
        let mut changed = false;
        for change in changes {
            changed |= self.take(&change.row, change.deleted);
        }
        if changed {
            self.0.workers_changed.send_modify(|count| *count += 1);
        }
    }

    fn confirm_current(&self, at: Tick, _revision: Revision) {
        let mut view = self.0.view();
        view.workers_current_at = view.workers_current_at.max(at);
    }

    fn mark_stale(&self) {
        let mut view = self.0.view();
        // Otherwise the workers are those that the fleet owner sends.
        if view.follows_workers {
            view.workers_loaded = false;
            view.follows_workers = false;
        }
    }
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod tests;
