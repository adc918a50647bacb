//! The claims of this process to pools: what its takeovers have read so far, and whether its owners
//! run.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::future::join_all;
use reachhead_jobs::{
    candidate::Candidate,
    claim::{TakeoverProgress, is_serving, is_write_stalled},
    clock::Tick,
    liveness::StoreAnswers,
    ports::FeedError,
    record::{fence_key, job_prefix, progress_prefix},
    shard::Shard,
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::{
    StoreError,
    row::{Scan, Txn},
};
use reachhead_types::{
    id::PoolName,
    size::{Millis, Revision},
};
use tokio::time;

use crate::{
    election, fleet,
    follow::LEASE_TABLE,
    node::Node,
    owner::{Outcome, OwnerHandle},
    view::LeaseView,
};

/// Interval between two checks of the takeovers.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Number of rows that a probe reads of each table in each shard.
const PROBE_ROWS: u32 = 20;

/// A revision that no row has: the largest integer that every JSON parser keeps.
const UNUSED_REVISION: Revision = Revision((1 << 53) - 1);

/// Time without progress from which a takeover tests whether the store answers.
const MIN_IDLE_TIME: Millis = Millis(800);

/// Interval of these tests.
const STORE_TEST_PERIOD: Millis = Millis(500);

/// Age from which a takeover is logged as slow.
const SLOW_TAKEOVER_AGE: Millis = Millis(2000);

/// Minimum time between two lines about slow takeovers.
const LOG_PERIOD: Millis = Millis(1000);

/// A takeover under way: this process holds the pool's lease and reads its rows.
#[derive(Debug, Clone)]
pub struct Takeover {
    /// The revision of the lease, which is this process's fencing token.
    pub token: Revision,
    /// When the lease was taken.
    pub started: Tick,
    /// When a read or a fence was last answered.
    pub progressed: Tick,
    /// Number of rows that have been read.
    pub rows: usize,
    /// Number of shards that have been read.
    pub shards: usize,
    /// Number of workers in the roster, once that has been read.
    pub roster: Option<usize>,
    /// How long the reads of the roster have waited for their turn on the link.
    pub queued: Millis,
    /// The last error.
    pub error: Option<StoreError>,
    /// Number of takeovers in a row that were abandoned before this one.
    pub abandoned: u32,
    /// The owner that serves the pool once its rows are read.
    pub owner: Option<OwnerHandle>,
    /// Time since the last progress in which the store did not answer test calls.
    unanswered: Millis,
}

impl Takeover {
    /// Returns a takeover that has read nothing yet.
    pub fn new(lease: &LeaseView, now: Tick) -> Self {
        Self {
            token: lease.revision,
            started: now,
            progressed: now,
            rows: 0,
            shards: 0,
            roster: None,
            queued: Millis(0),
            error: None,
            abandoned: lease.record.abandoned,
            owner: None,
            unanswered: Millis(0),
        }
    }

    /// Returns the takeover with its owner.
    pub fn with_owner(self, owner: OwnerHandle) -> Self {
        Self { owner: Some(owner), ..self }
    }

    /// Records that the store answered, with this number of rows.
    pub fn record_progress(&mut self, rows: usize, now: Tick) {
        self.progressed = now;
        self.unanswered = Millis(0);
        self.rows += rows;
    }

    /// Records that the store did not answer a test call after the one that ended at `tested`.
    fn record_unanswered(&mut self, tested: Tick, now: Tick) {
        let time = now.since(tested.max(self.progressed));
        self.unanswered = Millis(self.unanswered.0 + time.0);
    }

    fn is_stuck(&self, answers: &StoreAnswers, outmatched: bool, now: Tick) -> bool {
        let Self { started, progressed, abandoned, unanswered, .. } = *self;
        let progress = TakeoverProgress { started, progressed, unanswered, abandoned, outmatched };
        progress.is_stuck(answers, now)
    }

    /// Returns the number of shards of a pool.
    pub fn shard_count() -> usize {
        Shard::all().count()
    }
}

impl Display for Takeover {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (token, shards, all) = (self.token, self.shards, Self::shard_count());
        let (rows, roster, queued) = (self.rows, self.roster.is_some(), self.queued);
        write!(
            f,
            "token={token} rows={rows} shards={shards}/{all} roster={roster} queued={queued}ms"
        )?;
        match &self.error {
            Some(error) => write!(f, " error=\"{error}\""),
            None => Ok(()),
        }
    }
}

