//! Chooses the minion for a request: own zone first, then the less loaded of two at random.

use rand::Rng;

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

    /// Returns the order of preference, the least first.
    fn rank(&self) -> u8 {
        u8::from(self.was_tried) * 2 + u8::from(!self.is_local)
    }

    /// Tells whether this one has the larger part of its limit left.
    fn is_less_loaded(&self, other: &Self) -> bool {
        u64::from(self.running) * u64::from(other.limit)
            < u64::from(other.running) * u64::from(self.limit)
    }
}

/// Returns the index of the minion for a request, or `None` if none is free.
///
/// A minion where the request was tried before comes last, the own zone first. The candidates are
/// walked twice and never collected: this runs for each request.
pub fn choose(
    candidates: impl Iterator<Item = Candidate> + Clone,
    rng: &mut impl Rng,
) -> Option<usize> {
    let free = candidates.enumerate().filter(|(_, candidate)| candidate.is_free());
    let best = free.clone().map(|(_, candidate)| candidate.rank()).min()?;
    let mut pair: [Option<Indexed>; 2] = [None, None];
    let best = free.filter(|(_, candidate)| candidate.rank() == best);
    for (count, (index, candidate)) in best.enumerate() {
        // Reservoir sampling: each pair of the best is equally likely.
        let place = if count < 2 { count } else { rng.random_range(0..=count) };
        if let Some(place) = pair.get_mut(place) {
            *place = Some(Indexed { index, candidate });
        }
    }
    match pair {
        [Some(first), Some(second)] => {
            let is_second = second.candidate.is_less_loaded(&first.candidate);
            Some(if is_second { second.index } else { first.index })
        }
        [first, _] => first.map(|first| first.index),
    }
}

#[derive(Clone, Copy)]
struct Indexed {
    index: usize,
    candidate: Candidate,
}
