//! A claim on an idempotency key, held while its request runs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use pulley_core::process::OrganisationName;
use pulley_core::version::KindPlan;
use pulley_core::{RefusalCause, RequestVerdict};
use sha2::{Digest, Sha256};

use super::{HeaderDialect, SystemAnswer, TrafficContext, TrafficCounters};
use crate::process::{
    ClaimAnswer, ClaimRequest, ControlFault, ControlRequest, FencingToken, RecordedAnswer,
};

/// The result of claiming a key, or the answer that ends the request.
type Result<T> = std::result::Result<T, ClaimRefusal>;

/// The longest accepted idempotency key, in bytes.
const KEY_LIMIT: usize = 255;

/// `Retry-After` while the ledger is unavailable.
const LEDGER_RETRY: Duration = Duration::from_secs(1);

/// The number of attempts to record an outcome before it is left as unknown.
const RECORD_ATTEMPTS: u32 = 5;

/// The backoff before another attempt to record an outcome; it doubles each time.
const RECORD_BACKOFF: Duration = Duration::from_millis(20);

/// Why a request with a key is not sent.
#[derive(Debug)]
pub(super) enum ClaimRefusal {
    /// The request ran before, with this outcome.
    AlreadyRan(RecordedAnswer),
    /// The system answers the request itself.
    Answer(SystemAnswer),
}

/// The right to send a non-idempotent request once.
///
/// A claim dropped without a recorded outcome reports what is known to the ledger: either nothing
/// was sent and the key is free again, or the request may have run and no resend may ever run.
/// Otherwise a caller that leaves would keep its key claimed permanently or, worse, the key would
/// become free after its request had run.
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
        let control_request = request.clone();
        let claimed =
            context.control.ask(|reply| ControlRequest::Claim(control_request, reply)).await;
        match claimed {
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

    /// Marks that bytes may be sent from now on.
    pub(super) fn mark_sending(&mut self) {
        self.may_have_run = true;
    }

    /// Marks that no bytes were sent after all.
    pub(super) fn mark_unsent(&mut self) {
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
            let control_request =
                |reply| ControlRequest::Record(request.clone(), token, answer.clone(), reply);
            let mut backoff = RECORD_BACKOFF;
            for _ in 0..RECORD_ATTEMPTS {
                match context.control.ask(control_request).await {
                    Ok(Ok(())) => return,
                    // The ledger has rejected the record; another attempt would be rejected too.
                    Ok(Err(ControlFault::Refused(_))) => break,
                    Ok(Err(_)) | Err(_) => {}
                }
                let _ = context.timer.after(backoff).await;
                backoff *= 2;
            }
            TrafficCounters::add(&context.counters.unrecorded);
        });
    }

    fn spawn_release(&self) {
        let context = Arc::clone(&self.context);
        let (request, token) = (self.request.clone(), self.token);
        spawn(async move {
            let control_request = |reply| ControlRequest::Release(request.clone(), token, reply);
            let mut backoff = RECORD_BACKOFF;
            for _ in 0..RECORD_ATTEMPTS {
                if let Ok(Ok(()) | Err(ControlFault::Refused(_))) =
                    context.control.ask(control_request).await
                {
                    return;
                }
                let _ = context.timer.after(backoff).await;
                backoff *= 2;
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

/// Reads a request's idempotency key; `None` if it has none, or the dialect knows no such header.
pub(super) fn read_key<'a>(
    parts: &'a Parts,
    dialect: &HeaderDialect,
) -> std::result::Result<Option<&'a str>, RefusalCause> {
    let Some(name) = &dialect.idempotency_key else { return Ok(None) };
    let mut values = parts.headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let key = value.to_str().map_err(|_| RefusalCause::BadRequest)?;
    let is_valid = !key.is_empty() && key.len() <= KEY_LIMIT && values.next().is_none();
    if is_valid { Ok(Some(key)) } else { Err(RefusalCause::BadRequest) }
}

/// Builds the ledger's claim request; the digest distinguishes a resend from another request with
/// the same key.
pub(super) fn claim_request(
    row: &KindPlan,
    key: (Option<&OrganisationName>, &str),
    parts: &Parts,
    body: &[Bytes],
) -> ClaimRequest {
    let mut hasher = Sha256::new();
    hasher.update(parts.method.as_str());
    hasher.update([0]);
    hasher.update(parts.uri.path_and_query().map_or("/", |path| path.as_str()));
    hasher.update([0]);
    body.iter().for_each(|bytes| hasher.update(bytes));
    let (organisation, key) = key;
    // Two organisations that happen to use one key must not get each other's answers.
    let owner = organisation.map(|name| format!("{name}/")).unwrap_or_default();
    ClaimRequest {
        key: format!("{}/{}/{owner}{key}", row.service, row.kind),
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

/// Spawns a task if a runtime exists. There is none when the process exits; the ledger then keeps
/// the claim as one that may have run.
fn spawn(work: impl Future<Output = ()> + Send + 'static) {
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(work);
    }
}
