//! Readings of the boot-time clock, used for leases, deadlines and hold times.
//!
//! A host may be suspended for seconds. The monotonic clock of the standard library does not
//! advance during that time, so a resumed process would consider a lease valid that its successor
//! has taken long ago, and a stale list of hosts fresh. The system's boot-time clock advances
//! during a suspension. docs/PLATFORM.md lists which clock is used for what.

use std::{
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};

/// A reading of the host's boot-time clock, which includes the time in which the host was
/// suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct BootInstant {
    since_boot: Duration,
}

impl BootInstant {
    /// Returns the current time.
    pub fn now() -> Self {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Self { since_boot: time.into() },
            Err(error) => unreachable!("every supported system has this clock: {error}"),
        }
    }

    /// Returns the time since this instant, zero if it is in the future.
    pub fn elapsed(self) -> Duration {
        Self::now().duration_since(self)
    }

    /// Returns the time until this instant, zero if it is in the past.
    pub fn remaining(self) -> Duration {
        self.duration_since(Self::now())
    }

    /// Returns the time since `earlier`, zero if `earlier` is the later of the two.
    pub fn duration_since(self, earlier: Self) -> Duration {
        self.since_boot.saturating_sub(earlier.since_boot)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self { since_boot: self.since_boot.saturating_add(duration) }
    }
}

impl AddAssign<Duration> for BootInstant {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Duration> for BootInstant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self { since_boot: self.since_boot.saturating_sub(duration) }
    }
}
