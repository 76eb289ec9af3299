//! One host's part in sparing upstreams from contents that end them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::quarantine_message::QuarantineMessage;
use super::suspect_table::SuspectTable;
use super::trial_asks::{PendingAsk, TrialAsks, TrialDecider};
use super::trial_keeper::TrialKeeper;
use super::{
    ContentKey, EntryZones, FastMap, HostId, Moment, PeerRing, RingPeer, SharedTime, SuspectRecord,
    TrialNumber, TrialVerdict, UpdateReach, UpstreamStart,
};
use crate::process::registry::split_by_size;

/// Number of other hosts that a host which has just started asks for the records they know, and the
/// interval between these questions.
const START_PULLS: u32 = 5;
const PULL_INTERVAL: Duration = Duration::from_millis(100);

/// The interval at which records that have been kept for long enough are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// What became of an upstream that a request was sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// This start of it ended while the request ran.
    Ended(UpstreamStart),
    /// It answered the whole request.
    Survived,
    /// Nothing is known.
    Unknown,
}

/// The end of a request with a content, as the traffic side saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContentReport {
    /// The content.
    pub key: ContentKey,
    /// What became of the upstream.
    pub result: RunResult,
    /// The request's trial, if it was one.
    pub trial: Option<TrialNumber>,
}

/// A question of this host's traffic side whether a request may be tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialAsk {
    /// The content.
    pub key: ContentKey,
    /// The number of the trial.
    pub number: TrialNumber,
    /// The time after which the trial has ended in any case.
    pub lease: Duration,
}

/// An action for the caller of [`QuarantineExchange`] to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineOutput {
    /// Send a message to a host.
    ToHost {
        /// The receiver.
        to: HostId,
        /// The encoded message.
        body: Bytes,
    },
    /// Send a message to an address.
    ToAddress {
        /// The receiver's address.
        to: SocketAddr,
        /// The encoded message.
        body: Bytes,
    },
    /// Give this host's traffic side the answer to a question.
    Verdict {
        /// The number of the trial.
        number: TrialNumber,
        /// The answer.
        verdict: TrialVerdict,
    },
    /// Tell this host's traffic side of a content's record; `None` if it has been removed.
    Changed(ContentKey, Option<SuspectRecord>),
}

/// One host's part in sparing upstreams from contents that end them.
///
/// A request that ends its upstream is repeated: by its host, by its caller through other hosts, and
/// by other callers. Each of them alone keeps to its number of attempts, and together they end a
/// pool. So all hosts count the ends under a content together. A content under which an upstream
/// has ended is a suspect and runs once at a time over all hosts, by permission of one of them. After
/// three ends it is refused for a while, and an answer clears it.
#[derive(Clone, Debug)]
pub struct QuarantineExchange {
    host: HostId,
    entries: Arc<EntryZones>,
    table: SuspectTable,
    keeper: TrialKeeper,
    asks: TrialAsks,
    /// Who permitted the trials that run at this host.
    permitted_by: FastMap<TrialNumber, HostId>,
    outputs: Vec<QuarantineOutput>,
    next_expiry: Moment,
    /// Hosts that have been asked for the records they know since this host has started.
    pulls: u32,
    next_pull: Moment,
}

