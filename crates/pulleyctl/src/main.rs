//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    let outcome = pulleyctl::run(std::env::args().skip(1), std::env::vars_os());
    outcome.into()
}
