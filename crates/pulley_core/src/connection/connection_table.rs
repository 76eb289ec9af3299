//! Decides which connection to an upstream a request uses.

use std::fmt;
use std::time::Duration;

use crate::process::{FastMap, Moment};

/// Number of a connection to one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(pub u64);

impl fmt::Display for ConnectionNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Whether a request may be sent a second time if its connection fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatSafety {
    /// Sending the request again does no harm.
    Repeatable,
    /// The request may be sent only once, so its connection must be known to work.
    Once,
}

/// Time limits for keeping and trusting connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionRules {
    /// How long an idle connection is kept. This is shorter than the 60 s after which common
    /// servers close idle connections, so that this side closes first and no request is sent over a
    /// closing connection.
    pub idle_limit: Duration,
    /// Maximum age of a connection, so that a changed address or network path of an upstream is
    /// noticed.
    pub age_limit: Duration,
    /// How long after an answer a connection counts as proven for requests that may be sent only
    /// once. Network devices that lose track of connections do so after minutes, not seconds.
    pub proof_limit: Duration,
}

impl Default for ConnectionRules {
    fn default() -> Self {
        Self {
            idle_limit: Duration::from_secs(30),
            age_limit: Duration::from_mins(10),
            proof_limit: Duration::from_secs(5),
        }
    }
}

/// Which connection a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutChoice {
    /// Uses this idle connection.
    Reuse(ConnectionNumber),
    /// Opens a new connection, already counted under this number.
    Open(ConnectionNumber),
    /// Opens a new connection after closing an unproven idle one, to stay within the share.
    Replace {
        /// The idle connection to close.
        close: ConnectionNumber,
        /// The number of the new connection.
        open: ConnectionNumber,
    },
    /// No connection is available: this entry's share of the upstream's connections is in use.
    Full,
}

/// What to do with a connection after its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnChoice {
    /// Keeps it for the next request.
    Keep,
    /// Closes it.
    Close,
}

#[derive(Clone, Copy, Debug)]
struct ConnectionRecord {
    opened: Moment,
    /// When the connection last proved to work in both directions.
    proven: Moment,
    idle_since: Option<Moment>,
}

/// The connections of one entry to one upstream.
///
/// The table stays within the entry's share of the upstream's limit, and avoids connections that
/// may have gone silent. A network device between the two ends can lose track of a connection while
/// new ones work, and a request sent over the lost one is never answered. This shows as a request
/// that exceeds its time limit. [`Self::retire_unproven`] then retires all idle connections that
/// have not answered since it was sent.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    rules: ConnectionRules,
    share: usize,
    next_number: u64,
    links: FastMap<ConnectionNumber, ConnectionRecord>,
    /// Idle connections, the most recently used last, so that surplus ones stay idle and are
    /// closed.
    idle: Vec<ConnectionNumber>,
    /// The spare connection that is being opened.
    opening_spare: Option<ConnectionNumber>,
}

