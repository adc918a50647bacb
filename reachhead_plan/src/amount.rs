//! Amounts of processors, memory and accelerators.

use std::fmt::{self, Display, Formatter};

use reachhead_types::pool::Resources;
use serde::{Deserialize, Serialize};

/// Thousandths of a core in a core.
const MILLIS: u64 = 1000;

/// MiB in a GiB.
const MEBIBYTES: u64 = 1024;

/// An amount of each resource, in the units that usage is reported in.
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

    /// Returns the sum; what callers ask for has no bound, and a sum that wrapped round would fit anywhere.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.each(other, u64::saturating_add)
    }

    /// Returns what is left after `other` is taken, nothing where that is more.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.each(other, u64::saturating_sub)
    }

    /// Returns the larger of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.each(other, u64::max)
    }

    /// Returns the smaller of each resource.
    #[must_use]
    pub fn least(self, other: Self) -> Self {
        self.each(other, u64::min)
    }

    /// Returns this amount `count` times.
    #[must_use]
    pub fn times(self, count: u32) -> Self {
        let count = u64::from(count);
        self.each(Self::new(count, count, count), u64::saturating_mul)
    }

    /// Returns this amount rounded up, each resource to a multiple of the `count`th part of `whole`, where it has any.
    #[must_use]
    pub fn round_up_to_steps(self, whole: Self, count: u64) -> Self {
        self.each(whole, |own, whole| match whole / count.max(1) {
            0 => own,
            step => own.div_ceil(step) * step,
        })
    }

    /// Returns this amount without the resources of which `wanted` has nothing.
    #[must_use]
    pub fn masked_by(self, wanted: Self) -> Self {
        self.each(wanted, |own, wanted| if wanted == 0 { 0 } else { own })
    }

    /// Tells whether this has anything of a resource of which `other` has something too.
    pub fn overlaps(self, other: Self) -> bool {
        (self.cores > 0 && other.cores > 0)
            || (self.memory > 0 && other.memory > 0)
            || (self.accelerators > 0 && other.accelerators > 0)
    }

    /// Tells whether all of this fits into `room`.
    pub fn fits(self, room: Self) -> bool {
        self.cores <= room.cores
            && self.memory <= room.memory
            && self.accelerators <= room.accelerators
    }

    /// Returns the largest part that this is of any resource of `capacity`: the dominant_share share. A
    /// resource that the capacity lacks counts as all of it.
    pub fn dominant_share(self, capacity: Self) -> f64 {
        let part = |own: u64, all: u64| match (own, all) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (own, all) => own as f64 / all as f64,
        };
        part(self.cores, capacity.cores)
            .max(part(self.memory, capacity.memory))
            .max(part(self.accelerators, capacity.accelerators))
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
            cores: u64::from(resources.cores.0) * MILLIS,
            memory: u64::from(resources.memory.0) * MEBIBYTES,
            accelerators: u64::from(resources.accelerators.0),
        }
    }
}

impl Display for Amount {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let cores = self.cores as f64 / MILLIS as f64;
        let memory = self.memory as f64 / MEBIBYTES as f64;
        write!(f, "{cores} cores, {memory} GiB, {} accelerators", self.accelerators)
    }
}
