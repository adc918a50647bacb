//! Which hosts are switched off, and when: those that their pools have not needed for a while.
//!
//! Load: pools that burst by turns, every ten or twenty seconds, on thousands of hosts of which the platform moves some hundreds a
//! second. A host that is switched off between two bursts of its pool is two moves that buy little, and its pool meets the next
//! burst without it; hosts that no burst uses are most of the fleet, and are paid for until they are off. So a pool keeps what its
//! work filled at most within the time in which a move pays, and at first a reserve: half of what it has, which shrinks as its
//! work tells what it needs. See docs/DIVISION.md.

use std::collections::{BTreeMap, VecDeque};

use reachhead_types::{id::PoolName, size::Millis};
use serde::{Deserialize, Serialize};

use super::{Account, Move, with_margin};
use crate::clock::Tick;

/// How long a host must have been more than its pool needs before it is switched off. Where moves are not scarce, switching off
/// and on costs as much as about two seconds of a host, and it is away for three: sooner, callers of the next burst
/// wait for hosts that were just given up; later, the group pays for hosts that nobody uses.
const IDLE_TIME: Millis = Millis(3000);

/// Milliseconds in a second.
const SECOND: f64 = 1000.0;

/// Part of its hosts that a pool without any work keeps: one in so many.
const RESERVE_PART: u64 = 2;

/// What is remembered of the pools' use of their hosts, as the store keeps it for the next owner of all hosts. Without it a successor
/// switches off what the next burst will use, or keeps what none did.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The pools.
    pub pools: BTreeMap<PoolName, PoolUsage>,
}

/// How many of its hosts a pool has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolUsage {
    /// The most hosts that it had until it was seen to have work.
    pub first: usize,
    /// Since when it has had work, in milliseconds since 1970.
    #[serde(rename = "begun")]
    pub active_since: Option<Millis>,
    /// The most hosts that its work filled lately.
    #[serde(rename = "most")]
    pub peak: usize,
    /// When that was, in milliseconds since 1970.
    #[serde(rename = "at")]
    pub peak_at: Millis,
}

/// Both clocks of a process at one moment: ticks mean nothing to another process.
#[derive(Debug, Clone, Copy)]
pub struct ClockPair {
    /// The moment.
    pub now: Tick,
    /// The time of day, in milliseconds since 1970.
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

/// What is remembered of the pools' use of their hosts.
#[derive(Debug, Clone, Default)]
pub(super) struct ScaleDown {
    pools: BTreeMap<PoolName, Use>,
    /// Since when a pool has had more hosts than it keeps.
    idle: BTreeMap<PoolName, Tick>,
}

/// How many of its hosts a pool has used lately.
#[derive(Debug, Clone, Default)]
struct Use {
    /// The most hosts that it had until it was seen to have work.
    first: usize,
    /// Since when it has had work.
    begun: Option<Tick>,
    /// Hosts that its work filled, with the times of that; each number is more than all later ones.
    highest: VecDeque<(Tick, usize)>,
}

impl ScaleDown {
    /// Returns what a successor has to know.
    pub(super) fn record(&self, clock: ClockPair) -> UsageRecord {
        let pools = self.pools.iter().filter_map(|(pool, used)| {
            let &(at, most) = used.highest.front()?;
            let begun = used.begun.map(|begun| clock.wall_at(begun));
            Some((
                pool.clone(),
                PoolUsage {
                    first: used.first,
                    active_since: begun,
                    peak: most,
                    peak_at: clock.wall_at(at),
                },
            ))
        });
        UsageRecord { pools: pools.collect() }
    }

    /// Takes over what a predecessor knew.
    pub(super) fn restore(&mut self, record: &UsageRecord, clock: ClockPair) {
        for (pool, known) in &record.pools {
            let used = self.pools.entry(pool.clone()).or_default();
            used.first = used.first.max(known.first);
            used.begun = known.active_since.map(|begun| clock.tick_at(begun)).or(used.begun);
            if used.highest.front().is_none_or(|(_, most)| *most < known.peak) {
                used.highest.push_front((clock.tick_at(known.peak_at), known.peak));
            }
        }
    }

