//! Probes a few upstreams for their load before a request is placed.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::header::{HOST, HeaderValue};
use http::response::Parts;
use http::{Method, Request, Uri};
use pulley_core::connection::RepeatSafety;
use pulley_core::process::UpstreamStart;
use pulley_core::request::{
    GOOD_COST, LimitReading, LimitSighting, LoadReport, POOR_COST, ProbeQuery, ProbeReach,
    ProbeReading, ProbeRounds, ProbeTarget, RequestTicket,
};
use pulley_core::version::{AnswerSize, KindPlan};
use pulley_core::{Moment, PoolName, UpstreamId};
use slog::info;

use super::{RequestBody, TrafficContext};
use crate::connection::{LinkRequest, Unused, UpstreamLink, UpstreamTarget};

/// How long an arriving request waits for probe answers. A probe usually takes about 6 ms. If an
/// upstream takes several times as long, it is not the best choice or its connection has gone
/// silent.
const PROBE_WAIT: Duration = Duration::from_millis(40);

/// How much longer a request waits for other answers once one upstream has reported free capacity.
/// Whatever slows down an upstream's work also slows down its probe answers. A request that waits
/// for all of them loses most of that time only to learn which upstreams not to choose.
const EXTRA_WAIT: Duration = Duration::from_millis(10);

/// Timeout of a probe, after which its connection is closed. It is longer than any request waits,
/// because the connection of a slowed-down upstream is still usable, and opening another costs that
/// upstream more than the probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Probes may take the time left until the deadline, divided by this number.
const DEADLINE_DIVISOR: u32 = 8;

/// The factor by which an upstream that reports itself unhealthy is assumed to be slower. Some
/// healthy upstreams report themselves unhealthy too, so they are not excluded: a pool in which all
/// upstreams do so would serve no requests.
const UNHEALTHY_FACTOR: f32 = 1.6;

/// How long after its start a request begins no further round of probes within the reach given for
/// it. It leaves time for two rounds that wait in full. Another zone may be probed after them.
const PROBE_TIME: Duration = Duration::from_millis(80);

/// The load reports of the upstreams probed for one request.
#[derive(Debug, Default)]
pub(super) struct ArrivalProbing {
    /// Whether probing is enabled for the request's pool.
    is_on: bool,
    /// The load reports received, including recent ones of earlier probes.
    pub(super) readings: Vec<ProbeReading>,
    /// The number of probes without an answer that reports a load.
    unanswered: usize,
    /// Whether probes went unanswered and no upstream of the pool has answered recently.
    is_pool_silent: bool,
    /// The connections over which probes were answered.
    links: Vec<(UpstreamId, UpstreamLink<Unused>)>,
}

impl ArrivalProbing {
    /// Probes a few upstreams of the kind's pool, and more if all of those are slow.
    pub(super) async fn probe(
        context: &Arc<TrafficContext>,
        row: &KindPlan,
        ticket: &RequestTicket,
        reach: ProbeReach,
    ) -> Self {
        let mut probing = Self::default();
        let wanted = context.limits.arrival_probes;
        let view = context.view.load();
        let Some(path) = view.plan.probe_path(&row.pool).filter(|_| wanted > 0) else {
            return probing;
        };
        let Ok(path) = path.parse::<Uri>() else { return probing };
        probing.is_on = true;
        probing.readings = context.schedulers.fresh_readings(&row.pool, ticket);
        let mut rounds = ProbeRounds::new(wanted);
        let end = context.clock.now() + PROBE_TIME;
        while context.clock.now() < end
            && rounds.needs_more(context.schedulers.best_cost(&row.pool, &probing.readings))
        {
            let query = ProbeQuery { probed: rounds.probed(), wanted: rounds.wanted(), reach };
            let targets = context.schedulers.probe_targets(&row.pool, ticket, &query);
            if !rounds.record(&targets) {
                break;
            }
            probing.probe_all(context, row, &path, ticket, targets).await;
        }
        let may_leave_zone = reach == ProbeReach::OwnZone && row.route.answers != AnswerSize::Large;
        if may_leave_zone
            && context.schedulers.may_miss_target(&row.pool, ticket, &probing.readings)
        {
            let reach = ProbeReach::EveryZone;
            let query = ProbeQuery { probed: rounds.probed(), wanted, reach };
            let targets = context.schedulers.probe_targets(&row.pool, ticket, &query);
            probing.probe_all(context, row, &path, ticket, targets).await;
        }
        probing.is_pool_silent =
            probing.unanswered > 0 && !context.schedulers.has_recent_reports(&row.pool);
        probing
    }

