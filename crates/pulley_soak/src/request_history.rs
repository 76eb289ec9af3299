//! Records what callers and upstreams observe of each request, and checks the system's guarantees.

use std::fmt;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use pulley_core::process::FastMap;
use smol_str::SmolStr;

use crate::end_check::EndLog;
use crate::limit_check::{LimitSpan, UpstreamRun};
use crate::quota_check::{
    HostOutages, QuotaAnswer, QuotaRequest, check_starvation, check_unconfirmed, check_windows,
};
use crate::soak_organisations::may_press;
use crate::stop_check::{LeaveAnswer, RestAnswer, StopExcuses, UpstreamArrival};

/// How long an upstream may still get new work after its drain was acknowledged.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// How long a signal may take to reach a process.
const SIGNAL_TIME: Duration = Duration::from_millis(100);

/// How much earlier than its time an entry may end.
const STOP_TOLERANCE: Duration = Duration::from_millis(50);

/// The outcome of a request as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// Success with this body, which is complete by its length.
    Success(String),
    /// The system answered that the request was not run.
    NotRun,
    /// Any other answer. The request may have run.
    Unknown,
    /// The connection closed without a complete answer, or the answer did not come in time.
    Cut,
}

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakFinding {
    /// The guarantee that was violated, in short.
    pub guarantee: &'static str,
    /// What was observed.
    pub observed: String,
}

impl fmt::Display for SoakFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.observed)
    }
}

#[derive(Debug)]
struct RequestRecord {
    is_idempotent: bool,
    entry: usize,
    /// The organisation whose key it carried.
    organisation: Option<SmolStr>,
    sent: Instant,
    outcome: Option<(Instant, CallerOutcome)>,
    /// Whether it was refused because the account of its organisation was not reached.
    is_unconfirmed: bool,
    runs: Vec<(SmolStr, Instant)>,
    /// Arrivals that the upstream has turned away.
    refusals: Vec<(SmolStr, Instant)>,
}

impl RequestRecord {
    /// Returns what matters of a request for its organisation's quota.
    fn by_quota(&self, id: &SmolStr) -> Option<QuotaRequest> {
        let organisation = self.organisation.clone()?;
        let answer = self.outcome.as_ref().map(|(at, outcome)| match outcome {
            CallerOutcome::Success(_) => (*at, QuotaAnswer::Served),
            CallerOutcome::NotRun if self.is_unconfirmed => (*at, QuotaAnswer::Unconfirmed),
            _ => (*at, QuotaAnswer::Other),
        });
        let (entry, sent) = (self.entry, self.sent);
        let ran = self.runs.first().map(|(_, at)| *at);
        Some(QuotaRequest { id: id.clone(), organisation, entry, sent, ran, answer })
    }
}

/// A span of time in which an entry was disturbed. Guarantees with time limits do not apply to the
/// entry during this span.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    entry: usize,
    from: Instant,
    until: Instant,
}

/// Time from the beginning of a cut until the entry must serve again.
const CUT_SETTLE_TIME: Duration = Duration::from_secs(3);

/// A span of time in which an entry was cut off from all upstreams.
#[derive(Clone, Copy, Debug)]
struct CutSpan {
    entry: usize,
    from: Instant,
    until: Instant,
}

impl CutSpan {
    fn overlaps(&self, other: &Self) -> bool {
        self.from <= other.until && self.until >= other.from
    }

    /// Whether a request shows how callers are served during the cut. Those of organisations that
    /// exceed their quotas don't.
    fn counts(&self, record: &RequestRecord) -> bool {
        record.sent >= self.from + CUT_SETTLE_TIME
            && record.outcome.as_ref().is_some_and(|(at, _)| *at < self.until)
            && !record.organisation.as_deref().is_some_and(may_press)
    }
}

/// How many requests were served.
#[derive(Clone, Copy, Debug, Default)]
struct ServedCount {
    served: usize,
    sent: usize,
}

impl ServedCount {
    fn add(&mut self, record: &RequestRecord) {
        self.sent += 1;
        self.served += usize::from(matches!(record.outcome, Some((_, CallerOutcome::Success(_)))));
    }

    /// Whether less than two thirds as much was served as elsewhere, and more failed than chance
    /// explains.
    fn is_far_below(&self, others: &Self) -> bool {
        let failed = self.sent - self.served;
        failed > 10 + self.sent / 50
            && 3 * self.served * others.sent < 2 * others.served * self.sent
    }
}

