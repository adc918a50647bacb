//! Limits the rows that are read at the same time by the bandwidth of the process's own link.
//!
//! Takeovers read all rows of a pool, and owners read stored jobs again and again. Pages that arrive
//! at the same time on a narrow link delay each other past their timeouts, and they delay the
//! heartbeats of peers, which then take the process for dead.

use reachhead_types::size::ByteRate;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Time for which the link may be occupied by the pages in flight: well below the timeout of a
/// heartbeat.
const MAX_OCCUPATION_MS: u64 = 100;

/// Assumed size of a row. Rows of jobs have some kilobytes, other rows are smaller.
const ROW_BYTES: u64 = 4_000;

/// Lower bound of the limit, so that rows arrive on any link.
const MIN_ROWS: u64 = 2;

/// Upper bound of the limit: all shards of a pool in pages of full size.
const MAX_ROWS: u64 = 4_000;

/// The limit on rows in flight, shared by all reads of a process.
pub struct BulkReads {
    rows: Semaphore,
    capacity: u32,
}

impl BulkReads {
    /// Returns the limit for a link with this bandwidth.
    pub fn new(bandwidth: ByteRate) -> Self {
        let rows = bandwidth.0 * MAX_OCCUPATION_MS / 1000 / ROW_BYTES;
        let capacity = rows.clamp(MIN_ROWS, MAX_ROWS) as u32;
        Self { rows: Semaphore::new(capacity as usize), capacity }
    }

    /// Returns the number of rows that may be in flight.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Waits until a page of `rows` rows may be requested. A page of more rows than may be in flight
    /// is requested alone.
    pub async fn acquire(&self, rows: u32) -> Option<SemaphorePermit<'_>> {
        // The semaphore is never closed.
        self.rows.acquire_many(rows.min(self.capacity)).await.ok()
    }
}

#[cfg(test)]
#[path = "bulk_reads_tests.rs"]
mod tests;
