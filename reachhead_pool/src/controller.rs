//! One entry host's part in looking after pools: leases, then a step for each host on its way.
//!
//! A round reads the lease and the head of the pools that concern this host in one call; hosts are
//! read again only when the head moved. Nothing is kept that a round could not find out again.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use log::debug;
use reachhead_store::{
    Store, StoreError,
    hosts::{self, Host, HostError},
    keys,
    platform::{DrainTag, HostStatus, Platform},
    row::{Commit, Row, Txn},
};
use reachhead_types::{
    id::{HostId, PoolName},
    member::MemberId,
    pool::{HostPhase, HostRow, LeaseRow},
    size::{Epoch, Revision},
};
use serde::{Deserialize, Serialize};

use crate::{
    host::{self, HostStep, Sight},
    lease::{self, Candidate, LeaseStep},
};

/// Rows that are read for each pool.
const ROWS_PER_POOL: usize = 2;

/// What this entry host knows when a round begins.
#[derive(Debug, Clone, Default)]
pub struct Outlook {
    /// This host's stay on the list; `None` while it has none, when it is in charge of nothing.
    pub own: Option<MemberId>,
    /// The entry hosts on the list.
    pub candidates: Vec<Candidate>,
    /// The pools of the configuration.
    pub pools: Vec<PoolName>,
    /// The hosts that are leaving by the platform's list.
    pub leaving: BTreeSet<HostId>,
}

/// Something that operators should hear of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Happening {
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
    drained_since: Option<Instant>,
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
pub struct Terms {
    /// How long a host must be seen drained before it counts as empty.
    pub drain: Duration,
    /// How long an owner that is there may take to hand a pool over.
    pub hand_over: Duration,
}

/// Looks after the pools that fall to one entry host.
pub struct Controller {
    store: Arc<dyn Store>,
    platform: Arc<dyn Platform>,
    terms: Terms,
    held: BTreeMap<PoolName, Held>,
    /// Since when pools that should be this host's have been others'.
    awaited: BTreeMap<PoolName, Instant>,
    happenings: Vec<Happening>,
}

