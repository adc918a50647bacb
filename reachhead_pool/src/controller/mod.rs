//! The pool controller of one entry host: reconciles leases, then the hosts of the pools that it
//! owns.
//!
//! A round reads the lease, head and wave rows of all relevant pools in one call. The hosts of a
//! pool are read again only if its head has changed. All state can be rebuilt from the store, so a
//! restarted controller needs nothing else.

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

/// Rows that a round reads per pool: lease, head and wave.
const ROWS_PER_POOL: usize = 3;

/// The input of a round, taken from the configuration and the membership list.
#[derive(Debug, Clone, Default)]
pub struct RoundInput {
    /// This host and its incarnation on the membership list; `None` if it is not on the list, so
    /// that it can't own a pool.
    pub own: Option<MemberId>,
    /// The entry hosts on the membership list.
    pub candidates: Vec<Candidate>,
    /// The pools of the configuration.
    pub pools: Vec<PoolName>,
    /// The hosts that the platform's list reports as leaving.
    pub leaving: BTreeSet<HostId>,
    /// The hosts of the minions of each service.
    pub placements: Arc<MinionPlacements>,
}

/// A change that is reported to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolEvent {
    /// This host became the owner of a pool.
    LeaseTaken(PoolName, Epoch),
    /// This host is no longer the owner of a pool.
    LeaseEnded(PoolName),
    /// A host entered a phase.
    HostEntered(HostId, HostPhase),
    /// A host moved to another pool.
    HostMoved(HostId, PoolName),
}

/// A pool that this host owns.
struct OwnedPool {
    /// Revision of the lease row, the fencing token of all writes for the pool.
    lease: Revision,
    epoch: Epoch,
    /// The head of the pool when its hosts were read; `None` if they must be read again.
    head: Option<Head>,
    hosts: BTreeMap<HostId, TrackedHost>,
}

/// The revision of the head row of a pool; `None` if there is no row yet.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Head(Option<Revision>);

/// A host of an owned pool, with the times for which its state has been observed.
struct TrackedHost {
    host: Host,
    /// When the host was first observed drained, by the clock of this process.
    drained_since: Option<BootInstant>,
    /// When a budget that the host spends was first observed exceeded.
    overspent_since: Option<BootInstant>,
}

/// The state of an owned pool, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct PoolState {
    /// The pool.
    pub pool: PoolName,
    /// How often its owner has changed.
    pub epoch: Epoch,
    /// Number of hosts.
    pub hosts: usize,
    /// Hosts in maintenance or with a pending move.
    pub moving: Vec<HostId>,
}

/// Time limits and batch size of a controller.
#[derive(Debug, Clone, Copy)]
pub struct ControllerLimits {
    /// How long a host must be observed drained before it counts as empty.
    pub drain: Duration,
    /// How long a live owner may take to hand a pool over to the preferred host.
    pub hand_over_timeout: Duration,
    /// How long a budget must be observed exceeded before a drain is cancelled, since the host list
    /// lags behind.
    pub overspend_confirmation: Duration,
    /// Maximum number of hosts per pool that a wave processes at once, even if budgets allow more.
    pub max_wave_hosts: usize,
}

/// Manages the pools that one entry host owns.
pub struct Controller {
    store: Arc<dyn Store>,
    platform: Arc<dyn Platform>,
    limits: ControllerLimits,
    owned: BTreeMap<PoolName, OwnedPool>,
    /// When each pool that prefers this host was first observed with another owner.
    awaited_since: BTreeMap<PoolName, BootInstant>,
    events: Vec<PoolEvent>,
}

