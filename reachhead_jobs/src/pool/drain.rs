//! Zones that operators drain: no task is started there, and running tasks may finish.
//!
//! A process that can't reach the store may miss a drain or its end. An owner that does not know
//! the current drains starts nothing anywhere once its knowledge is older than the time within
//! which a drain has to take effect.

use std::collections::BTreeSet;

use reachhead_types::id::ZoneName;

use crate::{clock::Tick, pool::Pool};

/// The drained zones, as last read.
#[derive(Debug, Clone, Default)]
pub(super) struct DrainedZones {
    zones: BTreeSet<ZoneName>,
    /// When the reading expires; `None` before the first one.
    valid_until: Option<Tick>,
}

impl DrainedZones {
    /// Returns whether the zone is drained.
    pub(super) fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains(zone)
    }

    /// Returns whether the drained zones are known well enough to start tasks. A pool that never
    /// received any is not blocked by them.
    pub(super) fn is_current(&self, now: Tick) -> bool {
        self.valid_until.is_none_or(|until| now <= until)
    }
}

impl Pool {
    /// Replaces the drained zones by those that were read at `seen`.
    pub fn drain_zones(&mut self, zones: &BTreeSet<ZoneName>, seen: Tick) {
        self.drained.valid_until = Some(seen + self.timeouts.drain);
        if self.drained.zones == *zones {
            return;
        }
        self.drained.zones.clone_from(zones);
        self.review = true;
        for worker in self.workers.values_mut() {
            worker.drained = zones.contains(&worker.info.zone);
        }
    }
}
