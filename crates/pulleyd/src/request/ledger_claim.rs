//! A claim on an idempotency key, held while its request is carried.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use pulley_core::version::KindPlan;
use pulley_core::{RefusalCause, RequestVerdict};
use sha2::{Digest, Sha256};

use super::protocol_headers::KEY_HEADER;
use super::{SystemAnswer, TrafficContext, TrafficCounters};
use crate::process::{
    ClaimAnswer, ClaimRequest, ControlFault, ControlRequest, FencingToken, RecordedAnswer,
};

/// What claiming gives, or the answer that ends the request.
type Result<T> = std::result::Result<T, ClaimRefusal>;

/// The longest idempotency key, in bytes.
const KEY_LIMIT: usize = 255;

/// How soon a caller may come back while the ledger cannot be reached.
const LEDGER_RETRY: Duration = Duration::from_secs(1);

/// How often an outcome is offered to the ledger before it is left as unknown.
const RECORD_TRIES: u32 = 5;

/// The pause before an outcome is offered again; it doubles each time.
const RECORD_PAUSE: Duration = Duration::from_millis(20);

/// Why a request with a key is not sent.
#[derive(Debug)]
pub(super) enum ClaimRefusal {
    /// It ran before; this came of it.
    AlreadyRan(RecordedAnswer),
    /// The system's own answer.
    Answer(SystemAnswer),
}

/// The right to send a non-idempotent request once.
///
/// Dropped unsettled it tells the ledger what is known: nothing was sent, so the key is free
/// again, or something may have run, so no resend may ever run. Without this a caller that leaves
/// would leave its key claimed for good, or worse, free after its request had run.
#[derive(Debug)]
pub(super) struct LedgerClaim {
    context: Arc<TrafficContext>,
    request: ClaimRequest,
    token: FencingToken,
    may_have_run: bool,
    settled: bool,
}

impl LedgerClaim {
    /// Claims a key for a request; the claim is on a quorum's disks before this returns.
    pub(super) async fn take(context: &Arc<TrafficContext>, request: ClaimRequest) -> Result<Self> {
        let question = request.clone();
        let asked = context.control.ask(|reply| ControlRequest::Claim(question, reply)).await;
        match asked {
            Ok(ClaimAnswer::Granted(token)) => Ok(Self {
                context: Arc::clone(context),
                request,
                token,
                may_have_run: false,
                settled: false,
            }),
            Ok(ClaimAnswer::AlreadyRan(answer)) => Err(ClaimRefusal::AlreadyRan(answer)),
            Ok(ClaimAnswer::MayHaveRun) => Err(ClaimRefusal::Answer(unknown_outcome())),
            Ok(ClaimAnswer::Conflict) => Err(refused(RefusalCause::KeyConflict, None)),
            Ok(ClaimAnswer::Unavailable) | Err(_) => {
                Err(refused(RefusalCause::LedgerUnavailable, Some(LEDGER_RETRY)))
            }
        }
    }

    /// Notes that bytes may leave from now on.
    pub(super) fn note_sending(&mut self) {
        self.may_have_run = true;
    }

    /// Notes that no byte had left after all.
    pub(super) fn note_unsent(&mut self) {
        self.may_have_run = false;
    }

    /// Records the request's outcome.
    pub(super) fn record(mut self, answer: RecordedAnswer) {
        self.settled = true;
        self.spawn_record(Some(answer));
    }

    fn spawn_record(&self, answer: Option<RecordedAnswer>) {
        let context = Arc::clone(&self.context);
        let (request, token) = (self.request.clone(), self.token);
        spawn(async move {
            let question =
                |reply| ControlRequest::Record(request.clone(), token, answer.clone(), reply);
            let mut pause = RECORD_PAUSE;
            for _ in 0..RECORD_TRIES {
                match context.control.ask(question).await {
                    Ok(Ok(())) => return,
                    // Looked at and refused; another try would be refused as well.
                    Ok(Err(ControlFault::Refused(_))) => break,
                    Ok(Err(_)) | Err(_) => {}
                }
                let _ = context.timer.after(pause).await;
                pause *= 2;
            }
            TrafficCounters::add(&context.counters.unrecorded);
        });
    }

    fn spawn_release(&self) {
        let context = Arc::clone(&self.context);
        let (request, token) = (self.request.clone(), self.token);
        spawn(async move {
            let question = |reply| ControlRequest::Release(request.clone(), token, reply);
            let mut pause = RECORD_PAUSE;
            for _ in 0..RECORD_TRIES {
                if let Ok(Ok(()) | Err(ControlFault::Refused(_))) =
                    context.control.ask(question).await
                {
                    return;
                }
                let _ = context.timer.after(pause).await;
                pause *= 2;
            }
        });
    }
}

impl Drop for LedgerClaim {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        if self.may_have_run { self.spawn_record(None) } else { self.spawn_release() }
    }
}

/// Reads a request's idempotency key.
pub(super) fn read_key(parts: &Parts) -> std::result::Result<Option<&str>, RefusalCause> {
    let mut values = parts.headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let key = value.to_str().map_err(|_| RefusalCause::BadRequest)?;
    let is_fit = !key.is_empty() && key.len() <= KEY_LIMIT && values.next().is_none();
    if is_fit { Ok(Some(key)) } else { Err(RefusalCause::BadRequest) }
}

/// Describes a request to the ledger; the digest tells a resend from another use of its key.
pub(super) fn claim_request(
    row: &KindPlan,
    key: &str,
    parts: &Parts,
    body: &[Bytes],
) -> ClaimRequest {
    let mut hasher = Sha256::new();
    hasher.update(parts.method.as_str());
    hasher.update([0]);
    hasher.update(parts.uri.path_and_query().map_or("/", |path| path.as_str()));
    hasher.update([0]);
    body.iter().for_each(|bytes| hasher.update(bytes));
    ClaimRequest {
        key: format!("{}/{}/{key}", row.service, row.kind),
        digest: hasher.finalize().into(),
    }
}

fn refused(cause: RefusalCause, retry_after: Option<Duration>) -> ClaimRefusal {
    ClaimRefusal::Answer(SystemAnswer::refused(cause, retry_after))
}

fn unknown_outcome() -> SystemAnswer {
    let status = http::StatusCode::CONFLICT;
    let verdict = RequestVerdict::MayHaveRun;
    SystemAnswer::failed(status, verdict, "outcome-unknown", Some(LEDGER_RETRY))
}

/// Spawns if a runtime is there; at the process's end there is none, and the ledger keeps the
/// claim as one that may have run.
fn spawn(work: impl Future<Output = ()> + Send + 'static) {
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(work);
    }
}