impl ConnectionTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(rules: ConnectionRules) -> Self {
        let (links, idle) = (FastMap::default(), Vec::new());
        Self { rules, share: 1, next_number: 0, links, idle, opening_spare: None }
    }

    /// Sets this entry's share: the upstream's connection limit divided by the entries
    /// that share it.
    ///
    /// The share is rounded down. If all entries rounded up, they would exceed the limit and the
    /// upstream would refuse the last ones to connect. The share is at least 1, because otherwise
    /// an entry could not send at all.
    pub fn set_share(&mut self, connections: u32, sharing_entries: u32) {
        let share = connections / sharing_entries.max(1);
        self.share = usize::try_from(share.max(1)).unwrap_or(usize::MAX);
    }

    /// Chooses a connection for a request.
    ///
    /// Load: bursts onto few upstreams. Repeatable requests use the most recently used connection.
    /// Requests that may be sent only once use a recently proven or a new connection, because on a
    /// silent one their outcome would stay unknown.
    pub fn checkout(&mut self, now: Moment, safety: RepeatSafety) -> CheckoutChoice {
        if let Some(number) = self.take_idle(now, safety) {
            return CheckoutChoice::Reuse(number);
        }
        if self.links.len() < self.share {
            return CheckoutChoice::Open(self.open(now));
        }
        if self.idle.is_empty() {
            return CheckoutChoice::Full;
        }
        let close = self.idle.remove(0);
        self.links.remove(&close);
        CheckoutChoice::Replace { close, open: self.open(now) }
    }

    /// Takes the idle connection that was used last, if there is one.
    pub fn reuse(&mut self, now: Moment) -> Option<ConnectionNumber> {
        self.take_idle(now, RepeatSafety::Repeatable)
    }

    /// Counts a spare connection for the caller to open in advance, if none is idle or being opened as
    /// a spare already, and there are fewer than `useful` connections.
    pub fn open_spare(&mut self, now: Moment, useful: usize) -> Option<ConnectionNumber> {
        let has_spare = !self.idle.is_empty() || self.opening_spare.is_some();
        if has_spare || self.links.len() >= self.share.min(useful) {
            return None;
        }
        let number = self.open(now);
        self.opening_spare = Some(number);
        Some(number)
    }

    /// Counts a connection for the caller to open, with which it checks whether the upstream can be
    /// reached. An idle connection is closed for it if the share is in use. Returns the number of the
    /// new connection and that of the one to close.
    pub fn open_check(
        &mut self,
        now: Moment,
    ) -> Option<(ConnectionNumber, Option<ConnectionNumber>)> {
        if self.links.len() < self.share {
            return Some((self.open(now), None));
        }
        if self.idle.is_empty() {
            return None;
        }
        let close = self.idle.remove(0);
        self.links.remove(&close);
        Some((self.open(now), Some(close)))
    }

    /// Records that an answer began or that the connection was set up, so both directions work.
    pub fn mark_proven(&mut self, now: Moment, number: ConnectionNumber) {
        if let Some(link) = self.links.get_mut(&number) {
            link.proven = now;
        }
    }

    /// Returns a connection to the table after its answer was read completely.
    pub fn check_in(&mut self, now: Moment, number: ConnectionNumber) -> ReturnChoice {
        self.opening_spare.take_if(|spare| *spare == number);
        let over_share = self.links.len() > self.share;
        let Some(link) = self.links.get_mut(&number) else { return ReturnChoice::Close };
        if over_share || now.since(link.opened) >= self.rules.age_limit {
            self.links.remove(&number);
            return ReturnChoice::Close;
        }
        link.idle_since = Some(now);
        self.idle.push(number);
        ReturnChoice::Keep
    }

    /// Removes a closed connection.
    pub fn remove(&mut self, number: ConnectionNumber) {
        self.opening_spare.take_if(|spare| *spare == number);
        if self.links.remove(&number).is_some_and(|link| link.idle_since.is_some()) {
            self.idle.retain(|idle| *idle != number);
        }
    }

    /// Retires the idle connections that have not proved to work since `sent`, the time at which a
    /// still unanswered request was sent. Returns them for closing.
    pub fn retire_unproven(&mut self, sent: Moment) -> Vec<ConnectionNumber> {
        self.retire_idle(|link| link.proven < sent)
    }

    /// Retires the idle connections that have been idle or open for too long. Returns them for
    /// closing.
    pub fn expire(&mut self, now: Moment) -> Vec<ConnectionNumber> {
        let rules = self.rules;
        self.retire_idle(|link| {
            let idle = link.idle_since.map_or(Duration::ZERO, |since| now.since(since));
            idle >= rules.idle_limit || now.since(link.opened) >= rules.age_limit
        })
    }

    /// Takes an idle connection that was opened before a moment, if there is one.
    pub fn reuse_opened_before(&mut self, moment: Moment) -> Option<ConnectionNumber> {
        let links = &self.links;
        let is_older =
            |number: &ConnectionNumber| links.get(number).is_some_and(|link| link.opened < moment);
        let position = self.idle.iter().position(is_older)?;
        let number = self.idle.remove(position);
        if let Some(link) = self.links.get_mut(&number) {
            link.idle_since = None;
        }
        Some(number)
    }

    /// Returns the number of connections that are open or being opened.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.links.len()
    }

    /// Returns the maximum number of connections for this entry.
    #[must_use]
    pub const fn share(&self) -> usize {
        self.share
    }

    fn open(&mut self, now: Moment) -> ConnectionNumber {
        let number = ConnectionNumber(self.next_number);
        self.next_number += 1;
        self.links.insert(number, ConnectionRecord { opened: now, proven: now, idle_since: None });
        number
    }

    fn take_idle(&mut self, now: Moment, safety: RepeatSafety) -> Option<ConnectionNumber> {
        let number = *self.idle.last()?;
        let link = self.links.get_mut(&number)?;
        let unproven = now.since(link.proven) >= self.rules.proof_limit;
        if safety == RepeatSafety::Once && unproven {
            // The other idle connections were used even earlier.
            return None;
        }
        link.idle_since = None;
        self.idle.pop()
    }

    fn retire_idle(
        &mut self,
        is_stale: impl Fn(&ConnectionRecord) -> bool,
    ) -> Vec<ConnectionNumber> {
        let links = &self.links;
        let (stale, fresh): (Vec<_>, Vec<_>) = std::mem::take(&mut self.idle)
            .into_iter()
            .partition(|number| links.get(number).is_none_or(&is_stale));
        self.idle = fresh;
        for number in &stale {
            self.links.remove(number);
        }
        stale
    }
}
