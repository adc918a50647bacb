//! Balances hosts between pools, so that capacity follows demand and unused hosts are switched off.
//!
//! A host that moves is unavailable for a while and everything on it ends, so only empty hosts
//! move. Demand comes in bursts of some seconds, so a move pays off even if the host is needed only
//! for a few seconds.

mod scale_down;

use std::collections::{BTreeMap, BTreeSet};

use reachhead_types::{
    id::{HostId, PoolName, WorkerId, ZoneName},
    size::Millis,
};

use self::scale_down::ScaleDown;
pub use self::scale_down::{ClockPair, PoolUsage, UsageRecord, restart_cost};
use crate::{
    clock::Tick,
    division::{Claim, divide},
    pool::{PoolLoad, WorkerLoad},
    ports::{PlatformHost, PlatformHostState},
};

/// Capacity beyond the need, in percent: sizes of jobs vary, and tasks don't fill a host exactly.
const MARGIN_PERCENT: u64 = 15;

/// Minimum number of hosts of each pool with queues, so that its first jobs start at once.
const MIN_HOSTS: usize = 3;

/// Minimum stay of a host in its pool after a move, against flapping.
const MIN_STAY: Millis = Millis(1500);

/// State of a pool as input of a round.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolState {
    /// Load as reported by the pool's owner.
    pub load: PoolLoad,
    /// Spare pool: its hosts are switched off and cost nothing.
    pub spare: bool,
}

/// A move of a host to another pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Host that moves.
    pub host: HostId,
    /// Worker that has to be empty, by its incarnation; `None` for a host that is switched off.
    pub worker: Option<WorkerId>,
    /// Pool that the host leaves.
    pub from: PoolName,
    /// Pool that the host joins.
    pub to: PoolName,
}

/// How long the worker of a running host may be absent before its pool gets another host in its
/// place. A worker joins within a second after its host is back, and short partitions are not worth
/// a move.
const MAX_ABSENCE: Millis = Millis(1500);

/// Hosts of a pool and its need for them, as found in one round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostDemand {
    /// Name of the pool.
    pub pool: PoolName,
    /// Hosts that the pool has or that are moving to it.
    pub have: usize,
    /// Hosts that the pool could use.
    pub claim: usize,
    /// Hosts that the pool should have; fewer than `claim` if the fleet is too small for all
    /// claims.
    pub want: usize,
    /// Hosts of the pool that may leave now.
    pub free: usize,
    /// Number of hosts that the pool's used capacity would fill.
    pub busy: usize,
}

/// State of host balancing that is kept from round to round.
#[derive(Debug, Clone, Default)]
pub struct Balance {
    /// Demands found by the last round.
    demands: Vec<HostDemand>,
    /// When a host was first seen in its current pool.
    arrived: BTreeMap<HostId, Tick>,
    current_pool: BTreeMap<HostId, PoolName>,
    /// Since when a host has been up without a usable worker.
    absent: BTreeMap<HostId, Tick>,
    scale_down: ScaleDown,
}

/// Hosts of a pool and its need for them, while a round is computed.
struct Account {
    pool: PoolName,
    /// Hosts that the pool has or that are moving to it.
    have: usize,
    /// Hosts that the pool could use, by urgency.
    claim: Claim,
    /// Hosts that the pool should have.
    want: usize,
    /// Number of hosts that the pool's used capacity would fill.
    busy: usize,
    /// The pool's owner has seen work arrive. Before that its hosts stay on: idleness means nothing
    /// yet, and the first jobs of a burst would have to wait two seconds for a host.
    has_seen_work: bool,
    /// Empty hosts that may leave.
    free: Vec<Move>,
    /// Empty hosts that should leave, since their workers are drained.
    drained_hosts: Vec<Move>,
}

impl Account {
    fn demand(&self) -> HostDemand {
        HostDemand {
            pool: self.pool.clone(),
            have: self.have,
            claim: self.claim.total,
            want: self.want,
            free: self.free.len(),
            busy: self.busy,
        }
    }
}

