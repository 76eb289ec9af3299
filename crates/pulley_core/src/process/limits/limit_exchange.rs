//! Shares limits and permits with other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use super::limit_message::LimitMessage;
use super::limit_table::LimitTable;
use super::permit_bucket::PermitGrant;
use super::permit_issuer::{LimitedUpstream, PermitIssuer};
use super::{
    EntryZones, HostId, LimitRecord, Moment, ObservedLimit, PeerRing, PermitAnswer, PermitAsk,
    SharedTime, StartPulls, UpdateReach, UpstreamId, ZoneName, split_by_size,
};

/// The interval at which this host's schedulers are told of all limits again. They may have learned
/// of an upstream after its limit.
const REMINDER_INTERVAL: Duration = Duration::from_secs(1);

/// An action for the caller of [`LimitExchange`] to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitOutput {
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
    /// Give this host's schedulers the answer to a question for permits.
    Permits(PermitAnswer),
    /// Tell this host's schedulers of a limit.
    Limit {
        /// The limit.
        record: LimitRecord,
        /// Whether this host did not know it before.
        is_new: bool,
    },
}

/// Numbers of permits since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PermitCounts {
    /// Permits that this host has issued.
    pub issued: u64,
    /// Questions that this host has answered without a permit.
    pub denied: u64,
    /// Questions of this host's own.
    pub asked: u64,
}

/// One host's part in keeping to the limits that upstreams name.
///
/// A limit holds for all hosts together. Equal parts of it for each host would be useless where a
/// host has one request in ten seconds, and would add up to more wherever hosts disagree on how
/// many they are. So one entry issues the permits of an upstream, and a request is sent to that
/// upstream only with a permit. Permits last for seconds at most, so that what a lost host holds is
/// soon of no use.
#[derive(Clone, Debug)]
pub struct LimitExchange {
    host: HostId,
    table: LimitTable,
    issuer: PermitIssuer,
    outputs: Vec<LimitOutput>,
    counts: PermitCounts,
    next_reminder: Moment,
    /// The questions for the limits that other hosts know. Until they are answered, this host sends
    /// requests to upstreams in need as if there were no limit.
    start_pulls: StartPulls,
}

