//! The operators' command line, as a library for its binary and tests.
//!
//! `command_line` parses the arguments, `operator_client` sends requests to one of the hosts,
//! `commands` executes each command and `exit_outcome` defines the exit codes.

mod command_line;
mod commands;
mod exit_outcome;
mod log_summary;
mod operator_client;
mod request_trace;
mod text_format;

use std::ffi::OsString;

use command_line::CommandLine;
pub use exit_outcome::ExitOutcome;

/// Executes one command line and returns its outcome.
///
/// `args` does not include the program's name; `env` contains the `PULLEYCTL_…` variables.
pub fn run(
    args: impl IntoIterator<Item = String>,
    env: impl IntoIterator<Item = (OsString, OsString)>,
) -> ExitOutcome {
    let env = env
        .into_iter()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)));
    match CommandLine::parse(args, env) {
        Ok(line) => commands::execute(&line),
        Err(command_line::EarlyExit::Text(text)) => {
            println!("{text}");
            ExitOutcome::Done
        }
        Err(command_line::EarlyExit::Faults(faults)) => {
            eprintln!("{}\nSee pulleyctl --help.", faults.join("\n"));
            ExitOutcome::Usage
        }
    }
}
