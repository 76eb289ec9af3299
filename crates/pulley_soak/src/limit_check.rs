//! Checks that entries together keep to the request limits that upstreams name.

use std::time::{Duration, Instant};

use pulley_core::process::FastMap;
use smol_str::SmolStr;

/// The span over which requests are counted, and the time after a limit was first named from which
/// it binds.
const COUNTED_SPAN: Duration = Duration::from_secs(4);
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// How long after the first answer that named the limit an entry's requests count.
const TOLD_DELAY: Duration = Duration::from_millis(500);

/// What may arrive within the counted span: this many times the limit, and some requests more.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// A request that an upstream has run.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRun {
    pub(crate) upstream: SmolStr,
    pub(crate) entry: usize,
    pub(crate) at: Instant,
    /// When its caller had the whole answer, if it got one.
    pub(crate) answered: Option<Instant>,
}

/// A span of time in which an upstream's answers name a limit.
#[derive(Clone, Debug)]
pub(crate) struct LimitSpan {
    pub(crate) upstream: SmolStr,
    pub(crate) rate: f64,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

impl LimitSpan {
    /// Returns the requests above the limit within one counted span, as text, if there are any.
    /// `faults` are the spans in which an entry itself was killed, stopped or paused.
    pub(crate) fn check(
        &self,
        runs: &[UpstreamRun],
        faults: &[(usize, Instant, Instant)],
    ) -> Option<String> {
        let until = self.until.unwrap_or_else(Instant::now);
        let is_own = |run: &&UpstreamRun| {
            run.upstream == self.upstream && run.at >= self.from && run.at < until
        };
        let mut runs: Vec<&UpstreamRun> = runs.iter().filter(is_own).collect();
        runs.sort_by_key(|run| run.at);
        let first = runs.first()?.at;
        let told = told_spans(&runs, faults);
        let counts = |run: &&&UpstreamRun| {
            let is_told = |since: &Instant| run.at >= *since + TOLD_DELAY;
            run.at >= first + SETTLE_TIME
                && told.get(&run.entry).is_some_and(|told| {
                    told.iter().any(|(since, end)| is_told(since) && run.at < *end)
                })
        };
        let counted: Vec<Instant> = runs.iter().filter(counts).map(|run| run.at).collect();
        let within = |(index, start): (usize, &Instant)| {
            counted[index..].iter().take_while(|at| **at < *start + COUNTED_SPAN).count()
        };
        let most = counted.iter().enumerate().map(within).max().unwrap_or(0);
        let allowed = FACTOR * self.rate * COUNTED_SPAN.as_secs_f64() + SLACK;
        (most as f64 > allowed).then(|| {
            format!("{} named {} a second and got {most} in 4 s", self.upstream, self.rate)
        })
    }
}

/// Returns the spans in which each entry knew the limit: from an answer that it passed on until it
/// was next killed, stopped or paused itself.
fn told_spans(
    runs: &[&UpstreamRun],
    faults: &[(usize, Instant, Instant)],
) -> FastMap<usize, Vec<(Instant, Instant)>> {
    let far = Instant::now() + SETTLE_TIME;
    let mut told: FastMap<usize, Vec<(Instant, Instant)>> = FastMap::default();
    for run in runs {
        let Some(answered) = run.answered else { continue };
        let own = faults.iter().filter(|(entry, _, _)| *entry == run.entry);
        let mut own_faults = own.clone().map(|(_, from, until)| (*from, *until));
        if own_faults.any(|(from, until)| from <= answered && run.at <= until) {
            continue;
        }
        let next_fault = own.map(|(_, from, _)| *from).filter(|from| *from > answered).min();
        told.entry(run.entry).or_default().push((answered, next_fault.unwrap_or(far)));
    }
    told
}
