//! Patterns of overload: callers with a customer, an objective and few attempts, on a simulated pool
//! that has less capacity than they ask for.

mod callers;
mod outcome;

use reachhead_types::size::Millis;
use serde_json::{Value, json};

use self::{callers::Callers, outcome::Outcome};
use crate::plan::round;

/// Number of simulations per pattern; the seeds count up from 0.
const SEEDS: u64 = 8;

/// Jobs that a queue gets.
#[derive(Debug, Clone, Copy)]
struct Stream {
    /// Name of the queue.
    queue: &'static str,
    /// Jobs a second of each usual customer in the burst.
    rate: f64,
    /// Jobs a second of the flooding customer in the burst.
    flood: f64,
    /// Start of the burst. Before it and after it a twentieth of the jobs arrive.
    begins: Millis,
    /// End of the burst.
    ends: Millis,
    /// Maximum number of steps of a job; a job has at least one less.
    steps: u32,
    /// Tasks of a step.
    tasks: u32,
    /// Mean run time of a task.
    time: Millis,
}

/// Time without power. Callers get no answer, and all runs are lost.
#[derive(Debug, Clone, Copy)]
struct Outage {
    begins: Millis,
    ends: Millis,
    /// Only the owner is away: jobs are still accepted and stored.
    stores: bool,
}

/// A pattern of overload.
#[derive(Debug, Clone, Copy)]
struct Pattern {
    name: &'static str,
    streams: [Stream; 2],
    /// Number of workers from each time on.
    workers: [(Millis, u64); 2],
    outage: Option<Outage>,
}

const SHORT: Stream = Stream {
    queue: "short",
    rate: 4.0,
    flood: 25.0,
    begins: Millis(2000),
    ends: Millis(8000),
    steps: 2,
    tasks: 8,
    time: Millis(1000),
};

const CHAINS: Stream = Stream {
    queue: "chains",
    rate: 1.6,
    flood: 5.0,
    begins: Millis(2000),
    ends: Millis(8000),
    steps: 3,
    tasks: 6,
    time: Millis(1500),
};

/// The patterns: bursts of two queues with a customer at six times its usual rate on a pool that gets
/// its workers 3 s later and lacks a sixth then; the same with all power lost within the burst; and
/// what was stored while the pool had no owner for 3 s of a smaller burst.
const PATTERNS: [Pattern; 4] = [
    Pattern {
        name: "flood",
        streams: [SHORT, CHAINS],
        workers: [(Millis(0), 20), (Millis(5000), 85)],
        outage: None,
    },
    Pattern {
        name: "power",
        streams: [SHORT, CHAINS],
        workers: [(Millis(0), 95), (Millis(0), 95)],
        outage: Some(Outage { begins: Millis(4000), ends: Millis(5500), stores: false }),
    },
    Pattern {
        name: "backlog",
        streams: [Stream { flood: 4.0, ..SHORT }, Stream { flood: 1.6, ..CHAINS }],
        workers: [(Millis(0), 80), (Millis(0), 80)],
        outage: Some(Outage { begins: Millis(2500), ends: Millis(5500), stores: true }),
    },
    Pattern {
        name: "enough",
        streams: [Stream { flood: 4.0, ..SHORT }, Stream { flood: 1.6, ..CHAINS }],
        workers: [(Millis(0), 30), (Millis(4200), 120)],
        outage: None,
    },
];

/// Measures all patterns.
pub fn run() -> Value {
    let figures = PATTERNS.iter().map(|pattern| (pattern.name.to_owned(), measure(pattern)));
    Value::Object(figures.collect())
}

fn measure(pattern: &Pattern) -> Value {
    let mut total = Outcome::default();
    for seed in 0..SEEDS {
        total.add(&Callers::new(*pattern, seed).run());
    }
    let shares = total.all();
    json!({
        "jobs": shares.jobs / SEEDS,
        "in_time": round(shares.in_time()),
        "late": round(shares.late()),
        "not_served": round(shares.not_served()),
        "refusals": shares.refusals / SEEDS,
        "worth": round(shares.worth()),
        "worst_queue": round(total.worst_queue()),
        "worst_second": round(total.worst_second()),
        "worth_without_flood": round(total.others().worth()),
    })
}
