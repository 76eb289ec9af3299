//! Measures the scheduling decisions of `pulley_core`: their results under simulated load, and
//! their processor time.
//!
//! The simulation runs the real schedulers and coordinators in virtual time. Callers, upstreams
//! and the network between hosts are simplified models. Each model's documentation says what it
//! leaves out.

mod decision_cost;
mod deployment;
mod dispatcher;
mod event_queue;
mod forward_dispatcher;
mod incidents;
mod lease_dispatcher;
mod run_report;
mod scenario;
mod shared_dispatcher;
mod sim_world;
mod simulation;
mod upstream_model;

use eyre::Result;
use getopts::{Matches, Options};

use deployment::DeploymentSpec;
use run_report::RunName;
use scenario::LoadScenario;

/// Runs the subcommand.
///
/// # Errors
/// Returns an error if an option cannot be parsed or a name is unknown.
pub(crate) fn run(arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optflag("h", "help", "prints this text");
    options.optflag("", "cost", "measures processor time of each decision, in real time");
    options.optmulti("", "deployment", "kolkhi, abay or two_years; all if absent", "NAME");
    options.optmulti("", "scenario", "such as steady_80; all if absent", "NAME");
    options.optmulti("", "policy", "such as shared; all if absent", "NAME");
    options.optopt("", "probe-percent", "part of the deployment's probe budgets", "NUMBER");
    options.optmulti("", "seed", "a number; 1 if absent", "NUMBER");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        println!("{}", options.usage("usage: pulley_bench decisions [options]"));
        return Ok(());
    }
    if matches.opt_present("cost") {
        return decision_cost::run();
    }
    run_all(&matches)
}

fn run_all(matches: &Matches) -> Result<()> {
    let names = LoadScenario::ALL.map(|(name, _)| name);
    let probe_percent: u32 = matches.opt_get_default("probe-percent", 100)?;
    let seeds = selected(matches, "seed", &["1"]);
    for deployment in selected(matches, "deployment", &DeploymentSpec::NAMES) {
        let deployment = DeploymentSpec::from_name(&deployment)?;
        for scenario_name in selected(matches, "scenario", &names) {
            let scenario = LoadScenario::from_name(&scenario_name)?;
            let mut sized = deployment.clone().for_scenario(scenario);
            for pool in &mut sized.pools {
                pool.probe_budget = pool.probe_budget * probe_percent / 100;
            }
            for policy in selected(matches, "policy", &simulation::POLICIES) {
                for seed in &seeds {
                    let seed = seed.parse()?;
                    let figures = simulation::simulate(&sized, scenario, &policy, seed)?;
                    let name = RunName { scenario: scenario.name(), policy: &policy, seed };
                    figures.print(&sized, name);
                }
            }
        }
    }
    Ok(())
}

fn selected(matches: &Matches, option: &str, all: &[&str]) -> Vec<String> {
    let given = matches.opt_strs(option);
    if given.is_empty() { all.iter().map(|name| (*name).to_owned()).collect() } else { given }
}
