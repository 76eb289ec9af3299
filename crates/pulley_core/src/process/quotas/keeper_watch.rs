//! Finds out which replica serves an account, by heartbeats among the voters of the replicated log.

use std::time::Duration;

use super::account_ranking::account_rank;
use super::keeper_beat::{first_number, voter_key, voters_digest};
use super::watched_voter::{SILENCE_LIMIT, SentBeats, WatchedVoter};
use super::{AccountTenure, HostId, KeeperBeat, Moment, OrganisationName};

/// The interval between two heartbeats.
const BEAT_INTERVAL: Duration = Duration::from_millis(100);

/// How long a replica is confirmed by the echo of a heartbeat after it has sent it.
const CONFIRMATION_LIFE: Duration = Duration::from_millis(250);

/// How long a replica must have been confirmed before it serves. Any replica that served meanwhile
/// has then found out that it is no longer confirmed.
const SERVE_DELAY: Duration = Duration::from_millis(500);

/// How long a path to the keeper counts as usable after the keeper's last echo.
const RELAY_LIFE: Duration = Duration::from_millis(250);

/// The number of other voters that may be down or restart without making a takeover start empty.
const CALM_DISTURBANCES: usize = 2;

/// The time without any call after which this replica counts as suspended meanwhile.
const SUSPENSION_GAP: Duration = Duration::from_millis(250);

/// The part of a span on this replica's clock that has passed at least on any other.
const CERTAIN_SPAN_PART: f32 = 0.95;

/// What a replica does with permit requests for an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperStanding {
    /// It answers them.
    Serves,
    /// It relays them to the keeper.
    Relays(HostId),
    /// It is not the keeper and can't reach the keeper.
    Unknown,
}

/// The time for which a majority has confirmed this replica.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    since: Moment,
    until: Moment,
}

/// Watches the other voters on behalf of one replica.
///
/// A replica is confirmed while a majority has echoed a heartbeat that it sent within the last
/// 250 ms. Another one is down when a majority reports, within the last 200 ms, that nothing was
/// received from it for 480 ms. The two majorities share a voter, so that a replica that is down has
/// been unconfirmed. A replica also counts as down while it says itself that it hasn't been
/// confirmed for long enough to serve: one that has just started, or one that sends and doesn't
/// receive. An account is served by the confirmed replica that ranks highest among those that aren't
/// down. Only what voters say that know the same set of voters counts.
#[derive(Clone, Debug)]
pub struct KeeperWatch {
    host: HostId,
    key: u32,
    incarnation: u64,
    number: u32,
    sent: SentBeats,
    voters: Vec<HostId>,
    digest: u32,
    others: Vec<WatchedVoter>,
    /// The voters before the last change, and when they changed. Empty if the change before that was
    /// too recent for this replica to have served by them.
    former_voters: Vec<HostId>,
    changed_at: Moment,
    confirmation: Option<Confirmation>,
    /// Whether this replica has been the only voter since it learned of any.
    is_alone: bool,
    next_beat: Moment,
    started_at: Option<Moment>,
    called_at: Moment,
}

impl KeeperWatch {
    /// Creates the watch of a replica that has just started and knows no voters. `incarnation` is
    /// unique for each start.
    #[must_use]
    pub fn new(host: HostId, incarnation: u64) -> Self {
        Self {
            key: voter_key(&host),
            host,
            incarnation,
            number: first_number(incarnation),
            sent: SentBeats::default(),
            voters: Vec::new(),
            digest: voters_digest(&[]),
            others: Vec::new(),
            former_voters: Vec::new(),
            changed_at: Moment::ZERO,
            confirmation: None,
            is_alone: false,
            next_beat: Moment::ZERO,
            started_at: None,
            called_at: Moment::ZERO,
        }
    }

    /// Sets the voters of the replicated log.
    pub fn set_voters(&mut self, now: Moment, voters: &[HostId]) {
        self.note_call(now);
        let digest = voters_digest(voters);
        if digest == self.digest && voters.len() == self.voters.len() {
            return;
        }
        let is_first = self.voters.is_empty();
        let had_settled = now.since(self.changed_at) >= SERVE_DELAY;
        let former = std::mem::replace(&mut self.voters, voters.to_vec());
        self.former_voters = if had_settled { former } else { Vec::new() };
        self.changed_at = now;
        self.digest = digest;
        self.is_alone = is_first && voters == std::slice::from_ref(&self.host);
        self.watch_others(now);
        if let Some(confirmation) = &mut self.confirmation {
            confirmation.until = confirmation.until.min(now + CONFIRMATION_LIFE);
        }
        self.update(now);
    }