/// The requests of a run as callers and upstreams observed them.
#[derive(Debug, Default)]
pub struct RequestHistory {
    state: Mutex<HistoryState>,
}

#[derive(Debug, Default)]
struct HistoryState {
    requests: FastMap<SmolStr, RequestRecord>,
    drained: FastMap<SmolStr, Instant>,
    disturbances: Vec<Disturbance>,
    /// When each entry got its first shutdown signal. A second signal, which ends the drain early,
    /// is not recorded.
    stops: Vec<(usize, Instant)>,
    /// How long an entry runs on after that signal at most, if it has a limit.
    stop_span: Option<Duration>,
    /// Spans of time with faults in upstreams or in the connections to them.
    upstream_faults: Vec<(Instant, Instant)>,
    /// Limits that upstreams have named.
    limits: Vec<LimitSpan>,
    /// Answers by which upstreams have asked for rest.
    rests: Vec<RestAnswer>,
    /// When the answers of an upstream began to say that it leaves.
    leaving: FastMap<SmolStr, Instant>,
    /// Spans of time in which answers of an upstream, by its place, may be lost.
    path_faults: Vec<(usize, Instant, Instant)>,
    /// Spans of time in which an entry itself was killed, stopped or paused.
    entry_faults: Vec<(usize, Instant, Instant)>,
    /// Upstreams that ended under requests.
    ends: EndLog,
    /// Spans of time in which an entry was cut off from all upstreams.
    cuts: Vec<CutSpan>,
    /// Spans of time in which hosts did not run.
    outages: HostOutages,
    findings: Vec<SoakFinding>,
}

impl RequestHistory {
    /// Records that a caller sends a request to an entry.
    pub fn record_sent(&self, id: &str, entry: usize, is_idempotent: bool) {
        self.insert(id, entry, is_idempotent, None);
    }

    /// Records that a caller sends a request to an entry with the key of an organisation.
    pub fn record_sent_by(&self, id: &str, entry: usize, is_idempotent: bool, organisation: &str) {
        self.insert(id, entry, is_idempotent, Some(organisation.into()));
    }

    fn insert(&self, id: &str, entry: usize, is_idempotent: bool, organisation: Option<SmolStr>) {
        let record = RequestRecord {
            is_idempotent,
            entry,
            organisation,
            sent: Instant::now(),
            outcome: None,
            is_unconfirmed: false,
            runs: Vec::new(),
            refusals: Vec::new(),
        };
        self.state.lock().requests.insert(id.into(), record);
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&self, id: &str, outcome: CallerOutcome) {
        if let Some(record) = self.state.lock().requests.get_mut(id) {
            record.outcome = Some((Instant::now(), outcome));
        }
    }

    /// Records that a request was refused because the account of its organisation was not reached.
    pub fn record_unconfirmed(&self, id: &str) {
        if let Some(record) = self.state.lock().requests.get_mut(id) {
            record.is_unconfirmed = true;
        }
    }

    /// Records that an upstream starts to run a request.
    pub fn record_run(&self, id: &str, upstream: &str) {
        let mut state = self.state.lock();
        match state.requests.get_mut(id) {
            Some(record) => record.runs.push((upstream.into(), Instant::now())),
            None => state.report("asked for", format!("{upstream} ran {id}, which nobody sent")),
        }
    }

    /// Records that an upstream turns a request away and asks for rest.
    pub fn record_rest(&self, id: &str, upstream: &str, span: Duration) {
        let (mut state, at) = (self.state.lock(), Instant::now());
        let Some(record) = state.requests.get_mut(id) else { return };
        record.refusals.push((upstream.into(), at));
        let entry = record.entry;
        state.rests.push(RestAnswer { upstream: upstream.into(), entry, at, span });
    }

    /// Records that an upstream's answers say from now on that it leaves.
    pub fn record_leaving(&self, upstream: &str) {
        self.state.lock().leaving.insert(upstream.into(), Instant::now());
    }

    /// Records that answers of the upstream at a place may be lost in a span of time.
    pub fn record_path_fault(&self, upstream: usize, from: Instant, until: Instant) {
        self.state.lock().path_faults.push((upstream, from, until));
    }

    /// Records which organisation an upstream was told, and whether it was sent a key.
    pub fn record_identity(&self, id: &str, organisation: Option<&str>, has_key: bool) {
        let mut state = self.state.lock();
        let Some(record) = state.requests.get(id) else { return };
        if has_key || record.organisation.as_deref() != organisation {
            let observed = format!("{id} came as {organisation:?}, with a key: {has_key}");
            state.report("the organisation in place of the key", observed);
        }
    }

