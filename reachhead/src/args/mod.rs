//! Command-line arguments.

mod hosts;
mod settings;

pub use hosts::*;
pub use settings::*;

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

/// Command line for operators of reachhead. Exit codes: 1 failure, 2 usage error, 3 invalid settings.
#[derive(FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Check(CheckArgs),
    Dump(DumpArgs),
    Apply(ApplyArgs),
    Settings(SettingsArgs),
    Operator(OperatorArgs),
    Host(HostArgs),
    Pool(PoolArgs),
    Wave(WaveArgs),
}

/// Check a settings file without starting anything, or explain the settings of a program.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// settings file of any program, or a fleet file
    #[argh(positional)]
    pub file: Option<PathBuf>,

    /// print every setting of a program with its default: entry, control, admin or fleet
    #[argh(option)]
    pub explain: Option<String>,
}

/// Print the state, metrics or health of a process.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct DumpArgs {
    /// ops address of the process
    #[argh(positional)]
    pub address: SocketAddr,

    /// page to print: state (default), metrics, ready or live
    #[argh(option, default = "String::from(\"state\")")]
    pub page: String,
}

/// Change the configuration rows that differ from a fleet file.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// fleet file
    #[argh(positional)]
    pub file: PathBuf,

    /// delete rows that are not in the file
    #[argh(switch)]
    pub prune: bool,

    /// print the changes without making them
    #[argh(switch)]
    pub dry_run: bool,

    /// address of an admin; REACHHEAD_ADMIN by default
    #[argh(option)]
    pub admin: Option<SocketAddr>,
}
