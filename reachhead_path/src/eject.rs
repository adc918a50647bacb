//! Leaves a minion alone for a while after failures in a row.

use std::time::Duration;

use reachhead_types::boot_instant::BootInstant;

/// Failures in a row after which a minion is ejected.
pub const FAILURE_LIMIT: u32 = 3;

/// How long the first ejection lasts; each one in a row lasts twice as long.
pub const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);

/// How long an ejection lasts at most.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// What a result changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionChange {
    /// Nothing that operators need to know.
    Unchanged,
    /// The minion is ejected from now on.
    Ejected,
    /// The minion answers again after an ejection.
    Restored,
}

/// The failures of one minion as one entry host sees them.
#[derive(Debug, Clone, Default)]
pub struct Ejection {
    failures: u32,
    terms: u32,
    until: Option<BootInstant>,
}

impl Ejection {
    /// Returns a minion without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells whether the minion is ejected at `now`.
    pub fn is_ejected(&self, now: BootInstant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Notes an answer.
    pub fn record_success(&mut self) -> EjectionChange {
        let was_ejected = self.until.is_some();
        *self = Self::default();
        if was_ejected { EjectionChange::Restored } else { EjectionChange::Unchanged }
    }

    /// Notes a failure at `now`.
    pub fn record_failure(&mut self, now: BootInstant) -> EjectionChange {
        self.failures = self.failures.saturating_add(1);
        // After a term one failure is enough for the next: the minion is on probation.
        let is_due = self.failures >= FAILURE_LIMIT || self.terms > 0;
        if !is_due || self.is_ejected(now) {
            return EjectionChange::Unchanged;
        }
        let term = MIN_EJECTION_TIME.saturating_mul(1 << self.terms.min(16)).min(MAX_EJECTION_TIME);
        self.until = Some(now + term);
        self.terms += 1;
        self.failures = 0;
        EjectionChange::Ejected
    }
}
