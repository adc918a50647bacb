//! Zones that operators drain: nothing new is started there, and what runs there may finish.
//!
//! Load: a zone is drained under load, and taken back seconds later, while some processes do not reach the store. An owner that
//! can't know what operators want starts nothing anywhere once its knowledge is older than the time in which a drain must be
//! in force.

use std::collections::BTreeSet;

use reachhead_types::id::ZoneName;

use crate::{clock::Tick, pool::Pool};

/// The zones that operators drain, as an owner knows them.
#[derive(Debug, Clone, Default)]
pub(super) struct DrainedZones {
    zones: BTreeSet<ZoneName>,
    /// Until when that may be gone by; `None` before an owner was told.
    until: Option<Tick>,
}

impl DrainedZones {
    /// Tells whether the zone is drained.
    pub(super) fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains(zone)
    }

    /// Tells whether it is known well enough for a start which zones are drained. A pool that nobody has told of
    /// zones is not held up by them.
    pub(super) fn known(&self, now: Tick) -> bool {
        self.until.is_none_or(|until| now <= until)
    }
}

impl Pool {
    /// Takes over which zones operators drain, as that was known at `seen`.
    pub fn drain_zones(&mut self, zones: &BTreeSet<ZoneName>, seen: Tick) {
        self.drained.until = Some(seen + self.timeouts.drain);
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
