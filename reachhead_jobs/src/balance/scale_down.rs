//! Decides which hosts to switch off: those that their pools have not needed for a while.
//!
//! Pools burst in turns, every ten or twenty seconds, on thousands of hosts of which the platform
//! moves some hundreds a second. Switching a host off between two bursts of its pool takes two
//! moves that gain little, and the pool meets the next burst without it. Hosts that no burst uses
//! are most of the fleet and are paid for until they are off. So a pool keeps the peak of its usage
//! over the time in which a move pays off. At first it keeps a reserve of half its hosts, which
//! shrinks as its usage becomes known. See docs/DIVISION.md.

use std::collections::{BTreeMap, VecDeque};

use reachhead_types::{id::PoolName, size::Millis};
use serde::{Deserialize, Serialize};

use super::{Account, Move, with_margin};
use crate::clock::Tick;

/// How long a host must have been surplus before it is switched off. Where moves are not scarce,
/// switching a host off and on costs about as much as two seconds of it, and it is away for three.
/// Sooner, callers of the next burst would wait for hosts that were just given up; later, the
/// customer would pay for hosts that it does not use.
const MIN_IDLE: Millis = Millis(3000);

const MS_PER_SECOND: f64 = 1000.0;

/// Divisor of the reserve: a pool without any work keeps one host in this many.
const RESERVE_DIVISOR: u64 = 2;

/// Usage history of all pools, stored for the next owner of all hosts. Without it a successor would
/// switch off hosts that the next burst needs, or keep hosts that no burst used.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Usage by pool.
    pub pools: BTreeMap<PoolName, PoolUsage>,
}

/// Usage of its hosts by a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolUsage {
    /// Most hosts that the pool had before its first work.
    pub first: usize,
    /// When its first work was seen, in milliseconds since 1970.
    #[serde(rename = "begun")]
    pub active_since: Option<Millis>,
    /// Most hosts that its work filled within the history window.
    #[serde(rename = "most")]
    pub peak: usize,
    /// When that peak was, in milliseconds since 1970.
    #[serde(rename = "at")]
    pub peak_at: Millis,
}

/// Both clocks of a process at one moment, to convert ticks, which are valid in one process only.
#[derive(Debug, Clone, Copy)]
pub struct ClockPair {
    /// Reading of the monotonic clock.
    pub now: Tick,
    /// Reading of the wall clock, in milliseconds since 1970.
    pub wall: Millis,
}

impl ClockPair {
    fn wall_at(self, at: Tick) -> Millis {
        Millis(self.wall.0.saturating_sub(self.now.since(at).0))
    }

    fn tick_at(self, wall: Millis) -> Tick {
        self.now - Millis(self.wall.0.saturating_sub(wall.0))
    }
}

/// Usage history of all pools, from which hosts to switch off are chosen.
#[derive(Debug, Clone, Default)]
pub(super) struct ScaleDown {
    pools: BTreeMap<PoolName, UsageHistory>,
    /// Since when a pool has had more hosts than it keeps.
    surplus_since: BTreeMap<PoolName, Tick>,
}

/// Usage history of a pool.
#[derive(Debug, Clone, Default)]
struct UsageHistory {
    /// Most hosts that the pool had before its first work.
    first: usize,
    /// When its first work was seen.
    active_since: Option<Tick>,
    /// Hosts that its work filled, with the time; a sliding-window maximum, in which each number is
    /// greater than all later ones.
    peaks: VecDeque<(Tick, usize)>,
}

impl ScaleDown {
    /// Returns the history as a record for the successor.
    pub(super) fn record(&self, clock: ClockPair) -> UsageRecord {
        let pools = self.pools.iter().filter_map(|(pool, history)| {
            let &(at, most) = history.peaks.front()?;
            let since = history.active_since.map(|since| clock.wall_at(since));
            Some((
                pool.clone(),
                PoolUsage {
                    first: history.first,
                    active_since: since,
                    peak: most,
                    peak_at: clock.wall_at(at),
                },
            ))
        });
        UsageRecord { pools: pools.collect() }
    }

    /// Merges the record of a predecessor into the history.
    pub(super) fn restore(&mut self, record: &UsageRecord, clock: ClockPair) {
        for (pool, stored) in &record.pools {
            let history = self.pools.entry(pool.clone()).or_default();
            history.first = history.first.max(stored.first);
            history.active_since =
                stored.active_since.map(|since| clock.tick_at(since)).or(history.active_since);
            if history.peaks.front().is_none_or(|(_, peak)| *peak < stored.peak) {
                history.peaks.push_front((clock.tick_at(stored.peak_at), stored.peak));
            }
        }
    }