    /// Returns the load reports by which the request is placed. The list is empty if no probed
    /// upstream has answered but others of the pool have done so recently. Returns `None` if
    /// probing is off or no upstream of the pool answers; the request is then placed by counts of
    /// requests in progress.
    ///
    /// If other upstreams of the pool have answered within the last second, those probed now are
    /// slow. If the request were placed by counts alone, it would go to exactly those upstreams and
    /// take a second.
    pub(super) fn placement_readings(&self) -> Option<&[ProbeReading]> {
        let is_unprobed = !self.is_on || (self.readings.is_empty() && self.is_pool_silent);
        (!is_unprobed).then_some(&self.readings)
    }

    /// Returns the connection over which the chosen upstream answered and returns the others to the
    /// pool.
    pub(super) fn into_link(self, chosen: &UpstreamId) -> Option<UpstreamLink<Unused>> {
        let mut found = None;
        for (upstream, link) in self.links {
            if upstream == *chosen {
                found = Some(link);
            } else {
                link.give_back();
            }
        }
        found
    }

    /// Returns all connections to the pool.
    pub(super) fn give_back(self) {
        self.links.into_iter().for_each(|(_, link)| link.give_back());
    }

    /// Probes upstreams concurrently and waits until one is good enough or all have answered.
    async fn probe_all(
        &mut self,
        context: &Arc<TrafficContext>,
        row: &KindPlan,
        path: &Uri,
        ticket: &RequestTicket,
        targets: Vec<ProbeTarget>,
    ) {
        let mut silent: Vec<UpstreamId> =
            targets.iter().map(|target| target.upstream.clone()).collect();
        let now = context.clock.now();
        let mut limit = now + PROBE_WAIT.min(ticket.deadline.since(now) / DEADLINE_DIVISOR);
        let mut pending: FuturesUnordered<_> = targets
            .into_iter()
            .map(|target| {
                let (context, path, pool) = (Arc::clone(context), path.clone(), row.pool.clone());
                async move {
                    let end = now + PROBE_TIMEOUT;
                    let reply = probe_one(&context, &pool, &path, &target, end);
                    let answer = context.timer.run_until(end, reply).await.flatten();
                    (target.upstream, answer)
                }
            })
            .collect();
        while let Some(answer) = context.timer.run_until(limit, pending.next()).await {
            let Some((upstream, answer)) = answer else { break };
            let Some((report, link)) = answer else {
                self.unanswered += 1;
                continue;
            };
            silent.retain(|other| *other != upstream);
            let Some(report) = report else {
                self.unanswered += 1;
                link.give_back();
                continue;
            };
            self.readings.retain(|reading| reading.upstream != upstream);
            self.readings.push(ProbeReading { upstream: upstream.clone(), report });
            self.links.push((upstream, link));
            match context.schedulers.best_cost(&row.pool, &self.readings) {
                Some(cost) if cost < GOOD_COST => break,
                Some(cost) if cost < POOR_COST => {
                    limit = limit.min(context.clock.now() + EXTRA_WAIT);
                }
                _ => {}
            }
        }
        // An upstream may still answer if the wait ended early because another one has free
        // capacity.
        let has_waited_fully = context.clock.now() >= now + PROBE_WAIT;
        if has_waited_fully || pending.is_empty() {
            context.schedulers.record_probe_timeout(&row.pool, &silent);
            context.connections.record_silence(&silent);
        }
        if pending.is_empty() {
            return;
        }
        self.unanswered += pending.len();
        tokio::spawn(async move {
            while let Some((_, answer)) = pending.next().await {
                if let Some((_, link)) = answer {
                    link.give_back();
                }
            }
        });
    }
}

