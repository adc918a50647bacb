//! Follows the configuration and the entry hosts' membership and feeds both to its host.

mod answer;
mod clean;
mod follow;
mod gossip;
mod members;
mod metrics;
mod process;
mod terms;
mod view;

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use reachhead_config::control::ControlSettings;
use reachhead_ops::cli;

/// Follows the configuration and the entry hosts' membership and feeds both to its host.
#[derive(FromArgs)]
struct Args {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = match cli::parse_args("reachhead-control") {
        Ok(args) => args,
        Err(code) => return code,
    };
    let settings: ControlSettings = match reachhead_config::load("control", &args.settings) {
        Ok(settings) => settings,
        Err(error) => return cli::fail(&error, cli::EXIT_SETTINGS),
    };
    cli::start_logs();
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("reachhead-control: {error}");
            ExitCode::from(cli::EXIT_RUNTIME)
        }
    }
}
