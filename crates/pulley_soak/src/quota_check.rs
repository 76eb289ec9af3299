//! Checks that organisations' quotas are kept, that none starves, and that no host refuses an
//! organisation below its quota once its account can be kept.

use std::time::{Duration, Instant};

use pulley_core::process::{FastMap, FastSet};
use smol_str::SmolStr;

use crate::soak_organisations::quota_of;

/// What may run in a window: this many times the quota, and some requests more.
const WINDOW: Duration = Duration::from_secs(5);
const FACTOR: f64 = 1.1;
const SLACK: f64 = 20.0;

/// The part of the rate up to which an organisation is well below its quota in a window.
const LOW_PART: f64 = 0.5;

/// How long hosts must have been reachable before they count.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// How long after a replica has lost its disk its new member may take to become a voter.
const REJOIN_TIME: Duration = Duration::from_secs(5);

/// The part of the mean below which an organisation starves, and the fewest requests by which that
/// is judged.
const STARVING_PART: f64 = 0.25;
const MIN_REQUESTS: f64 = 20.0;

/// A request of an organisation.
#[derive(Clone, Debug)]
pub(crate) struct QuotaRequest {
    pub(crate) id: SmolStr,
    pub(crate) organisation: SmolStr,
    pub(crate) entry: usize,
    pub(crate) sent: Instant,
    /// When an upstream first ran it.
    pub(crate) ran: Option<Instant>,
    pub(crate) answer: Option<(Instant, QuotaAnswer)>,
}

/// The answer to a request, as far as it matters for quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaAnswer {
    Served,
    /// Refused because the host reached no replica that keeps the account.
    Unconfirmed,
    Other,
}

/// The times at which hosts did not run.
#[derive(Debug, Default)]
pub(crate) struct HostOutages {
    /// Number of replicas, which are the first hosts.
    pub(crate) replicas: usize,
    /// Spans in which a host was killed, stopped or paused.
    pub(crate) spans: Vec<(usize, Instant, Instant)>,
    /// Replicas that lost their disks, and when.
    pub(crate) wipes: Vec<(usize, Instant)>,
}

impl HostOutages {
    /// Whether a host and a majority of the replicas have all run for the settling time.
    fn has_majority(&self, entry: usize, at: Instant) -> bool {
        let is_settled = |host: usize| {
            let overlaps = |(other, from, until): &&(usize, Instant, Instant)| {
                *other == host && *from <= at && *until + SETTLE_TIME > at
            };
            !self.spans.iter().any(|span| overlaps(&span))
        };
        let before = self.wipes.iter().filter(|(_, wiped)| *wiped <= at);
        let is_rejoining = before.clone().any(|(_, wiped)| *wiped + REJOIN_TIME > at);
        let wiped: FastSet<usize> = before.map(|(host, _)| *host).collect();
        let majority = self.replicas / 2 + 1;
        // The old member of a wiped replica may still count as a voter, so that all are needed. Once
        // a majority of disks was lost, the log may never have a leader again.
        let needed = if wiped.is_empty() { majority } else { self.replicas };
        let has_lost_log = self.replicas - wiped.len() < majority;
        let settled = (0..self.replicas).filter(|host| is_settled(*host)).count();
        !is_rejoining && !has_lost_log && settled >= needed && is_settled(entry)
    }
}

/// Returns by how much organisations' runs exceeded their quotas in a window, as text.
pub(crate) fn check_windows(requests: &[QuotaRequest]) -> Vec<String> {
    let mut runs: FastMap<&str, Vec<Instant>> = FastMap::default();
    for request in requests {
        if let Some(ran) = request.ran {
            runs.entry(&request.organisation).or_default().push(ran);
        }
    }
    let exceeded = runs.iter_mut().filter_map(|(organisation, runs)| {
        let quota = quota_of(organisation)?;
        runs.sort();
        let most = most_in_window(runs);
        let sum = f64::from(quota.rate) * WINDOW.as_secs_f64() + f64::from(quota.burst);
        let allowed = sum * FACTOR + SLACK;
        (most as f64 > allowed)
            .then(|| format!("{organisation} ran {most} in {WINDOW:?}, allowed {allowed}"))
    });
    exceeded.collect()
}

