//! Callers' requests in the simulation, from the search for an upstream to the answer.

use std::time::Duration;

use pulley_core::process::{Incarnation, UpstreamStart};
use pulley_core::request::{
    AttemptOutcome, LimitReading, LimitSighting, LoadReport, ProbeQuery, ProbeReach, ProbeReading,
    RequestNumber, RequestTicket, SchedulerEffect,
};
use pulley_core::{Moment, RefusalCause, UpstreamId};
use rand::Rng;

use crate::limit_fleet::{FleetEvent, LimitFleet, MILLISECOND, TARGET};

const PROBE_PAUSE: Duration = Duration::from_millis(30);
const PROBE_ROUNDS: u32 = 2;
const PERMIT_WAIT: Duration = Duration::from_millis(80);

#[derive(Clone, Debug)]
pub(crate) struct FleetRequest {
    pub(crate) host: usize,
    pub(crate) first_sent: Duration,
    pub(crate) returns: u32,
    pub(crate) avoid: Vec<UpstreamId>,
    pub(crate) attempt: u8,
    pub(crate) has_paused: bool,
    /// The number of its last pause.
    pub(crate) pause: u64,
}

/// What became of the callers' requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallerOutcomes {
    pub(crate) sent: u32,
    pub(crate) in_time: u32,
    pub(crate) refused: u32,
    /// Refusals of callers that came back when they were told to.
    pub(crate) refused_again: u32,
    pub(crate) returned: u32,
    /// The longest time for which a request was held before it was refused.
    pub(crate) longest_held: Duration,
    pub(crate) shortest_retry: Option<Duration>,
}

