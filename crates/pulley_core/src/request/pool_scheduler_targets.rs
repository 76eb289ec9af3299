//! The upstreams to probe when a request arrives.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::arrival_probes::{expected_cost, expected_delay_to_others};
use super::pool_scheduler_probes::MAX_START_COST;
use super::upstream_table::ProbeCandidate;
use super::{PoolScheduler, RequestTicket};
use crate::process::{Incarnation, Moment, UpstreamId};

/// How long an upstream that has reported a slowdown or no free slot is probed last. Most slow
/// periods and most queues last at least this long.
const BAD_REPORT_SPAN: Duration = Duration::from_millis(150);

/// The zones in which a request probes upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeReach {
    /// Only the entry's zone, unless no upstream there takes work or the zone is silent.
    OwnZone,
    /// In every zone.
    EveryZone,
}

/// A query for upstreams to probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbeQuery<'a> {
    /// Upstreams that were already probed for the request. They are not returned again.
    pub probed: &'a [UpstreamId],
    /// Maximum number of upstreams to probe.
    pub wanted: usize,
    /// The zones in which upstreams may be probed.
    pub reach: ProbeReach,
}

/// An upstream to probe when a request arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The address to send the probe to.
    pub address: SocketAddr,
    /// The upstream's incarnation.
    pub incarnation: Incarnation,
}

impl PoolScheduler {
    /// Sets the probe rate for arriving requests, in probes per second.
    pub fn set_probe_rate(&mut self, rate: f32) {
        self.probes.set_rate(rate);
    }

    /// Returns the upstreams to probe for a request, within the budget. Returns none while requests
    /// wait here already, because those get the next slot.
    ///
    /// A request looks in its own zone first: an answer from another zone is later, and its bytes
    /// are expensive. Within a zone the entry's subset goes first, because there are open
    /// connections to it. Within the subset the order is random. Otherwise two entries that probe
    /// the same upstreams at the same moment would both choose the idle one.
    pub fn probe_targets(
        &mut self,
        now: Moment,
        ticket: &RequestTicket,
        query: &ProbeQuery<'_>,
    ) -> Vec<ProbeTarget> {
        self.upstreams.end_rests(now);
        if self.queue.len() > 0 || self.shares.index_of(ticket.kind).is_none() {
            return Vec::new();
        }
        let probed = query.probed;
        let passed = |id: &UpstreamId| probed.contains(id) || ticket.avoid.contains(id);
        let mut candidates = self.upstreams.probe_candidates(now, &self.zone, passed);
        let stays = query.reach == ProbeReach::OwnZone && self.own_zone_responds(now);
        if stays {
            candidates.retain(|upstream| !upstream.in_other_zone);
        }
        candidates.shuffle(&mut self.rng);
        let candidates = self.alternate_zones(now, candidates);
        self.probes.refill(now);
        let limit = self.probes.affordable(query.wanted);
        let candidates = self.take_permitted(now, ticket, candidates, limit);
        let count = self.probes.take(now, candidates.len());
        let targets = candidates.into_iter().take(count).map(|upstream| {
            let announcement = &self.upstreams.at(upstream.index).record.announcement;
            let (upstream, address) = (announcement.id.clone(), announcement.address);
            ProbeTarget { upstream, address, incarnation: announcement.incarnation }
        });
        targets.collect()
    }

    /// Returns the first `count` upstreams to which a request may be sent. If the order names one
    /// before them that needs a permit, the permit is asked for. This request does not wait for it
    /// as long as other upstreams can take it.
    fn take_permitted(
        &mut self,
        now: Moment,
        ticket: &RequestTicket,
        candidates: Vec<ProbeCandidate>,
        count: usize,
    ) -> Vec<ProbeCandidate> {
        let mut permitted = Vec::new();
        let mut limited = None;
        for candidate in candidates {
            if permitted.len() == count {
                break;
            }
            if !candidate.needs_permit {
                permitted.push(candidate);
                continue;
            }
            let next_ask_at = self.upstreams.at(candidate.index).limit.next_ask_at(now);
            if limited.is_none() && next_ask_at.is_some_and(|at| at <= now) {
                limited = Some(candidate.index);
            }
        }
        if let Some(index) = limited {
            self.ask_for_request(now, index, ticket.number);
        }
        permitted
    }

    /// Orders upstreams for probing. Silent upstreams and those with a recent bad report go last.
    /// Apart from that, upstreams of this entry's zone alternate with those of other zones.
    ///
    /// One zone's callers may ask more of its upstreams than those of other zones, under peak load
    /// or all day. When all upstreams of this entry's zone were probed first, requests never left a
    /// zone of eighty busy upstreams, and were refused while upstreams of other zones stood idle. A
    /// request only looks in other zones after some upstreams of its own zone were probed without
    /// success. Half of its probes still go to its own zone, because bytes to other zones are
    /// expensive.
    fn alternate_zones(&self, now: Moment, candidates: Vec<ProbeCandidate>) -> Vec<ProbeCandidate> {
        let class = |upstream: &ProbeCandidate| {
            let has_bad_report = self.has_bad_report(now, upstream.index);
            2 * u8::from(upstream.is_silent) + u8::from(has_bad_report)
        };
        let mut ranked: Vec<(u8, ProbeCandidate)> =
            candidates.into_iter().map(|upstream| (class(&upstream), upstream)).collect();
        // The sort is stable, so that the order within the subset stays random.
        ranked
            .sort_by_key(|(class, upstream)| (*class, upstream.in_other_zone, upstream.is_outside));
        let groups = ranked.chunk_by(|(a, x), (b, y)| (a, x.in_other_zone) == (b, y.in_other_zone));
        let turns = groups.flat_map(|group| group.iter().enumerate());
        let mut turns: Vec<(usize, u8, ProbeCandidate)> =
            turns.map(|(turn, (class, upstream))| (turn, *class, *upstream)).collect();
        turns.sort_by_key(|(turn, class, upstream)| (*class, *turn, upstream.in_other_zone));
        turns.into_iter().map(|(_, _, upstream)| upstream).collect()
    }

    /// Records that an upstream has left a probe unanswered.
    ///
    /// A zone's upstreams may vanish without notice while their leases are still valid for seconds.
    /// Requests of the zone would probe them one after the other, wait for each, and come late
    /// while upstreams of other zones stand idle. So a silent upstream is probed last, and so are
    /// all upstreams of a silent zone. After a second without a further timeout an upstream that is
    /// only slow is probed as before.
    pub fn record_probe_timeout(&mut self, now: Moment, upstream: &UpstreamId) {
        if let Some(index) = self.upstreams.index_of(upstream) {
            self.upstreams.at_mut(index).record_probe_timeout(now);
        }
    }

    /// Whether an upstream has recently reported a slowdown or no free slot.
    fn has_bad_report(&self, now: Moment, index: usize) -> bool {
        let state = self.upstreams.at(index);
        state.last_report.is_some_and(|(at, report)| {
            now.since(at) <= BAD_REPORT_SPAN
                && expected_cost(state.slots(), &report, self.last_slot_cost)
                    + expected_delay_to_others(state.slots(), &report, self.last_slot_cost)
                    > MAX_START_COST
        })
    }

    /// Whether this entry's zone has upstreams that take work now and is not silent.
    fn own_zone_responds(&self, now: Moment) -> bool {
        if self.upstreams.silent_zones(now).contains(&&self.zone) {
            return false;
        }
        self.upstreams.available().any(|state| {
            state.record.announcement.zone == self.zone && state.send_block_if(now, false).is_none()
        })
    }
}
