//! Keeps what upstreams have asked of this host, for everything that sends to them.

use std::sync::OnceLock;
use std::time::SystemTime;

use http::header::{HeaderMap, HeaderName};
use http::{HeaderValue, StatusCode};
use parking_lot::Mutex;
use pulley_core::process::{UpstreamStart, UpstreamStop, UpstreamStops};
use pulley_core::{Moment, UpstreamId};
use tokio::sync::watch;

use super::RestReading;
use crate::process::ProcessClock;
use crate::request::{CAUSE_HEADER, DRAINING_HEADER};

/// What an upstream's response asks of this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerStops {
    /// The rest that it asks for.
    pub rest: RestReading,
    /// Whether the upstream leaves.
    pub departs: bool,
}

/// What upstreams have asked of this host in any answer: to a request or a probe, over this host's
/// own path or another host's.
///
/// Schedulers learn of it when a request is placed. A request may be sent later than that, and
/// probes and relayed connections pass no scheduler, so each sender asks again right before it
/// sends ([`super::UpstreamConnections::send_block`]).
#[derive(Debug)]
pub struct SendGate {
    clock: ProcessClock,
    departure_header: OnceLock<HeaderName>,
    state: Mutex<GateState>,
    /// The number of changes so far.
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct GateState {
    stops: UpstreamStops,
    /// The upstreams whose stops the schedulers have yet to apply.
    unapplied: Vec<UpstreamStart>,
    /// The departures that the control thread has yet to be told.
    untold: Vec<UpstreamStart>,
}

impl SendGate {
    /// Creates a gate that forbids nothing.
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        let (departure_header, state) = (OnceLock::new(), Mutex::default());
        Self { clock, departure_header, state, changes: watch::channel(0).0 }
    }

    /// Sets the header by which upstreams say that they leave. Only the first call has an effect.
    pub fn set_departure_header(&self, name: HeaderName) {
        let _ = self.departure_header.set(name);
    }

    /// Returns what an upstream has asked for.
    #[must_use]
    pub fn find(&self, start: &UpstreamStart) -> UpstreamStop {
        self.state.lock().stops.find(start)
    }

    /// Reads what an answer asks for, and keeps it.
    ///
    /// An answer with 421 comes from another upstream. One that bears a cause of this system was made
    /// for a call of the upstream's own, and its `Retry-After` speaks of the upstream called there.
    pub fn observe(
        &self,
        start: &UpstreamStart,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerStops {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return AnswerStops::default();
        }
        let rest = match headers.contains_key(&CAUSE_HEADER) {
            true => RestReading::Absent,
            false => RestReading::read(status, headers, SystemTime::now()),
        };
        let departure = self.departure_header.get_or_init(|| DRAINING_HEADER);
        let departs = headers.get_all(departure).iter().any(announces_departure);
        let now = self.clock.now();
        if let Some(span) = rest.span() {
            self.record_rest(start, now + span);
        }
        if departs {
            self.record_departure(start);
        }
        AnswerStops { rest, departs }
    }

    /// Keeps the rest that an upstream wants from this host.
    pub(crate) fn record_rest(&self, start: &UpstreamStart, until: Moment) {
        {
            let mut state = self.state.lock();
            if !state.stops.record_rest(start, until) {
                return;
            }
            state.unapplied.push(start.clone());
        }
        self.announce_change();
    }

    fn record_departure(&self, start: &UpstreamStart) {
        {
            let mut state = self.state.lock();
            if !state.stops.record_departure(start) {
                return;
            }
            state.unapplied.push(start.clone());
            state.untold.push(start.clone());
        }
        self.announce_change();
    }

    fn announce_change(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Returns a channel that changes whenever an upstream has asked for something new.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Takes what the schedulers have yet to apply.
    pub(crate) fn take_unapplied(&self) -> Vec<(UpstreamStart, UpstreamStop)> {
        let mut state = self.state.lock();
        let unapplied = std::mem::take(&mut state.unapplied);
        let found = unapplied.into_iter().map(|start| {
            let stop = state.stops.find(&start);
            (start, stop)
        });
        found.collect()
    }

    /// Takes the departures that the control thread has yet to be told.
    pub(crate) fn take_untold(&self) -> Vec<UpstreamStart> {
        std::mem::take(&mut self.state.lock().untold)
    }

    /// Forgets what has ended, and upstreams that `is_known` doesn't know.
    pub(crate) fn forget_ended(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if !state.stops.is_empty() {
            state.stops.forget_ended(now, is_known);
        }
    }
}

/// Whether a header's value says that the upstream leaves. A value that isn't known counts: an
/// upstream that stops while it gets requests harms callers more than one that gets none.
fn announces_departure(value: &HeaderValue) -> bool {
    let denials: [&[u8]; 3] = [b"", b"0", b"false"];
    !denials.contains(&value.as_bytes().trim_ascii())
}
