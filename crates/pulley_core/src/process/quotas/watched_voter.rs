//! Another voter of the replicated log as one replica sees it.

use std::collections::VecDeque;
use std::time::Duration;

use super::keeper_beat::voter_key;
use super::{HeardBeat, HostId, KeeperBeat, Moment};

/// How long a voter's report about the others counts after it was sent.
const REPORT_LIFE: Duration = Duration::from_millis(200);

/// The silence after which a voter reports another as silent. It exceeds the life of a confirmation
/// and that of a report together, by a twentieth and more for clocks that run at different rates.
pub(super) const SILENCE_LIMIT: Duration = Duration::from_millis(480);

/// How long a voter counts as down after a majority has reported it silent. It has been unconfirmed
/// at some time in the 230 ms before that, and serves again 500 ms later at the earliest.
const DOWN_HOLD: Duration = Duration::from_millis(240);

/// How long a replica must have been confirmed before it serves, less a twentieth for clocks that run
/// at different rates.
const IDLE_SPAN: Duration = Duration::from_millis(475);

/// The part of an age on another host's clock that has passed at least on this one. A part of 1 % is
/// far above the differences of rate of real clocks, and leaves ages of some ten seconds usable.
const CERTAIN_AGE_PART: f32 = 0.99;

/// How long own heartbeats are remembered. A voter that keeps echoing an older one is known by it.
const SENT_RETENTION: Duration = Duration::from_secs(2);

/// When this replica sent its last heartbeats.
#[derive(Clone, Debug, Default)]
pub(super) struct SentBeats(VecDeque<(u32, Moment)>);

impl SentBeats {
    pub(super) fn record(&mut self, now: Moment, number: u32) {
        self.0.push_back((number, now));
        while self.0.front().is_some_and(|(_, at)| now.since(*at) > SENT_RETENTION) {
            self.0.pop_front();
        }
    }

    fn sent_at(&self, number: u32) -> Option<Moment> {
        self.0.iter().find(|(sent, _)| *sent == number).map(|(_, at)| *at)
    }
}

#[derive(Clone, Copy, Debug)]
struct ReceivedBeat {
    incarnation: u64,
    number: u32,
    at: Moment,
}

/// The time for which a voter counts as down.
#[derive(Clone, Copy, Debug)]
struct DownSpan {
    since: Moment,
    until: Moment,
}

/// Another voter as this replica sees it.
#[derive(Clone, Debug)]
pub(super) struct WatchedVoter {
    pub(super) host: HostId,
    pub(super) key: u32,
    /// Since when this replica has listened without a break.
    listening_since: Moment,
    newest: Option<ReceivedBeat>,
    /// The incarnation before the current one. Its delayed heartbeats are ignored.
    former_incarnation: Option<u64>,
    /// The newest of this replica's heartbeats that the voter has received, and when it was sent.
    echo: Option<(u32, Moment)>,
    /// The digest of the voters that it knows.
    voters: u32,
    /// The earliest time, by this replica's clock, at which it can have sent its newest heartbeat.
    sent_after: Option<Moment>,
    reports: Vec<HeardBeat>,
    /// Until when it doesn't serve, by its newest heartbeat.
    idle_until: Moment,
    down: Option<DownSpan>,
    /// When its first heartbeat after a restart was received.
    restarted_at: Moment,
    /// Whether its silence was part of a heartbeat that this replica sent.
    pub(super) is_silence_sent: bool,
}

impl WatchedVoter {
    pub(super) fn new(now: Moment, host: HostId) -> Self {
        Self {
            key: voter_key(&host),
            host,
            listening_since: now,
            newest: None,
            former_incarnation: None,
            echo: None,
            voters: 0,
            sent_after: None,
            reports: Vec::new(),
            idle_until: Moment::ZERO,
            down: None,
            restarted_at: Moment::ZERO,
            is_silence_sent: false,
        }
    }

    /// Learns that this replica didn't listen for a while. The voter may have sent heartbeats
    /// meanwhile.
    pub(super) fn resume(&mut self, now: Moment) {
        self.listening_since = now;
        self.is_silence_sent = false;
    }

