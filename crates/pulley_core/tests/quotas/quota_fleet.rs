//! Entries and replicas that run the real state machines on a simulated network.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pulley_core::process::{OrganisationName, QuotaExchange, QuotaOutput, QuotaReport};
use pulley_core::request::{QuotaDecision, QuotaTable};
use pulley_core::version::{OrganisationTerms, RequestQuota};
use pulley_core::{HostId, Moment, PolicyPlan};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The bounds that the sums are checked against.
pub(crate) const WINDOW: Duration = Duration::from_secs(5);
pub(crate) const OVERAGE: f64 = 0.1;
pub(crate) const SLACK: f64 = 20.0;
const TOLERANCE: f32 = 10.0;

/// How long a control thread sleeps at most.
const TICK: Duration = Duration::from_millis(100);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Deliver {
        from: usize,
        to: usize,
        body: Bytes,
    },
    Report {
        host: usize,
    },
    /// A waiting request looks again.
    Retry {
        entry: usize,
        organisation: usize,
        waits: u32,
    },
    Arrive {
        entry: usize,
        organisation: usize,
    },
}

struct Host {
    exchange: QuotaExchange,
    table: QuotaTable,
    /// Reports on their way from the requests to the control thread.
    reports: Vec<QuotaReport>,
}

/// What became of an organisation's requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) admitted: Vec<Moment>,
    pub(crate) over_quota: Vec<Moment>,
    pub(crate) unconfirmed: Vec<Moment>,
    /// Requests that waited for an answer before they were admitted.
    pub(crate) waited: usize,
}

/// Replicas, which come first, and entries.
pub(crate) struct QuotaFleet {
    pub(crate) now: Moment,
    pub(crate) rng: SmallRng,
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) quotas: Vec<RequestQuota>,
    /// Fraction of lost messages.
    pub(crate) loss: f64,
    /// Bytes that entries have sent and received, without headers.
    pub(crate) entry_bytes: usize,
    pub(crate) replicas: usize,
    hosts: Vec<Host>,
    organisations: Vec<OrganisationName>,
    /// Hosts that are cut off from all others.
    cut: Vec<bool>,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    sequence: u64,
}

pub(crate) fn name(prefix: &str, index: usize) -> HostId {
    format!("{prefix}{index}").parse().unwrap()
}

pub(crate) fn quota(rate: f64, burst: u32) -> RequestQuota {
    RequestQuota { rate: rate.to_string().parse().unwrap(), burst }
}

impl QuotaFleet {
    /// Makes replicas and entries that have known each other for long.
    pub(crate) fn new(replicas: usize, entries: usize, quotas: &[RequestQuota], seed: u64) -> Self {
        let host = |index| {
            let name = if index < replicas { name("r", index) } else { name("e", index) };
            let exchange = QuotaExchange::new(name, TOLERANCE);
            Host { exchange, table: QuotaTable::default(), reports: Vec::new() }
        };
        let mut fleet = Self {
            now: Moment::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            outcomes: vec![Outcome::default(); quotas.len()],
            quotas: quotas.to_vec(),
            loss: 0.0,
            entry_bytes: 0,
            replicas,
            hosts: (0..replicas + entries).map(host).collect(),
            organisations: (0..quotas.len())
                .map(|index| format!("o{index}").parse().unwrap())
                .collect(),
            cut: vec![false; replicas + entries],
            events: BinaryHeap::new(),
            sequence: 0,
        };
        fleet.set_plan(quotas);
        let known: Vec<usize> = (0..replicas).collect();
        for host in 0..replicas + entries {
            fleet.set_replicas(host, &known);
            let at = fleet.now + TICK.mul_f64(fleet.rng.random());
            fleet.push(at, Event::Tick(host));
        }
        fleet.run_until(Moment::ZERO + Duration::from_secs(10));
        fleet
    }

    pub(crate) fn entries(&self) -> usize {
        self.hosts.len() - self.replicas
    }

    /// Puts a plan with these quotas in force on all hosts.
    pub(crate) fn set_plan(&mut self, quotas: &[RequestQuota]) {
        let terms = self.organisations.iter().zip(quotas).map(|(name, quota)| OrganisationTerms {
            name: name.clone(),
            keys: Vec::new(),
            priority: None,
            quota: Some(*quota),
        });
        let organisations = terms.collect();
        let plan = Arc::new(PolicyPlan { organisations, ..PolicyPlan::default() });
        self.quotas = quotas.to_vec();
        for host in &mut self.hosts {
            host.exchange.set_plan(self.now, &plan);
        }
    }

    /// Sets which replicas a host believes to be live.
    pub(crate) fn set_replicas(&mut self, host: usize, replicas: &[usize]) {
        let replicas: Vec<HostId> = replicas.iter().map(|index| name("r", *index)).collect();
        self.hosts[host].exchange.set_replicas(self.now, &replicas);
    }

    /// Cuts a host off from all others, or joins it again.
    pub(crate) fn set_cut(&mut self, host: usize, cut: bool) {
        self.cut[host] = cut;
    }

