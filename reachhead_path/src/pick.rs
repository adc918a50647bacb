//! Chooses the minion for a request: own zone first, then the less loaded of two at random.

use rand::{Rng, seq::index};

/// A minion as the choice sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Requests that run there for this entry host.
    pub running: u32,
    /// Requests that this entry host may run there.
    pub limit: u32,
    /// Whether it is in this entry host's availability zone.
    pub is_local: bool,
    /// Whether it may get new requests: in force, not leaving, not ejected.
    pub is_open: bool,
    /// Whether this request was tried there before.
    pub was_tried: bool,
}

impl Candidate {
    fn is_free(&self) -> bool {
        self.is_open && self.running < self.limit
    }

    /// Tells whether this one has the larger part of its limit left.
    fn is_less_loaded(&self, other: &Self) -> bool {
        u64::from(self.running) * u64::from(other.limit)
            < u64::from(other.running) * u64::from(self.limit)
    }
}

/// Returns the index of the minion for a request, or `None` if none is free.
///
/// A minion where the request was tried before comes last, the own zone first.
pub fn choose(candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    const RANKS: [fn(&Candidate) -> bool; 4] =
        [|c| c.is_local && !c.was_tried, |c| !c.was_tried, |c| c.is_local, |_| true];
    RANKS.iter().find_map(|rank| {
        let free = |i: &usize| candidates[*i].is_free() && rank(&candidates[*i]);
        let indexes: Vec<usize> = (0..candidates.len()).filter(free).collect();
        choose_of(candidates, &indexes, rng)
    })
}

fn choose_of(candidates: &[Candidate], indexes: &[usize], rng: &mut impl Rng) -> Option<usize> {
    match indexes {
        [] => None,
        [only] => Some(*only),
        _ => {
            let pair = index::sample(rng, indexes.len(), 2);
            let (first, second) = (indexes[pair.index(0)], indexes[pair.index(1)]);
            let is_second = candidates[second].is_less_loaded(&candidates[first]);
            Some(if is_second { second } else { first })
        }
    }
}
