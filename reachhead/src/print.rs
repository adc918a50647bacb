//! Output to standard output: lines, tables and JSON.

use std::{
    io::{self, Write},
    process,
};

use serde::Serialize;

use crate::command::CommandError;

/// Prints a line; ends the program with status 0 if the reader closed the pipe, for example in
/// `reachhead … | head`.
pub fn line(text: &str) {
    if writeln!(io::stdout(), "{text}").is_err() {
        process::exit(0);
    }
}

/// Prints rows in columns as wide as their widest cell; the first row is the header.
pub fn table(rows: &[Vec<String>]) {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(String::len).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:width$}"));
        line(cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}

/// Prints a value as indented JSON.
///
/// # Errors
///
/// Fails if the value holds a map whose keys are not valid in JSON.
pub fn json(value: &impl Serialize) -> Result<(), CommandError> {
    line(&serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Returns the header row of a table.
pub fn header(names: &[&str]) -> Vec<String> {
    names.iter().map(|&name| name.to_owned()).collect()
}
