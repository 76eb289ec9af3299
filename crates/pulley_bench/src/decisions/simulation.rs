//! Runs the event loop of one scenario with one policy.

use eyre::{Result, bail};
use pulley_core::Moment;
use pulley_core::request::AttemptOutcome;

use super::deployment::DeploymentSpec;
use super::dispatcher::{CentralDispatcher, Dispatcher, OwnP2cDispatcher, RandomDispatcher};
use super::forward_dispatcher::ForwardDispatcher;
use super::incidents;
use super::lease_dispatcher::LeaseDispatcher;
use super::run_report::RunFigures;
use super::scenario::LoadScenario;
use super::shared_dispatcher::SharedDispatcher;
use super::sim_world::{Incident, SimEvent, SimWorld};

/// Names of all policies.
pub(crate) const POLICIES: [&str; 6] =
    ["shared", "own_p2c", "lease", "forward", "random", "central"];

/// Simulates one scenario with one policy until no event is left, and returns the figures.
pub(crate) fn simulate(
    deployment: &DeploymentSpec,
    scenario: LoadScenario,
    policy: &str,
    seed: u64,
) -> Result<RunFigures> {
    let mut dispatcher: Box<dyn Dispatcher> = match policy {
        "shared" => Box::new(SharedDispatcher::default()),
        "own_p2c" => Box::new(OwnP2cDispatcher::default()),
        "lease" => Box::new(LeaseDispatcher::default()),
        "forward" => Box::new(ForwardDispatcher::default()),
        "random" => Box::new(RandomDispatcher),
        "central" => Box::new(CentralDispatcher::default()),
        other => bail!("unknown policy {other}; expected one of {}", POLICIES.join(", ")),
    };
    let mut world = SimWorld::new(deployment.clone(), scenario, seed);
    incidents::plan(&mut world);
    dispatcher.begin(&mut world)?;
    for pool in 0..deployment.pools.len() {
        world.events.add(Moment::ZERO, SimEvent::Arrive { pool });
    }
    while let Some((now, event)) = world.events.pop() {
        world.now = now;
        step(&mut world, dispatcher.as_mut(), event)?;
    }
    Ok(world.figures)
}

fn step(world: &mut SimWorld, dispatcher: &mut dyn Dispatcher, event: SimEvent) -> Result<()> {
    match event {
        SimEvent::Arrive { pool } => {
            for call in world.arrivals(pool) {
                dispatcher.arrive(world, call);
            }
        }
        SimEvent::ReachUpstream { call } => world.reach_upstream(call),
        SimEvent::EndAtUpstream { call } => {
            world.end_at_upstream(call);
            dispatcher.freed(world, call);
        }
        SimEvent::ReachEntry { call, outcome } => {
            reach_entry(world, dispatcher, call, outcome);
        }
        SimEvent::Timer(timer) => dispatcher.timer(world, timer),
        SimEvent::Deliver { from, to, body } => dispatcher.deliver(world, (from, to), body),
        SimEvent::Incident(incident) => {
            incidents::happen(world, incident, dispatcher.coordinator());
            if !matches!(incident, Incident::Noise) {
                dispatcher.changed(world)?;
            }
        }
    }
    Ok(())
}

fn reach_entry(
    world: &mut SimWorld,
    dispatcher: &mut dyn Dispatcher,
    call: usize,
    outcome: AttemptOutcome,
) {
    if !world.alive[world.calls[call].entry] {
        return;
    }
    dispatcher.ended(world, call, outcome);
    if world.conclude(call, outcome) {
        dispatcher.arrive(world, call);
    }
}
