//! Load balancing: prefers minions in the own zone, then takes the less loaded of two random ones
//! (power of two choices).

use rand::Rng;

/// A minion that may be chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Requests of this entry host that run on the minion.
    pub running: u32,
    /// Requests that this entry host may run on the minion at once.
    pub limit: u32,
    /// Whether it is in this entry host's availability zone.
    pub is_local: bool,
    /// Whether it accepts new requests: it is configured, not leaving and not ejected.
    pub is_open: bool,
    /// Whether the request has already been sent to it.
    pub was_tried: bool,
}

impl Candidate {
    fn is_free(&self) -> bool {
        self.is_open && self.running < self.limit
    }

    /// Returns the rank of the minion; the lowest is preferred.
    fn rank(&self) -> u8 {
        u8::from(self.was_tried) * 2 + u8::from(!self.is_local)
    }

    /// Returns whether this minion uses a smaller fraction of its limit than `other`.
    fn is_less_loaded(&self, other: &Self) -> bool {
        u64::from(self.running) * u64::from(other.limit)
            < u64::from(other.running) * u64::from(self.limit)
    }
}

/// Returns the index of the minion for a request, or `None` if none is free.
///
/// Minions in the own zone are preferred, and minions to which the request was already sent come
/// last. The candidates are iterated twice instead of being collected, since this runs for each
/// request.
pub fn choose(
    candidates: impl Iterator<Item = Candidate> + Clone,
    rng: &mut impl Rng,
) -> Option<usize> {
    let free = candidates.enumerate().filter(|(_, candidate)| candidate.is_free());
    let best = free.clone().map(|(_, candidate)| candidate.rank()).min()?;
    let mut pair: [Option<Indexed>; 2] = [None, None];
    let best = free.filter(|(_, candidate)| candidate.rank() == best);
    for (count, (index, candidate)) in best.enumerate() {
        // Reservoir sampling: each pair of the best candidates is equally likely.
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
