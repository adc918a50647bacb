//! `reachhead-node`: the process that runs on each entry host of the users' platform.

mod ability;
mod admission;
mod bulk_reads;
mod claim;
mod clock;
mod config_reads;
mod dispatch;
mod earlier_owners;
mod election;
mod failure_detector;
mod fences;
mod fleet;
mod follow;
mod frontend;
mod handover;
mod lease;
mod lock;
mod membership;
mod metrics;
mod moves;
mod node;
mod observe;
mod order_permit;
mod owner;
mod owner_call;
mod peer;
mod predecessor;
mod process;
mod recovery;
mod registry;
mod relay;
mod retakes;
mod submit;
mod takeover;
#[cfg(test)]
mod tests;
mod view;

use std::process::ExitCode;

use argh::FromArgs;
use reachhead_ops::{
    cli::{EXIT_RUNTIME, EXIT_SETTINGS, parse_args},
    logs,
};
use reachhead_platform::settings::Settings;
use tikv_jemallocator::Jemalloc;

/// Bursts allocate and free thousands of small requests and rows a second, which took a sixth of
/// the processes' time with the C library's allocator (in a profile of bursts on 300 workers).
/// jemalloc needs no more memory.
#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;

/// Serves callers and schedules their jobs on the users' platform. The platform writes the settings file
/// and names it in the environment; docs/OPERATIONS.md tells how.
#[derive(FromArgs)]
struct Args {
    /// check the settings file and end
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = match parse_args("reachhead-node") {
        Ok(args) => args,
        Err(code) => return code,
    };
    let settings = match Settings::load() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("reachhead-node: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("the settings of {} are good", settings.node);
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logs::init() {
        eprintln!("reachhead-node: no log can be written: {error}");
        return ExitCode::from(EXIT_RUNTIME);
    }
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("reachhead-node: {error}");
            ExitCode::from(EXIT_RUNTIME)
        }
    }
}
