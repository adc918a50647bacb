//! The claims of this process to pools: what its takeovers have read so far, and whether its owners
//! run.

use std::{
    fmt::{self, Display, Formatter},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use reachhead_jobs::{clock::Tick, shard::Shard};
use reachhead_ops::event::{Event, emit};
use reachhead_store::StoreError;
use reachhead_types::{
    id::PoolName,
    size::{Millis, Revision},
};
use tokio::time;

use crate::node::Node;

/// Interval between two checks of the takeovers.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

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
    /// The roster has been read.
    pub has_roster: bool,
    /// The last error.
    pub error: Option<StoreError>,
}

impl Takeover {
    /// Returns a takeover that has read nothing yet.
    pub fn new(token: Revision, now: Tick) -> Self {
        Self {
            token,
            started: now,
            progressed: now,
            rows: 0,
            shards: 0,
            has_roster: false,
            error: None,
        }
    }

    /// Returns the number of shards of a pool.
    pub fn shard_count() -> usize {
        Shard::all().count()
    }
}

impl Display for Takeover {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (token, shards, all) = (self.token, self.shards, Self::shard_count());
        let (rows, roster) = (self.rows, self.has_roster);
        write!(f, "token={token} rows={rows} shards={shards}/{all} roster={roster}")?;
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
}

impl Pulse {
    /// Records that the loop turned.
    pub fn record_turn(&self, now: Tick) {
        self.turned.store(now.0, Ordering::Relaxed);
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

/// Logs slow takeovers, for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut next_log = Tick(0);
    loop {
        time::sleep(CHECK_PERIOD).await;
        let now = node.now();
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