impl Controller {
    /// Returns a controller that owns no pool yet.
    pub fn new(
        store: Arc<dyn Store>,
        platform: Arc<dyn Platform>,
        limits: ControllerLimits,
    ) -> Self {
        Self {
            store,
            platform,
            limits,
            owned: BTreeMap::new(),
            awaited_since: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Returns the state of the pools that this host owns.
    pub fn state(&self) -> Vec<PoolState> {
        let state = |(pool, owned): (&PoolName, &OwnedPool)| PoolState {
            pool: pool.clone(),
            epoch: owned.epoch,
            hosts: owned.hosts.len(),
            moving: owned.moving().cloned().collect(),
        };
        self.owned.iter().map(state).collect()
    }

    /// Returns whether no host of an owned pool is in maintenance or has a pending move.
    pub fn is_idle(&self) -> bool {
        self.owned.values().all(|owned| owned.moving().next().is_none())
    }

    /// Runs one round and returns the resulting events.
    ///
    /// # Errors
    ///
    /// Returns any [`StoreError`]; the round may have been applied in part, and the next one
    /// continues from the stored rows.
    pub async fn round(&mut self, input: &RoundInput) -> Result<Vec<PoolEvent>, StoreError> {
        let result = self.try_round(input).await;
        let events = std::mem::take(&mut self.events);
        result.map(|()| events)
    }

    /// Releases every lease, so that other hosts can acquire the pools before this one shuts down.
    pub async fn release_all(&mut self) {
        for (pool, owned) in std::mem::take(&mut self.owned) {
            if let Err(error) = self.release(&pool, owned.lease, owned.epoch).await {
                debug!("release of the lease of pool {pool} failed: {error}");
            }
        }
    }

    async fn try_round(&mut self, input: &RoundInput) -> Result<(), StoreError> {
        let Some(own) = &input.own else {
            for pool in std::mem::take(&mut self.owned).into_keys() {
                self.events.push(PoolEvent::LeaseEnded(pool));
            }
            return Ok(());
        };
        let is_relevant = |pool: &&PoolName| {
            let is_preferred = lease::preferred_owner(pool, &input.candidates) == Some(own);
            is_preferred || self.owned.contains_key(*pool)
        };
        let pools: Vec<PoolName> = input.pools.iter().filter(is_relevant).cloned().collect();
        // Only pools without hosts can be deleted, so nothing is left to do for a deleted pool.
        self.owned.retain(|pool, _| pools.contains(pool));
        self.awaited_since.retain(|pool, _| pools.contains(pool));
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
            // A row that this release can't parse fails the round: it must count neither as a free
            // lease nor as the absence of a wave.
            let wave: Option<WaveRow> = wave.as_ref().map(Row::parse).transpose()?;
            if self.reconcile_lease(input, own, pool, lease.as_ref()).await? {
                self.reconcile_hosts(input, pool, head, wave.as_ref()).await?;
            }
        }
        Ok(())
    }
}

impl OwnedPool {
    /// Returns the hosts in maintenance or with a pending move.
    fn moving(&self) -> impl Iterator<Item = &HostId> {
        self.hosts.iter().filter(|(_, tracked)| tracked.is_moving()).map(|(id, _)| id)
    }

    /// Replaces the hosts by rows that were just read; observation times of hosts that stayed in
    /// the pool are kept.
    fn update_hosts(&mut self, hosts: Vec<Host>) {
        let mut previous = std::mem::take(&mut self.hosts);
        for host in hosts {
            let known = previous.remove(&host.id);
            let is_same_epoch = |tracked: &TrackedHost| tracked.host.row.epoch == host.row.epoch;
            let known = known.filter(is_same_epoch);
            let drained_since = known.as_ref().and_then(|tracked| tracked.drained_since);
            let overspent_since = known.and_then(|tracked| tracked.overspent_since);
            let id = host.id.clone();
            self.hosts.insert(id, TrackedHost { host, drained_since, overspent_since });
        }
    }
}

impl TrackedHost {
    fn is_moving(&self) -> bool {
        self.host.row.phase != HostPhase::Serving || self.host.row.target_pool.is_some()
    }

    /// Records the current status of the host and returns its observation; a budget must be
    /// exceeded for `confirm` before it is reported as overspent.
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
