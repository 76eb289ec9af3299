//! Schedules and applies the incidents of a scenario.

use std::time::Duration;

use pulley_core::Moment;
use rand::Rng;

use super::scenario::LoadScenario;
use super::sim_world::{Incident, SimEvent, SimWorld};
use super::upstream_model::UpstreamMode;

/// Delay of the incident after the measured time starts.
const INCIDENT_DELAY: Duration = Duration::from_secs(2);

/// Duration of an incident that ends. It starts when the hosts have detected the incident.
const INCIDENT_DURATION: Duration = Duration::from_secs(4);

/// Delay until gossip has told the hosts of a drain or of a restarted upstream.
const GOSSIP_DELAY: Duration = Duration::from_millis(300);

/// Delay until the hosts detect that others are lost, or that a partition has ended.
const DETECTION_DELAY: Duration = Duration::from_secs(1);

/// Lease of an announcement; when it expires, the hosts know that the upstream is unreachable.
const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(3);

/// Interval at which the upstreams slowed by noisy neighbours are drawn again.
const NOISE_INTERVAL: Duration = Duration::from_millis(200);

/// Fraction of the upstreams that noisy neighbours slow down at any time.
const NOISY_FRACTION: f64 = 0.08;

/// Factor by which noisy neighbours slow an upstream down.
const NOISY_SLOWDOWN: f64 = 3.0;

/// Schedules the incidents of the scenario.
pub(crate) fn schedule(world: &mut SimWorld) {
    let start = world.measure_start + INCIDENT_DELAY;
    let detection_delay = match world.scenario {
        LoadScenario::Drain | LoadScenario::ColdStart => GOSSIP_DELAY,
        LoadScenario::ZoneCut => ANNOUNCEMENT_LEASE,
        _ => DETECTION_DELAY,
    };
    let mut schedule_at =
        |at: Moment, incident| world.events.schedule(at, SimEvent::Incident(incident));
    match world.scenario {
        LoadScenario::OneSlow | LoadScenario::OneFailingFast => {
            schedule_at(Moment::ZERO + Duration::from_secs(1), Incident::Begin);
        }
        LoadScenario::ZoneCut => {
            schedule_at(start, Incident::Begin);
            schedule_at(start + detection_delay, Incident::Detected);
            schedule_at(start + detection_delay + INCIDENT_DURATION, Incident::End);
            schedule_at(
                start + detection_delay + INCIDENT_DURATION + DETECTION_DELAY,
                Incident::EndDetected,
            );
        }
        LoadScenario::Noisy => schedule_at(Moment::ZERO, Incident::Noise),
        LoadScenario::Drain
        | LoadScenario::ColdStart
        | LoadScenario::CoordinatorLost
        | LoadScenario::TwoHostsLost
        | LoadScenario::SilentConnections => {
            schedule_at(start, Incident::Begin);
            schedule_at(start + detection_delay, Incident::Detected);
        }
        _ => {}
    }
}

/// Applies an incident. `coordinator` is the host whose loss affects the first pool most.
pub(crate) fn apply(world: &mut SimWorld, incident: Incident, coordinator: usize) {
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
        (Incident::Begin, LoadScenario::ZoneCut) => world.zone_cut = true,
        (Incident::End, LoadScenario::ZoneCut) => world.zone_cut = false,
        (Incident::Detected, LoadScenario::ZoneCut) => world.zone_cut_detected = true,
        (Incident::EndDetected, LoadScenario::ZoneCut) => world.zone_cut_detected = false,
        (Incident::Detected, LoadScenario::Drain) => world.drain_detected = true,
        (Incident::Detected, LoadScenario::CoordinatorLost | LoadScenario::TwoHostsLost) => {
            world.loss_detected = world.alive.iter().map(|alive| !alive).collect();
        }
        (Incident::Noise, _) => redraw_noise(world),
        _ => {}
    }
}

fn redraw_noise(world: &mut SimWorld) {
    for upstream in 0..world.upstreams.len() {
        let slowed = world.rng.random::<f64>() < NOISY_FRACTION;
        let mode = if slowed { UpstreamMode::Slow(NOISY_SLOWDOWN) } else { UpstreamMode::Healthy };
        world.upstreams[upstream].mode = mode;
    }
    if world.now < world.measure_end {
        world.events.schedule(world.now + NOISE_INTERVAL, SimEvent::Incident(Incident::Noise));
    }
}
