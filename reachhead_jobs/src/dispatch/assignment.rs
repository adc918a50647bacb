//! Assigns the workers of a pool to its dispatchers.

use std::{
    cmp::{Ordering, Reverse},
    collections::BTreeMap,
};

use reachhead_types::{
    id::{NodeName, PoolName, WorkerId},
    size::Strength,
};

use crate::candidate::hash_of;

/// How many times the demand the dispatchers have to be able to serve together: the rate of starts
/// is still rising when dispatch begins, and their links and processors have other work.
const STRENGTH_FACTOR: u64 = 2;

/// Least number of dispatchers, so that the loss of one does not leave the owner alone.
const MIN_DISPATCHERS: usize = 2;

/// How much of its fair share a dispatcher may serve before workers move to others, in percent.
const MAX_SHARE_PERCENT: u64 = 125;

/// A process that may dispatch for the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatcher {
    /// Name of the process.
    pub node: NodeName,
    /// Capacity weight.
    pub strength: Strength,
    /// Number of pools that it owns.
    pub owned: usize,
}

impl Dispatcher {
    /// Returns the part of the process's capacity that is left for other owners.
    pub fn effective_strength(&self) -> Strength {
        let parts = u32::try_from(self.owned).unwrap_or(u32::MAX).saturating_add(1);
        Strength(self.strength.0 / parts)
    }

    /// Returns that part as a number whose sums and products don't overflow.
    fn weight(&self) -> u64 {
        u64::from(self.effective_strength().0)
    }
}

/// Which dispatcher serves which worker. It exists in the owner's memory only.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assignment {
    pool: Option<PoolName>,
    /// The chosen processes, the most preferred first.
    dispatchers: Vec<Dispatcher>,
    workers: BTreeMap<WorkerId, NodeName>,
}

/// A dispatcher that was chosen, with the workers that it has so far.
struct Chosen<'a> {
    dispatcher: &'a Dispatcher,
    limit: usize,
    count: usize,
}

impl Chosen<'_> {
    /// Compares the load that the processes would have with one more worker. One that has reached its
    /// limit comes last, since a worker beyond it would move again in the next round.
    fn compare(&self, other: &Self) -> Ordering {
        let is_full = |known: &Self| known.count >= known.limit;
        // The quotients are compared by cross-multiplication.
        let load = |known: &Self, by: &Self| (known.count as u64 + 1) * by.dispatcher.weight();
        is_full(self).cmp(&is_full(other)).then(load(self, other).cmp(&load(other, self)))
    }
}

impl Assignment {
    /// Returns an assignment without dispatchers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the pool, by which equally strong processes are ordered: otherwise all owners in a
    /// fleet of equal hosts would choose the same ones.
    #[must_use]
    pub fn with_pool(mut self, pool: PoolName) -> Self {
        self.pool = Some(pool);
        self
    }

    /// Assigns the pool's workers to some of the usable `dispatchers`, other than the owner itself,
    /// and returns how many of these workers are assigned differently than before.
    pub fn update<'a>(
        &mut self,
        workers: impl IntoIterator<Item = &'a WorkerId>,
        dispatchers: &[Dispatcher],
        demand: Strength,
    ) -> usize {
        let ids: Vec<&WorkerId> = workers.into_iter().collect();
        let mut chosen = self.choose(dispatchers, demand, ids.len());
        let mut assigned: BTreeMap<WorkerId, NodeName> = BTreeMap::new();
        let mut open = Vec::new();
        for &id in &ids {
            let last = self.workers.get(id);
            let kept = chosen.iter_mut().find(|known| Some(&known.dispatcher.node) == last);
            match kept.filter(|known| known.count < known.limit) {
                Some(known) => {
                    known.count += 1;
                    assigned.insert(id.clone(), known.dispatcher.node.clone());
                }
                None => open.push(id),
            }
        }
        for id in open {
            let least = chosen.iter_mut().min_by(|a, b| a.compare(b));
            if let Some(least) = least {
                least.count += 1;
                assigned.insert(id.clone(), least.dispatcher.node.clone());
            }
        }
        let changed = ids.iter().filter(|id| assigned.get(**id) != self.workers.get(**id)).count();
        let processes = chosen.iter().map(|known| known.dispatcher.clone());
        self.dispatchers = processes.collect();
        self.workers = assigned;
        changed
    }

    /// Returns the process that serves a worker, if it is not the owner.
    pub fn dispatcher_of(&self, worker: &WorkerId) -> Option<&NodeName> {
        self.workers.get(worker)
    }

    /// Returns the chosen processes, the most preferred first.
    pub fn dispatchers(&self) -> &[Dispatcher] {
        &self.dispatchers
    }

    /// Returns the total effective strength of the dispatchers, by which starts are paced.
    pub fn strength(&self) -> Strength {
        let total: u64 = self.dispatchers.iter().map(Dispatcher::weight).sum();
        Strength(u32::try_from(total).unwrap_or(u32::MAX))
    }

    /// Leaves all workers to the owner.
    pub fn clear(&mut self) {
        self.dispatchers.clear();
        self.workers.clear();
    }

    /// Chooses as many processes as are needed.
    fn choose<'a>(
        &self,
        dispatchers: &'a [Dispatcher],
        demand: Strength,
        workers: usize,
    ) -> Vec<Chosen<'a>> {
        let mut ranked: Vec<&Dispatcher> =
            dispatchers.iter().filter(|process| process.weight() > 0).collect();
        ranked.sort_by_cached_key(|process| {
            let hash = self.pool.as_ref().map(|pool| hash_of(pool, &process.node));
            (process.owned > 0, Reverse(process.weight()), hash, process.node.clone())
        });
        let wanted = STRENGTH_FACTOR * u64::from(demand.0);
        let (mut total, mut count) = (0, 0);
        for process in &ranked {
            if total >= wanted && count >= MIN_DISPATCHERS {
                break;
            }
            total += process.weight();
            count += 1;
        }
        let limit = |process: &Dispatcher| {
            let share = workers as u64 * process.weight();
            // Whole workers: a share of less than one is served too.
            (MAX_SHARE_PERCENT * share / (100 * total)).max(share.div_ceil(total)) as usize
        };
        let chosen = ranked.into_iter().take(count);
        chosen.map(|dispatcher| Chosen { dispatcher, limit: limit(dispatcher), count: 0 }).collect()
    }
}