    /// Drops pools that no owner reports any more and whose usage is older than the history window.
    fn prune(&mut self, accounts: &[Account], cost: Millis, now: Tick) {
        let is_there = |pool: &PoolName| accounts.iter().any(|account| account.pool == *pool);
        let is_recent = |history: &UsageHistory| {
            history.peaks.back().is_some_and(|(at, _)| now.since(*at) <= history_window(cost))
        };
        self.pools.retain(|pool, history| is_there(pool) || is_recent(history));
    }

    /// Returns the moves that switch hosts off, taking turns between pools, since the platform's
    /// rate may cut the list short.
    pub(super) fn next(
        &mut self,
        accounts: &[Account],
        spare: &PoolName,
        cost: Millis,
        now: Tick,
    ) -> Vec<Move> {
        self.prune(accounts, cost, now);
        let mut candidates: Vec<Vec<&Move>> = Vec::new();
        for account in accounts {
            candidates.push(account.drained_hosts.iter().collect());
            let history = self.pools.entry(account.pool.clone()).or_default();
            history.observe(account, cost, now);
            let extra = account.have.saturating_sub(history.hosts_to_keep(account, cost, now));
            if extra == 0 {
                self.surplus_since.remove(&account.pool);
                continue;
            }
            let since = *self.surplus_since.entry(account.pool.clone()).or_insert(now);
            if now.since(since) >= MIN_IDLE {
                candidates.push(account.free.iter().take(extra).collect());
            }
        }
        let longest = candidates.iter().map(Vec::len).max().unwrap_or_default();
        let turns =
            (0..longest).flat_map(|index| candidates.iter().filter_map(move |of| of.get(index)));
        turns.map(|step| Move { to: spare.clone(), ..(*step).clone() }).collect()
    }
}

impl UsageHistory {
    fn observe(&mut self, account: &Account, cost: Millis, now: Tick) {
        if self.active_since.is_none() {
            self.first = self.first.max(account.have);
        }
        if account.has_seen_work {
            self.active_since.get_or_insert(now);
        }
        while self.peaks.back().is_some_and(|(_, busy)| *busy <= account.busy) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, account.busy));
        while self.peaks.front().is_some_and(|(at, _)| now.since(*at) > history_window(cost)) {
            self.peaks.pop_front();
        }
    }

    /// Returns how many hosts the pool keeps.
    fn hosts_to_keep(&self, account: &Account, cost: Millis, now: Tick) -> usize {
        if cost == Millis(0) {
            // Before the owner has seen work, idleness means nothing, and the first burst should
            // find all hosts on.
            return if account.has_seen_work { account.want } else { account.have };
        }
        let peak = self.peaks.front().map_or(0, |(_, busy)| *busy);
        let peak = with_margin(peak as u64) as usize;
        account.want.max(peak).max(self.reserve(cost, now))
    }

    /// Returns the reserve of hosts for unknown work, which shrinks with the time since the first
    /// work.
    fn reserve(&self, cost: Millis, now: Tick) -> usize {
        let age = self.active_since.map_or(Millis(0), |since| now.since(since));
        let left = cost.0.saturating_sub(age.0);
        (self.first as u64 * left).div_ceil(cost.0 * RESERVE_DIVISOR) as usize
    }
}

/// Returns the cost of switching an idle host off and on again, as time of a host. Each such move
/// delays another that some burst needs, so its cost is the time that the platform needs to move
/// all hosts, shared by them. The cost counts as zero if that time is no longer than `MIN_IDLE`,
/// for which hosts are left on anyway. `rate` is the number of orders a second that the platform
/// accepts.
pub fn restart_cost(hosts: usize, rate: f64) -> Millis {
    let all_moves =
        if rate > 0.0 { Millis((hosts as f64 / rate * MS_PER_SECOND) as u64) } else { Millis(0) };
    if all_moves <= MIN_IDLE { Millis(0) } else { Millis(2 * all_moves.0) }
}

/// Returns how long usage is remembered. A host that is kept idle for as long as `cost` has cost as
/// much as a move; half as much again is for callers of the next burst, who would wait for a host
/// that was just switched off.
fn history_window(cost: Millis) -> Millis {
    Millis(cost.0 * 3 / 2)
}