fn most_in_window(sorted: &[Instant]) -> usize {
    let within = |(index, start): (usize, &Instant)| {
        sorted[index..].iter().take_while(|at| **at < *start + WINDOW).count()
    };
    sorted.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Returns the organisations well below their quotas that were refused as unconfirmed although their
/// accounts could be kept, as text.
pub(crate) fn check_unconfirmed(requests: &[QuotaRequest], outages: &HostOutages) -> Vec<String> {
    let mut refused: FastMap<&str, Vec<&QuotaRequest>> = FastMap::default();
    for request in requests {
        let Some((at, QuotaAnswer::Unconfirmed)) = request.answer else { continue };
        let organisation = request.organisation.as_str();
        if outages.has_majority(request.entry, at) && is_well_below(organisation, requests, at) {
            refused.entry(organisation).or_default().push(request);
        }
    }
    let describe = |(organisation, refused): (&str, Vec<&QuotaRequest>)| {
        let first = refused.iter().min_by_key(|request| request.sent)?;
        let (count, id, entry) = (refused.len(), &first.id, first.entry);
        Some(format!("{organisation} was refused {count} times, first {id} at entry {entry}"))
    };
    refused.into_iter().filter_map(describe).collect()
}

fn is_well_below(organisation: &str, requests: &[QuotaRequest], at: Instant) -> bool {
    let Some(quota) = quota_of(organisation) else { return true };
    let is_recent = |request: &&QuotaRequest| {
        request.organisation == organisation && request.sent <= at && request.sent + WINDOW > at
    };
    let sent = requests.iter().filter(is_recent).count();
    sent as f64 <= LOW_PART * f64::from(quota.rate) * WINDOW.as_secs_f64()
}

/// Returns the organisations that were served far less than the mean outside of `faults`, as text.
/// Requests beyond a quota need not be served.
pub(crate) fn check_starvation(
    requests: &[QuotaRequest],
    mut faults: Vec<(Instant, Instant)>,
) -> Vec<String> {
    let Some(began) = requests.iter().map(|request| request.sent).min() else { return Vec::new() };
    let answered = requests.iter().filter_map(|request| Some(request.answer?.0)).max();
    faults.sort();
    let calm = calm_time(began, answered.unwrap_or(began), &faults).as_secs_f64();
    let mut counts: FastMap<&str, (f64, f64)> = FastMap::default();
    for request in requests {
        let Some((at, answer)) = request.answer else { continue };
        if faults.iter().all(|(from, until)| *from > at || *until < request.sent) {
            let (sent, served) = counts.entry(request.organisation.as_str()).or_default();
            *sent += 1.0;
            *served += f64::from(u8::from(answer == QuotaAnswer::Served));
        }
    }
    let shares = counts.into_iter().filter_map(|(organisation, (sent, served))| {
        let allowed = quota_of(organisation).map(|quota| calm * f64::from(quota.rate));
        let due = allowed.map_or(sent, |allowed| allowed.min(sent));
        (due >= MIN_REQUESTS).then_some((organisation, served / due))
    });
    let shares: Vec<(&str, f64)> = shares.collect();
    let mean = shares.iter().map(|(_, share)| share).sum::<f64>() / shares.len() as f64;
    let starving = shares.iter().filter(|(_, share)| *share < STARVING_PART * mean);
    starving.map(|(name, share)| format!("{name} got {share:.2}, the mean is {mean:.2}")).collect()
}

/// Returns the time from `began` to `until` outside of faults, which are sorted.
fn calm_time(began: Instant, until: Instant, faults: &[(Instant, Instant)]) -> Duration {
    let (mut calm, mut last) = (Duration::ZERO, began);
    for (from, end) in faults {
        calm += (*from).min(until).saturating_duration_since(last);
        last = last.max(*end);
    }
    calm + until.saturating_duration_since(last)
}