    /// Records that an upstream's drain was acknowledged.
    pub fn record_drained(&self, upstream: &str) {
        self.state.lock().drained.insert(upstream.into(), Instant::now());
    }

    /// Records that an entry is disturbed in a span of time.
    pub fn record_disturbance(&self, entry: usize, from: Instant, until: Instant) {
        self.state.lock().disturbances.push(Disturbance { entry, from, until });
    }

    /// Records a fault in upstreams or in the connections to them for a span of time.
    pub fn record_upstream_fault(&self, from: Instant, until: Instant) {
        self.state.lock().upstream_faults.push((from, until));
    }

    /// Records that an upstream's answers name a limit from now on, or none.
    pub fn record_limit(&self, upstream: &str, rate: Option<f64>) {
        let mut state = self.state.lock();
        let now = Instant::now();
        let named = state.limits.iter_mut().filter(|limit| limit.upstream == upstream);
        named.for_each(|limit| limit.until = limit.until.or(Some(now)));
        let span = |rate| LimitSpan { upstream: upstream.into(), rate, from: now, until: None };
        state.limits.extend(rate.map(span));
    }

    /// Records that an entry itself is killed, stopped or paused in a span of time.
    pub fn record_entry_fault(&self, entry: usize, from: Instant, until: Instant) {
        self.state.lock().entry_faults.push((entry, from, until));
    }

    /// Records that an upstream ends under a request with a content.
    pub(crate) fn record_end(&self, content: &str) {
        self.state.lock().ends.record(content, Instant::now());
    }

    /// Sets the number of replicas, which are the first hosts.
    pub fn set_replicas(&self, replicas: usize) {
        self.state.lock().outages.replicas = replicas;
    }

    /// Records that a host did not run in a span of time, without the time of its recovery.
    pub fn record_outage(&self, host: usize, from: Instant, until: Instant) {
        self.state.lock().outages.spans.push((host, from, until));
    }

    /// Records that a replica has lost its disk.
    pub fn record_wipe(&self, replica: usize, at: Instant) {
        self.state.lock().outages.wipes.push((replica, at));
    }

    /// Records that an entry is cut off from all upstreams in a span of time.
    pub fn record_cut(&self, entry: usize, from: Instant, until: Instant) {
        self.state.lock().cuts.push(CutSpan { entry, from, until });
    }

    /// Sets how long an entry runs on at most after it was told to shut down.
    pub fn set_stop_span(&self, span: Duration) {
        self.state.lock().stop_span = Some(span);
    }

    /// Records that an entry gets its first shutdown signal.
    pub fn record_stop(&self, entry: usize) {
        self.state.lock().stops.push((entry, Instant::now()));
    }

    /// Whether an entry was disturbed in a span of time.
    #[must_use]
    pub fn was_disturbed(&self, entry: usize, from: Instant, until: Instant) -> bool {
        self.state.lock().was_disturbed(entry, from, until)
    }

    /// Records a violation of a guarantee.
    pub fn record_finding(&self, guarantee: &'static str, observed: String) {
        self.state.lock().report(guarantee, observed);
    }

    /// Returns how many requests were sent, and how many of them succeeded.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let state = self.state.lock();
        let is_success = |record: &&RequestRecord| {
            matches!(record.outcome, Some((_, CallerOutcome::Success(_))))
        };
        (state.requests.len(), state.requests.values().filter(is_success).count())
    }

    /// Checks everything recorded and returns all violations.
    #[must_use]
    pub fn findings(&self) -> Vec<SoakFinding> {
        let state = self.state.lock();
        let mut findings = state.findings.clone();
        for (id, record) in &state.requests {
            findings.extend(state.check(id, record));
        }
        findings.extend(state.check_limits());
        findings.extend(state.check_stops());
        findings.extend(state.check_cuts());
        findings.extend(state.check_quotas());
        findings.extend(state.ends.check(&state.entry_faults));
        findings
    }
}

impl HistoryState {
    fn report(&mut self, guarantee: &'static str, observed: String) {
        self.findings.push(SoakFinding { guarantee, observed });
    }

