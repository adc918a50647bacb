//! Pool owner under a burst of jobs, in virtual time: cost of its decisions and share of jobs in time.

mod dispatch;
mod overload;
mod simulation;
mod site;

use std::{io, time::Duration};

use reachhead_types::size::Millis;
use serde_json::{Value, json};

use crate::{
    jobs::{dispatch::LimitedOwner, simulation::Simulation, site::Costs},
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
    /// Limits of the owner, if it is on a small host.
    pub owner: Option<OwnerHost>,
}

/// Small host of the owner, whose queue is one of four that have bursts in turn.
#[derive(Debug, Clone, Copy)]
pub struct OwnerHost {
    /// Other processes may dispatch for the owner.
    pub dispatches: bool,
    /// Place of the queue's burst among those of the four queues.
    pub turn: u64,
}

/// Pool with a queue of short jobs, and capacity for its burst.
const BURSTS: Scenario =
    Scenario { name: "", workers: 150, rate: 25.0, long_running: 5, owner: None };

/// Measured scenarios: a pool of a small site, of a grown site under a burst, one with more work than
/// capacity, one of a fleet of hundreds of hosts under a burst, and one whose owner is on a small host,
/// without and with dispatchers.
const SCENARIOS: [Scenario; 6] = [
    Scenario { name: "small", workers: 20, rate: 25.0, long_running: 5, owner: None },
    Scenario { name: "grown", workers: 150, rate: 100.0, long_running: 24, owner: None },
    Scenario { name: "over", workers: 80, rate: 100.0, long_running: 24, owner: None },
    Scenario { name: "large", workers: 300, rate: 230.0, long_running: 24, owner: None },
    Scenario { name: "alone", owner: Some(OwnerHost { dispatches: false, turn: 0 }), ..BURSTS },
    Scenario { name: "dispatched", owner: Some(OwnerHost { dispatches: true, turn: 0 }), ..BURSTS },
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
    let simulate = |scenario: Scenario, seed| {
        let owner = scenario.owner.map(|host| LimitedOwner::new(host.dispatches));
        Simulation::new(scenario, seed).with_owner(owner).run(ARRIVAL_PERIOD, COMPLETION_TIME)
    };
    let turns = if scenario.owner.is_some() { dispatch::QUEUES } else { 1 };
    let scenario_of = |turn| {
        let owner = scenario.owner.map(|host| OwnerHost { turn, ..host });
        Scenario { owner, ..*scenario }
    };
    let outcomes: Vec<Outcome> = (0..turns)
        .flat_map(|turn| (0..SEEDS).map(move |seed| (turn, seed)))
        .map(|(turn, seed)| simulate(scenario_of(turn), seed))
        .collect();
    let simulations = outcomes.len() as f64;
    let sum = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>();
    let starts = sum(|outcome| outcome.costs.starts as f64);
    let micros = |value: fn(&Outcome) -> Duration| {
        let total: f64 = outcomes.iter().map(|outcome| value(outcome).as_secs_f64()).sum();
        round(total * 1e6 / starts)
    };
    let jobs = sum(|outcome| outcome.jobs as f64);
    json!({
        "starts_a_second": round(starts / simulations / ARRIVAL_PERIOD.duration().as_secs_f64()),
        "in_time": round(sum(|outcome| outcome.in_time as f64) / jobs),
        "completed": round(sum(|outcome| outcome.completed as f64) / jobs),
        "rounds": round(sum(|outcome| outcome.costs.rounds as f64) / simulations),
        "us_a_start": {
            "rounds": micros(|outcome| outcome.costs.round_time),
            "answers": micros(|outcome| outcome.costs.report_time),
            "records": micros(|outcome| outcome.costs.record_time),
        },
    })
}
