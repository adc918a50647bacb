//! The reverse proxy between callers and minions (backend servers).
//!
//! There is one module per lifetime of the state in it: `request`, `connection`, `route_table` (one
//! per configuration version) and `process`.

mod connection;
mod process;
mod request;
mod route_table;

use std::process::ExitCode;

use reachhead_ops::cli;

fn main() -> ExitCode {
    cli::run_daemon("entry", process::run)
}
