//! A ledger in memory behind the control handle, shared by several entries.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use parking_lot::Mutex;
use pulley_core::UpstreamId;
use pulleyd::process::{
    ClaimAnswer, ClaimRequest, ControlHandle, ControlRequest, FencingToken, RecordedAnswer,
};

enum Entry {
    Claimed { digest: [u8; 32], token: FencingToken },
    Done { digest: [u8; 32], answer: Option<RecordedAnswer> },
}

/// What the control thread would keep.
#[derive(Default)]
pub(crate) struct FakeLedger {
    entries: Mutex<HashMap<String, Entry>>,
    tokens: AtomicU64,
    pub(crate) released: AtomicUsize,
    pub(crate) recorded: AtomicUsize,
    pub(crate) is_away: std::sync::atomic::AtomicBool,
    pub(crate) drained: Mutex<Vec<UpstreamId>>,
}

impl FakeLedger {
    pub(crate) fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Makes a handle whose questions this ledger answers.
    pub(crate) fn handle(self: &Arc<Self>) -> ControlHandle {
        let (handle, mut questions) = ControlHandle::channel(256);
        let ledger = Arc::clone(self);
        tokio::spawn(async move {
            while let Some(question) = questions.recv().await {
                ledger.answer(question);
            }
        });
        handle
    }

    fn answer(&self, question: ControlRequest) {
        match question {
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
            ControlRequest::ObservedDrain(upstream) => self.drained.lock().push(upstream),
            other => panic!("the request path does not ask {other:?}"),
        }
    }

    fn claim(&self, request: ClaimRequest) -> ClaimAnswer {
        if self.is_away.load(Ordering::SeqCst) {
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
