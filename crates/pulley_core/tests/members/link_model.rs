//! Links of limited rate, for the hosts of the fake network.

use std::time::Duration;

use pulley_core::Moment;

/// A datagram that would wait for longer is dropped, as by a small buffer.
const QUEUE_LIMIT: Duration = Duration::from_millis(500);

/// What a host's link bears, each way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkTerms {
    /// Bytes a second.
    pub(crate) rate: u32,
    /// Bytes a second of callers, who send steadily and wait in the same queue.
    pub(crate) callers: u32,
}

/// What was seen of one direction of a link.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkStats {
    /// The longest time that a byte of a caller waited.
    pub(crate) longest: Duration,
    /// How long the queue was a long one.
    pub(crate) long_time: Duration,
    pub(crate) passed_bytes: u64,
    pub(crate) dropped: u64,
}

/// One direction of one host's link: who comes first goes first.
#[derive(Clone, Debug)]
struct LinkQueue {
    terms: LinkTerms,
    /// Bytes that wait, those of callers included.
    waiting: f64,
    updated: Moment,
    /// From which wait on a queue counts as long.
    long: Duration,
    stats: LinkStats,
}

impl LinkQueue {
    fn new(terms: LinkTerms, now: Moment, long: Duration) -> Self {
        assert!(terms.callers < terms.rate, "callers leave room: {terms:?}");
        Self { terms, waiting: 0.0, updated: now, long, stats: LinkStats::default() }
    }

    fn wait(&self) -> Duration {
        Duration::from_secs_f64(self.waiting / f64::from(self.terms.rate))
    }

    /// Lets the queue run down; meanwhile callers go on to send.
    fn advance(&mut self, now: Moment) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        let drain = f64::from(self.terms.rate - self.terms.callers);
        let long_bytes = self.long.as_secs_f64() * f64::from(self.terms.rate);
        let long_time = ((self.waiting - long_bytes) / drain).clamp(0.0, elapsed);
        self.stats.long_time += Duration::from_secs_f64(long_time);
        self.waiting = (self.waiting - drain * elapsed).max(0.0);
    }

    /// Takes a datagram; returns when it is through, or nothing if it is dropped.
    fn enqueue(&mut self, now: Moment, bytes: usize) -> Option<Moment> {
        self.advance(now);
        if self.wait() > QUEUE_LIMIT {
            self.stats.dropped += 1;
            return None;
        }
        let bytes = u32::try_from(bytes).expect("a datagram is small");
        self.waiting += f64::from(bytes);
        self.stats.passed_bytes += u64::from(bytes);
        self.stats.longest = self.stats.longest.max(self.wait());
        Some(now + self.wait())
    }
}

/// The links of all hosts.
#[derive(Clone, Debug)]
pub(crate) struct LinkModel {
    /// By host: what it sends, and what it receives.
    queues: Vec<[LinkQueue; 2]>,
}

impl LinkModel {
    /// Makes empty links, by host; a wait of `long` is noted as a long one.
    pub(crate) fn new(terms: &[LinkTerms], now: Moment, long: Duration) -> Self {
        let queue = |terms: &LinkTerms| LinkQueue::new(*terms, now, long);
        Self { queues: terms.iter().map(|terms| [queue(terms), queue(terms)]).collect() }
    }

    /// When a datagram has left its sender, unless it is dropped there.
    pub(crate) fn leave(&mut self, host: usize, now: Moment, bytes: usize) -> Option<Moment> {
        self.queues[host][0].enqueue(now, bytes)
    }

    /// When a datagram that has come to its receiver's link is through, unless it is dropped there.
    pub(crate) fn arrive(&mut self, host: usize, now: Moment, bytes: usize) -> Option<Moment> {
        self.queues[host][1].enqueue(now, bytes)
    }

    /// What was seen of a host's link by now: sending and receiving.
    pub(crate) fn stats(&mut self, host: usize, now: Moment) -> [LinkStats; 2] {
        let queues = &mut self.queues[host];
        queues.iter_mut().for_each(|queue| queue.advance(now));
        [queues[0].stats, queues[1].stats]
    }
}
