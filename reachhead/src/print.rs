//! Lines and tables for people.

use std::{
    io::{self, Write},
    process,
};

/// Prints a line; a reader that has gone, as in `reachhead … | head`, ends the program quietly.
pub fn line(text: &str) {
    if writeln!(io::stdout(), "{text}").is_err() {
        process::exit(0);
    }
}

/// Prints rows in columns as wide as their widest cell; the first row is the head.
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
