//! Moments on the clock by which leases, deadlines and holds are counted.
//!
//! A host may be suspended for seconds. The steady clock of the standard library does not count that time, so a process that wakes
//! up would take a lease for valid that its successor has long taken, and a list of hosts for fresh that is not. The system's
//! boot-time clock counts on. docs/PLATFORM.md lists what is counted by which clock.

use std::{
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};

/// A moment on the host's clock since its start, with the time in which the host was suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct BootInstant {
    since_boot: Duration,
}

impl BootInstant {
    /// Returns the present.
    pub fn now() -> Self {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Self { since_boot: time.into() },
            Err(error) => unreachable!("every supported system has this clock: {error}"),
        }
    }

    /// Returns the time that has passed since this moment, none if it is to come.
    pub fn elapsed(self) -> Duration {
        Self::now().duration_since(self)
    }

    /// Returns the time that is left until this moment, none if it is past.
    pub fn remaining(self) -> Duration {
        self.duration_since(Self::now())
    }

    /// Returns the time since an earlier moment, none if it is later.
    pub fn duration_since(self, earlier: Self) -> Duration {
        self.since_boot.saturating_sub(earlier.since_boot)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self { since_boot: self.since_boot.saturating_add(span) }
    }
}

impl AddAssign<Duration> for BootInstant {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub<Duration> for BootInstant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self { since_boot: self.since_boot.saturating_sub(span) }
    }
}
