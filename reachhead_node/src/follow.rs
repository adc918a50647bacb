//! Following the platform's tables.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use rand::Rng;
use reachhead_jobs::{
    clock::Tick,
    ports::{Change, FeedError, FeedPage, OperatorRow},
    record::{LeaseRecord, MEMBER_PART, MemberRecord},
    registry::WorkerChange,
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::row::{Key, Row};
use reachhead_types::{
    id::{NodeName, PoolName, ZoneName},
    size::{Millis, Revision},
};
use tokio::time;

use crate::{
    node::Node,
    registry,
    relay::{self, Followed},
    view::MemberView,
};

/// How long a poll of the operators' table waits. The configuration in force is known to be at most
/// this old, which has to be well below the time in which a version must be in force.
const OPERATOR_WAIT: Millis = Millis(1000);

/// How long a poll of the leases waits; each answer tells an owner that it still is in charge.
const LEASE_WAIT: Millis = Millis(1500);

/// How long it waits in a process that owns nothing and watches nobody, which needs the leases only to know where owners are.
const IDLE_LEASE_WAIT: Millis = Millis(6000);

/// Pause after changes of the leases in a process that is no member and owns nothing: at a first start dozens change one after the
/// other, and each would answer the polls of all processes. It is well below a turn of entering the list, in which all have to
/// learn who has entered.
const GUEST_LEASE_GAP: Millis = Millis(60);

/// How long either poll waits in a process that others ask instead of the store. Until a poll is answered the knowledge of the one
/// before counts, so what is passed on is up to two waits old.
const RELAY_WAIT: Millis = Millis(600);

/// How long a poll of the workers waits. A worker that drains must get nothing soon after, also when
/// the connection has gone silent.
const WORKER_WAIT: Millis = Millis(1000);

/// Pause between two polls of the workers. On large deployments some worker changes all the time, and
/// each change would cost each owner a call.
const WORKER_GAP: Millis = Millis(80);

/// First pause after a call that failed.
const PAUSE_FIRST: Duration = Duration::from_millis(100);

/// Longest pause after calls that failed.
const PAUSE_MOST: Duration = Duration::from_millis(1000);

/// The table of leases and processes.
pub const LEASE_TABLE: &str = "lease";

/// A table and what is done with its rows.
pub trait Follower: Send + Sync {
    /// Returns the table.
    fn table(&self) -> &'static str;

    /// Returns how long a poll waits.
    fn wait(&self) -> Millis;

    /// Returns the pause before the next poll after one that told of changes.
    fn gap(&self) -> Millis {
        Millis(0)
    }

    /// Tells whether the table is needed now.
    fn wanted(&self) -> bool {
        true
    }

    /// Takes in all rows of the table.
    fn reset(&self, rows: &[Change]);

    /// Takes in changes.
    fn apply(&self, changes: &[Change]);

    /// Notes that the table was as it is here at `at`, and at this revision.
    fn seen(&self, at: Tick, revision: Revision);

    /// Notes that the table is not followed any more, so what is known of it is of no use.
    fn ended(&self) {}
}

/// Follows a table for as long as the process lives.
pub fn follow(node: Arc<Node>, follower: Arc<dyn Follower>) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        let mut pause = PAUSE_FIRST;
        loop {
            if !follower.wanted() {
                // Either end of the wait leads to another look.
                let _ = time::timeout(PAUSE_FIRST, node.pool_acquired.notified()).await;
                continue;
            }
            let told = relay::table(&node, follower.table()).await;
            node.record_store_result(&told);
            match told {
                Ok(Followed { page, at }) => {
                    emit(
                        Event::TableRead,
                        format_args!(
                            "table={} rows={} revision={}",
                            follower.table(),
                            page.changes.len(),
                            page.revision
                        ),
                    );
                    follower.reset(&page.changes);
                    follower.seen(at, page.revision);
                    pause = PAUSE_FIRST;
                    poll(&node, &*follower, page).await;
                    if !follower.wanted() {
                        follower.ended();
                    }
                }
                Err(error) => {
                    log::info!("table={} can't be read: {error}", follower.table());
                    time::sleep(jittered(pause)).await;
                    pause = (pause * 2).min(PAUSE_MOST);
                }
            }
        }
    })
}