    /// Returns findings for upstreams that got more than the limits they named.
    fn check_limits(&self) -> Vec<SoakFinding> {
        let mut runs = Vec::new();
        for record in self.requests.values() {
            let succeeded = match &record.outcome {
                Some((at, CallerOutcome::Success(_))) => Some(*at),
                _ => None,
            };
            let last = record.runs.len().saturating_sub(1);
            for (place, (upstream, at)) in record.runs.iter().enumerate() {
                let answered = succeeded.filter(|_| place == last);
                let (upstream, entry) = (upstream.clone(), record.entry);
                runs.push(UpstreamRun { upstream, entry, at: *at, answered });
            }
        }
        let observed = self.limits.iter().filter_map(|span| span.check(&runs, &self.entry_faults));
        let guarantee = "named limits are kept";
        observed.map(|observed| SoakFinding { guarantee, observed }).collect()
    }

    /// Returns findings for upstreams that got requests although they had asked for rest, or had told
    /// in an answer that they leave.
    fn check_stops(&self) -> Vec<SoakFinding> {
        let arrivals = self.arrivals();
        let cuts = self.cuts.iter().map(|cut| (cut.entry, cut.from, cut.until)).collect();
        let excuses = StopExcuses {
            entries: &self.entry_faults,
            entry_paths: cuts,
            upstream_paths: &self.path_faults,
        };
        let rests = self.rests.iter().filter_map(|rest| rest.check(&arrivals, &excuses));
        let rests = rests.map(|observed| SoakFinding { guarantee: "rests are kept", observed });
        let leaves = self.leave_answers();
        let leaves = leaves.iter().filter_map(|leave| leave.check(&arrivals, &excuses));
        let guarantee = "no work after an answer that tells of leaving";
        rests.chain(leaves.map(|observed| SoakFinding { guarantee, observed })).collect()
    }

    fn arrivals(&self) -> Vec<UpstreamArrival> {
        let requests = self.requests.values();
        let arrivals = requests.flat_map(|record| {
            record.runs.iter().chain(&record.refusals).map(|(upstream, at)| UpstreamArrival {
                upstream: upstream.clone(),
                entry: record.entry,
                sent: record.sent,
                at: *at,
            })
        });
        arrivals.collect()
    }

    /// Returns the answers of leaving upstreams that entries have passed on.
    fn leave_answers(&self) -> Vec<LeaveAnswer> {
        let answers = self.requests.values().filter_map(|record| {
            let (upstream, ran) = record.runs.last()?;
            let Some((at, CallerOutcome::Success(_))) = &record.outcome else { return None };
            let began = self.leaving.get(upstream)?;
            let (upstream, entry, at) = (upstream.clone(), record.entry, *at);
            (ran > began).then_some(LeaveAnswer { upstream, entry, at })
        });
        answers.collect()
    }

    /// Returns findings for entries that were cut off, and nothing else, and whose callers were
    /// served far worse than those of entries that were not.
    fn check_cuts(&self) -> Vec<SoakFinding> {
        let is_calm = |cut: &&CutSpan| {
            let overlaps = |from: Instant, until: Instant| from <= cut.until && until >= cut.from;
            !self.was_disturbed(cut.entry, cut.from, cut.until)
                && !self.upstream_faults.iter().any(|(from, until)| overlaps(*from, *until))
                && !self
                    .limits
                    .iter()
                    .any(|limit| overlaps(limit.from, limit.until.unwrap_or(cut.until)))
        };
        let observed = self.cuts.iter().filter(is_calm).filter_map(|cut| {
            let is_cut =
                |entry| self.cuts.iter().any(|other| other.entry == entry && other.overlaps(cut));
            let (mut at_cut, mut at_others) = (ServedCount::default(), ServedCount::default());
            for record in self.requests.values().filter(|record| cut.counts(record)) {
                if record.entry == cut.entry {
                    at_cut.add(record);
                } else if !is_cut(record.entry) {
                    at_others.add(record);
                }
            }
            at_cut
                .is_far_below(&at_others)
                .then(|| format!("entry {} served {at_cut:?}, the others {at_others:?}", cut.entry))
        });
        let guarantee = "a host that is cut off serves over others";
        observed.map(|observed| SoakFinding { guarantee, observed }).collect()
    }

    /// Returns findings for organisations that ran more than their quotas, or were denied what is
    /// theirs.
    fn check_quotas(&self) -> Vec<SoakFinding> {
        let requests = self.requests.iter();
        let requests: Vec<_> = requests.filter_map(|(id, record)| record.by_quota(id)).collect();
        let exceeded = ("quotas are kept", check_windows(&requests));
        let starving = ("no organisation starves", check_starvation(&requests, self.faults()));
        let guarantee = "an organisation below its quota is not refused as unconfirmed";
        let unconfirmed = (guarantee, check_unconfirmed(&requests, &self.outages));
        let found = [exceeded, starving, unconfirmed].into_iter();
        let found = found.flat_map(|(guarantee, observed)| {
            observed.into_iter().map(move |observed| SoakFinding { guarantee, observed })
        });
        found.collect()
    }

