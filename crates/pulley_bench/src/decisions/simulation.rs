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
    incidents::schedule(&mut world);
    dispatcher.start(&mut world)?;
    for pool in 0..deployment.pools.len() {
        world.events.schedule(Moment::ZERO, SimEvent::Arrive { pool });
    }
    while let Some((now, event)) = world.events.pop() {
        world.now = now;
        handle_event(&mut world, dispatcher.as_mut(), event)?;
    }
    Ok(world.figures)
}

fn handle_event(
    world: &mut SimWorld,
    dispatcher: &mut dyn Dispatcher,
    event: SimEvent,
) -> Result<()> {
    match event {
        SimEvent::Arrive { pool } => {
            for call in world.draw_arrivals(pool) {
                dispatcher.on_arrival(world, call);
            }
        }
        SimEvent::ArriveAtUpstream { call } => world.arrive_at_upstream(call),
        SimEvent::FinishAtUpstream { call } => {
            world.finish_at_upstream(call);
            dispatcher.on_slot_freed(world, call);
        }
        SimEvent::ReturnToEntry { call, outcome } => {
            return_to_entry(world, dispatcher, call, outcome);
        }
        SimEvent::Timer(timer) => dispatcher.on_timer(world, timer),
        SimEvent::Deliver { from, to, body } => dispatcher.on_message(world, (from, to), body),
        SimEvent::Incident(incident) => {
            incidents::apply(world, incident, dispatcher.critical_host());
            if !matches!(incident, Incident::Noise) {
                dispatcher.on_change(world)?;
            }
        }
    }
    Ok(())
}

fn return_to_entry(
    world: &mut SimWorld,
    dispatcher: &mut dyn Dispatcher,
    call: usize,
    outcome: AttemptOutcome,
) {
    if !world.alive[world.calls[call].entry] {
        return;
    }
    dispatcher.on_outcome(world, call, outcome);
    if world.record_outcome(call, outcome) {
        dispatcher.on_arrival(world, call);
    }
}
