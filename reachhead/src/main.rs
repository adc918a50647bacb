//! Command line for operators.

mod args;
mod client;
mod command;
mod print;

use std::process::ExitCode;

use reachhead_ops::{cli, runtime};

use crate::{
    args::{Args, Command},
    command::CommandError,
};

fn main() -> ExitCode {
    let args: Args = match cli::parse_args("reachhead") {
        Ok(args) => args,
        Err(code) => return code,
    };
    let runtime = match runtime::current_thread() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("reachhead: {error}");
            return ExitCode::from(cli::EXIT_RUNTIME);
        }
    };
    match runtime.block_on(run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Settings(error)) => cli::report_failure(&error, cli::EXIT_SETTINGS),
        Err(error) => {
            eprintln!("reachhead: {error}");
            ExitCode::from(cli::EXIT_RUNTIME)
        }
    }
}

async fn run(args: Args) -> Result<(), CommandError> {
    match args.command {
        Command::Check(check) => command::check::run(&check),
        Command::Dump(dump) => command::dump::run(&dump).await,
        Command::Apply(apply) => command::apply::run(&apply).await,
        Command::Settings(settings) => command::settings::run(&settings).await,
        Command::Operator(operator) => command::operator::run(&operator).await,
        Command::Host(host) => command::host::run(&host).await,
        Command::Pool(pool) => command::host::run_pool(&pool).await,
        Command::Wave(wave) => command::wave::run(&wave).await,
    }
}
