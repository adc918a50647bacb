//! Sizes of pages that adapt to the bandwidth of the link.
//!
//! A page that takes longer than the timeout of a call never arrives, however often it is read. A
//! reader that asks for fewer rows after each failure gets one in the end, and with it progress that
//! a later failure does not undo.

use std::time::Duration;

/// Most rows in a page.
const MAX_ROWS: u32 = 500;

/// Divisor of the size after a failure.
const SHRINK_FACTOR: u32 = 4;

/// Factor of the size after a quick answer.
const GROWTH_FACTOR: u32 = 2;

/// Duration of a call up to which the next page may be larger. It is well below the shortest timeout
/// of a call, so a larger page still arrives in time.
const QUICK_ANSWER: Duration = Duration::from_millis(100);

/// The number of rows to ask for in the next page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageSize(u32);

impl Default for PageSize {
    fn default() -> Self {
        Self(MAX_ROWS)
    }
}

impl PageSize {
    /// Returns the size of the first page on a link that carries this number of rows in a moment. A
    /// first page that is too large delays everything else on the link until it times out.
    pub fn starting_at(rows: u32) -> Self {
        Self(rows.clamp(1, MAX_ROWS))
    }

    /// Returns the number of rows of the next page, at least one.
    pub const fn rows(self) -> u32 {
        self.0
    }

    /// Records that a page of `rows` rows arrived after `latency`. One with fewer rows than were asked
    /// for says nothing about larger ones.
    pub fn record_answer(&mut self, rows: usize, latency: Duration) {
        if rows == self.0 as usize && latency <= QUICK_ANSWER {
            self.0 = (self.0 * GROWTH_FACTOR).min(MAX_ROWS);
        }
    }

    /// Records that a page of at most `rows` rows did not arrive. Pages that are read at the same time
    /// and fail together shrink the next one once.
    pub fn record_failure(&mut self, rows: u32) {
        self.0 = self.0.min(rows / SHRINK_FACTOR).max(1);
    }
}
