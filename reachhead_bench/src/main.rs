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

/// Threads that make load; the processes under test get the other cores.
const LOAD_THREADS: usize = 3;

/// Measurements of the system; each ends with one JSON line.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    part: Part,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Part {
    Path(PathArgs),
    Capacity(CapacityArgs),
    Jobs(JobsArgs),
    Plan(PlanArgs),
    Waves(WavesArgs),
    Forwarder(ForwarderArgs),
}

/// The request path on real processes, each figure beside its naive version.
#[derive(FromArgs)]
#[argh(subcommand, name = "path")]
struct PathArgs {
    /// one of overhead, fairness, claims, overload, retries, skew; all by default
    #[argh(option)]
    only: Option<String>,
}

/// Slopes of state, messages, processor time and memory, for docs/CAPACITY.md.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityArgs {
    /// one of hosts, pools, rows, shares; all by default
    #[argh(option)]
    only: Option<String>,
}

/// The owner of a pool in a burst, in virtual time: the cost of its decisions and jobs in time.
#[derive(FromArgs)]
#[argh(subcommand, name = "jobs")]
struct JobsArgs {}

/// Placement on generated fleets with fixed seeds, beside first fit.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct PlanArgs {}

/// Maintenance rounds on generated fleets with fixed seeds, beside naive ways and lower bounds.
#[derive(FromArgs)]
#[argh(subcommand, name = "waves")]
struct WavesArgs {}

/// The baseline: a bare forwarder, one connection out per connection in, no decisions.
#[derive(FromArgs)]
#[argh(subcommand, name = "forwarder")]
struct ForwarderArgs {
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,

    /// address to forward to; may be given several times, taken in turn
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
        Part::Forwarder(ForwarderArgs { address, to }) => {
            runtime::current_thread()?.block_on(forwarder::run(address, to)).map(|()| None)
        }
        Part::Path(PathArgs { only }) => measure(path::run(only.as_deref())),
        Part::Capacity(CapacityArgs { only }) => measure(capacity::run(only.as_deref())),
        Part::Waves(WavesArgs {}) => measure(async { Ok(waves::run()) }),
        Part::Jobs(JobsArgs {}) => measure(async { Ok(jobs::run()) }),
        Part::Plan(PlanArgs {}) => measure(async { Ok(plan::run()) }),
    }
}

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
