//! Which hosts change their pool, so that room is where the work is and unused hosts cost nothing.
//!
//! A host that moves is away for a while and everything on it ends, so only empty ones move. Demand
//! comes in bursts of some seconds, so a host is also worth moving that is needed only for a few.

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

/// Room beyond the need, in percent: sizes of jobs vary, and tasks don't fill a host exactly.
const MARGIN_PERCENT: u64 = 15;

/// Hosts that each pool with queues keeps at least, so that its first jobs start at once.
const LEAST_HOSTS: usize = 3;

/// How long a host stays in its pool after it came, so that none goes to and fro.
const STAY_TIME: Millis = Millis(1500);

/// A pool as it is looked at.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolState {
    /// Its load, as its owner told it.
    pub load: PoolLoad,
    /// Its hosts are off and cost nothing.
    pub spare: bool,
}

/// A host that should change its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The host.
    pub host: HostId,
    /// The life of its worker, which has to be empty; `None` for a host that is off.
    pub worker: Option<WorkerId>,
    /// Where it is.
    pub from: PoolName,
    /// Where it should be.
    pub to: PoolName,
}

/// How long a host may be up without its worker being of use, before its pool gets another for it. A
/// worker joins within a second after its host is back, and short cuts are not worth a move.
const ABSENT_TIME: Millis = Millis(1500);

/// What a pool has and needs, as a round found it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostDemand {
    /// The pool.
    pub pool: PoolName,
    /// Hosts that it has or that are on their way to it.
    pub have: usize,
    /// Hosts that it could use.
    pub claim: usize,
    /// Hosts that it should have, which are fewer if the fleet has less than all pools could use.
    pub want: usize,
    /// Hosts of it that may leave now.
    pub free: usize,
    /// Hosts that what is in use of all of them would fill.
    pub busy: usize,
}

/// What is remembered from round to round.
#[derive(Debug, Clone, Default)]
pub struct Balance {
    /// What the last round found.
    demands: Vec<HostDemand>,
    /// When a host was last seen to be somewhere new.
    arrived: BTreeMap<HostId, Tick>,
    place: BTreeMap<HostId, PoolName>,
    /// Since when a host is up and its worker is of no use to its pool.
    absent: BTreeMap<HostId, Tick>,
    scale_down: ScaleDown,
}

/// A pool's hosts and what it needs of them.
struct Account {
    pool: PoolName,
    /// Hosts that it has or that are on their way to it.
    have: usize,
    /// Hosts that it could use, by urgency.
    claim: Claim,
    /// Hosts that it should have.
    want: usize,
    /// Hosts that what is in use of all of them would fill.
    busy: usize,
    /// Its owner has seen work arrive. Before that its hosts stay on: a lull is no news then, and the first callers of a
    /// burst meet them instead of waiting two seconds for a host.
    begun: bool,
    /// Hosts that may leave.
    free: Vec<Move>,
    /// Hosts that do, since they are of no use where they stand.
    idle: Vec<Move>,
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
    /// Returns a balance that remembers nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the moves to begin now, the most urgent first. `rate` is how many orders a second the platform takes; `held` are
    /// hosts that something else is done with.
    pub fn next(
        &mut self,
        hosts: &BTreeMap<HostId, PlatformHost>,
        pools: &BTreeMap<PoolName, PoolState>,
        drained: &BTreeSet<ZoneName>,
        rate: f64,
        held: impl Fn(&HostId) -> bool,
        now: Tick,
    ) -> Vec<Move> {
        self.remember(hosts, now);
        let spare = pools.iter().find(|(_, state)| state.spare).map(|(name, _)| name.clone());
        let largest = pools.values().filter_map(|state| largest_worker(&state.load)).max();
        let mut accounts: Vec<Account> = pools
            .iter()
            .filter(|(_, state)| !state.spare)
            .filter_map(|(name, state)| {
                // A pool whose workers have not answered yet is taken to have such as the others have.
                let size = largest_worker(&state.load).or(largest)?;
                Some(self.account(name, state, size, hosts, &held, now))
            })
            .collect();
        let mut off: Vec<Move> = match &spare {
            Some(spare) => parked(spare, hosts, drained, &held),
            None => Vec::new(),
        };
        share_out(&mut accounts, off.len());
        self.demands = accounts.iter().map(Account::demand).collect();
        let mut moves = Vec::new();
        self.fill(&mut accounts, &mut off, &mut moves);
        if let Some(spare) = spare {
            let cost = restart_cost(hosts.len(), rate);
            moves.extend(self.scale_down.next(&accounts, &spare, cost, now));
        }
        moves
    }

    /// Returns what a successor has to know of the pools' use of their hosts.
    pub fn record(&self, clock: ClockPair) -> UsageRecord {
        self.scale_down.record(clock)
    }

    /// Takes over what a predecessor knew of it.
    pub fn restore(&mut self, record: &UsageRecord, clock: ClockPair) {
        self.scale_down.restore(record, clock);
    }

    /// Returns what the last round found, before its moves.
    pub fn demands(&self) -> &[HostDemand] {
        &self.demands
    }

