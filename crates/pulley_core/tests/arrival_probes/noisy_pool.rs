//! A pool on machines with noisy neighbours, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use pulley_core::process::UpstreamRecord;
use pulley_core::request::{
    AttemptOutcome, PoolScheduler, ProbeQuestion, ProbeReach, ProbeReading, RequestNumber,
    SchedulerEffect,
};
use pulley_core::{Moment, UpstreamId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

use super::{MS, entry, reading, ticket, upstream};

/// Upstreams of two slots on machines with noisy neighbours, and entries that know only their own
/// requests and what they ask.
pub(crate) struct NoisyPool {
    records: Vec<UpstreamRecord>,
    entries: Vec<PoolScheduler>,
    /// Requests each upstream works on, and those that wait there: entry, number, when sent, work.
    running: Vec<usize>,
    queues: Vec<Vec<(usize, u64, Duration)>>,
    events: BinaryHeap<Reverse<(u64, u64, PoolEvent)>>,
    sequence: u64,
    rng: SmallRng,
    asks: bool,
    /// When each request was first made, in microseconds.
    first: Vec<u64>,
    figures: Vec<SecondFigures>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PoolEvent {
    Arrive { number: u64, tries: u32 },
    Ask { entry: usize, number: u64, tries: u32, begun: u64 },
    End { upstream: usize, entry: usize, number: u64 },
}

const UPSTREAMS: u16 = 14;
const ENTRIES: usize = 29;
const QUEUE: usize = 4;
const SPELL_US: u64 = 150_000;

/// What callers got, by the second in which they asked first.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SecondFigures {
    pub(crate) asked: u32,
    pub(crate) in_time: u32,
}

impl NoisyPool {
    pub(crate) fn new(asks: bool) -> Self {
        let records: Vec<_> = (0..UPSTREAMS).map(|index| upstream(index, "a", 2)).collect();
        let entries = (0..ENTRIES).map(|place| entry(place as u64 + 1, &records)).collect();
        Self {
            records,
            entries,
            running: vec![0; usize::from(UPSTREAMS)],
            queues: vec![Vec::new(); usize::from(UPSTREAMS)],
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(11),
            asks,
            first: Vec::new(),
            figures: vec![SecondFigures::default(); 31],
        }
    }

    /// A machine is slowed down five times in a quarter of its spells.
    fn slowdown(upstream: usize, at: u64) -> f32 {
        let spell = (at + upstream as u64 * 37_000) / SPELL_US;
        let mixed = (spell * 31 + upstream as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        if mixed >> 62 == 0 { 5.0 } else { 1.0 }
    }

    fn push(&mut self, at: u64, event: PoolEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn readings(&self, at: u64, ids: &[UpstreamId]) -> Vec<ProbeReading> {
        let count = |count: usize| u32::try_from(count).expect("few");
        ids.iter()
            .map(|id| {
                let upstream = self.place(id);
                reading(
                    u16::try_from(upstream).expect("few"),
                    count(self.running[upstream]),
                    count(self.queues[upstream].len()),
                    Self::slowdown(upstream, at),
                )
            })
            .collect()
    }

    fn place(&self, id: &UpstreamId) -> usize {
        self.records.iter().position(|record| record.announcement.id == *id).expect("known")
    }

    fn begin(&mut self, at: u64, upstream: usize, entry: usize, number: u64, work: Duration) {
        let full = if self.running[upstream] > 0 { 1.7 } else { 1.0 };
        self.running[upstream] += 1;
        let took = work.mul_f32(full * Self::slowdown(upstream, at));
        let end = at + u64::try_from(took.as_micros()).expect("short");
        self.push(end, PoolEvent::End { upstream, entry, number });
    }

    /// Plays 30 s at `rate` requests a second, 1.7 times that from second 5 to 8.
    pub(crate) fn play(mut self, rate: f64) -> Vec<SecondFigures> {
        let mut at = 0.0;
        while at < 30.0 {
            let rush = if (5.0..8.0).contains(&at) { 1.7 } else { 1.0 };
            at += Exp::new(rate * rush).expect("a rate").sample(&mut self.rng);
            let micros = (at * 1e6) as u64;
            let number = self.first.len() as u64;
            self.push(micros, PoolEvent::Arrive { number, tries: 0 });
            self.figures[at.min(30.0) as usize].asked += 1;
            self.first.push(micros);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            match event {
                PoolEvent::Arrive { number, tries } => {
                    let entry = self.rng.random_range(0..ENTRIES);
                    self.push(at, PoolEvent::Ask { entry, number, tries, begun: at });
                }
                PoolEvent::Ask { entry, number, tries, begun } => {
                    self.ask(at, entry, (number, tries), begun);
                }
                PoolEvent::End { upstream, entry, number } => self.end(at, upstream, entry, number),
            }
        }
        self.figures
    }

    fn ask(&mut self, at: u64, entry: usize, (number, tries): (u64, u32), begun: u64) {
        let now = moment(at);
        let ticket = ticket(number, moment(begun));
        let effects = if self.asks {
            let wanted = ProbeQuestion { asked: &[], wanted: 4, reach: ProbeReach::EveryZone };
            let targets = self.entries[entry].probe_targets(now, &ticket, &wanted);
            let ids: Vec<_> = targets.into_iter().map(|target| target.upstream).collect();
            let readings = self.readings(at, &ids);
            self.entries[entry].arrive_probed(now, &ticket, &readings)
        } else {
            self.entries[entry].arrive(now, &ticket)
        };
        let patience = self.entries[entry].patience(now, &ticket);
        for effect in effects {
            match effect {
                SchedulerEffect::Start { upstream, .. } => {
                    self.send(at, entry, (number, tries), &upstream);
                }
                SchedulerEffect::Refuse { .. } if self.asks && now + 30 * MS < patience => {
                    self.push(at + 30_000, PoolEvent::Ask { entry, number, tries, begun });
                }
                SchedulerEffect::Refuse { retry_after, .. } => {
                    self.come_back(at, (number, tries), retry_after);
                }
            }
        }
    }

    fn send(&mut self, at: u64, entry: usize, (number, tries): (u64, u32), to: &UpstreamId) {
        let place = self.place(to);
        let spread: LogNormal<f64> = LogNormal::new(f64::ln(153.0), 0.3).expect("parameters");
        let work = Duration::from_secs_f64(spread.sample(&mut self.rng) / 1e3);
        if self.running[place] < 2 {
            self.begin(at, place, entry, number, work);
        } else if self.queues[place].len() < QUEUE {
            self.queues[place].push((entry, number, work));
        } else {
            let shed = AttemptOutcome::Shed;
            self.entries[entry].finish(moment(at), RequestNumber(number), shed, None);
            self.come_back(at, (number, tries), 100 * MS);
        }
    }

    /// Callers come back twice.
    fn come_back(&mut self, at: u64, (number, tries): (u64, u32), after: Duration) {
        if tries < 2 {
            let back = at + u64::try_from(after.as_micros()).expect("short");
            self.push(back, PoolEvent::Arrive { number, tries: tries + 1 });
        }
    }

    fn end(&mut self, at: u64, upstream: usize, entry: usize, number: u64) {
        let answered = AttemptOutcome::Answered;
        self.entries[entry].finish(moment(at), RequestNumber(number), answered, None);
        let begun = self.first[usize::try_from(number).expect("few")];
        if at - begun <= 400_000 {
            let second = usize::try_from(begun / 1_000_000).expect("few").min(30);
            self.figures[second].in_time += 1;
        }
        self.running[upstream] -= 1;
        if !self.queues[upstream].is_empty() {
            let (entry, number, work) = self.queues[upstream].remove(0);
            self.begin(at, upstream, entry, number, work);
        }
    }
}

fn moment(micros: u64) -> Moment {
    Moment::ZERO + Duration::from_micros(micros)
}
