//! An entry's place in the tree by which counts are shared.

use std::time::Duration;

use super::count_message::{FAN_OUT, split_route};
use super::{
    CountDelta, CountEpoch, CountKey, CountRound, CountSum, FastMap, HostId, Moment, ZoneName,
};

/// How long counts hold without news.
///
/// What other entries have outstanding changes within one time of an answer. Kept for longer, old
/// counts would hold slots occupied that were freed long ago; the term is several rounds, so a
/// lost datagram or two does no harm.
pub const COUNT_TERM: Duration = Duration::from_millis(800);

/// The unit of the time that a sum allows for one step.
pub(crate) const STEP_UNIT: Duration = Duration::from_micros(250);

/// Time between reports straight to the coordinator while no sum comes.
const LOST_PACE: Duration = Duration::from_millis(100);

/// No sum for this long means that nobody coordinates.
const LOST_AFTER: Duration = Duration::from_millis(250);

/// Time between reports straight to the coordinator while sums come, for each entry that shares the
/// pool, and its bounds. The reports keep this entry on the list; all together they cost the
/// coordinator the same at every size.
const KEPT_PACE: Duration = Duration::from_millis(40);
const SHORTEST_KEPT_PACE: Duration = Duration::from_secs(1);
const LONGEST_KEPT_PACE: Duration = Duration::from_secs(10);

/// How long the largest number of entries is remembered. It divides the probe budget between the
/// sides of a partition, and partitions between regions last for minutes.
const KNOWN_FOR: Duration = Duration::from_secs(600);

/// The shortest time between a sum and the report that answers it.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// What an entry knows of the coordinator of its pool.
#[derive(Clone, Debug)]
pub(crate) struct CountLink {
    pub(crate) zone: ZoneName,
    epoch: CountEpoch,
    coordinator: CountKey,
    round: CountRound,
    depth: u8,
    heard: Option<Moment>,
    interval: Duration,
    hosts: u16,
    known: u16,
    known_at: Moment,
    parent: Option<HostId>,
    report_at: Option<Moment>,
    /// When the last straight report was sent, or the first is due.
    straight_at: Moment,
    sent: bool,
    reports: FastMap<HostId, Vec<CountDelta>>,
    relays: Vec<(HostId, CountSum)>,
}

impl CountLink {
    /// Makes a link that has heard nothing.
    pub(crate) fn new(zone: ZoneName, now: Moment) -> Self {
        Self {
            zone,
            epoch: CountEpoch(0),
            coordinator: CountKey::default(),
            round: CountRound(0),
            depth: 0,
            heard: None,
            interval: Duration::ZERO,
            hosts: 1,
            known: 0,
            known_at: now,
            parent: None,
            report_at: None,
            straight_at: now,
            sent: false,
            reports: FastMap::default(),
            relays: Vec::new(),
        }
    }

    /// Whether a sum is news; if so, notes it and what is to be passed on.
    pub(crate) fn accept(&mut self, now: Moment, host: &HostId, sum: &CountSum) -> bool {
        let same = sum.coordinator == self.coordinator && sum.epoch == self.epoch;
        // The parts of one round are taken in one by one, whichever comes first.
        let newer = if same { sum.round >= self.round } else { sum.epoch > self.epoch };
        if !newer {
            return false;
        }
        if !same || sum.round > self.round {
            self.reports.clear();
        }
        self.epoch = sum.epoch;
        self.coordinator = sum.coordinator;
        self.round = sum.round;
        self.depth = sum.depth;
        self.heard = Some(now);
        self.parent = Some(sum.sender.clone());
        let interval = Duration::from_millis(u64::from(sum.interval_ms));
        self.interval = interval;
        self.hosts = sum.hosts;
        if sum.hosts >= self.known || now.since(self.known_at) > KNOWN_FOR {
            self.known = sum.hosts;
            self.known_at = now;
        }
        let steps = STEP_UNIT * u32::from(sum.step) * u32::from(sum.depth);
        self.report_at = Some(now + interval.saturating_sub(steps).max(SHORTEST_WAIT));
        for (hop, route) in split_route(&sum.route, FAN_OUT) {
            let sender = host.clone();
            let depth = sum.depth.saturating_add(1);
            self.relays.push((hop, CountSum { sender, depth, route, ..sum.clone() }));
        }
        true
    }