/// Polls for changes until the table has to be read anew or is not needed any more.
async fn poll(node: &Node, follower: &dyn Follower, start: FeedPage) {
    let mut revision = start.revision;
    let mut pause = PAUSE_FIRST;
    let mut wait = follower.wait();
    while follower.wanted() {
        let told = relay::changes(node, follower.table(), revision, wait).await;
        // After a failure the store is asked for a word at once: a poll that hangs tells of its return only when its wait is over.
        wait = if told.is_ok() { follower.wait() } else { Millis(0) };
        match told {
            Ok(Followed { page, at }) => {
                node.record_store_result(&Ok(()));
                revision = revision.max(page.revision);
                let changed = !page.changes.is_empty();
                if changed {
                    follower.apply(&page.changes);
                }
                follower.seen(at, revision);
                pause = PAUSE_FIRST;
                if changed {
                    time::sleep(follower.gap().duration()).await;
                }
            }
            Err(FeedError::Forgotten) => return,
            Err(FeedError::Store(error)) => {
                node.record_store_result::<()>(&Err(error.clone()));
                log::info!("table={} can't be followed: {error}", follower.table());
                if follower.table() == LEASE_TABLE
                    && let Some(page) = relay::leases_of_member(node).await
                {
                    follower.apply(&page.changes);
                }
                time::sleep(jittered(pause)).await;
                pause = (pause * 2).min(PAUSE_MOST);
            }
        }
    }
}

/// Spreads retries of many processes.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// The operators' table.
pub struct Operators(pub Arc<Node>);

impl Operators {
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
                let version = config.version;
                if node.view().update_config(config) {
                    let revision = change.row.revision;
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
    /// Notes whether a zone is drained.
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

    fn wait(&self) -> Millis {
        if relay::allows_relayed_age(&self.0) { RELAY_WAIT } else { OPERATOR_WAIT }
    }

    fn reset(&self, rows: &[Change]) {
        // Of a drain that has ended there is no row.
        let row_format = &self.0.services.row_format;
        let there: BTreeSet<ZoneName> =
            rows.iter().filter_map(|change| row_format.drained_zone(&change.row.key)).collect();
        let ended: Vec<ZoneName> = self.0.view().drained.difference(&there).cloned().collect();
        for zone in ended {
            self.drain(zone, false);
        }
        self.apply(rows);
    }

    fn apply(&self, changes: &[Change]) {
        for change in changes {
            self.take(change);
        }
    }

    fn seen(&self, at: Tick, revision: Revision) {
        let mut view = self.0.view();
        view.config_current_at = view.config_current_at.max(at);
        view.config_revision = view.config_revision.max(revision);
    }
}

/// The table of leases and processes.
pub struct Leases(pub Arc<Node>);

impl Leases {
    fn take(&self, change: &Change, now: Tick) {
        match parse(&change.row.key) {
            Some(LeaseKey::Member(node)) => self.member(node, change),
            Some(LeaseKey::Pool(pool)) if !change.deleted => {
                match change.row.parse::<LeaseRecord>() {
                    Ok(record) => self.adopt(pool, record, change.row.revision, now),
                    Err(error) => emit(Event::RowRefused, error),
                }
            }
            _ => {}
        }
    }

    /// Takes over a lease. Who is in charge by it is logged, so that the logs of all processes tell how long a change of hands took to
    /// reach them.
    fn adopt(&self, pool: PoolName, record: LeaseRecord, revision: Revision, now: Tick) {
        let owner = record.owner.clone();
        if self.0.view().update_lease(pool.clone(), record, revision, now) {
            let owner = owner.as_ref().map_or("nobody", NodeName::as_str);
            emit(Event::OwnerKnown, format_args!("pool={pool} owner={owner} token={revision}"));
        }
    }

