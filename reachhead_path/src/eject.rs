//! Outlier ejection: takes a minion out of load balancing after consecutive failures.

use std::time::Duration;

use reachhead_types::boot_instant::BootInstant;

/// Consecutive failures after which a minion is ejected.
pub const MAX_FAILURES: u32 = 3;

/// Duration of the first ejection; it doubles with each consecutive one.
pub const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);

/// Maximum duration of an ejection.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// The effect of a result on the ejection of a minion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionChange {
    /// No change to report to operators.
    Unchanged,
    /// The minion was ejected.
    Ejected,
    /// The minion answered again after an ejection.
    Restored,
}

/// The failures of a minion as observed by one entry host.
#[derive(Debug, Clone, Default)]
pub struct Ejection {
    failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    until: Option<BootInstant>,
}

impl Ejection {
    /// Returns the state of a minion without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the minion is ejected at `now`.
    pub fn is_ejected(&self, now: BootInstant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Records an answer, which ends the ejection.
    pub fn record_success(&mut self) -> EjectionChange {
        let was_ejected = self.until.is_some();
        *self = Self::default();
        if was_ejected { EjectionChange::Restored } else { EjectionChange::Unchanged }
    }

    /// Records a failure at `now`.
    pub fn record_failure(&mut self, now: BootInstant) -> EjectionChange {
        self.failures = self.failures.saturating_add(1);
        // After an ejection the minion is on probation: a single failure ejects it again.
        let should_eject = self.failures >= MAX_FAILURES || self.ejections > 0;
        if !should_eject || self.is_ejected(now) {
            return EjectionChange::Unchanged;
        }
        let duration =
            MIN_EJECTION_TIME.saturating_mul(1 << self.ejections.min(16)).min(MAX_EJECTION_TIME);
        self.until = Some(now + duration);
        self.ejections += 1;
        self.failures = 0;
        EjectionChange::Ejected
    }
}