    /// Takes the voter's heartbeat. Returns whether it is newer than those before.
    pub(super) fn receive(
        &mut self,
        now: Moment,
        beat: &KeeperBeat,
        own_key: u32,
        sent: &SentBeats,
    ) -> bool {
        if !self.is_newer(beat) {
            return false;
        }
        let (incarnation, number) = (beat.incarnation, beat.number);
        let replaced = self.newest.filter(|newest| newest.incarnation != incarnation);
        self.former_incarnation =
            replaced.map(|newest| newest.incarnation).or(self.former_incarnation);
        if replaced.is_some() {
            self.restarted_at = now;
        }
        self.newest = Some(ReceivedBeat { incarnation, number, at: now });
        self.is_silence_sent = false;
        self.voters = beat.voters;
        self.reports.clone_from(&beat.heard);
        self.sent_after = None;
        self.idle_until = Moment::ZERO;
        let heard = beat.heard.iter().find(|heard| heard.voter == own_key);
        if let Some(HeardBeat { number: Some(number), age_ms, .. }) = heard {
            let known = self.echo.filter(|(echoed, _)| echoed == number).map(|(_, at)| at);
            if let Some(at) = known.or_else(|| sent.sent_at(*number)) {
                self.echo = Some((*number, at));
                let age = Duration::from_millis(u64::from(*age_ms)).mul_f32(CERTAIN_AGE_PART);
                let sent_after = now.min(at + age);
                let confirmed = Duration::from_millis(u64::from(beat.confirmed_ms));
                self.sent_after = Some(sent_after);
                self.idle_until = sent_after + IDLE_SPAN.saturating_sub(confirmed);
            }
        }
        true
    }

    /// Returns when the newest own heartbeat was sent that the voter has received.
    pub(super) fn echoed_at(&self) -> Option<Moment> {
        self.echo.map(|(_, at)| at)
    }

    /// Whether it knows the same voters as this replica.
    pub(super) fn agrees(&self, voters: u32) -> bool {
        self.newest.is_some() && self.voters == voters
    }

    /// Returns what this replica's heartbeats say of the voter.
    pub(super) fn heard(&self, now: Moment) -> HeardBeat {
        let age_ms = u16::try_from(self.silence(now).as_millis()).unwrap_or(u16::MAX);
        HeardBeat { voter: self.key, number: self.newest.map(|newest| newest.number), age_ms }
    }

    /// Returns how long nothing was received from the voter.
    pub(super) fn silence(&self, now: Moment) -> Duration {
        now.since(self.silent_from())
    }

    /// Returns when the voter will have been silent for the limit if nothing is received from it.
    pub(super) fn silence_due(&self) -> Moment {
        self.silent_from() + SILENCE_LIMIT
    }

    /// Whether the voter reports that another one is silent, and did so recently.
    pub(super) fn reports_silence(&self, now: Moment, other: u32) -> bool {
        let is_recent = self.sent_after.is_some_and(|sent| now.since(sent) <= REPORT_LIFE);
        let is_silent = |heard: &HeardBeat| {
            heard.voter == other && Duration::from_millis(heard.age_ms.into()) >= SILENCE_LIMIT
        };
        is_recent && self.reports.iter().any(is_silent)
    }

    /// Learns that a majority reports the voter silent.
    pub(super) fn set_silent(&mut self, now: Moment) {
        self.set_down(now, now + DOWN_HOLD);
    }

    /// Counts the voter as down if it has said that it doesn't serve yet.
    pub(super) fn update_idle(&mut self, now: Moment) {
        if self.idle_until > now {
            self.set_down(now, self.idle_until);
        }
    }

    /// Returns since when the voter has been down; `None` if it isn't.
    pub(super) fn down_since(&self, now: Moment) -> Option<Moment> {
        self.down.filter(|down| now <= down.until).map(|down| down.since)
    }

    /// Returns since when the voter had been down at a time in the past; `None` if it wasn't, or has
    /// been down again since.
    pub(super) fn down_since_at(&self, at: Moment) -> Option<Moment> {
        let is_within = |down: &DownSpan| down.since <= at && at <= down.until;
        self.down.filter(is_within).map(|down| down.since)
    }

    /// Returns when the voter was last down or restarted.
    pub(super) fn disturbed_at(&self, now: Moment) -> Moment {
        let down_until = self.down.map_or(Moment::ZERO, |down| down.until.min(now));
        down_until.max(self.restarted_at)
    }

    fn set_down(&mut self, now: Moment, until: Moment) {
        let current = self.down.filter(|down| now <= down.until);
        self.down = Some(current.map_or(DownSpan { since: now, until }, |current| DownSpan {
            until: until.max(current.until),
            ..current
        }));
    }

    fn silent_from(&self) -> Moment {
        let received_at = self.newest.map_or(Moment::ZERO, |newest| newest.at);
        received_at.max(self.listening_since)
    }

    fn is_newer(&self, beat: &KeeperBeat) -> bool {
        let Some(newest) = self.newest else { return true };
        if newest.incarnation == beat.incarnation {
            return beat.number > newest.number;
        }
        self.former_incarnation != Some(beat.incarnation)
    }
}
