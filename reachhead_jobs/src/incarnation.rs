//! Incarnations of workers.
//!
//! A worker may restart under its id, so a fact about one incarnation must not be applied to the next
//! one. Messages and state that outlive an incarnation name it by its id and its start time, and
//! compare it here. See [docs/design/restarted-workers.md](../../docs/design/restarted-workers.md).

use std::fmt::{self, Display, Formatter};

use reachhead_types::{id::WorkerId, size::Millis};
use serde::{Deserialize, Serialize};

/// An incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Worker id.
    pub worker: WorkerId,
    /// Its start, in milliseconds since 1970, if known.
    #[serde(rename = "born", default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<Millis>,
}

impl Incarnation {
    /// Returns an incarnation whose start is unknown.
    pub fn new(worker: WorkerId) -> Self {
        Self { worker, started_at: None }
    }

    /// Sets its start.
    pub fn with_start(self, started_at: Option<Millis>) -> Self {
        Self { started_at, ..self }
    }

    /// Returns whether the end of this incarnation is also the end of the one of the same worker that
    /// started at `started_at`. An end without a start says nothing about an incarnation that is known
    /// by its start, since that may be a later one.
    pub fn covers(&self, started_at: Option<Millis>) -> bool {
        match (self.started_at, started_at) {
            (Some(ended), Some(started)) => started <= ended,
            (None, Some(_)) => false,
            (_, None) => true,
        }
    }
}

impl Display for Incarnation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.started_at {
            Some(started_at) => write!(f, "{}@{}", self.worker, started_at.0),
            None => write!(f, "{}", self.worker),
        }
    }
}

/// Returns whether the incarnation started at `started` is newer than the one started at `known`.
/// Unknown start times count as the same incarnation.
pub fn is_newer(started: Option<Millis>, known: Option<Millis>) -> bool {
    matches!((started, known), (Some(started), Some(known)) if started > known)
}
