//! Operators' HTTP API over the configuration.

mod api;
mod auth;
mod metrics;
mod process;
mod status;

use std::process::ExitCode;

use reachhead_ops::cli;

fn main() -> ExitCode {
    cli::run_daemon("admin", process::run)
}
