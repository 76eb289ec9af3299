//! One host's part in sparing upstreams from contents that end them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::content_report::{ContentReport, QuarantineOutput, RunResult, TrialAsk, UnansweredRun};
use super::open_run::{OpenRun, OpenRuns};
use super::quarantine_message::QuarantineMessage;
use super::suspect_table::SuspectTable;
use super::trial_asks::{PendingAsk, TrialAsks, TrialDecider};
use super::trial_keeper::TrialKeeper;
use super::{
    ContentDigest, ContentKey, EntryZones, FastMap, HostId, Moment, PeerRing, PoolName, RunFinding,
    SharedTime, StartEvidence, StartPulls, SuspectRecord, SuspectRun, TrialNumber, TrialVerdict,
    UpdateReach, UpstreamStart,
};
use crate::process::registry::split_by_size;

/// The interval at which records that have been kept for long enough are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// One host's part in sparing upstreams from contents that end them.
///
/// A request that ends its upstream is repeated: by its host, by its caller through other hosts, and
/// by other callers. Each of them alone keeps to its number of attempts, and together they end a
/// pool. So all hosts count the ends under a content together, and a run that may have been one counts
/// until its host has decided. A content with such a run is a suspect and runs once at a time over
/// all hosts, by permission of one of them. With three it is held, and after three ends refused for a
/// while. An answer clears it in the pool that gave it.
#[derive(Clone, Debug)]
pub struct QuarantineExchange {
    host: HostId,
    entries: Arc<EntryZones>,
    table: SuspectTable,
    keeper: TrialKeeper,
    asks: TrialAsks,
    /// The runs of this host that are not decided.
    open_runs: OpenRuns,
    /// Who permitted the trials that run at this host.
    permitted_by: FastMap<TrialNumber, HostId>,
    outputs: Vec<QuarantineOutput>,
    next_expiry: Moment,
    /// The questions for the records that other hosts know. Until they are answered, this host runs any
    /// content.
    start_pulls: StartPulls,
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
            open_runs: OpenRuns::default(),
            permitted_by: FastMap::default(),
            outputs: Vec::new(),
            next_expiry: now,
            start_pulls: StartPulls::new(now),
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Queries

    /// Returns the records of all contents that are suspected, held or quarantined in any pool.
    pub fn suspects(&self) -> impl Iterator<Item = &SuspectRecord> {
        self.table.records().filter(|record| record.is_suspected())
    }

