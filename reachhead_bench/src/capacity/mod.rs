//! Slopes for docs/CAPACITY.md: each duty at four sizes or more, with a straight line through them.

mod fit;
mod hosts;
mod pools;
mod rows;
mod shares;

use std::io;

use serde_json::{Map, Value};

/// Runs one part, or all.
pub async fn run(only: Option<&str>) -> io::Result<Value> {
    let mut figures = Map::new();
    let is_asked = |name: &str| only.is_none_or(|only| only == name);
    if is_asked("shares") {
        figures.insert("shares".to_owned(), shares::run());
    }
    if is_asked("rows") {
        figures.insert("rows".to_owned(), rows::run().await);
    }
    if is_asked("hosts") {
        figures.insert("hosts".to_owned(), hosts::run().await);
    }
    if is_asked("pools") {
        figures.insert("pools".to_owned(), pools::run().await);
    }
    match figures.is_empty() {
        true => Err(io::Error::other("there is no such part")),
        false => Ok(Value::Object(figures)),
    }
}
