//! Command line parsing and exit codes shared by all programs.

use std::{env, fmt::Display, path::PathBuf, process::ExitCode};

use argh::FromArgs;
use log::LevelFilter;
use miette::{Diagnostic, GraphicalReportHandler};
use reachhead_config::Section;

/// Exit code for a failure at run time.
pub const EXIT_RUNTIME: u8 = 1;

/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;

/// Exit code for invalid settings; nothing was started.
pub const EXIT_SETTINGS: u8 = 3;

/// Parses the command line of `program`. Prints the version, the help or an error otherwise.
///
/// # Errors
///
/// Returns the exit code: 0 after `--help` and `--version`, [`EXIT_USAGE`] for an invalid command
/// line.
pub fn parse_args<T: FromArgs>(program: &str) -> Result<T, ExitCode> {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "--version" || arg == "-V") {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return Err(ExitCode::SUCCESS);
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    T::from_args(&[program], &args).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    })
}

/// Long-running process of the system; it runs until SIGTERM. Its ops listener serves `/state`.
#[derive(FromArgs)]
struct DaemonArgs {
    /// settings file, JSON with comments; "reachhead check" validates it
    #[argh(option)]
    settings: PathBuf,
}

/// Runs a long-lived process: reads the command line and the settings of `reachhead-PROGRAM`,
/// starts the logger and calls `run`.
pub fn run_daemon<S: Section, E: Display>(
    program: &str,
    run: impl FnOnce(S) -> Result<(), E>,
) -> ExitCode {
    let name = format!("reachhead-{program}");
    let args: DaemonArgs = match parse_args(&name) {
        Ok(args) => args,
        Err(code) => return code,
    };
    let settings = match reachhead_config::load(program, &args.settings) {
        Ok(settings) => settings,
        Err(error) => return report_failure(&error, EXIT_SETTINGS),
    };
    init_logger();
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::from(EXIT_RUNTIME)
        }
    }
}

/// Prints `report` with its source snippets to standard error and returns `code` as the exit code.
pub fn report_failure(report: &dyn Diagnostic, code: u8) -> ExitCode {
    let mut text = String::new();
    match GraphicalReportHandler::new().render_report(&mut text, report) {
        Ok(()) => eprint!("{text}"),
        Err(_) => eprintln!("{report}"),
    }
    ExitCode::from(code)
}

/// Starts the logger at level info, unless `RUST_LOG` sets another.
pub fn init_logger() {
    env_logger::Builder::new().filter_level(LevelFilter::Info).parse_default_env().init();
}
