//! Command lines and exit codes, alike in all programs.

use std::{env, fmt::Display, path::PathBuf, process::ExitCode};

use argh::FromArgs;
use log::LevelFilter;
use miette::{Diagnostic, GraphicalReportHandler};
use reachhead_config::Section;

/// Exit code of a program that failed while it ran.
pub const EXIT_RUNTIME: u8 = 1;

/// Exit code of a command line that can't be understood.
pub const EXIT_USAGE: u8 = 2;

/// Exit code of settings with faults; nothing was started.
pub const EXIT_SETTINGS: u8 = 3;

/// Parses the command line of `program`, or prints what was asked for and returns the exit code.
///
/// # Errors
///
/// The exit code to end with: 0 after `--help` and `--version`, [`EXIT_USAGE`] for a bad line.
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

/// One of the system's processes; it runs until SIGTERM. `/state` of its ops listener tells the rest.
#[derive(FromArgs)]
struct DaemonArgs {
    /// settings file, JSON with comments; "reachhead check" tells whether it has faults
    #[argh(option)]
    settings: PathBuf,
}

/// The main function of a long-lived process: reads the command line and the settings of
/// `reachhead-PROGRAM`, starts the logger, and calls `run`.
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

/// Prints `report` with its places and returns `code` to end with.
pub fn report_failure(report: &dyn Diagnostic, code: u8) -> ExitCode {
    let mut text = String::new();
    match GraphicalReportHandler::new().render_report(&mut text, report) {
        Ok(()) => eprint!("{text}"),
        Err(_) => eprintln!("{report}"),
    }
    ExitCode::from(code)
}

/// Starts the logger: info and up, unless `RUST_LOG` says otherwise.
pub fn init_logger() {
    env_logger::Builder::new().filter_level(LevelFilter::Info).parse_default_env().init();
}
