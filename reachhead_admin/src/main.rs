//! Admin process: HTTP API for operators over the configuration, hosts and maintenance waves.

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
