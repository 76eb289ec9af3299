//! Schedules and applies the incidents of a scenario.

use std::time::Duration;

use pulley_core::Moment;
use rand::Rng;

use super::scenario::LoadScenario;
use super::sim_world::{Incident, SimEvent, SimWorld};
use super::upstream_model::UpstreamMode;

/// Delay of the incident after the measured time starts.
const BEGIN_AFTER: Duration = Duration::from_secs(2);

/// Duration of an incident that ends. It counts from when the hosts have detected the incident.
const LASTS: Duration = Duration::from_secs(4);

/// Delay until gossip has told the hosts of a drain or of a restarted upstream.
const GOSSIP: Duration = Duration::from_millis(300);

/// Delay until the hosts detect that others are lost, or that a partition has ended.
const SUSPICION: Duration = Duration::from_secs(1);

/// Lease of an announcement; when it expires, the hosts know that the upstream is unreachable.
const LEASE: Duration = Duration::from_secs(3);

/// Interval at which the upstreams slowed by noisy neighbours are drawn again.
const NOISE_EVERY: Duration = Duration::from_millis(200);

/// Fraction of the upstreams that noisy neighbours slow down at any time.
const NOISY_PART: f64 = 0.08;

/// Factor by which noisy neighbours slow an upstream down.
const NOISY_FACTOR: f64 = 3.0;

/// Schedules the incidents of the scenario.
pub(crate) fn plan(world: &mut SimWorld) {
    let begin = world.begin + BEGIN_AFTER;
    let noticed = match world.scenario {
        LoadScenario::Drain | LoadScenario::ColdStart => GOSSIP,
        LoadScenario::ZoneCut => LEASE,
        _ => SUSPICION,
    };
    let mut add = |at: Moment, incident| world.events.add(at, SimEvent::Incident(incident));
    match world.scenario {
        LoadScenario::OneSlow | LoadScenario::OneFailingFast => {
            add(Moment::ZERO + Duration::from_secs(1), Incident::Begin);
        }
        LoadScenario::ZoneCut => {
            add(begin, Incident::Begin);
            add(begin + noticed, Incident::Noticed);
            add(begin + noticed + LASTS, Incident::End);
            add(begin + noticed + LASTS + SUSPICION, Incident::EndNoticed);
        }
        LoadScenario::Noisy => add(Moment::ZERO, Incident::Noise),
        LoadScenario::Drain
        | LoadScenario::ColdStart
        | LoadScenario::CoordinatorLost
        | LoadScenario::TwoHostsLost
        | LoadScenario::SilentConnections => {
            add(begin, Incident::Begin);
            add(begin + noticed, Incident::Noticed);
        }
        _ => {}
    }
}

/// Applies an incident. `coordinator` is the host whose loss affects the first pool most.
pub(crate) fn happen(world: &mut SimWorld, incident: Incident, coordinator: usize) {
    let now = world.now;
    match (incident, world.scenario) {
        (Incident::Begin, LoadScenario::OneSlow) => {
            world.upstreams[0].mode = UpstreamMode::Slow(10.0);
        }
        (Incident::Begin, LoadScenario::OneFailingFast) => {
            world.upstreams[0].mode = UpstreamMode::FailingFast;
        }
        (Incident::Begin, LoadScenario::ColdStart) => {
            world.upstreams[0].mode = UpstreamMode::Cold(now);
        }
        (Incident::Begin, LoadScenario::CoordinatorLost) => world.alive[coordinator] = false,
        (Incident::Begin, LoadScenario::TwoHostsLost) => {
            world.alive[coordinator] = false;
            let other = (coordinator + 1) % world.deployment.entries;
            world.alive[other] = false;
        }
        (Incident::Begin, LoadScenario::ZoneCut) => world.cut = true,
        (Incident::End, LoadScenario::ZoneCut) => world.cut = false,
        (Incident::Noticed, LoadScenario::ZoneCut) => world.known_cut = true,
        (Incident::EndNoticed, LoadScenario::ZoneCut) => world.known_cut = false,
        (Incident::Noticed, LoadScenario::Drain) => world.known_drain = true,
        (Incident::Noticed, LoadScenario::CoordinatorLost | LoadScenario::TwoHostsLost) => {
            world.known_lost = world.alive.iter().map(|alive| !alive).collect();
        }
        (Incident::Noise, _) => make_noise(world),
        _ => {}
    }
}

fn make_noise(world: &mut SimWorld) {
    for upstream in 0..world.upstreams.len() {
        let slow = world.rng.random::<f64>() < NOISY_PART;
        let mode = if slow { UpstreamMode::Slow(NOISY_FACTOR) } else { UpstreamMode::Well };
        world.upstreams[upstream].mode = mode;
    }
    if world.now < world.end {
        world.events.add(world.now + NOISE_EVERY, SimEvent::Incident(Incident::Noise));
    }
}
