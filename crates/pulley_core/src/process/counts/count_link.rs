//! An entry's position in the tree through which counts are shared.

use std::time::Duration;

use super::count_message::{FAN_OUT, split_route};
use super::{
    CountEpoch, CountKey, CountReport, CountRound, CountSum, FastMap, HostId, Moment, ZoneName,
};

/// How long counts stay valid without a new sum.
///
/// Other entries' outstanding requests change within the time of one answer. Counts kept for longer
/// would show slots as occupied that were freed long ago. The time covers several rounds, so that
/// one or two lost datagrams do no harm.
pub const COUNT_TTL: Duration = Duration::from_millis(800);

/// The unit of the time that a sum allows for one hop of the tree.
pub(crate) const STEP_UNIT: Duration = Duration::from_micros(250);

/// The interval of direct reports to the coordinator while no sum arrives.
const DIRECT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Without a sum for this long, the pool is assumed to have no coordinator.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(250);

/// The interval of direct reports to the coordinator while sums arrive, for each entry that shares
/// the pool, and the bounds of the product. Direct reports keep this entry on the coordinator's
/// list. As the interval grows with the number of entries, their total cost for the coordinator is
/// the same at every size.
const DIRECT_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(40);
const MIN_DIRECT_INTERVAL: Duration = Duration::from_secs(1);
const MAX_DIRECT_INTERVAL: Duration = Duration::from_secs(10);

/// How long the largest number of entries that a sum has reported is kept. The number divides the
/// probe budget between the sides of a network partition, and partitions between regions last for
/// minutes.
const KNOWN_RETENTION: Duration = Duration::from_secs(600);

/// The shortest delay between a sum and the report that answers it.
const MIN_REPORT_DELAY: Duration = Duration::from_millis(1);

/// An entry's link to the coordinator of its pool.
#[derive(Clone, Debug)]
pub(crate) struct CountLink {
    pub(crate) zone: ZoneName,
    epoch: CountEpoch,
    coordinator: CountKey,
    round: CountRound,
    depth: u8,
    last_sum_at: Option<Moment>,
    interval: Duration,
    hosts: u16,
    largest_known: u16,
    largest_known_at: Moment,
    parent: Option<HostId>,
    report_at: Option<Moment>,
    /// When the last direct report was sent, or when the first one is due.
    direct_at: Moment,
    direct_sent: bool,
    reports: FastMap<HostId, Vec<CountReport>>,
    relays: Vec<(HostId, CountSum)>,
}

impl CountLink {
    /// Makes a link that has received no sum yet.
    pub(crate) fn new(zone: ZoneName, now: Moment) -> Self {
        Self {
            zone,
            epoch: CountEpoch(0),
            coordinator: CountKey::default(),
            round: CountRound(0),
            depth: 0,
            last_sum_at: None,
            interval: Duration::ZERO,
            hosts: 1,
            largest_known: 0,
            largest_known_at: now,
            parent: None,
            report_at: None,
            direct_at: now,
            direct_sent: false,
            reports: FastMap::default(),
            relays: Vec::new(),
        }
    }

    /// Takes in a sum if it is not outdated and prepares the copies to forward; returns whether it
    /// was taken in.
    pub(crate) fn accept(&mut self, now: Moment, host: &HostId, sum: &CountSum) -> bool {
        let same = sum.coordinator == self.coordinator && sum.epoch == self.epoch;
        // The parts of one round are accepted in any order.
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
        self.last_sum_at = Some(now);
        self.parent = Some(sum.sender.clone());
        let interval = Duration::from_millis(u64::from(sum.interval_ms));
        self.interval = interval;
        self.hosts = sum.hosts;
        if sum.hosts >= self.largest_known || now.since(self.largest_known_at) > KNOWN_RETENTION {
            self.largest_known = sum.hosts;
            self.largest_known_at = now;
        }
        let steps = STEP_UNIT * u32::from(sum.step) * u32::from(sum.depth);
        self.report_at = Some(now + interval.saturating_sub(steps).max(MIN_REPORT_DELAY));
        for (hop, route) in split_route(&sum.route, FAN_OUT) {
            let sender = host.clone();
            let depth = sum.depth.saturating_add(1);
            self.relays.push((hop, CountSum { sender, depth, route, ..sum.clone() }));
        }
        true
    }

