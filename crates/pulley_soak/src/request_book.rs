//! What callers and upstreams saw of each request, and what must not have been.

use std::fmt;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use pulley_core::process::FastMap;
use smol_str::SmolStr;

/// How long a leaving upstream may still get new work after its leaving was acknowledged.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// What became of a request, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A success, with this body; whole by its length.
    Success(String),
    /// The system said that it was not run.
    NotRun,
    /// It may have run: a failure, or no answer.
    Unknown,
    /// The connection ended without an answer.
    Cut,
}

/// Something that must not have been.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakFinding {
    /// Which promise was broken, in a word.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for SoakFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
    }
}

#[derive(Debug)]
struct RequestRecord {
    is_idempotent: bool,
    entry: usize,
    sent: Instant,
    outcome: Option<(Instant, CallerOutcome)>,
    runs: Vec<(SmolStr, Instant)>,
}

/// A time in which an entry was disturbed, so that promises with a bound do not hold for it.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    entry: usize,
    from: Instant,
    until: Instant,
}

/// What both sides saw.
#[derive(Debug, Default)]
pub struct RequestBook {
    state: Mutex<BookState>,
}

#[derive(Debug, Default)]
struct BookState {
    requests: FastMap<SmolStr, RequestRecord>,
    left: FastMap<SmolStr, Instant>,
    disturbances: Vec<Disturbance>,
    /// When each entry was told to shut down while nothing else was wrong with it.
    stops: Vec<(usize, Instant)>,
    /// Times in which upstreams or the way to them were disturbed.
    upstream_faults: Vec<(Instant, Instant)>,
    findings: Vec<SoakFinding>,
}

impl RequestBook {
    /// Notes that a caller sends a request to an entry.
    pub fn note_sent(&self, id: &str, entry: usize, is_idempotent: bool) {
        let record = RequestRecord {
            is_idempotent,
            entry,
            sent: Instant::now(),
            outcome: None,
            runs: Vec::new(),
        };
        self.state.lock().requests.insert(id.into(), record);
    }

    /// Notes what a caller got.
    pub fn note_outcome(&self, id: &str, outcome: CallerOutcome) {
        if let Some(record) = self.state.lock().requests.get_mut(id) {
            record.outcome = Some((Instant::now(), outcome));
        }
    }

    /// Notes that an upstream begins to work on a request.
    pub fn note_run(&self, id: &str, upstream: &str) {
        let mut state = self.state.lock();
        match state.requests.get_mut(id) {
            Some(record) => record.runs.push((upstream.into(), Instant::now())),
            None => state.find("asked for", format!("{upstream} ran {id}, which nobody sent")),
        }
    }

    /// Notes that an upstream's leaving was acknowledged.
    pub fn note_left(&self, upstream: &str) {
        self.state.lock().left.insert(upstream.into(), Instant::now());
    }

    /// Notes that an entry is disturbed until a moment.
    pub fn note_disturbed(&self, entry: usize, from: Instant, until: Instant) {
        self.state.lock().disturbances.push(Disturbance { entry, from, until });
    }

    /// Notes that upstreams, or the ways to them, are disturbed until a moment.
    pub fn note_upstream_fault(&self, from: Instant, until: Instant) {
        self.state.lock().upstream_faults.push((from, until));
    }

    /// Notes that an entry is told to shut down.
    pub fn note_stop(&self, entry: usize) {
        self.state.lock().stops.push((entry, Instant::now()));
    }

    /// Whether an entry was disturbed in a span of time.
    #[must_use]
    pub fn was_disturbed(&self, entry: usize, from: Instant, until: Instant) -> bool {
        self.state.lock().was_disturbed(entry, from, until)
    }

    /// Notes that a promise was broken.
    pub fn note_finding(&self, promise: &'static str, seen: String) {
        self.state.lock().find(promise, seen);
    }

    /// How many requests were sent, and how many succeeded.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let state = self.state.lock();
        let is_success = |record: &&RequestRecord| {
            matches!(record.outcome, Some((_, CallerOutcome::Success(_))))
        };
        (state.requests.len(), state.requests.values().filter(is_success).count())
    }

    /// What must not have been, over all that was noted.
    #[must_use]
    pub fn findings(&self) -> Vec<SoakFinding> {
        let state = self.state.lock();
        let mut findings = state.findings.clone();
        for (id, record) in &state.requests {
            findings.extend(state.check(id, record));
        }
        findings
    }
}

impl BookState {
    fn find(&mut self, promise: &'static str, seen: String) {
        self.findings.push(SoakFinding { promise, seen });
    }

    fn was_disturbed(&self, entry: usize, from: Instant, until: Instant) -> bool {
        let overlaps = |d: &&Disturbance| d.entry == entry && d.from <= until && d.until >= from;
        self.disturbances.iter().any(|disturbance| overlaps(&disturbance))
    }

    fn check(&self, id: &str, record: &RequestRecord) -> Vec<SoakFinding> {
        let mut findings = Vec::new();
        let mut find = |promise, seen| findings.push(SoakFinding { promise, seen });
        let runs = record.runs.len();
        if !record.is_idempotent && runs > 1 {
            find("at most once", format!("{id} ran {runs} times: {:?}", record.runs));
        }
        match &record.outcome {
            Some((_, CallerOutcome::Success(body))) if !is_answer_to(id, body) => {
                let start: String = body.chars().take(60).collect();
                find("own whole answer", format!("{id} got {} bytes: {start}", body.len()));
            }
            Some((_, CallerOutcome::Success(_))) if runs == 0 => {
                find("own whole answer", format!("{id} succeeded and never ran"));
            }
            Some((_, CallerOutcome::NotRun)) if runs > 0 && !record.is_idempotent => {
                find("not run means not run", format!("{id} ran at {:?}", record.runs));
            }
            Some((at, CallerOutcome::Cut)) if runs > 0 && self.was_cut_by_stop(record, *at) => {
                find("shutdown cuts off nothing", format!("{id} at entry {}", record.entry));
            }
            _ => {}
        }
        for (upstream, at) in &record.runs {
            let Some(left) = self.left.get(upstream) else { continue };
            let late = at.saturating_duration_since(*left);
            let sent_late = record.sent > *left + DRAIN_LIMIT;
            if late > DRAIN_LIMIT && sent_late && !self.was_disturbed(record.entry, *left, *at) {
                find("no work after leaving", format!("{id} at {upstream} {late:?} later"));
            }
        }
        findings
    }

    /// Whether a request was cut off around a shutdown of its entry, with nothing else wrong.
    fn was_cut_by_stop(&self, record: &RequestRecord, at: Instant) -> bool {
        let is_stopped = |(entry, stop): &(usize, Instant)| {
            *entry == record.entry && *stop >= record.sent && *stop <= at
        };
        let upstreams_well =
            !self.upstream_faults.iter().any(|(from, until)| *from <= at && *until >= record.sent);
        self.stops.iter().any(is_stopped)
            && upstreams_well
            && !self.was_disturbed(record.entry, record.sent, at)
    }
}

/// The body that an upstream answers a request with, padded to a length.
#[must_use]
pub(crate) fn answer_to(id: &str, length: usize) -> String {
    let mut body = format!("{id} {length} ");
    let missing = length.saturating_sub(body.len() + 1);
    body.extend(std::iter::repeat_n('.', missing));
    body.push('!');
    body
}

fn is_answer_to(id: &str, body: &str) -> bool {
    let mut words = body.splitn(3, ' ');
    let length = words.nth(1).and_then(|length| length.parse().ok());
    body.starts_with(id) && length.is_some_and(|length| body == answer_to(id, length))
}
