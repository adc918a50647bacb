//! Measurements of the request path.

mod claims;
mod fairness;
mod overhead;
mod overload;
mod retries;
mod skew;

use std::{future::Future, io, pin::Pin};

use reachhead_harness::process;
use serde_json::{Map, Value};

type Measurement = fn() -> Pin<Box<dyn Future<Output = Value>>>;

/// Measurements by name, in the order in which they run.
const MEASUREMENTS: [(&str, Measurement); 6] = [
    ("overhead", || Box::pin(overhead::run())),
    ("fairness", || Box::pin(fairness::run())),
    ("claims", || Box::pin(claims::run())),
    ("overload", || Box::pin(overload::run())),
    ("retries", || Box::pin(retries::run())),
    ("skew", || Box::pin(skew::run())),
];

/// Programs that the measurements start.
const PROGRAMS: [&str; 4] =
    ["reachhead-entry", "reachhead-control", "reachhead-admin", "reachhead-standin"];

/// Runs the measurement named `only`, or all of them.
///
/// # Errors
///
/// If a program is not built, or there is no measurement of that name.
pub async fn run(only: Option<&str>) -> io::Result<Value> {
    if let Some(missing) = PROGRAMS.iter().find(|name| process::find_program(name).is_none()) {
        let command = "cargo build --release --workspace --bins";
        return Err(io::Error::other(format!(
            "{missing} is missing next to this program; build it with: {command}"
        )));
    }
    let mut figures = Map::new();
    for (name, measure) in MEASUREMENTS {
        if only.is_none_or(|only| only == name) {
            eprintln!("measuring {name}");
            figures.insert(name.to_owned(), measure().await);
        }
    }
    if figures.is_empty() {
        return Err(io::Error::other("unknown measurement"));
    }
    Ok(Value::Object(figures))
}
