//! Bounds how many of its own pools a restarted process takes back at the same time.
//!
//! The process takes its pools back over one link. Leases of their workers end while the rosters are
//! read and the workers are called, and other processes with idle links could take some of the pools.
//! See [Platform](../../docs/PLATFORM.md), "How a pool changes its owner".

use reachhead_types::size::{ByteRate, Millis};

/// Part of a worker's lease in which rosters are read and workers called. A restart with the reads of
/// the leases and the configuration takes another third, and a lost call the last one.
const LEASE_DIVISOR: u64 = 3;

/// Assumed number of workers of a pool. The roster tells it only once it has been read.
const WORKERS_PER_POOL: u64 = 160;

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

/// Returns how many rosters of pools a process reads at the same time over a link with this bandwidth,
/// if its workers have leases of `lease`.
pub fn roster_limit(bandwidth: ByteRate, lease: Millis) -> usize {
    carried(bandwidth, lease, 0)
}

/// Returns how many pools a process takes back with their jobs at the same time. Leases are renewed
/// before the jobs are read, but until then nothing is started: a peer with an idle link reads a pool
/// in a fraction of the time that several of them take on one.
pub fn pool_limit(bandwidth: ByteRate, lease: Millis) -> usize {
    carried(bandwidth, lease, JOB_BYTES)
}

fn carried(bandwidth: ByteRate, lease: Millis, jobs: u64) -> usize {
    let carried = bandwidth.0.saturating_mul(lease.0) / LEASE_DIVISOR / 1000;
    let bytes = WORKERS_PER_POOL * WORKER_BYTES + FENCE_BYTES + jobs;
    (carried / bytes).max(1) as usize
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

/// The takeovers of a process that has pools to take back, and who else could take them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retakes {
    /// Number of pools that the link carries at the same time.
    pub pools: usize,
    /// Number of rosters that it carries at the same time.
    pub rosters: usize,
    /// Number of takeovers under way.
    pub running: usize,
    /// Those of them that have not read their roster.
    pub unread: usize,
    /// Number of peers that were heard and have less load. Each may take one pool.
    pub free_peers: usize,
    /// Number of pools that were released for them and that nobody has taken yet.
    pub released: usize,
}

impl Retakes {
    /// Decides about a pool that has been without an owner for `vacant_for`. Without peers the process
    /// takes its pools one after the other: as soon as a roster has been read, its jobs wait for the
    /// next one's.
    pub fn decide(&self, vacant_for: Millis) -> Retake {
        if self.running < self.pools {
            Retake::Take
        } else if self.released < self.free_peers {
            Retake::Release
        } else if vacant_for >= DISCOVERY_TIME && self.unread < self.rosters {
            Retake::Take
        } else {
            Retake::Wait
        }
    }

    /// Returns whether a takeover should be given back to a free peer, since others go before it and use
    /// much of the link. The last ones are given back, one for each free peer. After an abandoned
    /// takeover it is kept, so that processes that are all too slow don't pass a pool on for ever.
    pub fn is_to_give_back(&self, waiting: &WaitingTakeover) -> bool {
        let fills_link = if waiting.has_roster {
            self.running >= self.pools
        } else {
            2 * self.running >= self.rosters
        };
        let is_late = waiting.age >= GIVE_BACK_AGE && waiting.earlier > 0;
        is_late && fills_link && waiting.later < self.free_peers && waiting.abandoned == 0
    }
}

/// A takeover that shares the link with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingTakeover {
    /// Time since the lease was taken.
    pub age: Millis,
    /// Number of the others that began before it.
    pub earlier: usize,
    /// Number of the others that began after it.
    pub later: usize,
    /// It has read its roster, so that leases of workers are renewed while it waits for the jobs.
    pub has_roster: bool,
    /// Number of takeovers of the pool in a row that were abandoned before it.
    pub abandoned: u32,
}
