//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    let outcome = pulleyctl::run(
        std::env::args_os().skip(1).map(|argument| argument.to_string_lossy().into_owned()),
        std::env::vars_os(),
    );
    outcome.into()
}
