//! Links of limited rate for the hosts of the simulated network.

use std::time::Duration;

use pulley_core::Moment;

/// A datagram that would wait for longer is dropped, as in a small buffer.
const QUEUE_LIMIT: Duration = Duration::from_millis(500);

/// The capacity of a host's link in each direction, and the part that callers use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkRates {
    /// The rate in bytes a second.
    pub(crate) rate: u32,
    /// The bytes a second of callers, who send steadily and wait in the same queue.
    pub(crate) callers: u32,
}

/// Statistics of one direction of a link.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkStats {
    /// The longest time that a caller's byte waited.
    pub(crate) longest: Duration,
    /// The total time in which the queue was long.
    pub(crate) long_time: Duration,
    pub(crate) passed_bytes: u64,
    pub(crate) dropped: u64,
}

/// One direction of one host's link, a first-in first-out queue.
#[derive(Clone, Debug)]
struct LinkQueue {
    rates: LinkRates,
    /// Waiting bytes, including those of callers.
    waiting: f64,
    updated: Moment,
    /// The wait from which the queue counts as long.
    long: Duration,
    stats: LinkStats,
}

impl LinkQueue {
    fn new(rates: LinkRates, now: Moment, long: Duration) -> Self {
        assert!(rates.callers < rates.rate, "callers must leave room: {rates:?}");
        Self { rates, waiting: 0.0, updated: now, long, stats: LinkStats::default() }
    }

    fn wait(&self) -> Duration {
        Duration::from_secs_f64(self.waiting / f64::from(self.rates.rate))
    }

    /// Drains the queue up to `now`, while callers keep sending.
    fn advance(&mut self, now: Moment) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        let drain = f64::from(self.rates.rate - self.rates.callers);
        let long_bytes = self.long.as_secs_f64() * f64::from(self.rates.rate);
        let long_time = ((self.waiting - long_bytes) / drain).clamp(0.0, elapsed);
        self.stats.long_time += Duration::from_secs_f64(long_time);
        self.waiting = (self.waiting - drain * elapsed).max(0.0);
    }

    /// Queues a datagram. Returns when it has passed the link, or `None` if it is dropped.
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
    /// For each host, the queues for sending and for receiving.
    queues: Vec<[LinkQueue; 2]>,
}

impl LinkModel {
    /// Makes empty links, one for each host. A wait of `long` counts as a long one.
    pub(crate) fn new(rates: &[LinkRates], now: Moment, long: Duration) -> Self {
        let queue = |rates: &LinkRates| LinkQueue::new(*rates, now, long);
        Self { queues: rates.iter().map(|rates| [queue(rates), queue(rates)]).collect() }
    }

    /// Returns when a datagram has left its sender's link, or `None` if it is dropped there.
    pub(crate) fn leave(&mut self, host: usize, now: Moment, bytes: usize) -> Option<Moment> {
        self.queues[host][0].enqueue(now, bytes)
    }

    /// Returns when a datagram has passed its receiver's link, or `None` if it is dropped there.
    pub(crate) fn arrive(&mut self, host: usize, now: Moment, bytes: usize) -> Option<Moment> {
        self.queues[host][1].enqueue(now, bytes)
    }

    /// Returns the statistics of a host's link up to `now`: sending and receiving.
    pub(crate) fn stats(&mut self, host: usize, now: Moment) -> [LinkStats; 2] {
        let queues = &mut self.queues[host];
        queues.iter_mut().for_each(|queue| queue.advance(now));
        [queues[0].stats, queues[1].stats]
    }
}
