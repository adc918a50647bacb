//! Resource vectors: processors, memory and accelerators.

use std::fmt::{self, Display, Formatter};

use reachhead_types::pool::Resources;
use serde::{Deserialize, Serialize};

const MILLICORES_PER_CORE: u64 = 1000;

const MIB_PER_GIB: u64 = 1024;

/// A vector of resources, in the units of usage reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Amount {
    /// Thousandths of a core.
    pub cores: u64,
    /// MiB of memory.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Amount {
    /// Returns an amount of thousandths of a core, MiB and accelerators.
    pub const fn new(cores: u64, memory: u64, accelerators: u64) -> Self {
        Self { cores, memory, accelerators }
    }

    /// Returns the sum. It saturates: requested amounts are unbounded, and a sum that wrapped
    /// around would fit anywhere.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.each(other, u64::saturating_add)
    }

    /// Returns the difference, zero for each resource of which `other` has more.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.each(other, u64::saturating_sub)
    }

    /// Returns the maximum of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.each(other, u64::max)
    }

    /// Returns the minimum of each resource.
    #[must_use]
    pub fn least(self, other: Self) -> Self {
        self.each(other, u64::min)
    }

    /// Returns this amount multiplied by `count`, saturating.
    #[must_use]
    pub fn times(self, count: u32) -> Self {
        let count = u64::from(count);
        self.each(Self::new(count, count, count), u64::saturating_mul)
    }

    /// Returns this amount with each resource rounded up to a multiple of `1 / count` of `whole`;
    /// resources for which that step is zero stay as they are.
    #[must_use]
    pub fn round_up_to_steps(self, whole: Self, count: u64) -> Self {
        self.each(whole, |own, whole| match whole / count.max(1) {
            0 => own,
            step => own.div_ceil(step) * step,
        })
    }

    /// Returns this amount with the resources set to zero that are zero in `mask`.
    #[must_use]
    pub fn masked_by(self, mask: Self) -> Self {
        self.each(mask, |own, mask| if mask == 0 { 0 } else { own })
    }

    /// Returns whether both amounts have more than zero of a common resource.
    pub fn overlaps(self, other: Self) -> bool {
        (self.cores > 0 && other.cores > 0)
            || (self.memory > 0 && other.memory > 0)
            || (self.accelerators > 0 && other.accelerators > 0)
    }

    /// Returns whether this amount is at most `free` in each resource.
    pub fn fits(self, free: Self) -> bool {
        self.cores <= free.cores
            && self.memory <= free.memory
            && self.accelerators <= free.accelerators
    }

    /// Returns the dominant share: the largest fraction that this amount takes of any resource of
    /// `capacity`. It is infinite if this amount has a resource of which the capacity has none.
    pub fn dominant_share(self, capacity: Self) -> f64 {
        let fraction = |own: u64, all: u64| match (own, all) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (own, all) => own as f64 / all as f64,
        };
        fraction(self.cores, capacity.cores)
            .max(fraction(self.memory, capacity.memory))
            .max(fraction(self.accelerators, capacity.accelerators))
    }

    fn each(self, other: Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            cores: combine(self.cores, other.cores),
            memory: combine(self.memory, other.memory),
            accelerators: combine(self.accelerators, other.accelerators),
        }
    }
}

impl From<Resources> for Amount {
    fn from(resources: Resources) -> Self {
        Self {
            cores: u64::from(resources.cores.0) * MILLICORES_PER_CORE,
            memory: u64::from(resources.memory.0) * MIB_PER_GIB,
            accelerators: u64::from(resources.accelerators.0),
        }
    }
}

impl Display for Amount {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let cores = self.cores as f64 / MILLICORES_PER_CORE as f64;
        let memory = self.memory as f64 / MIB_PER_GIB as f64;
        write!(f, "{cores} cores, {memory} GiB, {} accelerators", self.accelerators)
    }
}
