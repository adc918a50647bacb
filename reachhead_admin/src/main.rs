//! Operators' HTTP API over the configuration.

mod api;
mod auth;
mod metrics;
mod process;
mod status;

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use reachhead_config::admin::AdminSettings;
use reachhead_ops::cli;

/// Operators' HTTP API over the configuration.
#[derive(FromArgs)]
struct Args {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = match cli::parse_args("reachhead-admin") {
        Ok(args) => args,
        Err(code) => return code,
    };
    let settings: AdminSettings = match reachhead_config::load("admin", &args.settings) {
        Ok(settings) => settings,
        Err(error) => return cli::fail(&error, cli::EXIT_SETTINGS),
    };
    cli::start_logs();
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("reachhead-admin: {error}");
            ExitCode::from(cli::EXIT_RUNTIME)
        }
    }
}