impl LimitExchange {
    /// Creates the part of a host that has just started.
    #[must_use]
    pub fn new(now: Moment, host: HostId) -> Self {
        Self {
            issuer: PermitIssuer::new(now, host.clone()),
            host,
            table: LimitTable::default(),
            outputs: Vec::new(),
            counts: PermitCounts::default(),
            next_reminder: now,
            start_pulls: StartPulls::new(now),
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Returns the limits that are in force, as far as this host knows.
    pub fn limits(&self) -> impl Iterator<Item = &LimitRecord> {
        self.table.records().filter(|record| record.rate.is_some())
    }

    /// Returns the numbers of permits so far.
    #[must_use]
    pub fn counts(&self) -> PermitCounts {
        self.counts
    }

    /// Returns when [`Self::tick`] next has something to do; `None` if nothing is due before an
    /// input.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        let known_at = self.table.next_wakeup().map(|due| due.min(self.next_reminder));
        self.start_pulls.next_wakeup().into_iter().chain(known_at).min()
    }

    // ---------------------------------------------------------------------------------------------
    // Inputs

    /// Sets the live entries.
    pub fn set_entries(&mut self, now: Moment, entries: &Arc<EntryZones>) {
        self.issuer.set_entries(now, entries);
    }

    /// Takes in what an answer to this host has shown at the shared time `time`.
    pub fn observe(&mut self, now: Moment, time: SharedTime, observed: ObservedLimit) {
        let upstream = observed.upstream.clone();
        if self.table.observe(now, time, observed) {
            self.tell_schedulers(&upstream);
        }
    }

    /// Asks for permits on behalf of this host's schedulers.
    pub fn ask(&mut self, now: Moment, ask: &PermitAsk) {
        self.counts.asked += 1;
        let Some(record) = self.table.find(&ask.upstream).cloned() else { return };
        let Some(rate) = record.rate else {
            self.outputs.push(LimitOutput::Limit { record, is_new: false });
            return;
        };
        let limited = LimitedUpstream { upstream: &ask.upstream, zone: &ask.zone, rate };
        match self.issuer.host_to_ask(limited, ask.asks_deputy) {
            Some(to) if to != self.host => {
                let (zone, number) = (ask.zone.clone(), ask.number);
                let ask = LimitMessage::Ask { record, zone, number, wanted: ask.wanted };
                self.outputs.push(LimitOutput::ToHost { to, body: ask.pack() });
            }
            Some(_) => {
                let from = self.host.clone();
                let grant = self.issue(now, &record, &ask.zone, &from, ask.wanted);
                let answer = answer_of(&ask.upstream, ask.number, grant);
                self.outputs.push(LimitOutput::Permits(answer));
            }
            None => {}
        }
    }

    /// Handles a message of another host. A message that cannot be decoded is dropped.
    pub fn receive(&mut self, now: Moment, from: &HostId, body: &[u8]) {
        match LimitMessage::unpack(body) {
            Some(LimitMessage::Records { reach, records }) => {
                for record in records {
                    self.merge(now, record, reach);
                }
            }
            Some(LimitMessage::Pull) => self.send_all(from),
            Some(LimitMessage::Ask { record, zone, number, wanted }) => {
                self.answer(now, from, &record, &zone, (number, wanted));
            }
            Some(LimitMessage::Answer(answer)) => {
                self.outputs.push(LimitOutput::Permits(answer));
            }
            None => {}
        }
    }

    /// Does the work that is due. `ring` is that of the live hosts.
    pub fn tick(&mut self, now: Moment, ring: &PeerRing) {
        if let Some(to) = self.start_pulls.take_due(now, ring) {
            self.outputs.push(LimitOutput::ToAddress { to, body: LimitMessage::Pull.pack() });
        }
        if self.table.next_wakeup().is_none() {
            return;
        }
        let sends = self.table.tick(now, ring);
        self.outputs
            .extend(sends.into_iter().map(|(to, body)| LimitOutput::ToAddress { to, body }));
        if now >= self.next_reminder {
            self.next_reminder = now + REMINDER_INTERVAL;
            self.issuer.prune(now);
            for record in self.table.expire(now) {
                self.outputs.push(LimitOutput::Limit { record, is_new: true });
            }
            let known = self.table.records().cloned();
            let reminders = known.map(|record| LimitOutput::Limit { record, is_new: false });
            self.outputs.extend(reminders);
        }
    }

    /// Takes the actions to carry out, in order.
    pub fn take_outputs(&mut self) -> Vec<LimitOutput> {
        std::mem::take(&mut self.outputs)
    }

    // ---------------------------------------------------------------------------------------------
    // Helpers

    fn merge(&mut self, now: Moment, record: LimitRecord, reach: UpdateReach) {
        let upstream = record.upstream.clone();
        if self.table.merge(now, record, reach) {
            self.tell_schedulers(&upstream);
        }
    }

    fn tell_schedulers(&mut self, upstream: &UpstreamId) {
        if let Some(record) = self.table.find(upstream).cloned() {
            self.outputs.push(LimitOutput::Limit { record, is_new: true });
        }
    }

    fn send_all(&mut self, to: &HostId) {
        let records = self.table.records().cloned().collect();
        for records in split_by_size(records) {
            let body = LimitMessage::Records { reach: UpdateReach::NONE, records }.pack();
            self.outputs.push(LimitOutput::ToHost { to: to.clone(), body });
        }
    }

    /// Answers another host's question. A host that asks although the limit has ended or changed is
    /// told so first.
    fn answer(
        &mut self,
        now: Moment,
        from: &HostId,
        asked: &LimitRecord,
        zone: &ZoneName,
        (number, wanted): (u32, u16),
    ) {
        let upstream = asked.upstream.clone();
        self.merge(now, asked.clone(), UpdateReach::ALL);
        let Some(record) = self.table.find(&upstream).cloned() else { return };
        if record != *asked {
            let records = vec![record.clone()];
            let body = LimitMessage::Records { reach: UpdateReach::NONE, records }.pack();
            self.outputs.push(LimitOutput::ToHost { to: from.clone(), body });
        }
        let grant = self.issue(now, &record, zone, from, wanted);
        let answer = LimitMessage::Answer(answer_of(&upstream, number, grant));
        self.outputs.push(LimitOutput::ToHost { to: from.clone(), body: answer.pack() });
    }

    fn issue(
        &mut self,
        now: Moment,
        record: &LimitRecord,
        zone: &ZoneName,
        from: &HostId,
        wanted: u16,
    ) -> PermitGrant {
        let Some(rate) = record.rate else {
            return PermitGrant { permits: 0, retry_after: Duration::ZERO };
        };
        let limited = LimitedUpstream { upstream: &record.upstream, zone, rate };
        let grant = self.issuer.issue(now, limited, from, wanted);
        self.counts.issued += u64::from(grant.permits);
        self.counts.denied += u64::from(grant.permits == 0);
        grant
    }
}

fn answer_of(upstream: &UpstreamId, number: u32, grant: PermitGrant) -> PermitAnswer {
    let retry_ms = u16::try_from(grant.retry_after.as_millis()).unwrap_or(u16::MAX);
    PermitAnswer { upstream: upstream.clone(), number, permits: grant.permits, retry_ms }
}
