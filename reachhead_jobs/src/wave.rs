//! Maintenance of hosts in waves: which host to drain and take next.
//!
//! An order without an answer may be carried out at any later moment, and a process that was replaced
//! may still send one. So a host takes a slot of its wave in the store before it is ordered down, and
//! keeps it until its maintenance is known to be over: see
//! [docs/design/wave-slots.md](../../docs/design/wave-slots.md).

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
    /// Hosts that were or will be ordered down and are not known to be back, at most `max_down` of
    /// them. Records of earlier releases have none.
    #[serde(default)]
    pub slots: BTreeSet<HostId>,
}

/// What is known about the order for a host that has a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Slot {
    /// No order was sent, or only orders that certainly had no effect.
    Reserved,
    /// An order without an answer may be carried out at any time, also one of an earlier owner.
    Open,
    /// The platform answered at this time that the maintenance has begun. The order has no further
    /// effect, however often it was sent.
    Answered(Tick),
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
    /// Hosts that may be down for the wave.
    slots: BTreeMap<HostId, Slot>,
}

/// Hosts that a round of a wave acts on.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WaveStep {
    /// Hosts to drain or keep draining, those with open orders first. One of these may be missing in
    /// the platform's list, and has nothing to drain then.
    pub to_drain: Vec<HostId>,
    /// Hosts that the platform no longer has and that have no open order.
    pub missing: Vec<HostId>,
}

/// How long after the answer to its order a host counts as down, whatever the platform's list says: the
/// list may lag behind the orders.
const MIN_DOWN_TIME: Millis = Millis(400);

impl Wave {
    /// Creates a wave that continues from `record`. The owner that wrote it may have sent an order for
    /// any host with a slot.
    pub fn new(order: WaveOrder, record: WaveRecord, now: Tick) -> Self {
        let slot = |host: &HostId| {
            let has_begun = record.begun.contains(host);
            (host.clone(), if has_begun { Slot::Answered(now) } else { Slot::Open })
        };
        let slots = record.slots.iter().map(slot).collect();
        Self {
            order,
            record,
            since: now,
            draining: BTreeMap::new(),
            logged: BTreeMap::new(),
            slots,
        }
    }

    /// Returns the progress to store, with all slots that are taken.
    pub fn to_record(&self) -> WaveRecord {
        WaveRecord { slots: self.slots.keys().cloned().collect(), ..self.record.clone() }
    }

    /// Returns whether the maintenance of every host has begun.
    pub fn is_done(&self) -> bool {
        self.order.hosts.iter().all(|host| self.record.begun.contains(host))
    }

    /// Returns whether the host is part of the wave and its maintenance has not begun.
    pub fn is_due(&self, host: &HostId) -> bool {
        self.order.hosts.contains(host) && !self.record.begun.contains(host)
    }

    /// Returns whether the host is being drained for the wave, or an order for it may be under way.
    pub fn is_held(&self, host: &HostId) -> bool {
        let is_ordered = |slot: &Slot| matches!(slot, Slot::Reserved | Slot::Open);
        self.draining.contains_key(host) || self.slots.get(host).is_some_and(is_ordered)
    }

    /// Returns whether an order without an answer may still be carried out for the host.
    pub fn is_open(&self, host: &HostId) -> bool {
        self.slots.get(host) == Some(&Slot::Open)
    }

    /// Returns the number of slots that are taken.
    pub fn taken_slots(&self) -> usize {
        self.slots.len()
    }