/// Signs of life of an owner's event loop, shared with the tasks that report them.
#[derive(Debug, Default)]
pub struct Pulse {
    turned: AtomicU64,
    recorded: AtomicU64,
    /// When the first transaction after the last answer was sent; zero if there is none.
    unanswered: AtomicU64,
    /// The store decides on no transaction of this process in any shard of the pool.
    write_stalled: AtomicBool,
    /// A probe of that is under way.
    probing: AtomicBool,
}

impl Pulse {
    /// Records that the loop turned.
    pub fn record_turn(&self, now: Tick) {
        self.turned.store(now.0, Ordering::Relaxed);
    }

    /// Records that a transaction is sent.
    pub fn record_sent(&self, now: Tick) {
        // Another transaction may be waiting for its answer already.
        let _ = self.unanswered.compare_exchange(0, now.0, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Records that the store decided on a transaction.
    pub fn record_answer(&self) {
        self.unanswered.store(0, Ordering::Relaxed);
        self.write_stalled.store(false, Ordering::Relaxed);
    }

    /// Returns whether the store decides on no transaction of the owner.
    pub fn is_write_stalled(&self) -> bool {
        self.write_stalled.load(Ordering::Relaxed)
    }

    /// Returns when the first transaction was sent of those that have got no answer since the last
    /// one that did.
    pub fn unanswered(&self) -> Option<Tick> {
        let sent = Tick(self.unanswered.load(Ordering::Relaxed));
        (sent > Tick(0)).then_some(sent)
    }

    /// Records that the store accepted a transaction.
    pub fn record_commit(&self, now: Tick) {
        self.recorded.store(now.0, Ordering::Relaxed);
    }

    /// Returns when the loop last turned.
    pub fn turned(&self) -> Tick {
        Tick(self.turned.load(Ordering::Relaxed))
    }

    /// Returns when the store last accepted a transaction, if it ever did.
    pub fn recorded(&self) -> Option<Tick> {
        let recorded = Tick(self.recorded.load(Ordering::Relaxed));
        (recorded > Tick(0)).then_some(recorded)
    }
}

/// Applies a change to a takeover that is under way.
pub fn update(node: &Node, pool: &PoolName, change: impl FnOnce(&mut Takeover)) {
    if let Some(takeover) = node.loading().get_mut(pool) {
        change(takeover);
    }
}

/// The pools whose leases this process holds.
#[derive(Debug, Default)]
pub struct Claims {
    /// Those that it claims, with its fencing tokens: their owners serve them, or their takeovers were
    /// not given up.
    pub claimed: BTreeMap<PoolName, Revision>,
    /// Those whose owner is stalled or can record nothing, or whose lease is being written. The owner
    /// may go on and give orders.
    pub stalled: BTreeSet<PoolName>,
}

/// Returns the pools whose leases this process holds. The fleet owner has no takeover, and its rounds
/// wait for the platform, so it is not judged by its event loop.
pub fn claims(node: &Node) -> Claims {
    let now = node.now();
    let running_since = node.ability().running_since(now);
    let mut claims = Claims::default();
    claims.stalled.extend(node.taking().iter().cloned());
    for (pool, takeover) in node.loading().iter() {
        claims.claimed.insert(pool.clone(), takeover.token);
    }
    for (pool, owner) in node.owned().iter() {
        let serves =
            is_serving(owner.pulse.turned(), running_since, now) && !owner.pulse.is_write_stalled();
        if *pool == fleet::name() || serves {
            claims.claimed.insert(pool.clone(), owner.token);
        } else {
            claims.stalled.insert(pool.clone());
        }
    }
    claims
}

/// Waits until the takeover of a pool should be given up. While it makes no progress, the store is
/// asked for something else: the last answer may be to a poll from before an outage of the store, and
/// only a store that answers meanwhile shows that this process can't read the pool's rows.
pub async fn wait_until_stuck(node: &Node, pool: &PoolName) {
    let mut next_test = Tick(0);
    let mut tested_at = node.now();
    loop {
        time::sleep(CHECK_PERIOD).await;
        let now = node.now();
        let Some(takeover) = node.loading().get(pool).cloned() else {
            continue;
        };
        if takeover.roster.is_some() && node.bulk_reads.has_urgent() {
            // Rosters of other pools are read first, and no row of this one may arrive meanwhile.
            update(node, pool, |takeover| takeover.record_progress(0, now));
            continue;
        }
        let answers = node.view().store_answers.clone();
        let is_idle = now.since(takeover.progressed) > MIN_IDLE_TIME;
        let is_stuck = takeover.is_stuck(&answers, is_outmatched(node), now);
        if !is_stuck && (!is_idle || now < next_test) {
            continue;
        }
        next_test = now + STORE_TEST_PERIOD;
        if !store_answers(node).await {
            let now = node.now();
            update(node, pool, |takeover| takeover.record_unanswered(tested_at, now));
            tested_at = now;
        } else if is_stuck {
            return;
        } else {
            tested_at = node.now();
        }
    }
}

/// Returns whether a member is much stronger than this process.
fn is_outmatched(node: &Node) -> bool {
    let view = node.view();
    let own = Candidate { node: &node.settings.node, strength: node.strength(), owned: 0 };
    let mut members = view.members.iter();
    members.any(|(other, member)| view.candidate(other, &member.record).is_much_stronger(&own))
}

/// Returns whether the store answers a call that reads no rows of a pool. The call goes past the
/// circuit breaker, which the unanswered reads of the pool's rows may have opened.
async fn store_answers(node: &Node) -> bool {
    let revision = node.view().leases_revision;
    match node.services.feed.changes(LEASE_TABLE, revision, Millis(0)).await {
        Ok(_) | Err(FeedError::Forgotten) => true,
        Err(FeedError::Store(error)) => {
            log::info!("the store does not answer during a takeover: {error}");
            false
        }
    }
}

/// Returns whether this process can list the platform's hosts.
pub async fn can_list_hosts(node: &Node) -> bool {
    let Some(api) = &node.services.hosts else {
        return false;
    };
    match api.list().await {
        Ok(_) => true,
        Err(error) => {
            log::info!("the platform's hosts can't be listed: {error}");
            false
        }
    }
}

/// Tests whether this process can serve a pool that it gave up.
async fn probe(node: Arc<Node>, pool: PoolName) {
    let can_serve = if pool == fleet::name() {
        can_list_hosts(&node).await
    } else {
        can_read(&node, &pool).await && !probe_writes(&node, &pool).await.contains(&false)
    };
    if can_serve {
        log::info!("pool={pool} can be served by this process again");
        node.ability().record_readable(&pool);
    } else {
        let now = node.now();
        node.ability().record_unreadable(&pool, now);
    }
}

/// Returns whether some rows of each shard of a pool can be read.
async fn can_read(node: &Node, pool: &PoolName) -> bool {
    for shard in Shard::all() {
        for prefix in [job_prefix(pool, shard), progress_prefix(pool, shard)] {
            let scan = Scan { prefix, after: None, limit: PROBE_ROWS };
            let page = node.services.store.scan(scan).await;
            if let Err(error) = page {
                log::info!("pool={pool} rows still can't be read: {error}");
                return false;
            }
        }
    }
    true
}

/// Returns for each shard of a pool whether the store decides on transactions there. Their condition
/// never holds, so they write nothing.
async fn probe_writes(node: &Node, pool: &PoolName) -> Vec<bool> {
    let probes = Shard::all().map(|shard| async move {
        let key = fence_key(pool, shard);
        let txn = Txn::new().with_check(key.clone(), Some(UNUSED_REVISION)).with_delete(key);
        let result = node.services.store.commit(txn).await;
        result
            .inspect_err(|error| {
                log::info!("pool={pool} shard={shard} a transaction gets no answer: {error}");
            })
            .is_ok()
    });
    join_all(probes).await
}

/// Probes whether an owner whose transactions get no answer can write at all. One shard that is away
/// alone is no reason to change the owner: the next one could not take that shard over.
async fn probe_owner(node: Arc<Node>, pool: PoolName, owner: OwnerHandle) {
    let pulse = &owner.pulse;
    if probe_writes(&node, &pool).await.contains(&true) {
        pulse.record_answer();
    } else if pulse.unanswered().is_some() {
        log::warn!("pool={pool} no transaction gets an answer, others may take the pool");
        pulse.write_stalled.store(true, Ordering::Relaxed);
        let now = node.now();
        node.ability().record_unreadable(&pool, now);
    }
    pulse.probing.store(false, Ordering::Relaxed);
}

/// Probes the owners of this process whose transactions have got no answer for long.
fn probe_stalled_owners(node: &Arc<Node>, now: Tick) {
    let answers = node.view().store_answers.clone();
    let owned = node.owned().clone();
    let suspects = owned.into_iter().filter(|(pool, owner)| {
        *pool != fleet::name()
            && !owner.pulse.is_write_stalled()
            && is_write_stalled(owner.pulse.unanswered(), &answers, now)
    });
    for (pool, owner) in suspects {
        if !owner.pulse.probing.swap(true, Ordering::Relaxed) {
            tokio::spawn(probe_owner(Arc::clone(node), pool, owner));
        }
    }
}

/// Drops owners whose event loop is stalled and whose lease another process has taken, so that
/// requests go to that process.
fn drop_replaced_owners(node: &Node, now: Tick) {
    let running_since = node.ability().running_since(now);
    let owned: Vec<_> =
        node.owned().iter().map(|(pool, owner)| (pool.clone(), owner.clone())).collect();
    for (pool, owner) in owned {
        let replaced =
            node.view().leases.get(&pool).is_some_and(|lease| lease.revision > owner.token);
        if replaced && !is_serving(owner.pulse.turned(), running_since, now) {
            election::release(node, &pool, owner.token, Outcome::GivenUp);
        }
    }
}

/// Watches the claims of this process and logs slow takeovers, for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut next_log = Tick(0);
    loop {
        time::sleep(CHECK_PERIOD).await;
        let now = node.now();
        node.ability().check(now);
        drop_replaced_owners(&node, now);
        probe_stalled_owners(&node, now);
        let due = node.ability().take_due_probes(now);
        for pool in due {
            tokio::spawn(probe(Arc::clone(&node), pool));
        }
        if next_log <= now && log_slow(&node, now) {
            next_log = now + LOG_PERIOD;
        }
    }
}

/// Logs the oldest takeover if it is slow, and returns whether it is.
fn log_slow(node: &Node, now: Tick) -> bool {
    let loading = node.loading().clone();
    let is_slow = |takeover: &Takeover| now.since(takeover.started) >= SLOW_TAKEOVER_AGE;
    let slow = loading.iter().filter(|(_, takeover)| is_slow(takeover));
    let Some((pool, takeover)) = slow.min_by_key(|(_, takeover)| takeover.started) else {
        return false;
    };
    emit(
        Event::TakeoverSlow,
        format_args!(
            "pool={pool} {takeover} age={}ms idle={}ms takeovers={}",
            now.since(takeover.started),
            now.since(takeover.progressed),
            loading.len()
        ),
    );
    true
}
