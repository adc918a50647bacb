//! Schedules the reads of a pool's stored jobs, which find jobs that the owner was not notified of:
//! it may be partitioned from its peers only.

use std::collections::VecDeque;

use reachhead_jobs::{clock::Tick, record::job_prefix, shard::Shard};
use reachhead_store::{
    StoreError,
    page_size::PageSize,
    row::{Key, Page, Scan},
};
use reachhead_types::{id::PoolName, size::Millis};

/// Minimum pause between the reads of two shards.
const MIN_PAUSE: Millis = Millis(450);

/// Pause after a read in multiples of its duration. On a narrow link a read of a thousand waiting
/// jobs takes longer than the pause; reads that overlap fill the link, time out one after the other,
/// and leave nothing of it to transactions, heartbeats and the configuration.
const PAUSE_FACTOR: u64 = 4;

/// The reads of a pool's stored jobs, page by page and shard by shard.
pub(super) struct JobScan {
    next: Tick,
    /// A read is in progress, or waits for room on the process's link.
    is_reading: bool,
    /// The shards in the order in which they are read next.
    order: VecDeque<Shard>,
    /// The last key that was read of the first of them, if its next page is due.
    position: Option<Key>,
    page_size: PageSize,
}

impl JobScan {
    /// Returns a schedule that begins after a pause, with a first page of `rows` rows.
    pub(super) fn new(rows: u32, now: Tick) -> Self {
        Self {
            next: now + MIN_PAUSE,
            is_reading: false,
            order: Shard::all().collect(),
            position: None,
            page_size: PageSize::starting_at(rows),
        }
    }

    /// Returns the next read if it is due and the last one has ended.
    pub(super) fn next(&mut self, pool: &PoolName, now: Tick) -> Option<Scan> {
        if self.is_reading || self.next > now {
            return None;
        }
        let shard = self.order.front()?;
        self.is_reading = true;
        let after = self.position.clone();
        Some(Scan { prefix: job_prefix(pool, *shard), after, limit: self.page_size.rows() })
    }

    /// Records the result of a read that was requested at `sent`. Time in which it waited for other reads
    /// of the process does not count: it says nothing about the link.
    pub(super) fn record(&mut self, result: &Result<Page, StoreError>, sent: Tick, now: Tick) {
        self.is_reading = false;
        let duration = now.since(sent);
        let pause = Millis(duration.0 * PAUSE_FACTOR);
        let Ok(page) = result else {
            self.page_size.record_failure(self.page_size.rows());
            self.next = now + pause.max(MIN_PAUSE);
            return;
        };
        self.page_size.record_answer(page.rows.len(), duration.duration());
        self.position = page.rows.last().filter(|_| page.more).map(|row| row.key.clone());
        self.next = now + if page.more { pause } else { pause.max(MIN_PAUSE) };
        if !page.more {
            self.order.rotate_left(1);
        }
    }
}
