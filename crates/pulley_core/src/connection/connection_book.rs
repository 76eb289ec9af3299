//! Decides which connection to an upstream a request goes over.

use std::fmt;
use std::time::Duration;

use crate::process::{FastMap, Moment};

/// Numbers the connections to one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkNumber(pub u64);

impl fmt::Display for LinkNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Whether a request may be sent a second time if its connection fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkSafety {
    /// Sending it again does no harm.
    Repeatable,
    /// It may be sent once only, so its connection must be known to work.
    Once,
}

/// How long connections are kept and trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionRules {
    /// How long an unused connection is kept. Shorter than the 60 s after which common servers
    /// close it themselves, so that we close first and no request meets a closing connection.
    pub idle_limit: Duration,
    /// How long a connection is used at all, so that a moved upstream or path is noticed.
    pub age_limit: Duration,
    /// How long after an answer a connection counts as proven for work that may be sent only
    /// once. Whatever loses track of connections does so after minutes, not seconds.
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

/// Which connection a request goes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutChoice {
    /// This idle one.
    Reuse(LinkNumber),
    /// A new one, already counted under this number.
    Open(LinkNumber),
    /// A new one, after closing this unproven idle one to stay within the share.
    Replace {
        /// The idle one to close.
        close: LinkNumber,
        /// The number of the new one.
        open: LinkNumber,
    },
    /// None: this entry's share of the upstream's connections is in use.
    Full,
}

/// What becomes of a connection after its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnChoice {
    /// It waits for the next request.
    Keep,
    /// It is closed.
    Close,
}

#[derive(Clone, Copy, Debug)]
struct LinkRecord {
    opened: Moment,
    /// When the connection last showed that both directions work.
    proven: Moment,
    idle_since: Option<Moment>,
}

/// The connections of one entry to one upstream.
///
/// It keeps within the entry's share of the upstream's limit, and away from connections that may
/// have gone silent: something between the two ends can lose track of a connection while new ones
/// work, and a request sent into it is never answered. It shows as a request past its limit;
/// [`Self::suspect`] then retires every idle connection that has not answered since.
#[derive(Clone, Debug)]
pub struct ConnectionBook {
    rules: ConnectionRules,
    share: usize,
    next_number: u64,
    links: FastMap<LinkNumber, LinkRecord>,
    /// The most recently used last, so that surplus ones grow idle and are closed.
    idle: Vec<LinkNumber>,
}

impl ConnectionBook {
    /// Makes an empty book.
    #[must_use]
    pub fn new(rules: ConnectionRules) -> Self {
        let (links, idle) = (FastMap::default(), Vec::new());
        Self { rules, share: 1, next_number: 0, links, idle }
    }

    /// Sets this entry's share: the upstream's limit divided among the live entries.
    ///
    /// It is rounded down, as all entries rounding up would pass the limit and the upstream would
    /// refuse whoever comes last; but each entry keeps one, or it could not send at all.
    pub fn set_share(&mut self, connections: u32, live_entries: u32) {
        let share = connections / live_entries.max(1);
        self.share = usize::try_from(share.max(1)).unwrap_or(usize::MAX);
    }

    /// Chooses a connection for a request.
    ///
    /// Load it is for: bursts onto few upstreams. Repeatable work takes the connection used last.
    /// Work that may be sent once only takes a recently proven one or a new one, since in a silent
    /// one its outcome would stay unknown.
    pub fn checkout(&mut self, now: Moment, safety: WorkSafety) -> CheckoutChoice {
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

    /// Counts a spare connection to be opened ahead of need, if none is idle and `useful`
    /// connections are not yet there.
    pub fn open_spare(&mut self, now: Moment, useful: usize) -> Option<LinkNumber> {
        let wanted = self.idle.is_empty() && self.links.len() < self.share.min(useful);
        wanted.then(|| self.open(now))
    }

    /// Notes that an answer began, or that a connection was set up: both directions work.
    pub fn prove(&mut self, now: Moment, number: LinkNumber) {
        if let Some(link) = self.links.get_mut(&number) {
            link.proven = now;
        }
    }

    /// Takes a connection back after its answer was read as a whole.
    pub fn put_back(&mut self, now: Moment, number: LinkNumber) -> ReturnChoice {
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

    /// Forgets a connection that is closed.
    pub fn forget(&mut self, number: LinkNumber) {
        if self.links.remove(&number).is_some_and(|link| link.idle_since.is_some()) {
            self.idle.retain(|idle| *idle != number);
        }
    }

    /// Retires the idle connections that have not proven themselves since `sent`, when a request
    /// went out that is still unanswered. They are to be closed.
    pub fn suspect(&mut self, sent: Moment) -> Vec<LinkNumber> {
        self.retire(|link| link.proven < sent)
    }

    /// Retires the connections that have been idle or alive for too long. They are to be closed.
    pub fn expire(&mut self, now: Moment) -> Vec<LinkNumber> {
        let rules = self.rules;
        self.retire(|link| {
            let idle = link.idle_since.map_or(Duration::ZERO, |since| now.since(since));
            idle >= rules.idle_limit || now.since(link.opened) >= rules.age_limit
        })
    }

    /// Connections that are open or being opened.
    #[must_use]
    pub fn open_links(&self) -> usize {
        self.links.len()
    }

    /// The most connections this entry may have.
    #[must_use]
    pub const fn share(&self) -> usize {
        self.share
    }

    fn open(&mut self, now: Moment) -> LinkNumber {
        let number = LinkNumber(self.next_number);
        self.next_number += 1;
        self.links.insert(number, LinkRecord { opened: now, proven: now, idle_since: None });
        number
    }

    fn take_idle(&mut self, now: Moment, safety: WorkSafety) -> Option<LinkNumber> {
        let number = *self.idle.last()?;
        let link = self.links.get_mut(&number)?;
        let unproven = now.since(link.proven) >= self.rules.proof_limit;
        if safety == WorkSafety::Once && unproven {
            // Those below it in the stack were used even longer ago.
            return None;
        }
        link.idle_since = None;
        self.idle.pop()
    }

    fn retire(&mut self, is_stale: impl Fn(&LinkRecord) -> bool) -> Vec<LinkNumber> {
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
