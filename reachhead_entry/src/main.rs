//! The request path between callers and minions.
//!
//! Modules follow the life span of what they hold: `request`, `connection`, `version`, `process`.

mod connection;
mod process;
mod request;
mod version;

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use reachhead_config::entry::EntrySettings;
use reachhead_ops::cli;

/// The request path between callers and minions.
#[derive(FromArgs)]
struct Args {
    /// settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = match cli::parse_args("reachhead-entry") {
        Ok(args) => args,
        Err(code) => return code,
    };
    let settings: EntrySettings = match reachhead_config::load("entry", &args.settings) {
        Ok(settings) => settings,
        Err(error) => return cli::fail(&error, cli::EXIT_SETTINGS),
    };
    cli::start_logs();
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("reachhead-entry: {error}");
            ExitCode::from(cli::EXIT_RUNTIME)
        }
    }
}
