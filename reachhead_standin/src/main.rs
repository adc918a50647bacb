//! Stand-ins for the platform and for minions, used by tests and the demo only.

mod caller;
mod minion;
mod platform;
mod store;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process::ExitCode,
    time::Duration,
};

use argh::FromArgs;
use reachhead_ops::{cli, runtime};

use crate::caller::RequestPlan;

/// Stand-ins for the platform and for minions, used by tests and the demo only.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    part: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Store(StoreArgs),
    Minion(MinionArgs),
    Caller(CallerArgs),
    Ports(PortsArgs),
}

/// The platform's table service and host API, in memory.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreArgs {
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,
}

/// Minions, one per address.
#[derive(FromArgs)]
#[argh(subcommand, name = "minion")]
struct MinionArgs {
    /// address to listen on; may be given several times
    #[argh(option)]
    address: Vec<SocketAddr>,

    /// milliseconds that a request takes, 0 by default
    #[argh(option, default = "0")]
    work: u64,

    /// requests that a minion runs at once before it refuses, 8 by default
    #[argh(option, default = "8")]
    slots: usize,
}

/// Callers that verify every response; the last line is the number of requests served.
#[derive(FromArgs)]
#[argh(subcommand, name = "caller")]
struct CallerArgs {
    /// address of an entry host; may be given several times
    #[argh(option)]
    entry: Vec<SocketAddr>,

    /// path to request; sent by POST after a leading '!', by PUT otherwise; may be given several times
    #[argh(option)]
    path: Vec<String>,

    /// requests to send
    #[argh(option)]
    count: usize,

    /// milliseconds that each caller waits before each request
    #[argh(option, default = "0")]
    pause: u64,
}

/// Print free loopback ports, one a line.
#[derive(FromArgs)]
#[argh(subcommand, name = "ports")]
struct PortsArgs {
    /// number of ports
    #[argh(positional)]
    count: usize,
}

fn main() -> ExitCode {
    let args: Args = match cli::parse_args("reachhead-standin") {
        Ok(args) => args,
        Err(code) => return code,
    };
    cli::init_logger();
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("reachhead-standin: {error}");
            ExitCode::from(cli::EXIT_RUNTIME)
        }
    }
}

fn run(args: Args) -> io::Result<()> {
    runtime::current_thread()?.block_on(async {
        match args.part {
            Command::Store(args) => store::run(args.address).await,
            Command::Minion(args) => minion::run(&args.address, args.work, args.slots).await,
            Command::Caller(CallerArgs { entry, path, count, pause }) => {
                let pause = Duration::from_millis(pause);
                caller::run(RequestPlan { entries: entry, paths: path, count, pause }).await
            }
            Command::Ports(args) => print_ports(args.count),
        }
    })
}

fn print_ports(count: usize) -> io::Result<()> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    // All listeners stay open until the end, so that no port is printed twice.
    let listeners = (0..count).map(bind).collect::<io::Result<Vec<_>>>()?;
    for listener in &listeners {
        println!("{}", listener.local_addr()?.port());
    }
    Ok(())
}