impl QuarantineExchange {
    /// Creates the part of a host that has just started.
    #[must_use]
    pub fn new(now: Moment, host: HostId) -> Self {
        Self {
            host,
            entries: Arc::default(),
            table: SuspectTable::default(),
            keeper: TrialKeeper::default(),
            asks: TrialAsks::default(),
            permitted_by: FastMap::default(),
            outputs: Vec::new(),
            next_expiry: now,
            pulls: 0,
            next_pull: now,
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Returns the records of all contents that are suspected or quarantined.
    pub fn suspects(&self) -> impl Iterator<Item = &SuspectRecord> {
        self.table.records().filter(|record| record.standing().is_some())
    }

    /// Returns when [`Self::tick`] next has something to do; `None` if nothing is due before an
    /// input.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        let pull_at = (self.pulls < START_PULLS).then_some(self.next_pull);
        let table_at = self.table.next_wakeup();
        pull_at.into_iter().chain(table_at).chain(self.asks.next_wakeup()).min()
    }

    // ---------------------------------------------------------------------------------------------
    // Inputs

    /// Sets the live entries.
    pub fn set_entries(&mut self, entries: &Arc<EntryZones>) {
        self.entries = Arc::clone(entries);
    }

    /// Takes in the end of a request of this host at the shared time `time`.
    pub fn report(&mut self, time: SharedTime, report: ContentReport) {
        let ContentReport { key, result, trial } = report;
        match result {
            RunResult::Ended(start) => {
                let record = SuspectRecord::ended(key.clone(), &start, time, trial.is_some());
                self.merge(time, &record, UpdateReach::ALL);
            }
            RunResult::Survived => self.clear(time, &key),
            RunResult::Unknown => {}
        }
        if let Some(number) = trial {
            self.finish(&key, number);
        }
    }

    /// Ends the suspicion of a content.
    pub fn clear(&mut self, time: SharedTime, key: &ContentKey) {
        let Some(known) = self.table.find(key).filter(|known| !known.ends().is_empty()) else {
            return;
        };
        // Not before the newest end, which another host may have seen by a faster clock.
        let cleared_at = time.max(known.changed_at());
        let record = SuspectRecord::cleared(key.clone(), cleared_at);
        self.merge(time, &record, UpdateReach::ALL);
    }

    /// Asks whether a request of this host may be tried.
    pub fn ask(&mut self, now: Moment, time: SharedTime, ask: TrialAsk) {
        let TrialAsk { key, number, lease } = ask;
        let pending = self.asks.insert(now, number, key, lease);
        self.send_ask((now, time), number, &pending);
    }

    /// Handles a message of another host. A message that cannot be decoded is dropped.
    pub fn receive(&mut self, now: Moment, time: SharedTime, from: &HostId, body: &[u8]) {
        match QuarantineMessage::unpack(body) {
            Some(QuarantineMessage::Records { reach, records }) => {
                records.iter().for_each(|record| self.merge(time, record, reach));
            }
            Some(QuarantineMessage::Pull) => self.send_all(from),
            Some(QuarantineMessage::Ask { record, number, lease_ms }) => {
                let lease = Duration::from_millis(u64::from(lease_ms));
                self.answer((now, time), from, &record, number, lease);
            }
            Some(QuarantineMessage::Answer { number, verdict }) => {
                self.take_verdict(number, verdict, from.clone());
            }
            Some(QuarantineMessage::Finished { record, number }) => {
                self.merge(time, &record, UpdateReach::ALL);
                self.keeper.finish(&record.key, number);
            }
            None => {}
        }
    }

    /// Does the work that is due. `ring` is that of the live hosts.
    pub fn tick(&mut self, now: Moment, time: SharedTime, ring: &PeerRing) {
        self.pull(now, ring);
        for (number, ask) in self.asks.take_overdue(now) {
            self.send_ask((now, time), number, &ask);
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            let expired = self.table.expire(time);
            self.outputs
                .extend(expired.into_iter().map(|key| QuarantineOutput::Changed(key, None)));
        }
        let sends = self.table.tick(now, ring);
        let to_address = |(to, body)| QuarantineOutput::ToAddress { to, body };
        self.outputs.extend(sends.into_iter().map(to_address));
    }

    /// Takes the actions to carry out, in order.
    pub fn take_outputs(&mut self) -> Vec<QuarantineOutput> {
        std::mem::take(&mut self.outputs)
    }

    // ---------------------------------------------------------------------------------------------
    // Helpers

    fn merge(&mut self, time: SharedTime, record: &SuspectRecord, reach: UpdateReach) {
        if self.table.merge(time, record, reach) {
            let known = self.table.find(&record.key).cloned();
            self.outputs.push(QuarantineOutput::Changed(record.key.clone(), known));
        }
    }

    /// Asks another host for the records that it knows, if this host has just started. Until it knows
    /// them, it runs any content.
    fn pull(&mut self, now: Moment, ring: &PeerRing) {
        if self.pulls >= START_PULLS || now < self.next_pull {
            return;
        }
        self.next_pull = now + PULL_INTERVAL;
        if let Some(RingPeer { address: to, .. }) = ring.target(self.pulls) {
            self.pulls += 1;
            let body = QuarantineMessage::Pull.pack();
            self.outputs.push(QuarantineOutput::ToAddress { to: *to, body });
        }
    }

    fn send_all(&mut self, to: &HostId) {
        let records = self.table.records().cloned().collect();
        for records in split_by_size(records) {
            let message = QuarantineMessage::Records { reach: UpdateReach::NONE, records };
            self.send(to, &message);
        }
    }

    fn send(&mut self, to: &HostId, message: &QuarantineMessage) {
        self.outputs.push(QuarantineOutput::ToHost { to: to.clone(), body: message.pack() });
    }

    /// Puts a question to its decider.
    fn send_ask(
        &mut self,
        (now, time): (Moment, SharedTime),
        number: TrialNumber,
        ask: &PendingAsk,
    ) {
        let Some(record) = self.table.find(&ask.key).cloned() else {
            self.take_verdict(number, TrialVerdict::Refused, self.host.clone());
            return;
        };
        match self.host_to_ask(&ask.key, ask.decider) {
            Some(to) => {
                let lease_ms = u32::try_from(ask.lease.as_millis()).unwrap_or(u32::MAX);
                self.send(&to, &QuarantineMessage::Ask { record, number, lease_ms });
            }
            None => {
                let verdict = self.keeper.decide((now, time), &record, number, ask.lease);
                self.take_verdict(number, verdict, self.host.clone());
            }
        }
    }

    /// Returns the other host that decides on a content's trials; `None` if this host does.
    fn host_to_ask(&self, key: &ContentKey, decider: TrialDecider) -> Option<HostId> {
        let place = match decider {
            TrialDecider::Keeper => 0,
            TrialDecider::Deputy => 1,
            TrialDecider::Own => return None,
        };
        let ranked = self.entries.highest(key.digest.to_string().as_bytes(), 2);
        ranked.into_iter().nth(place).filter(|host| *host != self.host)
    }

    /// Answers another host's question. A host that knows less of the content is told more.
    fn answer(
        &mut self,
        at: (Moment, SharedTime),
        from: &HostId,
        asked: &SuspectRecord,
        number: TrialNumber,
        lease: Duration,
    ) {
        self.merge(at.1, asked, UpdateReach::ALL);
        let Some(record) = self.table.find(&asked.key).cloned() else { return };
        if record != *asked {
            let records = vec![record.clone()];
            self.send(from, &QuarantineMessage::Records { reach: UpdateReach::NONE, records });
        }
        let verdict = self.keeper.decide(at, &record, number, lease);
        self.send(from, &QuarantineMessage::Answer { number, verdict });
    }

    fn take_verdict(&mut self, number: TrialNumber, verdict: TrialVerdict, from: HostId) {
        if !self.asks.remove(number) {
            // The keeper has answered after its deputy, and holds a lease for a trial that the deputy
            // has permitted. It learns of the end by the lease only.
            return;
        }
        if verdict == TrialVerdict::Granted {
            self.permitted_by.insert(number, from);
        }
        self.outputs.push(QuarantineOutput::Verdict { number, verdict });
    }

    /// Tells the host that permitted a trial that it has ended.
    fn finish(&mut self, key: &ContentKey, number: TrialNumber) {
        match self.permitted_by.remove(&number) {
            Some(host) if host == self.host => self.keeper.finish(key, number),
            Some(host) => {
                if let Some(record) = self.table.find(key).cloned() {
                    self.send(&host, &QuarantineMessage::Finished { record, number });
                }
            }
            None => {}
        }
    }
}