impl Balance {
    /// Creates a balance without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the moves to begin now, the most urgent first. `rate` is the number of orders a
    /// second that the platform accepts; `held` says which hosts are in use for something else.
    pub fn next(
        &mut self,
        hosts: &BTreeMap<HostId, PlatformHost>,
        pools: &BTreeMap<PoolName, PoolState>,
        drained: &BTreeSet<ZoneName>,
        rate: f64,
        held: impl Fn(&HostId) -> bool,
        now: Tick,
    ) -> Vec<Move> {
        self.record_arrivals(hosts, now);
        let spare = pools.iter().find(|(_, state)| state.spare).map(|(name, _)| name.clone());
        let largest = pools.values().filter_map(|state| largest_worker(&state.load)).max();
        let mut accounts: Vec<Account> = pools
            .iter()
            .filter(|(_, state)| !state.spare)
            .filter_map(|(name, state)| {
                // A pool whose workers have not answered yet is assumed to have workers of the
                // usual size.
                let size = largest_worker(&state.load).or(largest)?;
                Some(self.account(name, state, size, hosts, &held, now))
            })
            .collect();
        let mut off: Vec<Move> = match &spare {
            Some(spare) => spare_hosts(spare, hosts, drained, &held),
            None => Vec::new(),
        };
        limit_to_available(&mut accounts, off.len());
        self.demands = accounts.iter().map(Account::demand).collect();
        let mut moves = Vec::new();
        self.fill(&mut accounts, &mut off, &mut moves);
        if let Some(spare) = spare {
            let cost = restart_cost(hosts.len(), rate);
            moves.extend(self.scale_down.next(&accounts, &spare, cost, now));
        }
        moves
    }

    /// Returns the usage of hosts by pools as a record for the successor.
    pub fn record(&self, clock: ClockPair) -> UsageRecord {
        self.scale_down.record(clock)
    }

    /// Merges the record of a predecessor into the usage history.
    pub fn restore(&mut self, record: &UsageRecord, clock: ClockPair) {
        self.scale_down.restore(record, clock);
    }

    /// Returns the demands found by the last round, before its moves.
    pub fn demands(&self) -> &[HostDemand] {
        &self.demands
    }

    fn record_arrivals(&mut self, hosts: &BTreeMap<HostId, PlatformHost>, now: Tick) {
        for host in hosts.values() {
            let previous = self.current_pool.insert(host.host.clone(), host.pool.clone());
            if previous.is_some_and(|previous| previous != host.pool) {
                self.arrived.insert(host.host.clone(), now);
            }
        }
    }

    fn account(
        &mut self,
        pool: &PoolName,
        state: &PoolState,
        size: u64,
        hosts: &BTreeMap<HostId, PlatformHost>,
        held: &impl Fn(&HostId) -> bool,
        now: Tick,
    ) -> Account {
        let own = hosts.values().filter(|host| host.pool == *pool);
        let usable = own
            .filter(|host| matches!(host.state, PlatformHostState::Up | PlatformHostState::Moving));
        let loads: BTreeMap<&WorkerId, &WorkerLoad> =
            state.load.workers.iter().map(|load| (&load.worker, load)).collect();
        let mut have = 0;
        let mut free: Vec<Move> = Vec::new();
        let mut drained_hosts: Vec<Move> = Vec::new();
        for host in usable {
            let load = host.worker.as_ref().and_then(|worker| loads.get(worker).copied());
            if let Some(load) = load.filter(|load| load.drained) {
                if load.used == 0 && !load.pinned && !held(&host.host) {
                    drained_hosts.push(leave(host, pool));
                }
                continue;
            }
            let is_usable = load.is_some() || host.state != PlatformHostState::Up;
            if is_usable || state.load.unsettled || self.is_awaited(&host.host, now) {
                have += 1;
            }
            if is_usable {
                self.absent.remove(&host.host);
            }
            let is_new =
                self.arrived.get(&host.host).is_some_and(|since| now.since(*since) < MIN_STAY);
            let Some(load) = load.filter(|load| !load.pinned) else {
                continue;
            };
            if host.state != PlatformHostState::Up || is_new || held(&host.host) {
                continue;
            }
            // A host can only leave when it is empty, so hosts in use count as needed.
            if load.used == 0 {
                free.push(leave(host, pool));
            }
        }
        free.sort_by(|a, b| a.host.cmp(&b.host));
        let claim = claim_of(&state.load, size);
        let want = claim.total;
        let used = state.load.workers.iter().map(|load| load.used).fold(0, u64::saturating_add);
        let busy = used.div_ceil(size.max(1)) as usize;
        let has_seen_work = state.load.begun;
        Account { pool: pool.clone(), have, claim, want, busy, has_seen_work, free, drained_hosts }
    }

    /// Returns whether the worker of a host may still be expected to come back.
    fn is_awaited(&mut self, host: &HostId, now: Tick) -> bool {
        let since = *self.absent.entry(host.clone()).or_insert(now);
        now.since(since) < MAX_ABSENCE
    }

