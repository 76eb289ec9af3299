//! The operators' command line, as a library that its binary and tests share.
//!
//! `command_line` reads what the operator typed, `operator_client` speaks to one of the
//! hosts, `commands` carries each command out and `exit_outcome` says what became of it.

mod command_line;
mod commands;
mod exit_outcome;
mod log_story;
mod log_summary;
mod operator_client;
mod printed_form;

use std::ffi::OsString;

use command_line::CommandLine;
pub use exit_outcome::ExitOutcome;

/// Carries out one command line and says what became of it.
///
/// `args` are without the program's name; `env` gives `PULLEYCTL_…` settings.
pub fn run(
    args: impl IntoIterator<Item = String>,
    env: impl IntoIterator<Item = (OsString, OsString)>,
) -> ExitOutcome {
    let env = env
        .into_iter()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)));
    match CommandLine::parse(args, env) {
        Ok(line) => commands::carry_out(&line),
        Err(command_line::UsageEnd::Text(text)) => {
            println!("{text}");
            ExitOutcome::Done
        }
        Err(command_line::UsageEnd::Faults(faults)) => {
            eprintln!("{}\nSee pulleyctl --help.", faults.join("\n"));
            ExitOutcome::Usage
        }
    }
}
