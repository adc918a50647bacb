//! The request path between callers and minions.
//!
//! Modules follow the life span of what they hold: `request`, `connection`, `version`, `process`.

mod connection;
mod process;
mod request;
mod version;

use std::process::ExitCode;

use reachhead_ops::cli;

fn main() -> ExitCode {
    cli::run_daemon("entry", process::run)
}
