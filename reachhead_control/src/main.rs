//! Follows the configuration and the entry hosts' membership and feeds both to its host.

mod answer;
mod clean;
mod follow;
mod gossip;
mod members;
mod metrics;
mod pools;
mod process;
mod timeouts;
mod view;

use std::process::ExitCode;

use reachhead_ops::cli;

fn main() -> ExitCode {
    cli::run_daemon("control", process::run)
}
