//! One entry host's part in looking after pools: leases, then a step for each host on its way.
//!
//! A round reads the lease and the head of the pools that concern this host in one call; hosts are
//! read again only when the head moved. Nothing is kept that a round could not find out again.

mod leases;
mod steps;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use log::debug;
use reachhead_store::{
    Store, StoreError,
    hosts::Host,
    keys,
    platform::{HostStatus, Platform},
    row::Row,
};
use reachhead_types::{
    boot_instant::BootInstant,
    id::{HostId, PoolName},
    member::MemberId,
    pool::{HostPhase, WaveRow},
    size::{Epoch, Revision},
};
use serde::Serialize;

use crate::{
    budget::MinionPlacements,
    host::Observation,
    lease::{self, Candidate},
};

/// Rows that are read for each pool.
const ROWS_PER_POOL: usize = 3;

/// What this entry host knows when a round begins.
#[derive(Debug, Clone, Default)]
pub struct RoundInput {
    /// This host's stay on the list; `None` while it has none, when it is in charge of nothing.
    pub own: Option<MemberId>,
    /// The entry hosts on the list.
    pub candidates: Vec<Candidate>,
    /// The pools of the configuration.
    pub pools: Vec<PoolName>,
    /// The hosts that are leaving by the platform's list.
    pub leaving: BTreeSet<HostId>,
    /// Which services have minions on which hosts.
    pub placements: Arc<MinionPlacements>,
}

/// Something that operators should hear of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolEvent {
    /// This host is in charge of a pool from now on.
    LeaseTaken(PoolName, Epoch),
    /// This host is not in charge of a pool any more.
    LeaseEnded(PoolName),
    /// A host changed its phase.
    HostEntered(HostId, HostPhase),
    /// A host changed its pool.
    HostMoved(HostId, PoolName),
}

/// A pool that this host is in charge of.
struct Held {
    lease: Revision,
    epoch: Epoch,
    /// The head's revision when the hosts were read; `None` before they were.
    head: Option<Head>,
    hosts: BTreeMap<HostId, Tracked>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
struct Head(Option<Revision>);

struct Tracked {
    host: Host,
    /// Since when it has been seen drained, by this process's clock.
    drained_since: Option<BootInstant>,
    /// Since when a budget that it spends has been seen overspent.
    overspent_since: Option<BootInstant>,
}

/// A pool in charge, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct PoolState {
    /// The pool.
    pub pool: PoolName,
    /// How often it has changed hands.
    pub epoch: Epoch,
    /// Its hosts.
    pub hosts: usize,
    /// Hosts that are on their way.
    pub moving: Vec<HostId>,
}

/// How long things take.
#[derive(Debug, Clone, Copy)]
pub struct ControllerLimits {
    /// How long a host must be seen drained before it counts as empty.
    pub drain: Duration,
    /// How long an owner that is there may take to hand a pool over.
    pub hand_over_timeout: Duration,
    /// How long a budget must be seen overspent before a drain is taken back: the host list lags.
    pub overspend_confirmation: Duration,
    /// Hosts of a pool that a wave has on their way at once, whatever the budgets allow.
    pub max_wave_hosts: usize,
}

/// Looks after the pools that fall to one entry host.
pub struct Controller {
    store: Arc<dyn Store>,
    platform: Arc<dyn Platform>,
    limits: ControllerLimits,
    held: BTreeMap<PoolName, Held>,
    /// Since when pools that should be this host's have been others'.
    awaited: BTreeMap<PoolName, BootInstant>,
    events: Vec<PoolEvent>,
}