    /// Returns the hosts to act on next, given the platform's list of hosts, which was requested at
    /// `listed_at`.
    pub fn next(
        &mut self,
        hosts: &BTreeMap<HostId, PlatformHost>,
        listed_at: Tick,
        now: Tick,
    ) -> WaveStep {
        let mut step = WaveStep::default();
        self.slots.retain(|host, slot| {
            let is_up = hosts.get(host).is_none_or(|host| host.state == PlatformHostState::Up);
            let is_over = |answered: Tick| is_up && listed_at >= answered + MIN_DOWN_TIME;
            !matches!(slot, Slot::Answered(answered) if is_over(*answered))
        });
        let pending: Vec<HostId> = self
            .order
            .hosts
            .iter()
            .filter(|host| !self.record.begun.contains(*host))
            .cloned()
            .collect();
        for host in pending.iter().filter(|host| !hosts.contains_key(*host)) {
            // The answer to a repeated order shows whether the open one can still be carried out.
            let missing_or_open =
                if self.is_open(host) { &mut step.to_drain } else { &mut step.missing };
            missing_or_open.push(host.clone());
        }
        let free =
            (self.order.max_down as usize + DRAIN_AHEAD).saturating_sub(self.down_hosts(hosts));
        let ready = pending
            .iter()
            .filter_map(|host| hosts.get(host))
            .filter(|host| host.state == PlatformHostState::Up);
        let (open, mut others): (Vec<&PlatformHost>, Vec<&PlatformHost>) =
            ready.partition(|host| self.is_open(&host.host));
        others.sort_by_key(|host| {
            let begun = self.draining.get(&host.host).copied();
            (begun.is_none(), begun, host.worker.is_some())
        });
        for host in open.into_iter().chain(others.into_iter().take(free)) {
            self.draining.entry(host.host.clone()).or_insert(now);
            step.to_drain.push(host.host.clone());
        }
        step
    }

    /// Returns how many hosts are or may be down for this wave.
    fn down_hosts(&self, hosts: &BTreeMap<HostId, PlatformHost>) -> usize {
        let listed = self.order.hosts.iter().filter(|host| {
            hosts.get(*host).is_some_and(|host| host.state == PlatformHostState::Maintenance)
        });
        let mut down: BTreeSet<&HostId> = listed.collect();
        down.extend(self.slots.keys());
        down.len()
    }

    /// Returns how to treat short tasks on a host that is being drained.
    pub fn drain_mode(&self, host: &HostId, now: Tick) -> DrainMode {
        let waited = self.draining.get(host).map_or(Millis(0), |since| now.since(*since));
        let age = now.since(self.since).0.saturating_mul(100);
        let is_late = age > self.order.within.0.saturating_mul(FORCE_DRAIN_PERCENT);
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

    /// Takes a slot for a host, given the drain progress of its worker; returns whether the host may be
    /// ordered down once the slot is stored. A host with an open order has its slot already.
    /// A worker with short tasks has to wait: an end that it reports at the last moment would be
    /// lost with it.
    pub fn reserve(
        &mut self,
        host: &HostId,
        progress: DrainProgress,
        hosts: &BTreeMap<HostId, PlatformHost>,
    ) -> bool {
        if !matches!(progress, DrainProgress::Empty | DrainProgress::Unknown) {
            return false;
        }
        if self.is_open(host) {
            return true;
        }
        let is_free = self.down_hosts(hosts) < self.order.max_down as usize;
        if is_free {
            self.slots.insert(host.clone(), Slot::Reserved);
        }
        is_free
    }

    /// Records that an order for the host has no answer, so it may be carried out at any time.
    pub fn record_lost(&mut self, host: &HostId) {
        self.slots.insert(host.clone(), Slot::Open);
    }

    /// Records that the last order for the host was not sent or certainly had no effect. That frees the
    /// slot, unless an earlier order is open.
    pub fn record_not_taken(&mut self, host: &HostId) {
        if !self.is_open(host) {
            self.slots.remove(host);
        }
    }

    /// Records the platform's answer that the maintenance of the host has begun.
    pub fn record_begun(&mut self, host: &HostId, now: Tick) {
        self.slots.insert(host.clone(), Slot::Answered(now));
        self.record_done(host);
    }

    /// Records that the platform no longer has the host, or not for this wave.
    pub fn record_gone(&mut self, host: &HostId) {
        self.slots.remove(host);
        self.record_done(host);
    }

    fn record_done(&mut self, host: &HostId) {
        self.draining.remove(host);
        self.record.begun.insert(host.clone());
    }
}
