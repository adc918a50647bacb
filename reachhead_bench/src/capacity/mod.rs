//! Growth of resource usage with size, for docs/CAPACITY.md.
//!
//! Each cost is measured at four sizes or more, with a line fitted through the results.

mod fit;
mod hosts;
mod pools;
mod rows;
mod shares;

use std::io;

use serde_json::{Map, Value};

/// Runs the measurement named `only`, or all of them.
///
/// # Errors
///
/// If there is no measurement of that name.
pub async fn run(only: Option<&str>) -> io::Result<Value> {
    let mut figures = Map::new();
    let is_selected = |name: &str| only.is_none_or(|only| only == name);
    if is_selected("shares") {
        figures.insert("shares".to_owned(), shares::run());
    }
    if is_selected("rows") {
        figures.insert("rows".to_owned(), rows::run().await);
    }
    if is_selected("hosts") {
        figures.insert("hosts".to_owned(), hosts::run().await);
    }
    if is_selected("pools") {
        figures.insert("pools".to_owned(), pools::run().await);
    }
    match figures.is_empty() {
        true => Err(io::Error::other("unknown measurement")),
        false => Ok(Value::Object(figures)),
    }
}
