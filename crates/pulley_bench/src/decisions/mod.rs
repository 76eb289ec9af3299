//! Measures the decisions of `pulley_core`: outcomes under load and their cost.

mod decision_cost;

use eyre::Result;
use getopts::Options;

/// Runs the subcommand.
///
/// # Errors
/// Gives an error for options that do not parse.
pub(crate) fn run(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optflag("h", "help", "prints this text");
    options.optflag("", "cost", "measures processor time of each decision, in real time");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        println!("{}", options.usage("usage: pulley_bench decisions [options]"));
        return Ok(());
    }
    decision_cost::run()
}
