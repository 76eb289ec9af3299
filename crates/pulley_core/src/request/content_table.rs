//! Decides which requests with suspected contents run.

use std::time::Duration;

use crate::process::{
    ContentDigest, ContentHead, ContentKey, FastMap, Moment, PoolName, TrialAsk, TrialNumber,
    TrialVerdict,
};

/// How long a host waits before it asks again for a trial while another request with the content
/// runs.
const BUSY_RETRY: Duration = Duration::from_millis(20);

/// How long a host waits for the answer to a question. The control thread asks up to three hosts in
/// this time, and drops questions while its queue is full.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);

/// The longest time after which a caller of a held content is told to return. Most upstreams are
/// heard from again, or found to have ended, before the time by which that is decided at the latest.
const HOLD_RETRY: Duration = Duration::from_millis(500);

/// How a suspected content is treated, by this host's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectState {
    /// Its requests run one at a time over all hosts.
    Suspect,
    /// None of its requests runs before it is known whether upstreams have ended under it.
    Held {
        /// When that is decided at the latest.
        until: Moment,
    },
    /// Its requests are refused until then.
    Quarantined {
        /// When a request may be tried.
        until: Moment,
    },
}

/// How a suspected content is treated in each pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectStates {
    /// The pools that treat it in their own way; `None` where it is not suspected.
    pub pools: Vec<(PoolName, Option<SuspectState>)>,
    /// How all other pools treat it; `None` if it is not suspected there.
    pub elsewhere: Option<SuspectState>,
}

impl SuspectStates {
    fn of(&self, pool: &PoolName) -> Option<SuspectState> {
        let own = self.pools.iter().find(|(known, _)| known == pool);
        own.map_or(self.elsewhere, |(_, state)| *state)
    }

    fn all(&self) -> impl Iterator<Item = SuspectState> {
        self.pools.iter().filter_map(|(_, state)| *state).chain(self.elsewhere)
    }

    fn is_suspect(&self) -> bool {
        self.all().next().is_some()
    }

    fn is_quarantined(&self) -> bool {
        self.all().any(|state| matches!(state, SuspectState::Quarantined { .. }))
    }
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentDecision {
    /// Its content is not suspected. It runs.
    Run,
    /// It runs as the only one with its content over all hosts.
    Try(TrialNumber),
    /// It is refused, and may be tried after this time.
    Refuse(Duration),
    /// It is refused until it is known whether upstreams have ended under its content. Its caller may
    /// return after this time.
    Hold(Duration),
    /// It waits until the table has changed, or until then.
    Wait(Option<Moment>),
}

/// This host's part in trying a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrialState {
    Idle,
    Asked {
        number: TrialNumber,
        since: Moment,
    },
    Granted(TrialNumber),
    Running(TrialNumber),
    /// Another host tries the content. This one asks again then.
    BusyUntil(Moment),
}

#[derive(Clone, Debug)]
struct KnownContent {
    /// Nothing once the content is cleared; kept while this host's trial of it ends.
    states: SuspectStates,
    trial: TrialState,
    /// Requests of this host that wait for a trial.
    waiting: u32,
}

/// The suspected contents as the traffic side of one host knows them.
///
/// The load is a request that ends each upstream on which it runs, sent again by its callers through
/// all hosts. The harm is that it takes a pool away from everybody else. Requests with a suspected
/// content therefore run one at a time over all hosts, and those of a held or quarantined one are
/// refused at once. The reason for the limit: one answer clears the content for all that wait, so that popular
/// content which met a crash waits for one run only.
#[derive(Clone, Debug, Default)]
pub struct ContentTable {
    known: FastMap<ContentDigest, KnownContent>,
    /// The number of suspected contents with each head. The body of a request is read before it is
    /// sent only if its head is among them.
    heads: FastMap<ContentHead, usize>,
    asks: Vec<TrialAsk>,
    /// Trials that were granted and that no request has taken.
    unused: Vec<(ContentDigest, TrialNumber)>,
}