    /// Gives hosts to pools that need more: first hosts that are switched off, then the surplus of
    /// other pools.
    fn fill(&self, accounts: &mut [Account], off: &mut Vec<Move>, moves: &mut Vec<Move>) {
        let mut order: Vec<usize> = (0..accounts.len()).collect();
        order.sort_by_key(|&index| {
            std::cmp::Reverse(accounts[index].want.saturating_sub(accounts[index].have))
        });
        for index in order {
            while accounts[index].have < accounts[index].want {
                let Some(mut step) = off.pop().or_else(|| surplus(accounts)) else {
                    return;
                };
                step.to = accounts[index].pool.clone();
                accounts[index].have += 1;
                moves.push(step);
            }
        }
    }
}

/// Returns a move of a host out of its pool, with the destination still to be set.
fn leave(host: &PlatformHost, pool: &PoolName) -> Move {
    Move {
        host: host.host.clone(),
        worker: host.worker.clone(),
        from: pool.clone(),
        to: pool.clone(),
    }
}

/// Returns the workers of a pool that count as capacity.
fn usable(load: &PoolLoad) -> impl Iterator<Item = &WorkerLoad> {
    load.workers.iter().filter(|load| !load.drained)
}

/// Returns the capacity of a pool's largest worker, in thousandths of a core.
fn largest_worker(load: &PoolLoad) -> Option<u64> {
    usable(load).map(|load| load.cores).max().filter(|cores| *cores > 0)
}

/// Returns an amount plus the margin.
fn with_margin(amount: u64) -> u64 {
    amount.saturating_add(amount.saturating_mul(MARGIN_PERCENT) / 100)
}

/// Returns the claim of a pool for hosts of this size.
fn claim_of(load: &PoolLoad, size: u64) -> Claim {
    let pinned = usable(load).filter(|load| load.pinned).count();
    let extra = load.extra as usize;
    let base = MIN_HOSTS.max(pinned).max(load.least as usize);
    let total = with_margin(load.need);
    let hosts = |cores: u64| hosts_for(cores, load, size).max(base) + extra;
    Claim { base: base + extra, timely: hosts(load.timely.min(total)), total: hosts(total) }
}

/// Returns how many hosts provide this many thousandths of a core. The pool's own workers count
/// first, the largest before those whose capacity has shrunk; further hosts count with `size`.
fn hosts_for(cores: u64, load: &PoolLoad, size: u64) -> usize {
    let mut own: Vec<u64> = usable(load).map(|load| load.cores).collect();
    own.sort_unstable_by_key(|cores| std::cmp::Reverse(*cores));
    let mut left = cores;
    let mut hosts = 0;
    for cores in own {
        if left == 0 {
            return hosts;
        }
        left = left.saturating_sub(cores);
        hosts += 1;
    }
    hosts + left.div_ceil(size) as usize
}

/// Limits what the pools should have to the available hosts.
fn limit_to_available(accounts: &mut [Account], off: usize) {
    let claims: Vec<Claim> = accounts.iter().map(|account| account.claim).collect();
    let hosts = accounts.iter().map(|account| account.have).sum::<usize>() + off;
    for (account, share) in accounts.iter_mut().zip(divide(hosts, &claims)) {
        account.want = share;
    }
}

/// Takes an empty host from the pool with the largest surplus.
fn surplus(accounts: &mut [Account]) -> Option<Move> {
    let donor = accounts
        .iter_mut()
        .filter(|account| account.have > account.want && !account.free.is_empty())
        .max_by_key(|account| account.have - account.want)?;
    donor.have -= 1;
    Some(donor.free.remove(0))
}

/// Returns the hosts of the spare pool that can be switched on.
fn spare_hosts(
    spare: &PoolName,
    hosts: &BTreeMap<HostId, PlatformHost>,
    drained: &BTreeSet<ZoneName>,
    held: &impl Fn(&HostId) -> bool,
) -> Vec<Move> {
    let is_drained =
        |host: &PlatformHost| host.zone.as_ref().is_some_and(|zone| drained.contains(zone));
    hosts
        .values()
        .filter(|host| host.pool == *spare && host.state == PlatformHostState::Up)
        .filter(|host| !is_drained(host) && !held(&host.host))
        .map(|host| Move {
            host: host.host.clone(),
            worker: None,
            from: spare.clone(),
            to: spare.clone(),
        })
        .collect()
}
