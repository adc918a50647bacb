//! Polls of a worker under way, and those that do not wait for them.

use reachhead_types::size::Millis;

use crate::{
    clock::{Tick, WorkerTime},
    worker::{Poll, Worker},
};

impl Worker {
    /// Notes that an answer to an order that was sent at `sent` or later shows the clock of another
    /// incarnation, and returns whether that is new. The worker gets nothing more until it reports, and
    /// the next poll does not wait for the one under way.
    pub fn notice_restart(&mut self, shown: WorkerTime, sent: Tick, now: Tick) -> bool {
        let Some(sample) = self.clock.filter(|_| self.started_at.is_some()) else {
            return false;
        };
        let is_known = self.silent && self.repolled_at.is_some_and(|at| at > sample.at);
        if is_known || !sample.excludes(shown, sent) {
            return false;
        }
        self.mark_suspect(now);
        self.repoll(now);
        true
    }

    /// Makes the next poll due, whether or not one is under way.
    fn repoll(&mut self, now: Tick) {
        self.repolled_at = Some(now);
        // It must be told from a poll that was sent in this millisecond, before the answer came.
        self.poll = Poll::Due(now + Millis(1));
    }

    /// Requests a report without waiting for the poll under way, which the worker may hold open.
    pub fn request_report(&mut self, now: Tick) {
        if self.poll == Poll::InFlight && self.poll_wait > Millis(0) {
            self.repoll(now);
        }
    }

    /// Makes the next poll due, after the result of one that was sent at `sent`.
    pub fn end_poll(&mut self, sent: Tick, due: Tick) {
        let is_last = self.polls == 0 && self.poll == Poll::InFlight;
        if !self.is_superseded(sent) || is_last {
            self.poll = Poll::Due(due);
        }
    }

    /// Records that a poll has ended that was sent at `sent`.
    pub fn record_poll_end(&mut self, sent: Tick) {
        if !self.is_of_earlier_entry(sent) {
            self.polls = self.polls.saturating_sub(1);
        }
    }

    /// Returns whether a later poll is sent without waiting for the one that was sent at `sent`.
    pub fn is_superseded(&self, sent: Tick) -> bool {
        self.is_of_earlier_entry(sent) || self.repolled_at.is_some_and(|at| sent <= at)
    }

    /// Returns whether a call that was sent at `sent` went to an incarnation that was removed before this one
    /// became known.
    fn is_of_earlier_entry(&self, sent: Tick) -> bool {
        sent < self.joined
    }

    /// Returns whether a poll of the previous incarnation is under way: the one that named the present
    /// incarnation did not wait for it.
    pub(super) fn awaits_superseded_poll(&self) -> bool {
        let current = u32::from(self.poll == Poll::InFlight);
        let is_restarted = self.repolled_at.is_some() && self.restarted_at >= self.repolled_at;
        is_restarted && self.polls > current
    }
}
