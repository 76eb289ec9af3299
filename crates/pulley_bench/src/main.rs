//! Benchmarks with stand-in callers and upstreams. Each run prints one line of key=value pairs.

mod capacity;
mod decisions;
mod fleet;
mod path;
mod recovery;

use std::process::ExitCode;

use eyre::{Result, bail};

const USAGE: &str = "usage: pulley_bench SUBCOMMAND [options]; each explains itself with --help

subcommands:
  capacity   what control costs a host, an upstream, a change
  decisions  policies under load, in virtual time
  fleet      real daemons, stand-in upstreams, open load
  path       what the request path adds, direct against forwarders
  recovery   the replicated log: changes, claims, restarts, memory";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault:#}");
            ExitCode::from(2)
        }
    }
}

fn run(arguments: &[String]) -> Result<()> {
    let Some((subcommand, rest)) = arguments.split_first() else { bail!("{USAGE}") };
    match subcommand.as_str() {
        "capacity" => capacity::run(rest),
        "decisions" => decisions::run(rest),
        "fleet" => fleet::run(rest),
        "path" => path::run(rest),
        "recovery" => recovery::run(rest),
        "--help" | "-h" => {
            println!("{USAGE}");
            Ok(())
        }
        other => bail!("no subcommand {other}\n{USAGE}"),
    }
}
