//! Limits the rows that are read at the same time by the bandwidth of the process's own link.
//!
//! Takeovers read all rows of a pool, and owners read stored jobs again and again. Pages that arrive
//! at the same time on a narrow link delay each other past their timeouts, and they delay the
//! heartbeats of peers, which then take the process for dead.
//!
//! Rosters go first, across all pools of the process: leases of workers end while they are read, and
//! jobs wait. See [Platform](../../docs/PLATFORM.md), "What a process sends over its own link".

use std::{collections::BTreeMap, time::Duration};

use reachhead_types::size::ByteRate;
use tokio::{
    sync::{Mutex, Semaphore, SemaphorePermit, watch},
    time::{self, Instant},
};

/// Time for which the link may be occupied by the pages in flight: well below the timeout of a
/// heartbeat.
const MAX_OCCUPATION_MS: u64 = 100;

/// Assumed size of a row. Rows of jobs have some kilobytes, other rows are smaller.
const ROW_BYTES: u64 = 4_000;

/// Number of rows of a roster that are assumed to be as large as one of [`ROW_BYTES`].
const ROSTER_ROWS_PER_ROW: u32 = 10;

/// Lower bound of the limit, so that rows arrive on any link.
const MIN_ROWS: u64 = 2;

/// Upper bound of the limit: all shards of a pool in pages of full size.
const MAX_ROWS: u64 = 4_000;

/// How long a roster that is not read yet holds other pages back. Workers' leases last for about
/// three seconds after a restart; a roster that can't be read must not keep the jobs of other pools
/// waiting for longer.
const MAX_URGENT_TIME: Duration = Duration::from_millis(2000);

/// How long a page waits for rosters once it is its turn. So one page in this time arrives while rosters
/// are outstanding, and takes a sixth of the link.
const MAX_BACKGROUND_WAIT: Duration = Duration::from_millis(500);

/// The limit on rows in flight, shared by all reads of a process.
pub struct BulkReads {
    rows: Semaphore,
    capacity: u32,
    urgent: watch::Sender<Urgent>,
    /// Held by the page that is the next of those which are not urgent. The semaphore serves its
    /// waiters in turn, so a roster would wait for all pages that wait there.
    background: Mutex<()>,
}

/// The rosters that are to be read, and until when each holds other pages back.
#[derive(Debug, Default)]
struct Urgent {
    last_id: u64,
    deadlines: BTreeMap<u64, Instant>,
}

impl Urgent {
    /// Returns until when other pages have to wait at most, if they have to.
    fn deadline(&self, now: Instant) -> Option<Instant> {
        self.deadlines.values().max().copied().filter(|deadline| *deadline > now)
    }
}

/// A roster that is to be read; other pages wait until it is dropped.
pub struct UrgentRead<'a> {
    reads: &'a BulkReads,
    id: u64,
}

impl Drop for UrgentRead<'_> {
    fn drop(&mut self) {
        self.reads.urgent.send_modify(|urgent| {
            urgent.deadlines.remove(&self.id);
        });
    }
}

impl BulkReads {
    /// Returns the limit for a link with this bandwidth.
    pub fn new(bandwidth: ByteRate) -> Self {
        let rows = bandwidth.0 * MAX_OCCUPATION_MS / 1000 / ROW_BYTES;
        let capacity = rows.clamp(MIN_ROWS, MAX_ROWS) as u32;
        Self {
            rows: Semaphore::new(capacity as usize),
            capacity,
            urgent: watch::Sender::default(),
            background: Mutex::default(),
        }
    }

    /// Returns the number of rows that may be in flight.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Returns the number of rows of a roster that may be in flight.
    pub fn roster_capacity(&self) -> u32 {
        self.capacity * ROSTER_ROWS_PER_ROW
    }

    /// Announces a roster that is to be read.
    pub fn announce(&self) -> UrgentRead<'_> {
        let deadline = Instant::now() + MAX_URGENT_TIME;
        let mut id = 0;
        self.urgent.send_modify(|urgent| {
            urgent.last_id += 1;
            id = urgent.last_id;
            urgent.deadlines.insert(id, deadline);
        });
        UrgentRead { reads: self, id }
    }

    /// Returns whether pages wait for a roster.
    pub fn has_urgent(&self) -> bool {
        self.urgent.borrow().deadline(Instant::now()).is_some()
    }

    /// Waits until a page of `rows` rows of a roster may be requested.
    pub async fn acquire_urgent(&self, rows: u32) -> Option<SemaphorePermit<'_>> {
        self.acquire_rows(rows.div_ceil(ROSTER_ROWS_PER_ROW)).await
    }

    /// Waits until a page of `rows` rows may be requested that is not urgent. A page of more rows than
    /// may be in flight is requested alone.
    pub async fn acquire(&self, rows: u32) -> Option<SemaphorePermit<'_>> {
        let _turn = self.background.lock().await;
        let wait_until = Instant::now() + MAX_BACKGROUND_WAIT;
        loop {
            self.wait_for_urgent(wait_until).await;
            let mut urgent = self.urgent.subscribe();
            tokio::select! {
                biased;
                permit = self.acquire_rows(rows) => return permit,
                // A roster that is announced meanwhile goes first.
                _ = urgent.changed(), if Instant::now() < wait_until => {}
            }
        }
    }

    async fn wait_for_urgent(&self, wait_until: Instant) {
        let mut urgent = self.urgent.subscribe();
        loop {
            let Some(deadline) = urgent.borrow_and_update().deadline(Instant::now()) else {
                return;
            };
            let limit = deadline.min(wait_until);
            // The state is checked again after a change as well as after the timeout.
            let _ = time::timeout_at(limit, urgent.changed()).await;
            if Instant::now() >= wait_until {
                return;
            }
        }
    }

    async fn acquire_rows(&self, rows: u32) -> Option<SemaphorePermit<'_>> {
        // The semaphore is never closed.
        self.rows.acquire_many(rows.min(self.capacity)).await.ok()
    }
}

#[cfg(test)]
#[path = "bulk_reads_tests.rs"]
mod tests;