    /// Returns when [`Self::tick`] next has something to do; `None` if nothing is due before an
    /// input.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        let pull_at = self.start_pulls.next_wakeup();
        let table_at = self.table.next_wakeup();
        let asks_at = self.asks.next_wakeup();
        let runs_at = self.open_runs.next_wakeup();
        pull_at.into_iter().chain(table_at).chain(asks_at).chain(runs_at).min()
    }

    // ---------------------------------------------------------------------------------------------
    // Inputs

    /// Sets the live entries.
    pub fn set_entries(&mut self, entries: &Arc<EntryZones>) {
        self.entries = Arc::clone(entries);
    }

    /// Takes in the end of a request of this host. The report may have been on its way for a while.
    pub fn report(&mut self, now: Moment, time: SharedTime, report: ContentReport) {
        let ContentReport { key, row_pools, began, ended, result, trial } = report;
        let [began, at] = [began, ended].map(|moment| time.before(now.since(moment)));
        let digest = key.digest;
        match result {
            RunResult::Ended(start) => {
                let run = SuspectRun {
                    at,
                    began,
                    upstream: start.id,
                    incarnation: start.incarnation,
                    was_trial: trial.is_some(),
                    finding: RunFinding::Ended,
                };
                self.record(time, (&key, &row_pools), run);
            }
            RunResult::Unanswered(unanswered) => {
                let UnansweredRun { start, address, is_suspicious, was_proven } = unanswered;
                let run = OpenRun {
                    key,
                    row_pools,
                    start,
                    address,
                    at,
                    began,
                    was_trial: trial.is_some() && was_proven,
                    is_shared: is_suspicious,
                };
                self.follow(time, run);
            }
            RunResult::Refuted(start) => self.refute(time, &key, &start),
            RunResult::Survived => self.clear(time, &key),
        }
        if let Some(number) = trial {
            self.end_trial(digest, number);
        }
    }

    /// Takes in the end of a trial of this host. The hosts that may have permitted it are told: the
    /// keeper may have done so too late, after its deputy or this host.
    pub fn end_trial(&mut self, digest: ContentDigest, number: TrialNumber) {
        let Some(permitted_by) = self.permitted_by.remove(&number) else { return };
        self.keeper.finish(digest, number);
        let keeper = self.host_to_ask(digest, TrialDecider::Keeper);
        let keeper = keeper.filter(|keeper| *keeper != permitted_by);
        let Some(record) = self.table.find(digest).cloned() else { return };
        for host in keeper.into_iter().chain([permitted_by]).filter(|host| *host != self.host) {
            let finished = QuarantineMessage::Finished { record: record.clone(), number };
            self.outputs.push(QuarantineOutput::ToHost { to: host, body: finished.pack() });
        }
    }

    /// Ends the suspicion of a content in a pool.
    pub fn clear(&mut self, time: SharedTime, key: &ContentKey) {
        let Some(known) = self.table.find(key.digest).filter(|known| known.is_suspected()) else {
            return;
        };
        // Not before the newest run, which another host may have seen by a faster clock.
        let cleared_at = time.max(known.changed_at());
        let record = SuspectRecord::cleared(key.digest, key.pool.clone(), cleared_at);
        self.merge(time, &record, UpdateReach::ALL);
    }

    /// Compares the runs that are not decided with what is known of their upstreams, given their
    /// starts, their addresses and when the runs were given up.
    pub fn decide_runs(
        &mut self,
        now: Moment,
        time: SharedTime,
        evidence: impl Fn(&UpstreamStart, SocketAddr, SharedTime) -> StartEvidence,
    ) {
        let evidence = |run: &OpenRun| evidence(&run.start, run.address, run.at);
        for (run, evidence) in self.open_runs.decide((now, time), evidence) {
            let (content, start) = (run.key.digest, run.start.clone());
            self.outputs.push(QuarantineOutput::Decided { content, start, evidence });
            if evidence.is_end() {
                self.record(time, run.row(), run.with_finding(RunFinding::Ended));
            } else if run.is_shared {
                self.record(time, run.row(), run.with_finding(RunFinding::Refuted));
            }
        }
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
            Some(QuarantineMessage::Ask { record, pool, number, lease_ms }) => {
                let lease = Duration::from_millis(u64::from(lease_ms));
                self.answer((now, time), from, (&record, &pool), (number, lease));
            }
            Some(QuarantineMessage::Answer { number, verdict }) => {
                self.take_verdict(number, verdict, from.clone());
            }
            Some(QuarantineMessage::Finished { record, number }) => {
                self.merge(time, &record, UpdateReach::ALL);
                self.keeper.finish(record.digest, number);
            }
            None => {}
        }
    }

    /// Does the work that is due. `ring` is that of the live hosts.
    pub fn tick(&mut self, now: Moment, time: SharedTime, ring: &PeerRing) {
        if let Some(to) = self.start_pulls.take_due(now, ring) {
            let body = QuarantineMessage::Pull.pack();
            self.outputs.push(QuarantineOutput::ToAddress { to, body });
        }
        for (number, ask) in self.asks.take_overdue(now) {
            self.send_ask((now, time), number, &ask);
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            for digest in self.table.expire(time) {
                self.publish(digest);
            }
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
        if !self.table.merge(time, record, reach) {
            return;
        }
        self.publish(record.digest);
        let ended = record.runs().filter(|run| run.finding == RunFinding::Ended);
        for run in ended {
            let start = UpstreamStart { id: run.upstream.clone(), incarnation: run.incarnation };
            for open in self.open_runs.take_ended(&start) {
                self.record(time, open.row(), open.with_finding(RunFinding::Ended));
            }
        }
    }

    /// Tells the traffic side what is known of a content.
    fn publish(&mut self, digest: ContentDigest) {
        let known = self.table.find(digest).cloned();
        self.outputs.push(QuarantineOutput::Changed(digest, known));
    }

    /// Records what is found of a run, and tells the other hosts.
    fn record(
        &mut self,
        time: SharedTime,
        (key, row_pools): (&ContentKey, &[PoolName]),
        run: SuspectRun,
    ) {
        let record = SuspectRecord::of_run(key, row_pools, run);
        self.merge(time, &record, UpdateReach::ALL);
    }

    /// Follows a run until it is decided.
    fn follow(&mut self, time: SharedTime, run: OpenRun) {
        let has_ended = self.table.records().flat_map(SuspectRecord::runs);
        let has_ended = has_ended.into_iter().any(|known| known.is_end_of(&run.start));
        if has_ended {
            return self.record(time, run.row(), run.with_finding(RunFinding::Ended));
        }
        if run.is_shared {
            let until = run.decided_by();
            self.record(time, run.row(), run.with_finding(RunFinding::Pending { until }));
        }
        self.open_runs.push(run);
    }

    /// Takes back that a run may have ended its upstream. It is followed on, as a later start may
    /// still show that it has.
    fn refute(&mut self, time: SharedTime, key: &ContentKey, start: &UpstreamStart) {
        if let Some(run) = self.open_runs.withdraw(key, start) {
            self.record(time, run.row(), run.with_finding(RunFinding::Refuted));
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
        let Some(record) = self.table.find(ask.key.digest).cloned() else {
            self.take_verdict(number, TrialVerdict::Refused, self.host.clone());
            return;
        };
        match self.host_to_ask(ask.key.digest, ask.decider) {
            Some(to) => {
                let lease_ms = u32::try_from(ask.lease.as_millis()).unwrap_or(u32::MAX);
                let pool = ask.key.pool.clone();
                self.send(&to, &QuarantineMessage::Ask { record, pool, number, lease_ms });
            }
            None => {
                let about = (&record, &ask.key.pool);
                let verdict = self.keeper.decide((now, time), about, number, ask.lease);
                self.take_verdict(number, verdict, self.host.clone());
            }
        }
    }

    /// Returns the other host that decides on a content's trials; `None` if this host does.
    fn host_to_ask(&self, digest: ContentDigest, decider: TrialDecider) -> Option<HostId> {
        let place = match decider {
            TrialDecider::Keeper => 0,
            TrialDecider::Deputy => 1,
            TrialDecider::Own => return None,
        };
        let ranked = self.entries.highest(digest.to_string().as_bytes(), 2);
        ranked.into_iter().nth(place).filter(|host| *host != self.host)
    }

    /// Answers another host's question. A host that knows less of the content is told more.
    fn answer(
        &mut self,
        at: (Moment, SharedTime),
        from: &HostId,
        (asked, pool): (&SuspectRecord, &PoolName),
        (number, lease): (TrialNumber, Duration),
    ) {
        self.merge(at.1, asked, UpdateReach::ALL);
        let Some(record) = self.table.find(asked.digest).cloned() else { return };
        if record != *asked {
            let records = vec![record.clone()];
            self.send(from, &QuarantineMessage::Records { reach: UpdateReach::NONE, records });
        }
        let verdict = self.keeper.decide(at, (&record, pool), number, lease);
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
}
