//! The owner of a pool in a burst, in virtual time: what its decisions cost, and how many jobs are in time.

mod simulation;

use std::time::Duration;

use reachhead_types::size::Millis;
use serde_json::{Value, json};

use crate::{jobs::simulation::Site, plan::round};

/// Seeds of the emulated days, so that runs can be compared.
const SEEDS: u64 = 3;

/// How long jobs arrive.
const SPAN: Millis = Millis(10_000);

/// How long the pool may go on after that.
const REST: Millis = Millis(8000);

/// A pool and what arrives at it.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    name: &'static str,
    /// Workers of sixteen cores.
    pub workers: u64,
    /// Jobs a second.
    pub rate: f64,
    /// Tasks of a job that work until the end, on workers of their own.
    pub lasting: u32,
}

/// A pool of a small site, one of a grown site in its burst, one that has more than it holds, and one of a fleet of hundreds
/// of hosts in its burst.
const SHAPES: [Shape; 4] = [
    Shape { name: "small", workers: 20, rate: 25.0, lasting: 5 },
    Shape { name: "grown", workers: 150, rate: 100.0, lasting: 24 },
    Shape { name: "over", workers: 80, rate: 100.0, lasting: 24 },
    Shape { name: "large", workers: 300, rate: 230.0, lasting: 24 },
];

/// What a day came to.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// Tasks that were started.
    pub starts: u64,
    /// Jobs that arrived, but for those that last.
    pub jobs: u64,
    /// Jobs that were completed inside their objective.
    pub in_time: u64,
    /// Jobs that were completed.
    pub completed: u64,
    /// Rounds of the owner.
    pub rounds: u64,
    /// Time of the processor in rounds.
    pub polling: Duration,
    /// Time of the processor that answers and reports took.
    pub hearing: Duration,
    /// Time of the processor that records took.
    pub recording: Duration,
}

/// Measures every shape.
pub fn run() -> Value {
    let figures = SHAPES.iter().map(|shape| (shape.name.to_owned(), figure(shape)));
    Value::Object(figures.collect())
}

fn figure(shape: &Shape) -> Value {
    let days: Vec<Outcome> =
        (0..SEEDS).map(|seed| Site::new(*shape, seed).run(SPAN, REST)).collect();
    let sum = |part: fn(&Outcome) -> f64| days.iter().map(part).sum::<f64>();
    let starts = sum(|day| day.starts as f64);
    let micros = |part: fn(&Outcome) -> Duration| {
        let total: f64 = days.iter().map(|day| part(day).as_secs_f64()).sum();
        round(total * 1e6 / starts)
    };
    let jobs = sum(|day| day.jobs as f64);
    json!({
        "starts_a_second": round(starts / SEEDS as f64 / SPAN.duration().as_secs_f64()),
        "in_time": round(sum(|day| day.in_time as f64) / jobs),
        "completed": round(sum(|day| day.completed as f64) / jobs),
        "rounds": round(sum(|day| day.rounds as f64) / SEEDS as f64),
        "us_a_start": {
            "rounds": micros(|day| day.polling),
            "answers": micros(|day| day.hearing),
            "records": micros(|day| day.recording),
        },
    })
}