    /// The copies to pass on.
    pub(crate) fn take_relays(&mut self) -> Vec<(HostId, CountSum)> {
        std::mem::take(&mut self.relays)
    }

    /// Keeps a report of the present round until this entry's own is due.
    pub(crate) fn keep_report(&mut self, from: &HostId, delta: &CountDelta) {
        let answers = delta.epoch == self.epoch
            && delta.coordinator == self.coordinator
            && delta.round == Some(self.round)
            && delta.depth == self.depth.saturating_add(1);
        if !answers || self.report_at.is_none() {
            return;
        }
        let kept = self.reports.entry(from.clone()).or_default();
        if kept.iter().all(|known| known.rows.first != delta.rows.first) {
            kept.push(delta.clone());
        }
    }

    /// Takes the kept reports, if this entry's own is due now.
    pub(crate) fn start_report(&mut self, now: Moment) -> Option<ReportTerms> {
        if self.report_at.is_none_or(|at| at > now) {
            return None;
        }
        self.report_at = None;
        let mut reports: Vec<_> = std::mem::take(&mut self.reports).into_iter().collect();
        reports.sort_by(|a, b| a.0.cmp(&b.0));
        let reports = reports.into_iter().flat_map(|(_, parts)| parts).collect();
        let (round, depth) = (self.round, self.depth);
        Some(ReportTerms { to: self.parent.clone(), round, depth, reports })
    }

    /// Whether a report straight to the coordinator is due; notes that it is sent.
    pub(crate) fn start_straight(&mut self, now: Moment) -> bool {
        if now < self.straight_due() {
            return false;
        }
        self.straight_at = now;
        self.sent = true;
        true
    }

    /// When the next report is due.
    pub(crate) fn next_at(&self) -> Moment {
        let straight = self.straight_due();
        self.report_at.map_or(straight, |at| at.min(straight))
    }

    /// How old the newest sum is; none without one within the term.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        let age = now.since(self.heard?);
        (age < self.term()).then_some(age)
    }

    /// When the newest sum stops counting; none if it has already been dropped.
    pub(crate) fn expires_at(&self) -> Option<Moment> {
        Some(self.heard? + self.term())
    }

    /// Drops a sum whose term is over.
    pub(crate) fn expire(&mut self, now: Moment) {
        if self.age(now).is_none() {
            self.heard = None;
        }
    }

    /// The highest epoch seen, and whose it was.
    pub(crate) fn epoch(&self) -> (CountEpoch, CountKey) {
        (self.epoch, self.coordinator)
    }

    /// The most entries that sums have lately counted.
    pub(crate) fn known(&self) -> u16 {
        self.known
    }

    /// When the next straight report is due: seldom while sums come, often once they stay away.
    fn straight_due(&self) -> Moment {
        let Some(sent) = self.sent_straight() else { return self.straight_at };
        let lost_at = self.heard.map_or(sent, |heard| heard + LOST_AFTER.max(self.interval * 3));
        (sent + kept_pace(self.hosts)).min(lost_at.max(sent + LOST_PACE))
    }

    fn sent_straight(&self) -> Option<Moment> {
        self.sent.then_some(self.straight_at)
    }

    fn term(&self) -> Duration {
        COUNT_TERM.max(self.interval * 3)
    }
}

/// Time between straight reports where so many entries share a pool.
pub(crate) fn kept_pace(hosts: u16) -> Duration {
    (KEPT_PACE * u32::from(hosts)).clamp(SHORTEST_KEPT_PACE, LONGEST_KEPT_PACE)
}

/// What an entry's report of one round is made from.
#[derive(Clone, Debug)]
pub(crate) struct ReportTerms {
    pub(crate) to: Option<HostId>,
    pub(crate) round: CountRound,
    pub(crate) depth: u8,
    pub(crate) reports: Vec<CountDelta>,
}
