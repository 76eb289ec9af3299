//! Asks a few upstreams how loaded they are before a request is placed.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::header::{HOST, HeaderValue};
use http::{Method, Request, Uri};
use pulley_core::connection::WorkSafety;
use pulley_core::request::{
    LoadReport, ProbeQuestion, ProbeReach, ProbeReading, ProbeTarget, RequestTicket,
};
use pulley_core::version::{AnswerSize, KindPlan};
use pulley_core::{Moment, UpstreamId};

use super::{RequestBody, TrafficContext};
use crate::connection::{LinkRequest, Unused, UpstreamLink};

/// How long arriving requests wait for an upstream's word. A usual probe takes about 6 ms; who
/// takes several times as long will not be the best place, or its connection has gone silent.
const PROBE_WAIT: Duration = Duration::from_millis(40);

/// How long they wait for others once one has said that it has room. What slows an upstream's work
/// slows its word as well: a request that waits for all loses most of that time to hear that some
/// upstream is not to be chosen.
const SETTLE_WAIT: Duration = Duration::from_millis(10);

/// When a question is given up, and its connection with it. Longer than anybody waits, as a slowed
/// upstream's connection is as good as any, and opening another costs it more than the question.
const PROBE_END: Duration = Duration::from_millis(150);

/// The part of the time a request has left that its probes may take.
const LEFT_PART: u32 = 8;

/// How much slower an upstream is taken to be that says it is not well. Some say so that are, so it
/// is not left out: a pool whose upstreams all say so would answer nobody.
const UNWELL: f32 = 1.6;

/// How often more upstreams are asked in one go.
const STAGES: u32 = 2;

/// Below which expected time, in usual times of an answer, nobody needs to be asked: an upstream
/// has just said that it has a free slot and that nothing slows it down.
const GOOD_COST: f32 = 1.1;

/// From which expected time on, in usual times of an answer, others are asked as well: all that
/// were asked are slowed down or have a queue.
const POOR_COST: f32 = 1.9;

/// What the upstreams said that were asked for one request.
#[derive(Debug, Default)]
pub(super) struct ArrivalProbing {
    /// Whether upstreams are asked at all.
    is_on: bool,
    /// What they said.
    pub(super) readings: Vec<ProbeReading>,
    /// How many were asked in vain.
    unanswered: usize,
    /// Whether they were, and nobody of the pool has answered of late.
    is_mute: bool,
    /// The links that they answered over.
    links: Vec<(UpstreamId, UpstreamLink<Unused>)>,
}

impl ArrivalProbing {
    /// Asks a few upstreams of the kind's pool, and a few more if all of those are slow.
    pub(super) async fn ask(
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
        let mut asked = Vec::new();
        for stage in 0..STAGES {
            let best = context.schedulers.best_cost(&row.pool, &probing.readings);
            let enough = if stage == 0 { GOOD_COST } else { POOR_COST };
            if best.is_some_and(|cost| cost < enough) {
                break;
            }
            let question = ProbeQuestion { asked: &asked, wanted, reach };
            let targets = context.schedulers.probe_targets(&row.pool, ticket, &question);
            asked.extend(targets.iter().map(|target| target.upstream.clone()));
            probing.ask_all(context, row, &path, ticket, targets).await;
        }
        let may_leave = reach == ProbeReach::OwnZone && row.route.answers != AnswerSize::Large;
        if may_leave && context.schedulers.is_risky(&row.pool, ticket, &probing.readings) {
            let question = ProbeQuestion { asked: &asked, wanted, reach: ProbeReach::EveryZone };
            let targets = context.schedulers.probe_targets(&row.pool, ticket, &question);
            probing.ask_all(context, row, &path, ticket, targets).await;
        }
        probing.is_mute = probing.unanswered > 0 && !context.schedulers.has_heard(&row.pool);
        probing
    }

    /// What to place by; none if nobody was to be asked, or the pool's upstreams do not answer.
    ///
    /// Where others of the pool have answered within the last second, those that were asked now are
    /// slow: placed by counts alone, requests went to just those and took a second.
    pub(super) fn asked(&self) -> Option<&[ProbeReading]> {
        let is_blind = !self.is_on || (self.readings.is_empty() && self.is_mute);
        (!is_blind).then_some(&self.readings)
    }

    /// Gives the link over which the chosen upstream answered; the others go back.
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

    /// Gives all links back.
    pub(super) fn give_back(self) {
        self.links.into_iter().for_each(|(_, link)| link.give_back());
    }

    /// Asks upstreams at the same time, and waits until one is good enough or all have answered.
    async fn ask_all(
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
        let mut limit = now + PROBE_WAIT.min(ticket.deadline.since(now) / LEFT_PART);
        let mut asking: FuturesUnordered<_> = targets
            .into_iter()
            .map(|target| {
                let (context, path) = (Arc::clone(context), path.clone());
                async move {
                    let end = now + PROBE_END;
                    let asked = ask_one(&context, &path, &target, end);
                    let answer = context.timer.limit(end, asked).await.flatten();
                    (target.upstream, answer)
                }
            })
            .collect();
        while let Some(answer) = context.timer.limit(limit, asking.next()).await {
            let Some((upstream, answer)) = answer else { break };
            let Some((report, link)) = answer else {
                self.unanswered += 1;
                continue;
            };
            silent.retain(|other| *other != upstream);
            self.readings.retain(|reading| reading.upstream != upstream);
            self.readings.push(ProbeReading { upstream: upstream.clone(), report });
            self.links.push((upstream, link));
            match context.schedulers.best_cost(&row.pool, &self.readings) {
                Some(cost) if cost < GOOD_COST => break,
                Some(cost) if cost < POOR_COST => {
                    limit = limit.min(context.clock.now() + SETTLE_WAIT);
                }
                _ => {}
            }
        }
        // Who was not waited for because another has room may answer yet.
        let was_waited_for = context.clock.now() >= now + PROBE_WAIT;
        if was_waited_for || asking.is_empty() {
            context.schedulers.note_unanswered(&row.pool, &silent);
        }
        if asking.is_empty() {
            return;
        }
        self.unanswered += asking.len();
        tokio::spawn(async move {
            while let Some((_, answer)) = asking.next().await {
                if let Some((_, link)) = answer {
                    link.give_back();
                }
            }
        });
    }
}

/// One question; none if it was not answered, or not by the upstream that is meant.
async fn ask_one(
    context: &TrafficContext,
    path: &Uri,
    target: &ProbeTarget,
    deadline: Moment,
) -> Option<(LoadReport, UpstreamLink<Unused>)> {
    let request = LinkRequest {
        upstream: &target.upstream,
        address: target.address,
        safety: WorkSafety::Repeatable,
        deadline,
    };
    let link = context.connections.checkout(request).await.ok()?;
    let (parts, link) = link.probe(probe_request(context, path, target)?).await?;
    let dialect = &context.dialect;
    if let Some(name) = &dialect.instance {
        let is_meant = parts.headers.get(name).is_some_and(|id| id == target.upstream.as_str());
        if !is_meant {
            return None;
        }
    }
    let mut report = parts.headers.get(&dialect.load).and_then(dialect.read_load)?;
    report.cold_left = dialect.cold_left(&parts.headers);
    if !parts.status.is_success() {
        report.slowdown = Some(report.slowdown.unwrap_or(1.0) * UNWELL);
    }
    Some((report, link))
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