impl Controller {
    /// Returns a controller that is in charge of nothing yet.
    pub fn new(store: Arc<dyn Store>, platform: Arc<dyn Platform>, terms: Terms) -> Self {
        Self {
            store,
            platform,
            terms,
            held: BTreeMap::new(),
            awaited: BTreeMap::new(),
            happenings: Vec::new(),
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

    /// Does one round and returns what happened.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; the next round finds out how far this one came.
    pub async fn round(&mut self, outlook: &Outlook) -> Result<Vec<Happening>, StoreError> {
        let result = self.try_round(outlook).await;
        let happenings = std::mem::take(&mut self.happenings);
        result.map(|()| happenings)
    }

    /// Hands over every pool, as a host does that is about to end.
    pub async fn leave(&mut self) {
        for (pool, held) in std::mem::take(&mut self.held) {
            if let Err(error) = self.release(&pool, held.lease, held.epoch).await {
                debug!("handing over {pool}: {error}");
            }
        }
    }

    async fn try_round(&mut self, outlook: &Outlook) -> Result<(), StoreError> {
        let Some(own) = &outlook.own else {
            for pool in std::mem::take(&mut self.held).into_keys() {
                self.happenings.push(Happening::LeaseEnded(pool));
            }
            return Ok(());
        };
        let concerns = |pool: &&PoolName| {
            let is_preferred = lease::preferred(pool, &outlook.candidates) == Some(own);
            is_preferred || self.held.contains_key(*pool)
        };
        let pools: Vec<PoolName> = outlook.pools.iter().filter(concerns).cloned().collect();
        // A pool that was deleted had no hosts left.
        self.held.retain(|pool, _| pools.contains(pool));
        self.awaited.retain(|pool, _| pools.contains(pool));
        if pools.is_empty() {
            return Ok(());
        }
        let keys = pools.iter().flat_map(|pool| [keys::lease(pool), keys::pool_head(pool)]);
        let rows = self.store.read(keys.collect()).await?;
        for (pool, rows) in pools.iter().zip(rows.chunks(ROWS_PER_POOL)) {
            let [lease, head] = rows else { continue };
            let head = Head(head.as_ref().map(|row| row.revision));
            if self.keep_lease(outlook, own, pool, lease.as_ref()).await? {
                self.look_after(outlook, pool, head).await?;
            }
        }
        Ok(())
    }

    /// Brings the lease of `pool` to where it should be and tells whether this host is in charge.
    async fn keep_lease(
        &mut self,
        outlook: &Outlook,
        own: &MemberId,
        pool: &PoolName,
        row: Option<&Row>,
    ) -> Result<bool, StoreError> {
        let lease = row.and_then(|row| LeaseRow::deserialize(&row.value).ok());
        let is_overdue = self.is_overdue(pool);
        let step = lease::step(own, pool, &outlook.candidates, lease.as_ref(), is_overdue);
        if step != LeaseStep::Wait {
            self.awaited.remove(pool);
        }
        match (step, row, lease) {
            (LeaseStep::Hold, Some(row), Some(lease)) => {
                self.note_held(pool, row.revision, lease.epoch);
                Ok(true)
            }
            (LeaseStep::Take, row, lease) => {
                self.take(own, pool, row, lease.unwrap_or_default()).await
            }
            (LeaseStep::Release, Some(row), Some(lease)) => {
                self.note_ended(pool);
                self.release(pool, row.revision, lease.epoch).await?;
                Ok(false)
            }
            _ => {
                self.note_ended(pool);
                Ok(false)
            }
        }
    }

    /// Tells whether another host has had for too long what should be this host's.
    fn is_overdue(&mut self, pool: &PoolName) -> bool {
        let since = self.awaited.entry(pool.clone()).or_insert_with(Instant::now);
        since.elapsed() >= self.terms.hand_over
    }

    fn note_ended(&mut self, pool: &PoolName) {
        if self.held.remove(pool).is_some() {
            self.happenings.push(Happening::LeaseEnded(pool.clone()));
        }
    }

    fn note_held(&mut self, pool: &PoolName, lease: Revision, epoch: Epoch) {
        if self.held.get(pool).is_some_and(|held| held.lease == lease) {
            return;
        }
        let held = Held { lease, epoch, head: None, hosts: BTreeMap::new() };
        self.held.insert(pool.clone(), held);
        self.happenings.push(Happening::LeaseTaken(pool.clone(), epoch));
    }

    async fn take(
        &mut self,
        own: &MemberId,
        pool: &PoolName,
        row: Option<&Row>,
        lease: LeaseRow,
    ) -> Result<bool, StoreError> {
        let lease = LeaseRow { owner: Some(own.clone()), epoch: lease.epoch.next() };
        let txn = Txn::new()
            .with_check(keys::lease(pool), row.map(|row| row.revision))
            .with_write(keys::lease(pool), json(&lease));
        match self.store.commit(txn).await? {
            Commit::Done(revision) => {
                self.note_held(pool, revision, lease.epoch);
                Ok(true)
            }
            Commit::Conflict(_) => Ok(false),
        }
    }

    async fn release(
        &self,
        pool: &PoolName,
        revision: Revision,
        epoch: Epoch,
    ) -> Result<(), StoreError> {
        let lease = LeaseRow { owner: None, epoch };
        let txn = Txn::new()
            .with_check(keys::lease(pool), Some(revision))
            .with_write(keys::lease(pool), json(&lease));
        // A conflict means that someone else has taken it already.
        self.store.commit(txn).await.map(drop)
    }

    /// Does a step for each host of `pool` that is on its way.
    async fn look_after(
        &mut self,
        outlook: &Outlook,
        pool: &PoolName,
        head: Head,
    ) -> Result<(), StoreError> {
        let Some(held) = self.held.get_mut(pool) else {
            return Ok(());
        };
        if held.head != Some(head) {
            held.read(hosts::in_pool(&*self.store, pool).await?);
            held.head = Some(head);
        }
        let moving: Vec<HostId> = held
            .hosts
            .iter()
            .filter(|(id, tracked)| tracked.is_moving() || outlook.leaving.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        if moving.is_empty() {
            return Ok(());
        }
        let statuses = self.platform.status(moving.clone()).await?;
        for (id, status) in moving.into_iter().zip(statuses) {
            if let Err(error) = self.step(pool, &id, status).await {
                debug!("host {id}: {error}");
                // Whatever came of it is read before the next step.
                self.forget_head(pool);
            }
        }
        Ok(())
    }

    fn forget_head(&mut self, pool: &PoolName) {
        if let Some(held) = self.held.get_mut(pool) {
            held.head = None;
        }
    }

    async fn step(
        &mut self,
        pool: &PoolName,
        id: &HostId,
        status: Option<HostStatus>,
    ) -> Result<(), HostError> {
        let Some(held) = self.held.get_mut(pool) else {
            return Ok(());
        };
        let lease = held.lease;
        let Some(tracked) = held.hosts.get_mut(id) else {
            return Ok(());
        };
        let sight = tracked.see(status, Instant::now());
        let host = tracked.host.clone();
        match host::step(&host.row, &sight, self.terms.drain) {
            HostStep::Wait => {}
            HostStep::Drain => {
                self.platform.drain(id.clone(), DrainTag::new(host.revision)).await?;
            }
            HostStep::Undrain(tag) => self.platform.undrain(id.clone(), tag).await?,
            HostStep::Enter(phase) => {
                self.put(pool, &host, HostRow { phase, ..host.row.clone() }, lease).await?;
                self.happenings.push(Happening::HostEntered(id.clone(), phase));
            }
            HostStep::Settle => {
                self.put(pool, &host, HostRow { want: None, ..host.row.clone() }, lease).await?;
            }
            HostStep::HandOver(to) => {
                let has_moved = hosts::hand_over(&*self.store, &host, &to, lease).await?;
                self.forget_head(pool);
                if has_moved {
                    self.happenings.push(Happening::HostMoved(id.clone(), to));
                }
            }
        }
        Ok(())
    }

    async fn put(
        &mut self,
        pool: &PoolName,
        host: &Host,
        row: HostRow,
        lease: Revision,
    ) -> Result<(), StoreError> {
        let written = hosts::put(&*self.store, host, &row, lease).await?;
        let Some(revision) = written else {
            self.forget_head(pool);
            return Ok(());
        };
        let held = self.held.get_mut(pool);
        if let Some(tracked) = held.and_then(|held| held.hosts.get_mut(&host.id)) {
            tracked.host = Host { id: host.id.clone(), row, revision };
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
            let drained_since = known.filter(is_same).and_then(|tracked| tracked.drained_since);
            self.hosts.insert(host.id.clone(), Tracked { host, drained_since });
        }
    }
}

impl Tracked {
    fn is_moving(&self) -> bool {
        self.host.row.phase != HostPhase::Serving || self.host.row.want.is_some()
    }

    fn see(&mut self, status: Option<HostStatus>, now: Instant) -> Sight {
        let is_drained = status.as_ref().is_some_and(HostStatus::is_drained);
        self.drained_since = is_drained.then(|| self.drained_since.unwrap_or(now));
        let drained_for = self.drained_since.map_or(Duration::ZERO, |since| now - since);
        Sight { status, drained_for }
    }
}

fn json(lease: &LeaseRow) -> serde_json::Value {
    serde_json::to_value(lease).unwrap_or_default()
}
