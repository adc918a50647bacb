//! Measurements of the system; each ends with one JSON line.

mod capacity;
mod forwarder;
mod jobs;
mod load;
mod path;
mod plan;
mod waves;

use std::{net::SocketAddr, process::ExitCode};

use argh::FromArgs;
use reachhead_ops::{cli, runtime};
use serde_json::Value;

/// Threads of the load generator; the other cores are left to the processes under test.
const LOAD_THREADS: usize = 3;

/// Measurements of the system; each ends with one JSON line.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    part: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Path(PathArgs),
    Capacity(CapacityArgs),
    Jobs(JobsArgs),
    Plan(PlanArgs),
    Waves(WavesArgs),
    Forwarder(ForwarderArgs),
}

/// Request path on real processes, each figure compared with a naive version.
#[derive(FromArgs)]
#[argh(subcommand, name = "path")]
struct PathArgs {
    /// one of overhead, fairness, claims, overload, retries, skew; all by default
    #[argh(option)]
    only: Option<String>,
}

/// Growth of state, messages, CPU time and memory with fleet size, for docs/CAPACITY.md.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityArgs {
    /// one of hosts, pools, rows, shares; all by default
    #[argh(option)]
    only: Option<String>,
}

/// Pool owner under a burst of jobs, in virtual time: CPU cost of its decisions, share of jobs in time.
#[derive(FromArgs)]
#[argh(subcommand, name = "jobs")]
struct JobsArgs {
    /// one of burst, overload; all by default
    #[argh(option)]
    only: Option<String>,
}

/// Placement on generated fleets with fixed seeds, compared with first fit.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct PlanArgs {}

/// Maintenance waves on generated fleets with fixed seeds, compared with naive schedules and lower bounds.
#[derive(FromArgs)]
#[argh(subcommand, name = "waves")]
struct WavesArgs {}

/// Baseline: a bare forwarder with one upstream connection per incoming one, without decisions.
#[derive(FromArgs)]
#[argh(subcommand, name = "forwarder")]
struct ForwarderArgs {
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,

    /// address to forward to; may be given several times, used round-robin
    #[argh(option)]
    to: Vec<SocketAddr>,
}

fn main() -> ExitCode {
    let args: Args = match cli::parse_args("reachhead-bench") {
        Ok(args) => args,
        Err(code) => return code,
    };
    match run(args) {
        Ok(Some(figures)) => {
            println!("{figures}");
            ExitCode::SUCCESS
        }
        Ok(None) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("reachhead-bench: {error}");
            ExitCode::from(cli::EXIT_RUNTIME)
        }
    }
}

fn run(args: Args) -> std::io::Result<Option<Value>> {
    match args.part {
        Command::Forwarder(ForwarderArgs { address, to }) => {
            runtime::current_thread()?.block_on(forwarder::run(address, to)).map(|()| None)
        }
        Command::Path(PathArgs { only }) => measure(path::run(only.as_deref())),
        Command::Capacity(CapacityArgs { only }) => measure(capacity::run(only.as_deref())),
        Command::Waves(WavesArgs {}) => measure(async { Ok(waves::run()) }),
        Command::Jobs(JobsArgs { only }) => measure(async move { jobs::run(only.as_deref()) }),
        Command::Plan(PlanArgs {}) => measure(async { Ok(plan::run()) }),
    }
}

/// Runs a measurement on the load threads.
fn measure(
    figures: impl Future<Output = std::io::Result<Value>>,
) -> std::io::Result<Option<Value>> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(LOAD_THREADS)
        .enable_all()
        .build()?
        .block_on(figures)
        .map(Some)
}
