//! Callers that keep their connections open until the entry closes them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, eyre};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;

use crate::request_history::{CallerOutcome, RequestHistory};
use crate::soak_organisations::{CallerPhases, STEADY, key_of};
use crate::soak_upstream::ENDING_QUERY;

/// Timeout for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// The attempts of a caller whose request ends upstreams, and the pause between them.
const ENDING_ATTEMPTS: usize = 3;
const REPEAT_PAUSE: Duration = Duration::from_millis(30);

/// The cause of refusals for which the account of the organisation was not reached.
const UNCONFIRMED: &str = "quota-unconfirmed";

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// An answer as a caller received it.
pub(crate) struct CallerAnswer {
    pub(crate) status: u16,
    pub(crate) verdict: String,
    pub(crate) cause: String,
    /// The body, if it was received completely.
    pub(crate) body: Option<String>,
}

/// A persistent connection to an entry.
pub(crate) struct CallerLink {
    sender: SendRequest<Full<Bytes>>,
}

impl CallerLink {
    pub(crate) async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Sends a request and reads its answer.
    ///
    /// # Errors
    /// If the connection closes before the answer, or the answer does not come in time.
    pub(crate) async fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        key: &str,
    ) -> Result<CallerAnswer> {
        self.sender.ready().await?;
        let body = Bytes::from(if method == "POST" { "order" } else { "" });
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "soak")
            .header("x-request-id", id)
            .header("authorization", format!("Bearer {key}"))
            .body(Full::new(body))?;
        let sending = async { read_answer(self.sender.send_request(request).await?).await };
        let answered = tokio::time::timeout(ANSWER_LIMIT, sending).await;
        answered.map_err(|_| eyre!("no answer in time"))?
    }
}

async fn read_answer(response: Response<hyper::body::Incoming>) -> Result<CallerAnswer> {
    let status = response.status().as_u16();
    let header = |name| {
        let value = response.headers().get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
    };
    let (verdict, cause) = (header("jacinthpulley-verdict"), header("jacinthpulley-cause"));
    let body = response.into_body().collect().await.ok().map(|body| body.to_bytes().to_vec());
    let body = body.map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
    Ok(CallerAnswer { status, verdict, cause, body })
}

/// Returns a request id that is unique in this process.
pub(crate) fn next_request_id() -> String {
    format!("r{}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed))
}

/// Sends an organisation's requests to entries until `stopped` is set.
pub(crate) async fn run_caller(
    entries: Arc<[SocketAddr]>,
    history: Arc<RequestHistory>,
    seed: u64,
    phases: CallerPhases,
    stopped: Arc<AtomicBool>,
) {
    let began = Instant::now();
    let organisation = phases.organisation;
    let key = key_of(organisation);
    let mut random = SmallRng::seed_from_u64(seed);
    let mut link: Option<(usize, CallerLink)> = None;
    while !stopped.load(Ordering::Relaxed) {
        let pause = random.random_range(phases.pause_ms(began.elapsed()));
        tokio::time::sleep(Duration::from_millis(pause)).await;
        if link.as_ref().is_none_or(|(_, link)| link.sender.is_closed()) {
            let entry = random.random_range(0..entries.len());
            let opening = CallerLink::open(entries[entry]);
            let opened = tokio::time::timeout(Duration::from_secs(1), opening).await;
            link = opened.ok().and_then(Result::ok).map(|link| (entry, link));
        }
        let Some((entry, open)) = &mut link else { continue };
        let (method, path) = match random.random_range(0..10) {
            0..4 => ("POST", "/order"),
            4 => ("GET", "/file"),
            _ => ("GET", "/read"),
        };
        let id = next_request_id();
        history.record_sent_by(&id, *entry, method == "GET", organisation);
        let answer = open.send(method, path, &id, &key).await;
        if answer.as_ref().is_ok_and(|answer| answer.cause == UNCONFIRMED) {
            history.record_unconfirmed(&id);
        }
        let outcome = outcome_of(answer);
        let is_cut = matches!(outcome, CallerOutcome::Cut);
        history.record_outcome(&id, outcome);
        if is_cut {
            link = None;
        }
    }
}

/// Sends a request that ends its upstreams, and repeats it through other entries as callers do.
pub(crate) async fn send_ending_request(
    entries: &[SocketAddr],
    history: &RequestHistory,
    content: &str,
    first_entry: usize,
) {
    for attempt in 0..ENDING_ATTEMPTS {
        let entry = (first_entry + attempt) % entries.len();
        let id = next_request_id();
        let opening = CallerLink::open(entries[entry]);
        let opened = tokio::time::timeout(Duration::from_secs(1), opening).await;
        if let Ok(Ok(mut link)) = opened {
            history.record_sent_by(&id, entry, true, STEADY);
            let path = format!("/read?{ENDING_QUERY}{content}");
            let answer = link.send("GET", &path, &id, &key_of(STEADY)).await;
            history.record_outcome(&id, outcome_of(answer));
        }
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
}

fn outcome_of(answer: Result<CallerAnswer>) -> CallerOutcome {
    match answer {
        Err(_) | Ok(CallerAnswer { body: None, .. }) => CallerOutcome::Cut,
        Ok(CallerAnswer { status: 200..300, body: Some(body), .. }) => CallerOutcome::Success(body),
        Ok(answer) if answer.verdict == "not-run" => CallerOutcome::NotRun,
        Ok(_) => CallerOutcome::Unknown,
    }
}