    fn remember(&mut self, hosts: &BTreeMap<HostId, PlatformHost>, now: Tick) {
        for host in hosts.values() {
            let known = self.place.insert(host.host.clone(), host.pool.clone());
            if known.is_some_and(|known| known != host.pool) {
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
        let mut idle: Vec<Move> = Vec::new();
        for host in usable {
            let load = host.worker.as_ref().and_then(|worker| loads.get(worker).copied());
            if let Some(load) = load.filter(|load| load.drained) {
                if load.used == 0 && !load.pinned && !held(&host.host) {
                    idle.push(leave(host, pool));
                }
                continue;
            }
            let of_use = load.is_some() || host.state != PlatformHostState::Up;
            if of_use || state.load.unsettled || self.is_awaited(&host.host, now) {
                have += 1;
            }
            if of_use {
                self.absent.remove(&host.host);
            }
            let fresh =
                self.arrived.get(&host.host).is_some_and(|since| now.since(*since) < STAY_TIME);
            let Some(load) = load.filter(|load| !load.pinned) else {
                continue;
            };
            if host.state != PlatformHostState::Up || fresh || held(&host.host) {
                continue;
            }
            // A host with work on it is only given away whole, so those in use count as needed.
            if load.used == 0 {
                free.push(leave(host, pool));
            }
        }
        free.sort_by(|a, b| a.host.cmp(&b.host));
        let claim = claimed(&state.load, size);
        let want = claim.total;
        let used: u64 = state.load.workers.iter().map(|load| load.used).sum();
        let busy = used.div_ceil(size.max(1)) as usize;
        let begun = state.load.begun;
        Account { pool: pool.clone(), have, claim, want, busy, begun, free, idle }
    }

    /// Tells whether a host whose worker is of no use may be waited for.
    fn is_awaited(&mut self, host: &HostId, now: Tick) -> bool {
        let since = *self.absent.entry(host.clone()).or_insert(now);
        now.since(since) < ABSENT_TIME
    }

    /// Gives hosts to pools that lack them: those that are off first, then those of pools that have
    /// more than they need.
    fn fill(&self, accounts: &mut [Account], off: &mut Vec<Move>, moves: &mut Vec<Move>) {
        let mut order: Vec<usize> = (0..accounts.len()).collect();
        order.sort_by_key(|&place| {
            std::cmp::Reverse(accounts[place].want.saturating_sub(accounts[place].have))
        });
        for place in order {
            while accounts[place].have < accounts[place].want {
                let Some(mut step) = off.pop().or_else(|| surplus(accounts)) else {
                    return;
                };
                step.to = accounts[place].pool.clone();
                accounts[place].have += 1;
                moves.push(step);
            }
        }
    }
}

/// Returns the step by which a host leaves its pool, whose end is not known yet.
fn leave(host: &PlatformHost, pool: &PoolName) -> Move {
    Move {
        host: host.host.clone(),
        worker: host.worker.clone(),
        from: pool.clone(),
        to: pool.clone(),
    }
}

/// Returns a pool's workers that are room.
fn usable(load: &PoolLoad) -> impl Iterator<Item = &WorkerLoad> {
    load.workers.iter().filter(|load| !load.drained)
}

/// Returns the size of a pool's largest worker, in thousandths of a core.
fn largest_worker(load: &PoolLoad) -> Option<u64> {
    usable(load).map(|load| load.cores).max().filter(|cores| *cores > 0)
}

/// Returns an amount with the room that goes with it.
fn with_margin(amount: u64) -> u64 {
    amount.saturating_add(amount.saturating_mul(MARGIN_PERCENT) / 100)
}

/// Returns how many hosts of this size a pool could use.
fn claimed(load: &PoolLoad, size: u64) -> Claim {
    let pinned = usable(load).filter(|load| load.pinned).count();
    let extra = load.extra as usize;
    let base = LEAST_HOSTS.max(pinned).max(load.least as usize);
    let whole = with_margin(load.need);
    let hosts = |cores: u64| hosts_for(cores, load, size).max(base) + extra;
    Claim { base: base + extra, timely: hosts(load.timely.min(whole)), total: hosts(whole) }
}

/// Returns how many hosts bear this many thousandths of a core, the largest of the pool's own first: those that have shrunk bear
/// less than others.
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

/// Cuts what the pools should have to the hosts that there are.
fn share_out(accounts: &mut [Account], off: usize) {
    let claims: Vec<Claim> = accounts.iter().map(|account| account.claim).collect();
    let hosts = accounts.iter().map(|account| account.have).sum::<usize>() + off;
    for (account, share) in accounts.iter_mut().zip(divide(hosts, &claims)) {
        account.want = share;
    }
}

/// Takes an empty host from the pool that has most to spare.
fn surplus(accounts: &mut [Account]) -> Option<Move> {
    let donor = accounts
        .iter_mut()
        .filter(|account| account.have > account.want && !account.free.is_empty())
        .max_by_key(|account| account.have - account.want)?;
    donor.have -= 1;
    Some(donor.free.remove(0))
}

/// Returns the hosts that are off and would be of use.
fn parked(
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