    /// Returns the heartbeat to send to every other voter, if one is due. A heartbeat is sent early
    /// when a voter has just become silent, so that the others learn of it.
    pub fn tick(&mut self, now: Moment) -> Option<KeeperBeat> {
        self.note_call(now);
        self.update(now);
        if self.others.is_empty() || !self.voters.contains(&self.host) {
            return None;
        }
        let is_silence_new = self.others.iter().any(|other| is_silence_new(other, now));
        if now < self.next_beat && !is_silence_new {
            return None;
        }
        if now >= self.next_beat {
            self.next_beat = (self.next_beat + BEAT_INTERVAL).max(now + BEAT_INTERVAL / 2);
        }
        Some(self.beat(now))
    }

    /// Takes the heartbeat of another voter.
    pub fn receive(&mut self, now: Moment, from: &HostId, beat: &KeeperBeat) {
        self.note_call(now);
        let (key, sent) = (self.key, &self.sent);
        let sender = self.others.iter_mut().find(|other| other.host == *from);
        if sender.is_some_and(|sender| sender.receive(now, beat, key, sent)) {
            self.update(now);
        }
    }

    /// Returns when [`Self::tick`] next has something to do; `None` if there is no other voter.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        let silences = self.others.iter().filter(|other| !other.is_silence_sent);
        let first_silence = silences.map(WatchedVoter::silence_due).min();
        let is_voter = !self.others.is_empty() && self.voters.contains(&self.host);
        is_voter.then(|| first_silence.map_or(self.next_beat, |at| at.min(self.next_beat)))
    }

    /// Returns what this replica does with permit requests for an organisation.
    #[must_use]
    pub fn standing(&self, now: Moment, organisation: &OrganisationName) -> KeeperStanding {
        if self.serves_since(now, organisation).is_some() {
            return KeeperStanding::Serves;
        }
        let keeper = self.keeper(now, organisation);
        let relay = self.others.iter().find(|other| Some(&other.host) == keeper);
        let is_usable =
            |other: &&WatchedVoter| other.echoed_at().is_some_and(|at| now.since(at) <= RELAY_LIFE);
        match relay.filter(is_usable) {
            Some(other) => KeeperStanding::Relays(other.host.clone()),
            None => KeeperStanding::Unknown,
        }
    }

    /// Returns since when this replica has served an organisation's account; `None` if it doesn't
    /// serve it.
    #[must_use]
    pub fn serves_since(
        &self,
        now: Moment,
        organisation: &OrganisationName,
    ) -> Option<AccountTenure> {
        let since = self.uninterrupted_since(now, organisation)?;
        let mut disturbances: Vec<Moment> =
            self.others.iter().map(|other| other.disturbed_at(now)).collect();
        disturbances.sort_unstable_by(|a, b| b.cmp(a));
        let disturbed_at = disturbances.get(CALM_DISTURBANCES).copied().unwrap_or_default();
        let calm_since = self.started_at.map_or(now, |started_at| started_at.max(disturbed_at));
        let unserved = self.unserved_before(since);
        Some(AccountTenure { since, calm_since, unserved })
    }

    /// Returns how long no replica can have served any account before `at`, at least: all others
    /// were down, and this process had not been confirmed for long enough.
    fn unserved_before(&self, at: Moment) -> Duration {
        let mut from = self.started_at.unwrap_or(at);
        for other in &self.others {
            let Some(since) = other.down_since_at(at) else { return Duration::ZERO };
            from = from.max(since);
        }
        at.since(from).min(SERVE_DELAY).mul_f32(CERTAIN_SPAN_PART)
    }

    fn uninterrupted_since(&self, now: Moment, organisation: &OrganisationName) -> Option<Moment> {
        let confirmation = self.confirmation.filter(|confirmation| now <= confirmation.until)?;
        if self.is_alone {
            return Some(confirmation.since);
        }
        let mut since = confirmation.since + SERVE_DELAY;
        if self.takeover_from(now, organisation, &self.former_voters).is_none() {
            since = since.max(self.changed_at + SERVE_DELAY);
        }
        since = since.max(self.takeover_from(now, organisation, &self.voters)?);
        (since <= now).then_some(since)
    }

    /// Returns the voter that an organisation's account belongs to, as far as this replica knows:
    /// the highest-ranked one that isn't down.
    #[must_use]
    pub fn keeper(&self, now: Moment, organisation: &OrganisationName) -> Option<&HostId> {
        let others = self.others.iter().filter(|other| other.down_since(now).is_none());
        let own = self.voters.iter().filter(|voter| **voter == self.host);
        let hosts = others.map(|other| &other.host).chain(own);
        hosts.max_by_key(|host| account_rank(organisation, host))
    }

    /// Returns since when all of these voters that rank above this replica have been down; `None`
    /// if one of them isn't, or if this replica isn't one of them.
    fn takeover_from(
        &self,
        now: Moment,
        organisation: &OrganisationName,
        voters: &[HostId],
    ) -> Option<Moment> {
        if !voters.contains(&self.host) {
            return None;
        }
        let own_rank = account_rank(organisation, &self.host);
        let mut since = Moment::ZERO;
        for voter in voters.iter().filter(|voter| account_rank(organisation, voter) > own_rank) {
            let other = self.others.iter().find(|other| other.host == *voter)?;
            since = since.max(other.down_since(now)?);
        }
        Some(since)
    }

    fn beat(&mut self, now: Moment) -> KeeperBeat {
        self.number = self.number.wrapping_add(1);
        self.sent.record(now, self.number);
        for other in &mut self.others {
            other.is_silence_sent = other.silence(now) >= SILENCE_LIMIT;
        }
        KeeperBeat {
            incarnation: self.incarnation,
            number: self.number,
            voters: self.digest,
            confirmed_ms: self.confirmed_ms(now),
            heard: self.others.iter().map(|other| other.heard(now)).collect(),
        }
    }

    fn watch_others(&mut self, now: Moment) {
        let is_voter = self.voters.contains(&self.host);
        let is_other = |host: &HostId| is_voter && *host != self.host;
        self.others.retain(|other| is_other(&other.host) && self.voters.contains(&other.host));
        for voter in self.voters.iter().filter(|voter| is_other(voter)) {
            if !self.others.iter().any(|other| other.host == *voter) {
                self.others.push(WatchedVoter::new(now, voter.clone()));
            }
        }
    }

    /// Discards silences that were not observed because this replica was suspended.
    fn note_call(&mut self, now: Moment) {
        if now.since(self.called_at) > SUSPENSION_GAP {
            self.others.iter_mut().for_each(|other| other.resume(now));
        }
        self.called_at = now;
        self.started_at.get_or_insert(now);
    }

    fn update(&mut self, now: Moment) {
        self.update_confirmation(now);
        for index in 0..self.others.len() {
            if self.is_reported_silent(now, index) {
                self.others[index].set_silent(now);
            }
            if self.others[index].agrees(self.digest) {
                self.others[index].update_idle(now);
            }
        }
    }

    fn update_confirmation(&mut self, now: Moment) {
        let Some(until) = self.confirmed_until().filter(|until| *until >= now) else { return };
        let current = self.confirmation.filter(|confirmation| now <= confirmation.until);
        self.confirmation = Some(current.map_or(Confirmation { since: now, until }, |current| {
            Confirmation { until: until.max(current.until), ..current }
        }));
    }

    fn confirmed_ms(&self, now: Moment) -> u16 {
        let current = self.confirmation.filter(|confirmation| now <= confirmation.until);
        let confirmed = current.map_or(Duration::ZERO, |current| now.since(current.since));
        u16::try_from(confirmed.as_millis()).unwrap_or(u16::MAX)
    }

    /// Returns how long the echoes of a majority confirm this replica.
    fn confirmed_until(&self) -> Option<Moment> {
        if !self.voters.contains(&self.host) {
            return None;
        }
        let Some(last_needed) = self.majority().checked_sub(2) else {
            return Some(Moment::from_micros(u64::MAX));
        };
        let agreeing = self.others.iter().filter(|other| other.agrees(self.digest));
        let mut echoes: Vec<Moment> = agreeing.filter_map(WatchedVoter::echoed_at).collect();
        echoes.sort_unstable_by(|a, b| b.cmp(a));
        echoes.get(last_needed).map(|at| *at + CONFIRMATION_LIFE)
    }

    fn is_reported_silent(&self, now: Moment, index: usize) -> bool {
        let silent = &self.others[index];
        let is_reporting = |other: &&WatchedVoter| {
            other.agrees(self.digest) && other.reports_silence(now, silent.key)
        };
        let others = self.others.iter().filter(is_reporting).count();
        let own = usize::from(silent.silence(now) >= SILENCE_LIMIT);
        others + own >= self.majority()
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

fn is_silence_new(other: &WatchedVoter, now: Moment) -> bool {
    !other.is_silence_sent && other.silence(now) >= SILENCE_LIMIT
}