    /// Restarts a host's process.
    pub(crate) fn restart(&mut self, host: usize) {
        let replicas: Vec<usize> = (0..self.replicas).collect();
        let own = if host < self.replicas { name("r", host) } else { name("e", host) };
        self.hosts[host].exchange = QuotaExchange::new(own, TOLERANCE);
        self.hosts[host].table = QuotaTable::default();
        self.set_replicas(host, &replicas);
        let quotas = self.quotas.clone();
        self.set_plan(&quotas);
    }

    /// Lets requests of an organisation arrive at random times and at entries chosen by `entry`.
    pub(crate) fn send(
        &mut self,
        organisation: usize,
        per_second: f64,
        span: Duration,
        entry: impl Fn(&mut SmallRng) -> usize,
    ) {
        let mut at = self.now;
        loop {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / per_second;
            at = at + Duration::from_secs_f64(gap);
            if at >= self.now + span {
                return;
            }
            let entry = self.replicas + entry(&mut self.rng);
            self.push(at, Event::Arrive { entry, organisation });
        }
    }

    pub(crate) fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    pub(crate) fn run_until(&mut self, end: Moment) {
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns by how much an organisation's requests exceeded its bound in the worst window;
    /// negative if they did not.
    pub(crate) fn excess(&self, organisation: usize) -> f64 {
        let quota = self.quotas[organisation];
        let rate = f64::from(quota.rate.per_second());
        let bound =
            (rate * WINDOW.as_secs_f64() + f64::from(quota.burst)) * (1.0 + OVERAGE) + SLACK;
        let mut window: VecDeque<Moment> = VecDeque::new();
        let mut most = 0;
        for at in &self.outcomes[organisation].admitted {
            window.push_back(*at);
            while window.front().is_some_and(|first| at.since(*first) > WINDOW) {
                window.pop_front();
            }
            most = most.max(window.len());
        }
        f64::from(u32::try_from(most).unwrap()) - bound
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(host) => {
                self.hosts[host].exchange.tick(self.now);
                self.flush(host);
                self.push(self.now + TICK, Event::Tick(host));
            }
            Event::Deliver { from, to, body } => {
                let sender = if from < self.replicas { name("r", from) } else { name("e", from) };
                self.hosts[to].exchange.receive(self.now, &sender, &body);
                self.flush(to);
            }
            Event::Report { host } => {
                let reports = std::mem::take(&mut self.hosts[host].reports);
                self.hosts[host].exchange.report(self.now, reports);
                self.flush(host);
                if let Some(due) = self.hosts[host].exchange.next_wakeup() {
                    self.push(due.max(self.now), Event::Report { host });
                }
            }
            Event::Arrive { entry, organisation } => self.decide(entry, organisation, 0),
            Event::Retry { entry, organisation, waits } => {
                self.hosts[entry].table.end_wait(&self.organisations[organisation]);
                self.decide(entry, organisation, waits);
            }
        }
    }

    fn decide(&mut self, entry: usize, organisation: usize, waits: u32) {
        let entries = u32::try_from(self.entries()).unwrap();
        let (now, quota) = (self.now, self.quotas[organisation]);
        let (host, name) = (&mut self.hosts[entry], &self.organisations[organisation]);
        let outcome = &mut self.outcomes[organisation];
        match host.table.admit(now, name, quota, entries) {
            QuotaDecision::Admit => {
                outcome.admitted.push(now);
                outcome.waited += usize::from(waits > 0);
            }
            QuotaDecision::OverQuota(_) => outcome.over_quota.push(now),
            QuotaDecision::Unconfirmed(_) => outcome.unconfirmed.push(now),
            QuotaDecision::Wait(until) => {
                host.table.begin_wait(now, name);
                // Looks again when an answer may have come, as a notified request does.
                let poll = (now + Duration::from_millis(5)).min(until);
                self.push(poll, Event::Retry { entry, organisation, waits: waits + 1 });
            }
        }
        let reports = self.hosts[entry].table.take_reports();
        if !reports.is_empty() {
            self.hosts[entry].reports.extend(reports);
            self.push(self.now, Event::Report { host: entry });
        }
    }

    fn flush(&mut self, host: usize) {
        for output in self.hosts[host].exchange.take_outputs() {
            match output {
                QuotaOutput::ToHost { to, body } => {
                    let to: usize = to.as_str()[1..].parse().unwrap();
                    self.transmit(host, to, body);
                }
                QuotaOutput::ToEntries { body } => {
                    for entry in self.replicas..self.hosts.len() {
                        self.transmit(host, entry, body.clone());
                    }
                }
                QuotaOutput::Verdict(verdict) => self.hosts[host].table.receive(self.now, &verdict),
                QuotaOutput::Limited(organisations, span) => {
                    self.hosts[host].table.limit(self.now, &organisations, span);
                }
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, body: Bytes) {
        if from.max(to) >= self.replicas {
            self.entry_bytes += body.len();
        }
        if self.cut[from] || self.cut[to] || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(300..3_000));
        self.push(self.now + delay, Event::Deliver { from, to, body });
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }
}

/// Returns how many requests were refused in each second, for messages of failing tests.
pub(crate) fn per_second(moments: &[Moment]) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    for moment in moments {
        *counts.entry(moment.micros() / 1_000_000).or_default() += 1;
    }
    counts
}