/// Sends one probe. Returns `None` if there is no answer or another upstream answered. An answer may
/// be without a load report, such as one that turns the probe away.
async fn probe_one(
    context: &TrafficContext,
    pool: &PoolName,
    path: &Uri,
    target: &ProbeTarget,
    deadline: Moment,
) -> Option<(Option<LoadReport>, UpstreamLink<Unused>)> {
    let request = LinkRequest {
        upstream: &target.upstream,
        address: target.address,
        safety: RepeatSafety::Repeatable,
        deadline,
    };
    let link = context.connections.checkout(request).await.ok()?;
    let start = UpstreamStart { id: target.upstream.clone(), incarnation: target.incarnation };
    let aim = UpstreamTarget { start, address: target.address };
    if link.is_avoided() || context.connections.send_block(pool, &aim).is_some() {
        return None;
    }
    let sent_at = context.clock.now();
    let record = link.send_record();
    let reply = link.probe(probe_request(context, path, target)?);
    let Some(reply) = context.timer.run_until(deadline, reply).await else {
        if record.relay().is_some() {
            record.record_silence();
        }
        return None;
    };
    let (parts, link) = reply?;
    let dialect = &context.dialect;
    if let Some(name) = &dialect.upstream_id {
        let is_expected = parts.headers.get(name).is_some_and(|id| id == target.upstream.as_str());
        if !is_expected {
            return None;
        }
        if parts.status.is_success() {
            context.connections.record_identified(&target.upstream);
        }
    }
    let reading = dialect.limit(&parts.headers);
    observe_stops(context, pool, &aim.start, &parts, &link);
    if reading != LimitReading::Absent || parts.status.is_success() {
        let sighting = LimitSighting { reading, sent_at, is_probe: true };
        context.schedulers.observe_limit(pool, &aim.start, sighting);
    }
    let report = parts.headers.get(&dialect.load).and_then(dialect.read_load);
    let report = report.map(|report| LoadReport {
        cold_left: dialect.cold_left(&parts.headers),
        slowdown: match parts.status.is_success() {
            true => report.slowdown,
            false => Some(report.slowdown.unwrap_or(1.0) * UNHEALTHY_FACTOR),
        },
        ..report
    });
    Some((report, link))
}

/// Keeps what an answer to a probe asks of this host.
fn observe_stops(
    context: &TrafficContext,
    pool: &PoolName,
    start: &UpstreamStart,
    parts: &Parts,
    link: &UpstreamLink<Unused>,
) {
    let (status, headers) = (parts.status, &parts.headers);
    let stops = context.connections.observe_stops((pool, start), status, headers, link.relay());
    context.schedulers.apply_stops(&context.control);
    if let Some(rest) = stops.rest.span() {
        let millis = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
        info!(context.logger, "probe-refused"; "upstream" => %start.id,
            "status" => status.as_u16(), "rest_ms" => millis);
    }
}

fn probe_request(
    context: &TrafficContext,
    path: &Uri,
    target: &ProbeTarget,
) -> Option<Request<RequestBody>> {
    let mut request = Request::new(RequestBody::Empty);
    *request.method_mut() = Method::GET;
    *request.uri_mut() = path.clone();
    let host = HeaderValue::from_str(&target.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    if let Some(name) = &context.dialect.expected_upstream {
        let id = HeaderValue::from_str(target.upstream.as_str()).ok()?;
        request.headers_mut().insert(name, id);
    }
    Some(request)
}