    fn apply_at(&self, changes: &[Change], now: Tick) {
        for change in changes {
            self.take(change, now);
        }
    }

    fn member(&self, node: NodeName, change: &Change) {
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

    fn wait(&self) -> Millis {
        if self.0.is_idle() {
            IDLE_LEASE_WAIT
        } else if relay::allows_relayed_age(&self.0) {
            RELAY_WAIT
        } else {
            LEASE_WAIT
        }
    }

    fn gap(&self) -> Millis {
        let node = &self.0;
        let member = node.view().members.contains_key(&node.settings.node);
        if node.owns_any() || member { Millis(0) } else { GUEST_LEASE_GAP }
    }

    fn reset(&self, rows: &[Change]) {
        let now = self.0.now();
        {
            let mut view = self.0.view();
            view.members.clear();
            let listed =
                |change: &Change| matches!(parse(&change.row.key), Some(LeaseKey::Member(_)));
            if view.leases_first_read_at.is_none() {
                view.started_without_members = !rows.iter().any(listed);
            }
            view.leases_first_read_at.get_or_insert(now);
        }
        self.apply_at(rows, now);
    }

    fn apply(&self, changes: &[Change]) {
        self.apply_at(changes, self.0.now());
    }

    fn seen(&self, at: Tick, revision: Revision) {
        let mut view = self.0.view();
        view.leases_revision = view.leases_revision.max(revision);
        view.leases_current_at = view.leases_current_at.max(at);
    }
}

enum LeaseKey {
    Member(NodeName),
    Pool(PoolName),
}

fn parse(key: &Key) -> Option<LeaseKey> {
    let mut parts = key.0.splitn(3, '/').skip(1);
    let (part, rest) = (parts.next()?, parts.next()?);
    if part == MEMBER_PART {
        return rest.parse().ok().map(LeaseKey::Member);
    }
    part.parse().ok().map(LeaseKey::Pool)
}

/// The table in which workers register; only who is in charge of something needs it.
pub struct Workers(pub Arc<Node>);

impl Workers {
    /// Takes in an entry; tells whether it says anything new. Most are heartbeats.
    fn take(&self, row: &Row, deleted: bool) -> bool {
        let node = &self.0;
        if deleted {
            return self.drop(row);
        }
        match node.services.row_format.worker_row(row) {
            Ok(info) => {
                let known = node.view().workers.insert(info.id.clone(), info.clone());
                let news = known.as_ref() != Some(&info);
                if news {
                    let id = info.id.clone();
                    node.registry.record(WorkerChange { id, info: Some(info) });
                }
                news
            }
            Err(error) => {
                // What the entry said before counts no more: it names no worker to use.
                emit(Event::RowRefused, error);
                self.drop(row)
            }
        }
    }

    fn drop(&self, row: &Row) -> bool {
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

    fn wait(&self) -> Millis {
        WORKER_WAIT
    }

    fn gap(&self) -> Millis {
        WORKER_GAP
    }

    fn wanted(&self) -> bool {
        self.0.owns_any() && registry::is_direct(&self.0)
    }

    fn reset(&self, rows: &[Change]) {
        {
            let mut view = self.0.view();
            view.workers.clear();
            view.workers_loaded = true;
            view.follows_workers = true;
        }
        self.apply(rows);
        // Of those that were there before some may be gone.
        self.0.registry.reset();
        self.0.workers_changed.send_modify(|count| *count += 1);
    }

    fn apply(&self, changes: &[Change]) {
        let mut news = false;
        for change in changes {
            news |= self.take(&change.row, change.deleted);
        }
        if news {
            self.0.workers_changed.send_modify(|count| *count += 1);
        }
    }

    fn seen(&self, at: Tick, _revision: Revision) {
        let mut view = self.0.view();
        view.workers_current_at = view.workers_current_at.max(at);
    }

    fn ended(&self) {
        let mut view = self.0.view();
        view.workers_loaded = false;
        view.follows_workers = false;
    }
}
