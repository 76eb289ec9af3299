//! One upstream's request limit as one entry sees it, and the permits that the entry holds.

use std::time::Duration;

use super::LimitReading;
use crate::process::{LimitRecord, Moment, PermitAnswer, SharedTime, StartRate};

/// How long a permit may be used, besides the time in which one permit is issued, and the longest
/// time. Permits that are issued and not used yet come on top of the limit, so their life bounds
/// what an upstream gets in excess of it.
const PERMIT_LIFE: Duration = Duration::from_millis(750);
const MAX_PERMIT_LIFE: Duration = Duration::from_secs(5);

/// How long an answer to a question for permits may take.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Number of questions without an answer after which the deputy is asked, and for how long.
const UNANSWERED_ASKS: u8 = 2;
const DEPUTY_SPAN: Duration = Duration::from_secs(3);

/// A limit that is named again is told to other hosts if it differs by more than one part in this
/// many, or after an interval.
const TOLERANCE_DIVISOR: u32 = 20;
const REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// How long a limit lasts at least after it was last named. A limit that is named by some answers
/// and not by others would otherwise be told to all hosts with every answer.
const MIN_LIMIT_SPAN: Duration = Duration::from_secs(1);

/// Half-life of the number of requests that could use a permit, in seconds.
const DEMAND_HALF_LIFE_S: f32 = 0.35;

/// Largest number of permits that one question asks for.
const MAX_WANTED: f32 = 64.0;

/// An answer of the upstream, for what it says of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSighting {
    /// What the answer says.
    pub reading: LimitReading,
    /// When the request was sent that it answers.
    pub sent_at: Moment,
    /// Whether it answers a probe.
    pub is_probe: bool,
}

/// The question for permits that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PermitDraft {
    pub(crate) number: u32,
    pub(crate) wanted: u16,
    pub(crate) asks_deputy: bool,
}

#[derive(Clone, Copy, Debug)]
struct OpenAsk {
    number: u32,
    asked_at: Moment,
}

/// One upstream's request limit as one entry sees it, and the permits that the entry holds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamLimit {
    /// The requests a second that the upstream takes from all hosts; `None` without a limit.
    rate: Option<StartRate>,
    /// The time of the newest record that was applied.
    version: SharedTime,
    /// When this entry last learned that the limit is in force.
    told_at: Moment,
    /// When this entry last told other hosts of the limit.
    reported_at: Moment,
    /// Whether answers to probes name the limit too. If they do not, their silence says nothing.
    is_named_by_probes: bool,
    permits: u32,
    permits_until: Moment,
    open_ask: Option<OpenAsk>,
    next_ask_at: Moment,
    next_number: u32,
    unanswered: u8,
    deputy_until: Moment,
    /// The recent number of requests that could use a permit.
    demand: f32,
    demand_at: Moment,
}

impl UpstreamLimit {
    /// Whether the upstream names a limit, as far as this entry knows.
    pub(crate) fn is_limited(&self) -> bool {
        self.rate.is_some()
    }

    /// Whether no request may be sent now.
    pub(crate) fn is_blocked(&self, now: Moment) -> bool {
        self.rate.is_some() && self.held(now) == 0
    }

    /// Returns when a permit may be had at the earliest. `None` if none is needed, or if one may
    /// arrive at any moment.
    pub(crate) fn blocked_until(&self, now: Moment) -> Option<Moment> {
        let is_blocked = self.is_blocked(now) && !self.is_asking(now);
        (is_blocked && self.next_ask_at > now).then_some(self.next_ask_at)
    }

    /// Returns when to ask for permits, or to ask again; `None` if none are needed.
    pub(crate) fn next_ask_at(&self, now: Moment) -> Option<Moment> {
        let reply_due = self.open_ask.map(|open| open.asked_at + ASK_TIMEOUT);
        self.is_blocked(now).then(|| reply_due.unwrap_or(now).max(self.next_ask_at))
    }

    /// Learns from an answer of the upstream. Returns the limit to tell other hosts, with `None` for
    /// its end, if there is news.
    ///
    /// An answer without a limit proves its end only if the request was sent after this entry
    /// learned of the limit. Otherwise it may be older than the answer that named it.
    pub(crate) fn observe(
        &mut self,
        now: Moment,
        sighting: LimitSighting,
    ) -> Option<Option<StartRate>> {
        match sighting.reading {
            LimitReading::Named(rate) => self.record_named(now, rate, sighting.is_probe),
            LimitReading::Absent => {
                let is_proof = self.rate.is_some()
                    && sighting.sent_at > self.told_at
                    && now.since(self.told_at) >= MIN_LIMIT_SPAN
                    && (!sighting.is_probe || self.is_named_by_probes);
                is_proof.then(|| {
                    self.set_rate(now, None);
                    None
                })
            }
            LimitReading::Unreadable => None,
        }
    }

