//! How long things take at most, worked out from the settings and the number of entry hosts.

use std::time::Duration;

use reachhead_config::control::ControlSettings;
use reachhead_store::breaker::MAX_PROBE_PAUSE;

/// Share of the period between two reads by which jitter and late starts can lengthen it.
const NOTICE_PERIODS: f64 = 1.25;

/// Room for a busy host and for the way from the control to the entry process.
const NOTICE_MARGIN: Duration = Duration::from_millis(1000);

/// Timeouts of one host; docs/LIMITS.md tells what each protects.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    member_step: Duration,
    missed: u32,
    lease_missed: u32,
    store_deadline: Duration,
}

impl Timeouts {
    /// Returns the timeouts that `settings` make.
    pub fn new(settings: &ControlSettings) -> Self {
        Self {
            member_step: Duration::from_millis(settings.follow.members.get()),
            missed: settings.follow.missed.get(),
            lease_missed: settings.pools.missed.get(),
            store_deadline: settings.store.deadline.duration(),
        }
    }

    /// Returns the period between two reads of the list by one of `hosts` hosts.
    pub fn member_period(&self, hosts: usize) -> Duration {
        self.member_step * hosts.max(1) as u32
    }

    /// Returns the time in which each of `hosts` hosts notices a new list, or stops by itself.
    pub fn notice(&self, hosts: usize) -> Duration {
        // A read that was begun in time ends by the store's deadline.
        let read = self.member_period(hosts).mul_f64(NOTICE_PERIODS) + self.store_deadline;
        read + NOTICE_MARGIN
    }

    /// Returns the silence after which one of `hosts` hosts is taken for gone.
    pub fn silence(&self, hosts: usize) -> Duration {
        // After an outage a host may find out late that the store is back.
        self.member_period(hosts) * self.missed + MAX_PROBE_PAUSE + self.store_deadline
    }

    /// Returns the silence after which one of `hosts` hosts is taken for gone from its pools. It may be
    /// short: a wrong guess costs a hand-over and harms nothing.
    pub fn lease_silence(&self, hosts: usize) -> Duration {
        self.member_period(hosts).mul_f64(NOTICE_PERIODS) * self.lease_missed + self.store_deadline
    }
}