impl ContentTable {
    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Returns the number of suspected contents, including quarantined ones, and that of quarantined
    /// ones.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let states = || self.known.values().map(|known| &known.states);
        let suspected = states().filter(|states| states.is_suspect()).count();
        (suspected, states().filter(|states| states.is_quarantined()).count())
    }

    /// Whether any content with a head is suspected.
    #[must_use]
    pub fn has_suspects(&self, head: ContentHead) -> bool {
        self.heads.contains_key(&head)
    }

    /// Whether a content is suspected.
    #[must_use]
    pub fn is_suspect(&self, key: &ContentKey) -> bool {
        self.state(key).is_some()
    }

    /// Returns the decision on a content that is held or quarantined, if it is.
    #[must_use]
    pub fn refusal(&self, now: Moment, key: &ContentKey) -> Option<ContentDecision> {
        refusal(now, self.state(key)?)
    }

    fn state(&self, key: &ContentKey) -> Option<SuspectState> {
        self.known.get(&key.digest)?.states.of(&key.pool)
    }

    // ---------------------------------------------------------------------------------------------
    // Inputs

    /// Sets the states of a content; none if it is no longer suspected.
    pub fn apply(&mut self, digest: ContentDigest, states: SuspectStates) {
        let is_suspect = states.is_suspect();
        let known = self.known.entry(digest).or_insert_with(|| KnownContent {
            states: SuspectStates::default(),
            trial: TrialState::Idle,
            waiting: 0,
        });
        let before = std::mem::replace(&mut known.states, states).is_suspect();
        match (before, is_suspect) {
            (false, true) => *self.heads.entry(digest.head()).or_default() += 1,
            (true, false) => self.count_down(digest.head()),
            _ => {}
        }
        self.forget_if_done(digest);
    }

    /// Decides on a request. `ask` is put where the request needs a trial and none is asked for.
    pub fn decide(&mut self, now: Moment, ask: &TrialAsk) -> ContentDecision {
        let Some(known) = self.known.get_mut(&ask.key.digest) else { return ContentDecision::Run };
        let Some(state) = known.states.of(&ask.key.pool) else { return ContentDecision::Run };
        if let Some(refusal) = refusal(now, state) {
            return refusal;
        }
        match known.trial {
            TrialState::Granted(number) => {
                known.trial = TrialState::Running(number);
                ContentDecision::Try(number)
            }
            TrialState::Running(_) => ContentDecision::Wait(None),
            TrialState::Asked { since, .. } if now < since + ANSWER_LIMIT => {
                ContentDecision::Wait(Some(since + ANSWER_LIMIT))
            }
            TrialState::BusyUntil(until) if now < until => ContentDecision::Wait(Some(until)),
            TrialState::Asked { .. } | TrialState::BusyUntil(_) | TrialState::Idle => {
                known.trial = TrialState::Asked { number: ask.number, since: now };
                self.asks.push(ask.clone());
                ContentDecision::Wait(Some(now + ANSWER_LIMIT))
            }
        }
    }

    /// Takes the answer to a question for a trial.
    pub fn receive(&mut self, now: Moment, number: TrialNumber, verdict: TrialVerdict) {
        let asked = |known: &KnownContent| matches!(known.trial, TrialState::Asked { number: asked, .. } if asked == number);
        let Some((digest, known)) = self.known.iter_mut().find(|(_, known)| asked(known)) else {
            return;
        };
        known.trial = match verdict {
            TrialVerdict::Granted if known.waiting > 0 => TrialState::Granted(number),
            TrialVerdict::Granted => {
                self.unused.push((*digest, number));
                TrialState::Idle
            }
            TrialVerdict::Busy | TrialVerdict::Refused => TrialState::BusyUntil(now + BUSY_RETRY),
        };
        let digest = *digest;
        self.forget_if_done(digest);
    }

    /// Records the end of a trial.
    pub fn end_trial(&mut self, digest: ContentDigest, number: TrialNumber) {
        if let Some(known) = self.known.get_mut(&digest)
            && known.trial == TrialState::Running(number)
        {
            known.trial = TrialState::Idle;
        }
        self.forget_if_done(digest);
    }

    /// Counts a request that waits.
    pub fn begin_wait(&mut self, digest: ContentDigest) {
        if let Some(known) = self.known.get_mut(&digest) {
            known.waiting += 1;
        }
    }

    /// Counts a request that no longer waits. A trial that it would have taken is given back.
    pub fn end_wait(&mut self, digest: ContentDigest) {
        let Some(known) = self.known.get_mut(&digest) else { return };
        known.waiting = known.waiting.saturating_sub(1);
        if known.waiting == 0
            && let TrialState::Granted(number) = known.trial
        {
            known.trial = TrialState::Idle;
            self.unused.push((digest, number));
        }
        self.forget_if_done(digest);
    }

    /// Takes the questions for trials.
    pub fn take_asks(&mut self) -> Vec<TrialAsk> {
        std::mem::take(&mut self.asks)
    }

    /// Takes the trials that were granted and that no request has taken.
    pub fn take_unused(&mut self) -> Vec<(ContentDigest, TrialNumber)> {
        std::mem::take(&mut self.unused)
    }

    // ---------------------------------------------------------------------------------------------
    // Helpers

    fn count_down(&mut self, head: ContentHead) {
        if let Some(count) = self.heads.get_mut(&head) {
            *count -= 1;
            if *count == 0 {
                self.heads.remove(&head);
            }
        }
    }

    /// Forgets a content that is cleared once nothing of this host's trial of it is left.
    fn forget_if_done(&mut self, digest: ContentDigest) {
        let is_done = |known: &KnownContent| {
            let is_idle = matches!(known.trial, TrialState::Idle | TrialState::BusyUntil(_));
            !known.states.is_suspect() && known.waiting == 0 && is_idle
        };
        if self.known.get(&digest).is_some_and(is_done) {
            self.known.remove(&digest);
        }
    }
}

/// Returns the decision on a content in a state in which none of its requests runs.
fn refusal(now: Moment, state: SuspectState) -> Option<ContentDecision> {
    match state {
        SuspectState::Held { until } if now < until => {
            Some(ContentDecision::Hold(until.since(now).min(HOLD_RETRY)))
        }
        SuspectState::Quarantined { until } if now < until => {
            Some(ContentDecision::Refuse(until.since(now)))
        }
        SuspectState::Suspect | SuspectState::Held { .. } | SuspectState::Quarantined { .. } => {
            None
        }
    }
}
