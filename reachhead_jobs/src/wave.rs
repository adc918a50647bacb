//! Maintenance of hosts in waves: which host goes next.

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

/// Share of a wave's time after which short tasks are stopped at once, in percent. It leaves time for hosts whose orders are lost.
const PATIENCE_PERCENT: u64 = 60;

/// How long short tasks may hold a host up before they are stopped.
const SHORT_PATIENCE: Millis = Millis(2500);

/// How often it is logged that a host holds its wave up.
const TELL_PERIOD: Millis = Millis(3000);

/// Hosts that are being emptied beyond those that may be down, so that the next is ready in time.
const AHEAD: usize = 1;

/// A wave that operators ask for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveOrder {
    /// Its name.
    pub name: WaveName,
    /// The hosts that are due.
    pub hosts: Vec<HostId>,
    /// In which time it should be done.
    pub within: Millis,
    /// Hosts that may be down for it at once.
    #[serde(rename = "most")]
    pub max_down: u32,
}

/// What the store keeps of a wave.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WaveRecord {
    /// The hosts whose maintenance has begun.
    pub begun: BTreeSet<HostId>,
    /// All of them have begun, and operators were told.
    pub completed: bool,
}

/// A wave in the hands of the process that carries it out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// What is asked for.
    pub order: WaveOrder,
    /// What is done.
    pub record: WaveRecord,
    /// When this process first saw it.
    pub since: Tick,
    /// When the emptying of a host began.
    emptying: BTreeMap<HostId, Tick>,
    /// When it was last logged, or begun to be noted, that a host holds the wave up.
    told: BTreeMap<HostId, Tick>,
    /// Hosts that were ordered down and that the platform's list does not show as back yet.
    down: BTreeMap<HostId, Tick>,
}

/// What a round of a wave asks for.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WaveStep {
    /// Hosts to go on emptying.
    pub to_drain: Vec<HostId>,
    /// Hosts that the platform no longer has.
    pub missing: Vec<HostId>,
}

/// How long a host is counted as down after its order, whatever the list says: the list may be
/// older than the order.
const DOWN_LEAST: Millis = Millis(400);

impl Wave {
    /// Returns a wave that goes on from `record`.
    pub fn new(order: WaveOrder, record: WaveRecord, now: Tick) -> Self {
        Self {
            order,
            record,
            since: now,
            emptying: BTreeMap::new(),
            told: BTreeMap::new(),
            down: BTreeMap::new(),
        }
    }

    /// Tells whether every host has begun.
    pub fn is_done(&self) -> bool {
        self.order.hosts.iter().all(|host| self.record.begun.contains(host))
    }

    /// Tells whether the host's maintenance has not begun.
    pub fn is_due(&self, host: &HostId) -> bool {
        self.order.hosts.contains(host) && !self.record.begun.contains(host)
    }

    /// Tells whether the host is being emptied for its maintenance.
    pub fn is_draining(&self, host: &HostId) -> bool {
        self.emptying.contains_key(host)
    }

    /// Returns what to do next, by the platform's list of hosts.
    pub fn next(&mut self, hosts: &BTreeMap<HostId, PlatformHost>, now: Tick) -> WaveStep {
        let mut step = WaveStep::default();
        self.down.retain(|host, since| {
            let up = hosts.get(host).is_none_or(|host| host.state == PlatformHostState::Up);
            !up || now.since(*since) < DOWN_LEAST
        });
        let left: Vec<HostId> = self
            .order
            .hosts
            .iter()
            .filter(|host| !self.record.begun.contains(*host))
            .cloned()
            .collect();
        for host in &left {
            if !hosts.contains_key(host) {
                step.missing.push(host.clone());
            }
        }
        let under = self.under_maintenance(hosts);
        let room = (self.order.max_down as usize + AHEAD).saturating_sub(under);
        let mut ready: Vec<&PlatformHost> = left
            .iter()
            .filter_map(|host| hosts.get(host))
            .filter(|host| host.state == PlatformHostState::Up)
            .collect();
        ready.sort_by_key(|host| {
            let begun = self.emptying.get(&host.host).copied();
            (begun.is_none(), begun, host.worker.is_some())
        });
        for host in ready.into_iter().take(room) {
            self.emptying.entry(host.host.clone()).or_insert(now);
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

    /// Returns what becomes of short tasks on the host, which is being emptied.
    pub fn drain_mode(&self, host: &HostId, now: Tick) -> DrainMode {
        let waited = self.emptying.get(host).map_or(Millis(0), |since| now.since(*since));
        let late = now.since(self.since).0 * 100 > self.order.within.0 * PATIENCE_PERCENT;
        if late || waited >= SHORT_PATIENCE { DrainMode::Forced } else { DrainMode::Graceful }
    }

    /// Notes that a host that is being emptied can't be taken yet; tells for how long, if that is worth a line
    /// in the log again.
    pub fn record_held(&mut self, host: &HostId, now: Tick) -> Option<Millis> {
        let since = *self.emptying.get(host)?;
        let told = self.told.insert(host.clone(), now).unwrap_or(since);
        if now.since(told) < TELL_PERIOD {
            self.told.insert(host.clone(), told);
            return None;
        }
        Some(now.since(since))
    }

    /// Tells whether the host may be taken now that its worker is this empty. One with short tasks is not:
    /// an end that the worker tells in the last moment would be lost with it.
    pub fn can_maintain(
        &self,
        progress: DrainProgress,
        hosts: &BTreeMap<HostId, PlatformHost>,
    ) -> bool {
        let room = self.under_maintenance(hosts) < self.order.max_down as usize;
        room && matches!(progress, DrainProgress::Empty | DrainProgress::Unknown)
    }

    /// Notes that an order for the host was sent, so it may be down from now on.
    pub fn record_ordered(&mut self, host: &HostId, now: Tick) {
        self.down.insert(host.clone(), now);
    }

    /// Notes that the order for the host surely had no effect.
    pub fn record_not_taken(&mut self, host: &HostId) {
        self.down.remove(host);
    }

    /// Notes that the maintenance of the host has begun, or that it is gone.
    pub fn record_begun(&mut self, host: &HostId) {
        self.emptying.remove(host);
        self.record.begun.insert(host.clone());
    }
}