    /// Takes the copies to forward.
    pub(crate) fn take_relays(&mut self) -> Vec<(HostId, CountSum)> {
        std::mem::take(&mut self.relays)
    }

    /// Keeps another entry's report for the current round until this entry's own report is due.
    pub(crate) fn keep_report(&mut self, from: &HostId, report: &CountReport) {
        let answers = report.epoch == self.epoch
            && report.coordinator == self.coordinator
            && report.round == Some(self.round)
            && report.depth == self.depth.saturating_add(1);
        if !answers || self.report_at.is_none() {
            return;
        }
        let kept = self.reports.entry(from.clone()).or_default();
        if kept.iter().all(|known| known.rows.first != report.rows.first) {
            kept.push(report.clone());
        }
    }

    /// Takes the kept reports if this entry's own report is due.
    pub(crate) fn start_report(&mut self, now: Moment) -> Option<ReportDraft> {
        if self.report_at.is_none_or(|at| at > now) {
            return None;
        }
        self.report_at = None;
        let mut reports: Vec<_> = std::mem::take(&mut self.reports).into_iter().collect();
        reports.sort_by(|a, b| a.0.cmp(&b.0));
        let reports = reports.into_iter().flat_map(|(_, parts)| parts).collect();
        let (round, depth) = (self.round, self.depth);
        Some(ReportDraft { to: self.parent.clone(), round, depth, reports })
    }

    /// Whether a direct report to the coordinator is due; if so, records that it is sent.
    pub(crate) fn start_direct_report(&mut self, now: Moment) -> bool {
        if now < self.direct_due() {
            return false;
        }
        self.direct_at = now;
        self.direct_sent = true;
        true
    }

    /// Returns when the next report is due.
    pub(crate) fn next_at(&self) -> Moment {
        let direct = self.direct_due();
        self.report_at.map_or(direct, |at| at.min(direct))
    }

    /// Returns the age of the newest sum; `None` if there is no valid one.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        let age = now.since(self.last_sum_at?);
        (age < self.term()).then_some(age)
    }

    /// Returns when the newest sum expires; `None` if none has arrived or it has already been
    /// dropped.
    pub(crate) fn expires_at(&self) -> Option<Moment> {
        Some(self.last_sum_at? + self.term())
    }

    /// Drops the newest sum if it has expired.
    pub(crate) fn expire(&mut self, now: Moment) {
        if self.age(now).is_none() {
            self.last_sum_at = None;
        }
    }

    /// Returns the highest epoch seen and its coordinator.
    pub(crate) fn epoch(&self) -> (CountEpoch, CountKey) {
        (self.epoch, self.coordinator)
    }

    /// Returns the largest number of entries that recent sums have reported.
    pub(crate) fn largest_known(&self) -> u16 {
        self.largest_known
    }

    /// Returns when the next direct report is due. Direct reports are rare while sums arrive and
    /// frequent once they are missing.
    fn direct_due(&self) -> Moment {
        let Some(sent) = self.last_direct_at() else { return self.direct_at };
        let lost_at =
            self.last_sum_at.map_or(sent, |at| at + COORDINATOR_TIMEOUT.max(self.interval * 3));
        (sent + direct_report_interval(self.hosts)).min(lost_at.max(sent + DIRECT_RETRY_INTERVAL))
    }

    fn last_direct_at(&self) -> Option<Moment> {
        self.direct_sent.then_some(self.direct_at)
    }

    fn term(&self) -> Duration {
        COUNT_TTL.max(self.interval * 3)
    }
}

/// Returns the interval of direct reports for a pool that `hosts` entries share.
pub(crate) fn direct_report_interval(hosts: u16) -> Duration {
    (DIRECT_INTERVAL_PER_ENTRY * u32::from(hosts)).clamp(MIN_DIRECT_INTERVAL, MAX_DIRECT_INTERVAL)
}

/// The input for an entry's report on one round.
#[derive(Clone, Debug)]
pub(crate) struct ReportDraft {
    pub(crate) to: Option<HostId>,
    pub(crate) round: CountRound,
    pub(crate) depth: u8,
    pub(crate) reports: Vec<CountReport>,
}
