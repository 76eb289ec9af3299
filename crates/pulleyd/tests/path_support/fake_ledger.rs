//! An in-memory ledger behind the control handle, shared by several entries.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use pulley_core::Moment;
use pulley_core::UpstreamId;
use pulley_core::process::{
    QuarantineExchange, QuarantineOutput, QuotaAsk, RelayHost, SharedTime, StartEvidence,
    UpstreamRegistry,
};
use pulleyd::process::{
    ClaimAnswer, ClaimRequest, ControlHandle, ControlRequest, FencingToken, RecordedAnswer,
};
use pulleyd::request::QuarantineGate;

enum Entry {
    Claimed { digest: [u8; 32], token: FencingToken },
    Done { digest: [u8; 32], answer: Option<RecordedAnswer> },
}

/// The state that the control thread would keep.
#[derive(Default)]
pub(crate) struct FakeLedger {
    entries: Mutex<HashMap<String, Entry>>,
    tokens: AtomicU64,
    pub(crate) released: AtomicUsize,
    pub(crate) recorded: AtomicUsize,
    pub(crate) is_unavailable: std::sync::atomic::AtomicBool,
    pub(crate) drained: Mutex<Vec<UpstreamId>>,
    pub(crate) quota_asks: Mutex<Vec<QuotaAsk>>,
    /// What the entries of this ledger know of contents together, from the first report on.
    contents: Mutex<Option<QuarantineExchange>>,
    gates: Mutex<Vec<Arc<QuarantineGate>>>,
    /// The hosts that may relay connections for the entries of this ledger.
    pub(crate) relay_hosts: Mutex<Vec<RelayHost>>,
}

impl FakeLedger {
    pub(crate) fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Creates a handle whose requests this ledger answers.
    pub(crate) fn handle(self: &Arc<Self>) -> ControlHandle {
        let (handle, mut requests) = ControlHandle::channel(256);
        let ledger = Arc::clone(self);
        tokio::spawn(async move {
            while let Some(request) = requests.recv().await {
                ledger.answer(request);
            }
        });
        handle
    }

    fn answer(&self, request: ControlRequest) {
        match request {
            ControlRequest::Claim(request, reply) => {
                let _ = reply.send(self.claim(request));
            }
            ControlRequest::Record(request, _, answer, reply) => {
                let done = Entry::Done { digest: request.digest, answer };
                self.entries.lock().insert(request.key, done);
                self.recorded.fetch_add(1, Ordering::SeqCst);
                let _ = reply.send(Ok(()));
            }
            ControlRequest::Release(request, token, reply) => {
                self.released.fetch_add(1, Ordering::SeqCst);
                let mut entries = self.entries.lock();
                let held = entries.get(&request.key);
                if matches!(held, Some(Entry::Claimed { token: holder, .. }) if *holder == token) {
                    entries.remove(&request.key);
                }
                let _ = reply.send(Ok(()));
            }
            ControlRequest::ObservedDrain(upstream) => self.drained.lock().push(upstream.id),
            ControlRequest::AskQuotas(asks) => self.quota_asks.lock().extend(asks),
            ControlRequest::RelayHosts(_, reply) => {
                let _ = reply.send(self.relay_hosts.lock().clone());
            }
            ControlRequest::ReportContent(report, reply) => {
                self.update_contents(|contents| {
                    contents.report(Moment::ZERO, shared_time(), report);
                });
                let _ = reply.map(|reply| reply.send(()));
            }
            ControlRequest::EndTrial(digest, number) => {
                self.update_contents(|contents| contents.end_trial(digest, number));
            }
            ControlRequest::AskTrial(ask) => {
                self.update_contents(|contents| contents.ask(Moment::ZERO, shared_time(), ask));
            }
            other => panic!("unexpected control request: {other:?}"),
        }
    }

    /// Passes what becomes known of contents on to an entry.
    pub(crate) fn serve_gate(&self, gate: &Arc<QuarantineGate>) {
        self.gates.lock().push(Arc::clone(gate));
    }

    /// Decides all runs whose upstreams may have ended under them by this evidence.
    pub(crate) fn decide_runs(&self, evidence: StartEvidence) {
        let later = Moment::ZERO + Duration::from_secs(1_000);
        self.update_contents(|contents| {
            contents.decide_runs(later, shared_time(), |_, _, _| evidence);
        });
    }

    fn update_contents(&self, change: impl FnOnce(&mut QuarantineExchange)) {
        let mut contents = self.contents.lock();
        let host = || QuarantineExchange::new(Moment::ZERO, "ledger".parse().expect("a name"));
        let contents = contents.get_or_insert_with(host);
        change(contents);
        for output in contents.take_outputs() {
            for gate in self.gates.lock().iter() {
                match &output {
                    QuarantineOutput::Changed(digest, record) => {
                        gate.apply(shared_time(), *digest, record.as_ref());
                    }
                    QuarantineOutput::Verdict { number, verdict } => {
                        gate.receive(*number, *verdict);
                    }
                    QuarantineOutput::ToHost { .. }
                    | QuarantineOutput::ToAddress { .. }
                    | QuarantineOutput::Decided { .. } => {}
                }
            }
        }
    }

    fn claim(&self, request: ClaimRequest) -> ClaimAnswer {
        if self.is_unavailable.load(Ordering::SeqCst) {
            return ClaimAnswer::Unavailable;
        }
        let mut entries = self.entries.lock();
        match entries.get(&request.key) {
            None => {
                let token = FencingToken(self.tokens.fetch_add(1, Ordering::SeqCst));
                let claimed = Entry::Claimed { digest: request.digest, token };
                entries.insert(request.key, claimed);
                ClaimAnswer::Granted(token)
            }
            Some(Entry::Claimed { digest, .. } | Entry::Done { digest, .. })
                if *digest != request.digest =>
            {
                ClaimAnswer::Conflict
            }
            Some(Entry::Done { answer: Some(answer), .. }) => {
                ClaimAnswer::AlreadyRan(answer.clone())
            }
            Some(_) => ClaimAnswer::MayHaveRun,
        }
    }
}

/// Returns one time for all that happens. Contents stay suspected, and none is tried again.
fn shared_time() -> SharedTime {
    UpstreamRegistry::new().shared_time(Moment::from_micros(1_000_000))
}