impl CallerOutcomes {
    /// Returns the fraction of requests that were answered in time.
    pub(crate) fn served(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

impl LimitFleet {
    pub(crate) fn new_request(&mut self) -> FleetRequest {
        let host = self.random_host();
        let (first_sent, avoid) = (self.now, Vec::new());
        FleetRequest {
            host,
            first_sent,
            returns: 0,
            avoid,
            attempt: 0,
            has_paused: false,
            pause: 0,
        }
    }

    pub(crate) fn random_host(&mut self) -> usize {
        let is_skewed = self.skew > 0.0 && self.random.random_bool(self.skew);
        let count = if is_skewed { self.hosts.len().div_ceil(10) } else { self.hosts.len() };
        loop {
            let index = self.random.random_range(0..count);
            let host = &self.hosts[index];
            let serves = host.serves_from.is_some_and(|from| from <= self.now);
            if host.is_up && serves {
                return index;
            }
        }
    }

    /// Looks for an upstream as requests do: in rounds of probes, and again after a pause.
    pub(crate) fn look(&mut self, request: &FleetRequest) {
        let now = self.moment();
        self.number += 1;
        let ticket = RequestTicket {
            number: RequestNumber(self.number),
            kind: 0,
            deadline: Moment::ZERO + request.first_sent + Duration::from_secs(4),
            target: Some(Moment::ZERO + request.first_sent + TARGET),
            attempt: request.attempt,
            avoid: request.avoid.clone(),
        };
        let host = request.host;
        if !self.hosts[host].is_up {
            return;
        }
        let reach = if request.has_paused { ProbeReach::EveryZone } else { ProbeReach::OwnZone };
        let (mut readings, mut probed) = (Vec::new(), Vec::new());
        for _ in 0..PROBE_ROUNDS {
            if self.hosts[host].scheduler.best_cost(now, &readings).is_some_and(|cost| cost < 1.9) {
                break;
            }
            let query = ProbeQuery { probed: &probed, wanted: 3, reach };
            for target in self.hosts[host].scheduler.probe_targets(now, &ticket, &query) {
                readings.push(self.probe(host, &target.upstream));
                probed.push(target.upstream);
            }
        }
        let latest = self.hosts[host].scheduler.placement_deadline(now, &ticket);
        let effects = self.hosts[host].scheduler.arrive_probed(now, &ticket, &readings);
        self.flush(host);
        for effect in effects {
            match effect {
                SchedulerEffect::Start { number, upstream, .. } => {
                    let upstream = place_of(&upstream);
                    let request = request.clone();
                    let event = FleetEvent::Arrival { number: number.0, upstream, request };
                    self.schedule(MILLISECOND, event);
                }
                SchedulerEffect::Refuse { cause, retry_after, .. } => {
                    let latest = match cause {
                        RefusalCause::PoolBusy => Some(latest),
                        RefusalCause::UpstreamsLimited => {
                            let limit = latest.min(Moment::ZERO + request.first_sent + PERMIT_WAIT);
                            let due = self.hosts[host].scheduler.permit_due(now);
                            due.filter(|due| *due < limit).map(|_| limit)
                        }
                        _ => None,
                    };
                    let may_wait = latest.is_some_and(|latest| now + PROBE_PAUSE < latest);
                    self.refuse(request, may_wait, retry_after);
                }
            }
        }
    }

    fn refuse(&mut self, request: &FleetRequest, may_wait: bool, retry_after: Duration) {
        if may_wait {
            // Whatever comes first: the answer to a question for permits, or the end of a pause.
            self.pauses += 1;
            let request = FleetRequest { pause: self.pauses, ..request.clone() };
            self.schedule(
                PROBE_PAUSE,
                FleetEvent::Resume { host: request.host, pause: request.pause },
            );
            self.hosts[request.host].waiting.push(request);
            return;
        }
        self.outcomes.refused += 1;
        self.outcomes.refused_again += u32::from(request.returns > 0);
        let held = self.now - request.first_sent;
        self.outcomes.longest_held = self.outcomes.longest_held.max(held);
        let shortest = self.outcomes.shortest_retry.unwrap_or(Duration::MAX).min(retry_after);
        self.outcomes.shortest_retry = Some(shortest);
        if request.returns < self.max_returns {
            self.outcomes.returned += 1;
            let host = self.random_host();
            let first_sent = self.now + retry_after;
            let returns = request.returns + 1;
            let back =
                FleetRequest { host, first_sent, returns, has_paused: false, ..request.clone() };
            self.schedule(retry_after, FleetEvent::Look(back));
        }
    }

    fn probe(&mut self, host: usize, upstream: &UpstreamId) -> ProbeReading {
        let now = self.moment();
        let real = &self.upstreams[place_of(upstream)];
        let report = LoadReport {
            utilization: 0.0,
            in_flight: Some(real.running),
            waiting: Some(0),
            slowdown: Some(1.0),
            cold_left: None,
        };
        let limit = real.limit.as_deref().filter(|_| real.names_in_probes);
        let sighting = LimitSighting { reading: reading_of(limit), sent_at: now, is_probe: true };
        self.see(host, upstream, sighting);
        ProbeReading { upstream: upstream.clone(), report }
    }

    pub(crate) fn answer(
        &mut self,
        number: u64,
        upstream: usize,
        request: FleetRequest,
        sent_at: Duration,
    ) {
        let (now, host) = (self.moment(), request.host);
        if !self.hosts[host].is_up {
            return;
        }
        let id: UpstreamId = format!("u{upstream}").parse().unwrap();
        let reading = reading_of(self.upstreams[upstream].limit.as_deref());
        let sent_at = Moment::ZERO + sent_at;
        self.see(host, &id, LimitSighting { reading, sent_at, is_probe: false });
        let has_failed = self.random.random_bool(self.failures);
        let outcome = if has_failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        let _ = self.hosts[host].scheduler.finish(now, RequestNumber(number), outcome, None);
        if self.random.random_bool(self.calls) {
            let call = self.new_request();
            self.outcomes.sent += 1;
            self.schedule(MILLISECOND, FleetEvent::Look(call));
        }
        if has_failed && request.attempt == 0 {
            let mut again = FleetRequest { attempt: 1, ..request };
            again.avoid.push(id);
            self.schedule(Duration::ZERO, FleetEvent::Look(again));
        } else if !has_failed && self.now - request.first_sent <= TARGET {
            self.outcomes.in_time += 1;
        }
    }

    pub(crate) fn see(&mut self, host: usize, upstream: &UpstreamId, sighting: LimitSighting) {
        let now = self.moment();
        let time = self.clock.shared_time(now);
        let host_state = &mut self.hosts[host];
        let start = UpstreamStart { id: upstream.clone(), incarnation: Incarnation(1) };
        if let Some(observed) = host_state.scheduler.observe_limit(now, &start, sighting) {
            host_state.exchange.observe(now, time, observed);
            self.flush(host);
        }
    }
}

fn reading_of(limit: Option<&str>) -> LimitReading {
    match limit.map(str::parse) {
        None => LimitReading::Absent,
        Some(Ok(rate)) => LimitReading::Named(rate),
        Some(Err(_)) => LimitReading::Unreadable,
    }
}

fn place_of(upstream: &UpstreamId) -> usize {
    upstream.as_str()[1..].parse().unwrap()
}
