//! Why a worker does not take a task.
//!
//! Placement and the log of tasks without a place use the same checks, so that the log can't name a
//! reason that placement does not have. See [Operations](../../docs/OPERATIONS.md).

use std::fmt::{self, Display, Formatter};

use serde::{Serialize, Serializer};

/// The first check of a placement that a worker fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Obstacle {
    /// It is not registered.
    Unlisted,
    /// It is registered, and that incarnation is known to have ended.
    Ended,
    /// An incarnation answers that has not registered yet, and may be of another kind.
    Unregistered,
    /// It is not stored as open in the pool's roster.
    Unrostered,
    /// It has not answered this owner.
    Unanswered,
    /// Its last call failed.
    Silent,
    /// It has runs of tasks that this owner does not know.
    Orphans,
    /// A task that may crash it is starting.
    Trial,
    /// It is shutting down.
    Draining,
    /// Operators drain its zone.
    ZoneDrained,
    /// Planned work is about to take its host.
    Cordoned,
    /// It rejected a run for lack of capacity.
    Full,
    /// Its ends that are not recorded fill a report.
    Unrecorded,
    /// It is suspended after failures.
    Suspended,
    /// It is on probation and has a task that has not succeeded yet.
    Probation,
    /// Calls to its previous incarnation may still make it forget ends.
    LateCalls,
    /// It lacks the label.
    Label,
    /// It has as many tasks of the step as may share a worker.
    Spread,
    /// Its capacity is reserved for another step.
    Reserved,
    /// It has a run of the task.
    Duplicate,
    /// Its free capacity is too small.
    Capacity,
    /// The service that decides on the placement has not approved it.
    Unapproved,
    /// Other tasks are starting there, and the task may crash it.
    Starting,
    /// It has not answered just before, and the task may crash it.
    NotRecent,
}

impl Obstacle {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unlisted => "unlisted",
            Self::Ended => "ended",
            Self::Unregistered => "unregistered",
            Self::Unrostered => "unrostered",
            Self::Unanswered => "unanswered",
            Self::Silent => "silent",
            Self::Orphans => "orphans",
            Self::Trial => "trial",
            Self::Draining => "draining",
            Self::ZoneDrained => "zone-drained",
            Self::Cordoned => "cordoned",
            Self::Full => "full",
            Self::Unrecorded => "unrecorded",
            Self::Suspended => "suspended",
            Self::Probation => "probation",
            Self::LateCalls => "late-calls",
            Self::Label => "label",
            Self::Spread => "spread",
            Self::Reserved => "reserved",
            Self::Duplicate => "duplicate",
            Self::Capacity => "capacity",
            Self::Unapproved => "unapproved",
            Self::Starting => "starting",
            Self::NotRecent => "not-recent",
        }
    }
}

impl Display for Obstacle {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Serialize for Obstacle {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}
