//! Membership timeouts, computed from the settings and the number of entry hosts.

use std::time::Duration;

use reachhead_config::control::ControlSettings;
use reachhead_store::breaker::MAX_PROBE_PAUSE;

/// Longest time between two reads, in periods: jitter and late starts can lengthen a period by a
/// quarter.
const MAX_READ_PERIODS: f64 = 1.25;

/// Margin for a busy host and for the delay from the control process to the entry process.
const PROPAGATION_MARGIN: Duration = Duration::from_millis(1000);

/// Membership timeouts of one host; docs/LIMITS.md states what each protects.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    period_per_host: Duration,
    max_missed: u32,
    max_lease_missed: u32,
    store_deadline: Duration,
}

impl Timeouts {
    /// Returns the timeouts given by `settings`.
    pub fn new(settings: &ControlSettings) -> Self {
        Self {
            period_per_host: Duration::from_millis(settings.follow.members.get()),
            max_missed: settings.follow.missed.get(),
            max_lease_missed: settings.pools.missed.get(),
            store_deadline: settings.store.deadline.duration(),
        }
    }

    /// Returns the longest duration of a call to the store.
    pub fn store_deadline(&self) -> Duration {
        self.store_deadline
    }

    /// Returns the period of membership reads by each of `hosts` hosts.
    pub fn member_period(&self, hosts: usize) -> Duration {
        self.period_per_host * hosts.max(1) as u32
    }

    /// Returns the time within which each of `hosts` hosts has either read a new list or stopped
    /// serving.
    pub fn propagation_timeout(&self, hosts: usize) -> Duration {
        // A read that starts in time ends within the store's deadline.
        let read_timeout =
            self.member_period(hosts).mul_f64(MAX_READ_PERIODS) + self.store_deadline;
        read_timeout + PROPAGATION_MARGIN
    }

    /// Returns the time without a heartbeat after which one of `hosts` hosts is removed from the
    /// list.
    pub fn member_timeout(&self, hosts: usize) -> Duration {
        // After a store outage a host may notice late that the store is back.
        self.member_period(hosts) * self.max_missed + MAX_PROBE_PAUSE + self.store_deadline
    }

    /// Returns the time without a heartbeat after which one of `hosts` hosts loses its pools. It
    /// may be short: a false suspicion costs only a handover.
    pub fn lease_timeout(&self, hosts: usize) -> Duration {
        self.member_period(hosts).mul_f64(MAX_READ_PERIODS) * self.max_lease_missed
            + self.store_deadline
    }
}
