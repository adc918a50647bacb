//! Bounds how many of its own pools a restarted process takes back at the same time.
//!
//! The process takes its pools back over one link. Leases of their workers end while the rosters are
//! read and the workers are called, and other processes with idle links could take some of the pools.
//! See [Platform](../../docs/PLATFORM.md), "How a pool changes its owner".

use reachhead_types::size::{ByteRate, Bytes, Millis, WorkerCount};

/// Part of a worker's lease in which rosters are read and workers called. A restart with the reads of
/// the leases and the configuration takes another third, and a lost call the last one.
const LEASE_DIVISOR: u64 = 3;

/// Number of workers that is assumed for a pool of which none is recorded.
const DEFAULT_WORKERS: WorkerCount = WorkerCount(160);

/// Bytes of a worker that cross the link before the first renewal: its row of the roster, and the first
/// call with its answer.
const WORKER_BYTES: u64 = 1_000;

/// Bytes of the lease and of the fences of all shards: a read and a transaction each.
const FENCE_BYTES: u64 = 8_000;

/// Bytes of a pool's stored jobs that are assumed: a hundred that wait, of the size that
/// `BulkReads` assumes.
const JOB_BYTES: u64 = 400_000;

/// How long after it has found its pools vacant a process takes no more of them back than its link
/// carries at once. It hears its peers within that time, if there are any.
const DISCOVERY_TIME: Millis = Millis(600);

/// Age at which a takeover is given back, if others in the process go before it: a third of what is left of
/// workers' leases after a restart, so that the next owner is in time.
const GIVE_BACK_AGE: Millis = Millis(1000);

/// Returns how many bytes a link with this bandwidth carries in the time in which rosters are read and
/// workers called, if these have leases of `lease`.
pub fn carried_bytes(bandwidth: ByteRate, lease: Millis) -> Bytes {
    Bytes(bandwidth.0.saturating_mul(lease.0) / LEASE_DIVISOR / 1000)
}

/// Returns the bytes of a pool that cross the link before all its workers are renewed, by the number of
/// workers that is known.
pub fn roster_bytes(workers: Option<WorkerCount>) -> Bytes {
    let workers = workers.unwrap_or(DEFAULT_WORKERS);
    Bytes(u64::from(workers.0) * WORKER_BYTES + FENCE_BYTES)
}

/// What to do with a pool whose lease names this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retake {
    /// Take it now.
    Take,
    /// Release its lease, since a peer can take it at once.
    Release,
    /// Decide later.
    Wait,
}

/// Takeovers under way that share a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Takeovers {
    /// Their number.
    pub count: usize,
    /// Their [`roster_bytes`].
    pub bytes: Bytes,
}

impl Takeovers {
    /// Returns these takeovers with one more.
    #[must_use]
    pub fn with(self, bytes: Bytes) -> Self {
        Self { count: self.count + 1, bytes: Bytes(self.bytes.0.saturating_add(bytes.0)) }
    }

    /// Returns the bytes with those of the jobs. Leases are renewed before the jobs are read, but until
    /// then nothing is started: a peer with an idle link reads a pool in a fraction of the time that
    /// several of them take on one.
    fn bytes_with_jobs(self) -> Bytes {
        Bytes(self.bytes.0.saturating_add(self.count as u64 * JOB_BYTES))
    }
}

/// The takeovers of a process that has pools to take back, and who else could take them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retakes {
    /// What the link carries before workers' leases end; see [`carried_bytes`].
    pub carried: Bytes,
    /// The takeovers under way.
    pub running: Takeovers,
    /// Those of them that have not read their roster.
    pub unread: Takeovers,
    /// Number of peers that were heard and have less load. Each may take one pool.
    pub free_peers: usize,
    /// Number of pools that were released for them and that nobody has taken yet.
    pub released: usize,
}

impl Retakes {
    /// Decides about a pool with these [`roster_bytes`] that has been without an owner for `vacant_for`.
    /// Without peers the process takes its pools one after the other: as soon as a roster has been read,
    /// its jobs wait for the next one's.
    pub fn decide(&self, pool: Bytes, vacant_for: Millis) -> Retake {
        if self.carries_pool(pool) {
            Retake::Take
        } else if self.released < self.free_peers {
            Retake::Release
        } else if vacant_for >= DISCOVERY_TIME && self.carries_roster(pool) {
            Retake::Take
        } else {
            Retake::Wait
        }
    }

    /// Returns whether the link carries a pool with its jobs beside the takeovers under way. A pool that is
    /// too large for it is taken alone.
    fn carries_pool(&self, pool: Bytes) -> bool {
        self.running.count == 0 || self.running.with(pool).bytes_with_jobs() <= self.carried
    }

    /// Returns whether the link carries a roster beside those that are read.
    fn carries_roster(&self, pool: Bytes) -> bool {
        self.unread.count == 0 || self.unread.with(pool).bytes <= self.carried
    }

    /// Returns whether a takeover should be given back to a free peer, since others go before it and use
    /// much of the link. The last ones are given back, one for each free peer. After an abandoned
    /// takeover it is kept, so that processes that are all too slow don't pass a pool on for ever.
    pub fn is_to_give_back(&self, waiting: &WaitingTakeover) -> bool {
        let is_late = waiting.age >= GIVE_BACK_AGE && waiting.earlier > 0;
        is_late
            && !self.carries_pool(waiting.bytes)
            && waiting.later < self.free_peers
            && waiting.abandoned == 0
    }
}

/// A takeover that shares the link with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingTakeover {
    /// Its [`roster_bytes`].
    pub bytes: Bytes,
    /// Time since the lease was taken.
    pub age: Millis,
    /// Number of the others that began before it.
    pub earlier: usize,
    /// Number of the others that began after it.
    pub later: usize,
    /// Number of takeovers of the pool in a row that were abandoned before it.
    pub abandoned: u32,
}
