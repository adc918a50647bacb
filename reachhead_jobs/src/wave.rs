//! Maintenance of hosts in waves: which host to drain and take next.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_types::{
    id::{HostId, WaveName},
    size::Millis,
};
use serde::{Deserialize, Serialize};

use crate::{
    clock::Tick,
    pool::{DrainMode, DrainProgress},
    ports::{PlatformHost, PlatformHostState},
};

/// Part of a wave's time, in percent, after which short tasks are stopped at once. The rest is a
/// reserve for hosts whose orders are lost.
const FORCE_DRAIN_PERCENT: u64 = 60;

/// How long short tasks may delay the drain of a host before they are stopped.
const MAX_SHORT_TASK_DELAY: Millis = Millis(2500);

/// Interval at which it is logged that a host delays its wave.
const DELAY_LOG_INTERVAL: Millis = Millis(3000);

/// Hosts drained beyond those that may be down, so that the next one is ready in time.
const DRAIN_AHEAD: usize = 1;

/// A maintenance wave requested by operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveOrder {
    /// Name of the wave.
    pub name: WaveName,
    /// Hosts that need maintenance.
    pub hosts: Vec<HostId>,
    /// Time in which the wave should be done.
    pub within: Millis,
    /// Hosts that may be down for the wave at once.
    #[serde(rename = "most")]
    pub max_down: u32,
}

/// Persisted progress of a wave.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Hosts whose maintenance has begun.
    pub begun: BTreeSet<HostId>,
    /// Maintenance of all hosts has begun, and the status row for operators was written.
    pub completed: bool,
}

/// A wave that this process carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// The request.
    pub order: WaveOrder,
    /// Progress so far.
    pub record: WaveRecord,
    /// When this process first saw the wave.
    pub since: Tick,
    /// Hosts being drained, and when that began.
    draining: BTreeMap<HostId, Tick>,
    /// When the delay of a host was last logged; at first, when it was first noticed.
    logged: BTreeMap<HostId, Tick>,
    /// Hosts ordered down that the platform's list does not show as up again yet.
    down: BTreeMap<HostId, Tick>,
}

/// Hosts that a round of a wave acts on.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WaveStep {
    /// Hosts to drain or keep draining.
    pub to_drain: Vec<HostId>,
    /// Hosts that the platform no longer has.
    pub missing: Vec<HostId>,
}

/// How long a host counts as down after its order, whatever the platform's list says: the list may
/// be older than the order.
const MIN_DOWN_TIME: Millis = Millis(400);

impl Wave {
    /// Creates a wave that continues from `record`.
    pub fn new(order: WaveOrder, record: WaveRecord, now: Tick) -> Self {
        Self {
            order,
            record,
            since: now,
            draining: BTreeMap::new(),
            logged: BTreeMap::new(),
            down: BTreeMap::new(),
        }
    }

    /// Returns whether the maintenance of every host has begun.
    pub fn is_done(&self) -> bool {
        self.order.hosts.iter().all(|host| self.record.begun.contains(host))
    }

    /// Returns whether the host is part of the wave and its maintenance has not begun.
    pub fn is_due(&self, host: &HostId) -> bool {
        self.order.hosts.contains(host) && !self.record.begun.contains(host)
    }

    /// Returns whether the host is being drained for the wave.
    pub fn is_draining(&self, host: &HostId) -> bool {
        self.draining.contains_key(host)
    }

    /// Returns the hosts to act on next, given the platform's list of hosts.
    pub fn next(&mut self, hosts: &BTreeMap<HostId, PlatformHost>, now: Tick) -> WaveStep {
        let mut step = WaveStep::default();
        self.down.retain(|host, since| {
            let is_up = hosts.get(host).is_none_or(|host| host.state == PlatformHostState::Up);
            !is_up || now.since(*since) < MIN_DOWN_TIME
        });
        let pending: Vec<HostId> = self
            .order
            .hosts
            .iter()
            .filter(|host| !self.record.begun.contains(*host))
            .cloned()
            .collect();
        for host in &pending {
            if !hosts.contains_key(host) {
                step.missing.push(host.clone());
            }
        }
        let under = self.under_maintenance(hosts);
        let free = (self.order.max_down as usize + DRAIN_AHEAD).saturating_sub(under);
        let mut ready: Vec<&PlatformHost> = pending
            .iter()
            .filter_map(|host| hosts.get(host))
            .filter(|host| host.state == PlatformHostState::Up)
            .collect();
        ready.sort_by_key(|host| {
            let begun = self.draining.get(&host.host).copied();
            (begun.is_none(), begun, host.worker.is_some())
        });
        for host in ready.into_iter().take(free) {
            self.draining.entry(host.host.clone()).or_insert(now);
            step.to_drain.push(host.host.clone());
        }
        step
    }

    /// Returns how many hosts are or may be down for this wave.
    fn under_maintenance(&self, hosts: &BTreeMap<HostId, PlatformHost>) -> usize {
        let listed = self.order.hosts.iter().filter(|host| {
            hosts.get(*host).is_some_and(|host| host.state == PlatformHostState::Maintenance)
        });
        let mut down: BTreeSet<&HostId> = listed.collect();
        down.extend(self.down.keys());
        down.len()
    }

    /// Returns how to treat short tasks on a host that is being drained.
    pub fn drain_mode(&self, host: &HostId, now: Tick) -> DrainMode {
        let waited = self.draining.get(host).map_or(Millis(0), |since| now.since(*since));
        let is_late = now.since(self.since).0 * 100 > self.order.within.0 * FORCE_DRAIN_PERCENT;
        if is_late || waited >= MAX_SHORT_TASK_DELAY {
            DrainMode::Forced
        } else {
            DrainMode::Graceful
        }
    }

    /// Records that a draining host can't be taken yet. Returns for how long it has been draining
    /// if that is due to be logged again.
    pub fn record_held(&mut self, host: &HostId, now: Tick) -> Option<Millis> {
        let since = *self.draining.get(host)?;
        let logged = self.logged.insert(host.clone(), now).unwrap_or(since);
        if now.since(logged) < DELAY_LOG_INTERVAL {
            self.logged.insert(host.clone(), logged);
            return None;
        }
        Some(now.since(since))
    }

    /// Returns whether a host can be taken for maintenance, given the drain progress of its worker.
    /// A worker with short tasks has to wait: an end that it reports at the last moment would be
    /// lost with it.
    pub fn can_maintain(
        &self,
        progress: DrainProgress,
        hosts: &BTreeMap<HostId, PlatformHost>,
    ) -> bool {
        let free = self.under_maintenance(hosts) < self.order.max_down as usize;
        free && matches!(progress, DrainProgress::Empty | DrainProgress::Unknown)
    }

    /// Records that an order for the host was sent, so it may be down from now on.
    pub fn record_ordered(&mut self, host: &HostId, now: Tick) {
        self.down.insert(host.clone(), now);
    }

    /// Records that the order for the host certainly had no effect.
    pub fn record_not_taken(&mut self, host: &HostId) {
        self.down.remove(host);
    }

    /// Records that the maintenance of the host has begun, or that the platform no longer has it.
    pub fn record_begun(&mut self, host: &HostId) {
        self.draining.remove(host);
        self.record.begun.insert(host.clone());
    }
}
