//! What callers got, by queue, customer and second of their first attempt.

use std::collections::BTreeMap;

/// Worth of a late job, as a part of one in time.
const LATE_WORTH: f64 = 1.0 / 15.0;

/// Seconds of the pattern with fewer jobs than this are not looked at alone.
const MIN_JOBS: u64 = 20;

/// Counts of jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shares {
    /// Jobs that callers wanted done.
    pub jobs: u64,
    /// Jobs done within their objective, from the first attempt.
    pub timely: u64,
    /// Jobs done within three times their objective.
    pub overdue: u64,
    /// Refused attempts.
    pub refusals: u64,
}

impl Shares {
    fn add(&mut self, other: Self) {
        self.jobs += other.jobs;
        self.timely += other.timely;
        self.overdue += other.overdue;
        self.refusals += other.refusals;
    }

    fn share(self, count: f64) -> f64 {
        count / self.jobs.max(1) as f64
    }

    /// Returns the share of jobs in time.
    pub fn in_time(self) -> f64 {
        self.share(self.timely as f64)
    }

    /// Returns the share of late jobs.
    pub fn late(self) -> f64 {
        self.share(self.overdue as f64)
    }

    /// Returns the share of jobs that came to nothing for their callers.
    pub fn not_served(self) -> f64 {
        1.0 - self.in_time() - self.late()
    }

    /// Returns the mean worth of a job.
    pub fn worth(self) -> f64 {
        self.in_time() + LATE_WORTH * self.late()
    }
}

/// Kind of jobs that are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// Name of the queue.
    pub queue: &'static str,
    /// The customer is the flooding one.
    pub floods: bool,
    /// Second of the first attempt.
    pub second: u64,
}

/// Results of a simulation.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    kinds: BTreeMap<Kind, Shares>,
}

impl Outcome {
    /// Counts jobs.
    pub fn count(&mut self, kind: Kind, shares: Shares) {
        self.kinds.entry(kind).or_default().add(shares);
    }

    /// Adds the results of another simulation.
    pub fn add(&mut self, other: &Self) {
        for (kind, shares) in &other.kinds {
            self.count(*kind, *shares);
        }
    }

    fn sum(&self, filter: impl Fn(&Kind) -> bool) -> Shares {
        let mut sum = Shares::default();
        for (_, shares) in self.kinds.iter().filter(|(kind, _)| filter(kind)) {
            sum.add(*shares);
        }
        sum
    }

    /// Returns the counts of all jobs.
    pub fn all(&self) -> Shares {
        self.sum(|_| true)
    }

    /// Returns the counts of all but the flooding customer.
    pub fn others(&self) -> Shares {
        self.sum(|kind| !kind.floods)
    }

    /// Returns the mean worth of the queue where it is least.
    pub fn worst_queue(&self) -> f64 {
        let queues = self.kinds.keys().map(|kind| kind.queue);
        queues.map(|queue| self.sum(|kind| kind.queue == queue).worth()).fold(1.0, f64::min)
    }

    /// Returns the mean worth of the jobs of the second in which it is least.
    pub fn worst_second(&self) -> f64 {
        let seconds = self.kinds.keys().map(|kind| self.sum(|other| other.second == kind.second));
        seconds.filter(|sum| sum.jobs >= MIN_JOBS).map(Shares::worth).fold(1.0, f64::min)
    }
}