    /// Forgets pools that are gone: no owner tells of them, and what they used was long ago.
    fn forget(&mut self, accounts: &[Account], trip: Millis, now: Tick) {
        let is_there = |pool: &PoolName| accounts.iter().any(|account| account.pool == *pool);
        let is_recent = |used: &Use| {
            used.highest.back().is_some_and(|(at, _)| now.since(*at) <= memory_time(trip))
        };
        self.pools.retain(|pool, used| is_there(pool) || is_recent(used));
    }

    /// Returns the moves that switch hosts off, of all pools by turns: the platform's rate may cut them.
    pub(super) fn next(
        &mut self,
        accounts: &[Account],
        spare: &PoolName,
        trip: Millis,
        now: Tick,
    ) -> Vec<Move> {
        self.forget(accounts, trip, now);
        let mut parks: Vec<Vec<&Move>> = Vec::new();
        for account in accounts {
            parks.push(account.idle.iter().collect());
            let used = self.pools.entry(account.pool.clone()).or_default();
            used.note(account, trip, now);
            let extra = account.have.saturating_sub(used.kept(account, trip, now));
            if extra == 0 {
                self.idle.remove(&account.pool);
                continue;
            }
            let since = *self.idle.entry(account.pool.clone()).or_insert(now);
            if now.since(since) >= IDLE_TIME {
                parks.push(account.free.iter().take(extra).collect());
            }
        }
        let longest = parks.iter().map(Vec::len).max().unwrap_or_default();
        let turns = (0..longest).flat_map(|place| parks.iter().filter_map(move |of| of.get(place)));
        turns.map(|step| Move { to: spare.clone(), ..(*step).clone() }).collect()
    }
}

impl Use {
    fn note(&mut self, account: &Account, trip: Millis, now: Tick) {
        if self.begun.is_none() {
            self.first = self.first.max(account.have);
        }
        if account.begun {
            self.begun.get_or_insert(now);
        }
        while self.highest.back().is_some_and(|(_, busy)| *busy <= account.busy) {
            self.highest.pop_back();
        }
        self.highest.push_back((now, account.busy));
        while self.highest.front().is_some_and(|(at, _)| now.since(*at) > memory_time(trip)) {
            self.highest.pop_front();
        }
    }

    /// Returns how many hosts the pool keeps.
    fn kept(&self, account: &Account, trip: Millis, now: Tick) -> usize {
        if trip == Millis(0) {
            // Before its owner has seen work a lull is no news, and callers of the first burst meet what there is.
            return if account.begun { account.want } else { account.have };
        }
        let highest = self.highest.front().map_or(0, |(_, busy)| *busy);
        let highest = with_margin(highest as u64) as usize;
        account.want.max(highest).max(self.reserve(trip, now))
    }

    /// Returns how many hosts the pool keeps for work of which nothing is known yet. The longer it has had work, the more that tells.
    fn reserve(&self, trip: Millis, now: Tick) -> usize {
        let age = self.begun.map_or(Millis(0), |begun| now.since(begun));
        let left = trip.0.saturating_sub(age.0);
        (self.first as u64 * left).div_ceil(trip.0 * RESERVE_PART) as usize
    }
}

/// Returns what switching an idle host off and on again costs, in time of a host. Each such move keeps another waiting that some
/// burst needs, so it costs the fleet what the platform needs to move all hosts, shared by them. Where that is less than
/// hosts are left idle anyway it does not count.
pub fn restart_cost(hosts: usize, rate: f64) -> Millis {
    let whole = if rate > 0.0 { Millis((hosts as f64 / rate * SECOND) as u64) } else { Millis(0) };
    if whole <= IDLE_TIME { Millis(0) } else { Millis(2 * whole.0) }
}

/// Returns how long it is remembered what a pool used. A host that is kept idle for a round trip has cost as much as one; the callers
/// of the next burst, who wait for a host that has just been switched off, count half as much again.
fn memory_time(trip: Millis) -> Millis {
    Millis(trip.0 * 3 / 2)
}
