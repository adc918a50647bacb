//! Control process of an entry host: follows configuration and membership and feeds both to the
//! entry process.

mod claim_cleaner;
mod follower;
mod gossiper;
mod member_table;
mod metrics;
mod pool_reconciler;
mod process;
mod responder;
mod timeouts;
mod view;

use std::process::ExitCode;

use reachhead_ops::cli;

fn main() -> ExitCode {
    cli::run_daemon("control", process::run)
}