    /// Returns the spans of all faults that may keep requests from being served.
    fn faults(&self) -> Vec<(Instant, Instant)> {
        let now = Instant::now();
        let outages = self.outages.spans.iter().map(|(_, from, until)| (*from, *until));
        let cuts = self.cuts.iter().map(|cut| (cut.from, cut.until));
        let limits = self.limits.iter().map(|limit| (limit.from, limit.until.unwrap_or(now)));
        let rests = self.rests.iter().map(|rest| (rest.at, rest.at + rest.span));
        let upstreams = self.upstream_faults.iter().copied();
        outages.chain(cuts).chain(limits).chain(rests).chain(upstreams).collect()
    }

    fn was_disturbed(&self, entry: usize, from: Instant, until: Instant) -> bool {
        let overlaps = |d: &&Disturbance| d.entry == entry && d.from <= until && d.until >= from;
        self.disturbances.iter().any(|disturbance| overlaps(&disturbance))
    }

    fn check(&self, id: &str, record: &RequestRecord) -> Vec<SoakFinding> {
        let mut findings = Vec::new();
        let mut report = |guarantee, observed| findings.push(SoakFinding { guarantee, observed });
        let runs = record.runs.len();
        if !record.is_idempotent && runs > 1 {
            report("at most once", format!("{id} ran {runs} times: {:?}", record.runs));
        }
        match &record.outcome {
            Some((_, CallerOutcome::Success(body))) if !is_complete_answer(id, body) => {
                let start: String = body.chars().take(60).collect();
                report("own whole answer", format!("{id} got {} bytes: {start}", body.len()));
            }
            Some((_, CallerOutcome::Success(_))) if runs == 0 => {
                report("own whole answer", format!("{id} succeeded and never ran"));
            }
            Some((_, CallerOutcome::NotRun)) if runs > 0 && !record.is_idempotent => {
                report("not run means not run", format!("{id} ran at {:?}", record.runs));
            }
            Some((at, CallerOutcome::Cut)) if runs > 0 && self.was_cut_by_stop(record, *at) => {
                report("shutdown cuts off nothing", format!("{id} at entry {}", record.entry));
            }
            _ => {}
        }
        for (upstream, at) in &record.runs {
            let Some(drained) = self.drained.get(upstream) else { continue };
            let late = at.saturating_duration_since(*drained);
            let was_sent_late = record.sent > *drained + DRAIN_LIMIT;
            if late > DRAIN_LIMIT
                && was_sent_late
                && !self.was_disturbed(record.entry, *drained, *at)
            {
                report("no work after leaving", format!("{id} at {upstream} {late:?} later"));
            }
        }
        findings
    }

    /// Whether a request was cut off by a shutdown of its entry, without any other fault. One that was
    /// sent before the signal may be cut when the entry's time is over.
    fn was_cut_by_stop(&self, record: &RequestRecord, at: Instant) -> bool {
        let is_stopped = |(entry, stop): &(usize, Instant)| {
            let end = self.stop_span.map(|span| *stop + span);
            let sent_until = end.unwrap_or(*stop);
            let was_in_progress =
                *entry == record.entry && *stop <= at && record.sent <= sent_until;
            let was_over = end.is_some_and(|end| at + STOP_TOLERANCE >= end);
            was_in_progress && !(was_over && record.sent <= *stop + SIGNAL_TIME)
        };
        let upstreams_healthy =
            !self.upstream_faults.iter().any(|(from, until)| *from <= at && *until >= record.sent);
        self.stops.iter().any(is_stopped)
            && upstreams_healthy
            && !self.was_disturbed(record.entry, record.sent, at)
    }
}

/// Returns the body of an upstream's answer to a request, padded to a length.
#[must_use]
pub(crate) fn answer_body(id: &str, length: usize) -> String {
    let mut body = format!("{id} {length} ");
    let padding = length.saturating_sub(body.len() + 1);
    body.extend(std::iter::repeat_n('.', padding));
    body.push('!');
    body
}

fn is_complete_answer(id: &str, body: &str) -> bool {
    let mut words = body.splitn(3, ' ');
    let length = words.nth(1).and_then(|length| length.parse().ok());
    body.starts_with(id) && length.is_some_and(|length| body == answer_body(id, length))
}
