//! Assigns the workers of a pool to its dispatchers.

use std::{cmp::Reverse, collections::BTreeMap};

use reachhead_types::{
    id::{NodeName, PoolName, WorkerId},
    size::Strength,
};

use crate::candidate::hash_of;

/// How many times the demand the dispatchers have to be able to serve together: the rate of starts
/// is still rising when dispatch begins, and their links and processors have other work.
const STRENGTH_FACTOR: f64 = 4.0;

/// Least number of dispatchers, so that the loss of one does not leave the owner alone.
const MIN_DISPATCHERS: usize = 2;

/// How many times its fair share a dispatcher may serve before workers move to others.
const MAX_SHARE_FACTOR: f64 = 1.25;

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
    pub fn effective_strength(&self) -> f64 {
        f64::from(self.strength.0) / (1 + self.owned) as f64
    }
}

/// Which dispatcher serves which worker. It exists in the owner's memory only.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assignment {
    pool: Option<PoolName>,
    workers: BTreeMap<WorkerId, NodeName>,
}

/// A dispatcher that was chosen, with the workers that it has so far.
struct Chosen<'a> {
    dispatcher: &'a Dispatcher,
    limit: usize,
    count: usize,
}

impl Chosen<'_> {
    /// Returns the load that the process would have with one more worker.
    fn next_load(&self) -> f64 {
        (self.count + 1) as f64 / self.dispatcher.effective_strength()
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
            let least = chosen.iter_mut().min_by(|a, b| a.next_load().total_cmp(&b.next_load()));
            if let Some(least) = least {
                least.count += 1;
                assigned.insert(id.clone(), least.dispatcher.node.clone());
            }
        }
        let changed = ids.iter().filter(|id| assigned.get(**id) != self.workers.get(**id)).count();
        self.workers = assigned;
        changed
    }

    /// Returns the process that serves a worker, if it is not the owner.
    pub fn dispatcher_of(&self, worker: &WorkerId) -> Option<&NodeName> {
        self.workers.get(worker)
    }

    /// Leaves all workers to the owner.
    pub fn clear(&mut self) {
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
            dispatchers.iter().filter(|process| process.strength.0 > 0).collect();
        ranked.sort_by_cached_key(|process| {
            let hash = self.pool.as_ref().map(|pool| hash_of(pool, &process.node));
            // Positive numbers are ordered like their bits.
            let strength = Reverse(process.effective_strength().to_bits());
            (process.owned > 0, strength, hash, process.node.clone())
        });
        let wanted = STRENGTH_FACTOR * f64::from(demand.0);
        let (mut total, mut count) = (0.0, 0);
        for process in &ranked {
            if total >= wanted && count >= MIN_DISPATCHERS {
                break;
            }
            total += process.effective_strength();
            count += 1;
        }
        let limit = |process: &Dispatcher| {
            let share = workers as f64 * process.effective_strength() / total;
            // Whole workers: a share of less than one is served too.
            (MAX_SHARE_FACTOR * share).floor().max(share.ceil()) as usize
        };
        let chosen = ranked.into_iter().take(count);
        chosen.map(|dispatcher| Chosen { dispatcher, limit: limit(dispatcher), count: 0 }).collect()
    }
}