impl Controller {
    /// Returns a controller that is in charge of nothing yet.
    pub fn new(
        store: Arc<dyn Store>,
        platform: Arc<dyn Platform>,
        limits: ControllerLimits,
    ) -> Self {
        Self {
            store,
            platform,
            limits,
            held: BTreeMap::new(),
            awaited: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Returns the pools that this host is in charge of.
    pub fn state(&self) -> Vec<PoolState> {
        let state = |(pool, held): (&PoolName, &Held)| PoolState {
            pool: pool.clone(),
            epoch: held.epoch,
            hosts: held.hosts.len(),
            moving: held.moving().cloned().collect(),
        };
        self.held.iter().map(state).collect()
    }

    /// Tells whether no host of this host's pools is on its way.
    pub fn is_idle(&self) -> bool {
        self.held.values().all(|held| held.moving().next().is_none())
    }

    /// Does one round and returns what happened.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; the next round finds out how far this one came.
    pub async fn round(&mut self, input: &RoundInput) -> Result<Vec<PoolEvent>, StoreError> {
        let result = self.try_round(input).await;
        let events = std::mem::take(&mut self.events);
        result.map(|()| events)
    }

    /// Hands over every pool, as a host does that is about to end.
    pub async fn release_all(&mut self) {
        for (pool, held) in std::mem::take(&mut self.held) {
            if let Err(error) = self.release(&pool, held.lease, held.epoch).await {
                debug!("handing over {pool}: {error}");
            }
        }
    }

    async fn try_round(&mut self, input: &RoundInput) -> Result<(), StoreError> {
        let Some(own) = &input.own else {
            for pool in std::mem::take(&mut self.held).into_keys() {
                self.events.push(PoolEvent::LeaseEnded(pool));
            }
            return Ok(());
        };
        let concerns = |pool: &&PoolName| {
            let is_preferred = lease::preferred_owner(pool, &input.candidates) == Some(own);
            is_preferred || self.held.contains_key(*pool)
        };
        let pools: Vec<PoolName> = input.pools.iter().filter(concerns).cloned().collect();
        // A pool that was deleted had no hosts left.
        self.held.retain(|pool, _| pools.contains(pool));
        self.awaited.retain(|pool, _| pools.contains(pool));
        if pools.is_empty() {
            return Ok(());
        }
        let keys = pools
            .iter()
            .flat_map(|pool| [keys::lease(pool), keys::pool_head(pool), keys::wave(pool)]);
        let rows = self.store.read(keys.collect()).await?;
        for (pool, rows) in pools.iter().zip(rows.chunks(ROWS_PER_POOL)) {
            let [lease, head, wave] = rows else { continue };
            let head = Head(head.as_ref().map(|row| row.revision));
            // A row of another release must neither be taken for a free lease nor for no wave.
            let wave: Option<WaveRow> = wave.as_ref().map(Row::parse).transpose()?;
            if self.keep_lease(input, own, pool, lease.as_ref()).await? {
                self.look_after(input, pool, head, wave.as_ref()).await?;
            }
        }
        Ok(())
    }
}

impl Held {
    fn moving(&self) -> impl Iterator<Item = &HostId> {
        self.hosts.iter().filter(|(_, tracked)| tracked.is_moving()).map(|(id, _)| id)
    }

    /// Takes over rows that were read; how long a host has been seen drained stays known.
    fn read(&mut self, hosts: Vec<Host>) {
        let mut before = std::mem::take(&mut self.hosts);
        for host in hosts {
            let known = before.remove(&host.id);
            let is_same = |tracked: &Tracked| tracked.host.row.epoch == host.row.epoch;
            let known = known.filter(is_same);
            let drained_since = known.as_ref().and_then(|tracked| tracked.drained_since);
            let overspent_since = known.and_then(|tracked| tracked.overspent_since);
            let id = host.id.clone();
            self.hosts.insert(id, Tracked { host, drained_since, overspent_since });
        }
    }
}

impl Tracked {
    fn is_moving(&self) -> bool {
        self.host.row.phase != HostPhase::Serving || self.host.row.want.is_some()
    }

    /// Notes what is seen of the host now; `confirm` is how long a budget must be overspent.
    fn observe(
        &mut self,
        status: Option<HostStatus>,
        is_overspent: bool,
        confirm: Duration,
    ) -> Observation {
        let now = BootInstant::now();
        let is_drained = status.as_ref().is_some_and(HostStatus::is_drained);
        self.drained_since = is_drained.then(|| self.drained_since.unwrap_or(now));
        self.overspent_since = is_overspent.then(|| self.overspent_since.unwrap_or(now));
        let drained_for =
            self.drained_since.map_or(Duration::ZERO, |since| now.duration_since(since));
        let is_overspent =
            self.overspent_since.is_some_and(|since| now.duration_since(since) >= confirm);
        Observation { status, drained_for, is_overspent }
    }
}
