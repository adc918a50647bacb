//! Pool owner under a burst of jobs, in virtual time: cost of its decisions and share of jobs in time.

mod overload;
mod simulation;
mod site;

use std::{io, time::Duration};

use reachhead_types::size::Millis;
use serde_json::{Value, json};

use crate::{
    jobs::{simulation::Simulation, site::Costs},
    plan::round,
};

/// Number of simulations per scenario; the seeds count up from 0, so that results can be compared.
const SEEDS: u64 = 3;

/// Period in which jobs arrive.
const ARRIVAL_PERIOD: Millis = Millis(10_000);

/// Time after the last arrival in which jobs may still complete.
const COMPLETION_TIME: Millis = Millis(8000);

/// Pool and the load on it.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name in the printed results.
    name: &'static str,
    /// Workers of sixteen cores.
    pub workers: u64,
    /// Arriving jobs per second.
    pub rate: f64,
    /// Long-running tasks, which run until the end on different workers.
    pub long_running: u32,
}

/// Measured scenarios: a pool of a small site, of a grown site under a burst, one with more work than
/// capacity, and one of a fleet of hundreds of hosts under a burst.
const SCENARIOS: [Scenario; 4] = [
    Scenario { name: "small", workers: 20, rate: 25.0, long_running: 5 },
    Scenario { name: "grown", workers: 150, rate: 100.0, long_running: 24 },
    Scenario { name: "over", workers: 80, rate: 100.0, long_running: 24 },
    Scenario { name: "large", workers: 300, rate: 230.0, long_running: 24 },
];

/// Measures a group of simulations.
type Measurement = fn() -> Value;

/// Groups of simulations by name.
const GROUPS: [(&str, Measurement); 2] = [("burst", run_bursts), ("overload", overload::run)];

/// Results of a simulation.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// Jobs that arrived, without the long-running one.
    pub jobs: u64,
    /// Jobs that completed within their objective.
    pub in_time: u64,
    /// Jobs that completed.
    pub completed: u64,
    /// Cost of the owner's decisions.
    pub costs: Costs,
}

/// Measures all scenarios and patterns of overload, or one group of them.
///
/// # Errors
///
/// If there is no group with the name `only`.
pub fn run(only: Option<&str>) -> io::Result<Value> {
    let mut results = serde_json::Map::new();
    for (group, measure) in GROUPS {
        if only.is_none_or(|only| only == group) {
            results.insert(group.to_owned(), measure());
        }
    }
    if results.is_empty() {
        return Err(io::Error::other("no group of this name"));
    }
    Ok(Value::Object(results))
}

fn run_bursts() -> Value {
    let figures = SCENARIOS.iter().map(|scenario| (scenario.name.to_owned(), measure(scenario)));
    Value::Object(figures.collect())
}

fn measure(scenario: &Scenario) -> Value {
    let outcomes: Vec<Outcome> = (0..SEEDS)
        .map(|seed| Simulation::new(*scenario, seed).run(ARRIVAL_PERIOD, COMPLETION_TIME))
        .collect();
    let sum = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>();
    let starts = sum(|outcome| outcome.costs.starts as f64);
    let micros = |value: fn(&Outcome) -> Duration| {
        let total: f64 = outcomes.iter().map(|outcome| value(outcome).as_secs_f64()).sum();
        round(total * 1e6 / starts)
    };
    let jobs = sum(|outcome| outcome.jobs as f64);
    json!({
        "starts_a_second": round(starts / SEEDS as f64 / ARRIVAL_PERIOD.duration().as_secs_f64()),
        "in_time": round(sum(|outcome| outcome.in_time as f64) / jobs),
        "completed": round(sum(|outcome| outcome.completed as f64) / jobs),
        "rounds": round(sum(|outcome| outcome.costs.rounds as f64) / SEEDS as f64),
        "us_a_start": {
            "rounds": micros(|outcome| outcome.costs.round_time),
            "answers": micros(|outcome| outcome.costs.report_time),
            "records": micros(|outcome| outcome.costs.record_time),
        },
    })
}