    /// Applies what other hosts know, if it is newer than what was applied before.
    pub(crate) fn apply(&mut self, now: Moment, record: &LimitRecord) {
        if record.observed_at <= self.version {
            return;
        }
        self.version = record.observed_at;
        if record.rate.is_some() {
            self.told_at = now;
        }
        if record.rate != self.rate {
            self.set_rate(now, record.rate);
        }
    }

    /// Counts a request that could use a permit.
    pub(crate) fn record_demand(&mut self, now: Moment) {
        self.demand = self.demand_now(now) + 1.0;
        self.demand_at = now;
    }

    /// Returns the question for permits if one is due, and records that it is asked.
    pub(crate) fn begin_ask(&mut self, now: Moment) -> Option<PermitDraft> {
        if !self.is_blocked(now) || self.is_asking(now) {
            return None;
        }
        if self.open_ask.take().is_some() {
            self.unanswered += 1;
            if self.unanswered >= UNANSWERED_ASKS {
                self.unanswered = 0;
                self.deputy_until = now + DEPUTY_SPAN;
            }
        }
        if now < self.next_ask_at {
            return None;
        }
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        self.open_ask = Some(OpenAsk { number, asked_at: now });
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to a small range"
        )]
        let wanted = self.demand_now(now).round().clamp(1.0, MAX_WANTED) as u16;
        Some(PermitDraft { number, wanted, asks_deputy: now < self.deputy_until })
    }

    /// Takes the answer to the open question. Any other answer is ignored: it may have been
    /// delivered twice.
    pub(crate) fn receive(&mut self, now: Moment, answer: &PermitAnswer) {
        if self.open_ask.is_none_or(|open| open.number != answer.number) {
            return;
        }
        self.open_ask = None;
        self.unanswered = 0;
        if answer.permits > 0 {
            self.permits = self.held(now) + u32::from(answer.permits);
            self.permits_until = now + self.rate.map_or(PERMIT_LIFE, permit_life);
        } else {
            self.next_ask_at = now + answer.retry_after();
        }
    }

    /// Uses a permit for a request that is sent.
    pub(crate) fn spend(&mut self, now: Moment) {
        if self.rate.is_some() {
            self.record_demand(now);
            self.permits = self.held(now).saturating_sub(1);
        }
    }

    fn record_named(
        &mut self,
        now: Moment,
        rate: StartRate,
        is_probe: bool,
    ) -> Option<Option<StartRate>> {
        self.told_at = now;
        self.is_named_by_probes |= is_probe;
        let is_same = self.rate.is_some_and(|known| is_close(known, rate));
        if is_same && now.since(self.reported_at) < REPORT_INTERVAL {
            return None;
        }
        self.reported_at = now;
        self.set_rate(now, Some(rate));
        Some(Some(rate))
    }

    fn set_rate(&mut self, now: Moment, rate: Option<StartRate>) {
        let is_lower = rate.is_some_and(|rate| self.rate.is_none_or(|known| rate < known));
        if is_lower || rate.is_none() {
            self.permits = 0;
        }
        if self.rate.is_none() || rate.is_none() {
            self.open_ask = None;
            self.next_ask_at = now;
            self.is_named_by_probes &= rate.is_some();
        }
        self.rate = rate;
    }

    fn held(&self, now: Moment) -> u32 {
        if now < self.permits_until { self.permits } else { 0 }
    }

    fn is_asking(&self, now: Moment) -> bool {
        self.open_ask.is_some_and(|open| now < open.asked_at + ASK_TIMEOUT)
    }

    fn demand_now(&self, now: Moment) -> f32 {
        let passed = now.since(self.demand_at).as_secs_f32();
        self.demand * (-passed / DEMAND_HALF_LIFE_S).exp2()
    }
}

/// Returns how long a permit may be used. At a low rate one that expires unused is a loss, and the
/// upstream gets no request that would show the end of its limit.
fn permit_life(rate: StartRate) -> Duration {
    let issue_time = Duration::try_from_secs_f32(1.0 / rate.per_second());
    PERMIT_LIFE.saturating_add(issue_time.unwrap_or(MAX_PERMIT_LIFE)).min(MAX_PERMIT_LIFE)
}

/// Whether two rates differ so little that other hosts need not be told.
fn is_close(known: StartRate, named: StartRate) -> bool {
    known.0.abs_diff(named.0) <= known.0 / TOLERANCE_DIVISOR
}
