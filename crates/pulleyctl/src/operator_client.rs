//! Sends requests to one of the hosts over HTTP. It distinguishes requests that were never sent
//! from requests whose answer was lost.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::Value;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The result of a request.
pub(crate) type Result<T> = std::result::Result<T, ClientFault>;

/// Connect timeout. It is short so that an unreachable host does not delay the attempt at the next
/// one.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest accepted body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Why a request has no answer.
#[derive(Debug, Error)]
pub(crate) enum ClientFault {
    /// No host took the request; nothing was done.
    #[error("not done; no host took it:\n  {}", .0.join("\n  "))]
    NotDone(Vec<String>),
    /// A host was sent the request and its answer was lost; the request may have been carried out.
    #[error("{server} gave no answer: {why}; it may have been done")]
    Lost {
        /// The host that was sent the request.
        server: SocketAddr,
        /// What happened.
        why: String,
    },
}

/// An answer of a host, with any status.
#[derive(Debug)]
pub(crate) struct HostAnswer {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The body.
    pub(crate) body: Value,
    /// The value of `Retry-After`, if there is one.
    pub(crate) retry_after: Option<String>,
}

impl HostAnswer {
    /// Returns the message of an unsuccessful answer.
    pub(crate) fn message(&self) -> String {
        let message = self.body.get("message").and_then(Value::as_str);
        message.map_or_else(|| format!("status {}", self.status), str::to_owned)
    }

    /// Returns when the host wants to be asked again, as the end of a message.
    fn retry_hint(&self) -> String {
        let hint = self.retry_after.as_ref().map(|after| format!(" (again after {after} s)"));
        hint.unwrap_or_default()
    }
}

/// How far a failed attempt at one host got.
enum SendFault {
    /// No byte was sent.
    NotSent(String),
    /// Bytes were sent, and no complete answer arrived.
    Lost(String),
}

/// An HTTP client that tries the hosts in turn.
#[derive(Debug)]
pub(crate) struct OperatorClient<'a> {
    servers: &'a [SocketAddr],
    authorization: String,
    timeout: Duration,
}

impl<'a> OperatorClient<'a> {
    pub(crate) fn new(servers: &'a [SocketAddr], key: &str, timeout: Duration) -> Self {
        Self { servers, authorization: format!("Bearer {key}"), timeout }
    }

    /// Reads from the first host that gives a usable answer.
    pub(crate) async fn read(&self, path: &str) -> Result<HostAnswer> {
        self.ask(&Method::GET, path, &Bytes::new()).await
    }

    /// Sends a change to the first host that accepts the request.
    ///
    /// If a host reports that it did nothing, the next one is tried. After a lost answer no other
    /// host is tried, because it could answer "refused" to a change that the first host has carried
    /// out.
    pub(crate) async fn write(
        &self,
        method: &Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<HostAnswer> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.ask(method, path, &Bytes::from(body)).await
    }

    async fn ask(&self, method: &Method, path: &str, body: &Bytes) -> Result<HostAnswer> {
        let mut faults = Vec::new();
        for server in self.servers {
            match self.try_server(*server, method, path, body).await {
                Ok(answer) if should_try_next(method, answer.status) => {
                    faults.push(format!("{server}: {}{}", answer.message(), answer.retry_hint()));
                }
                Ok(answer) => return Ok(answer),
                Err(SendFault::NotSent(why)) => faults.push(format!("{server}: {why}")),
                Err(SendFault::Lost(why)) if method == Method::GET => {
                    faults.push(format!("{server}: {why}"));
                }
                Err(SendFault::Lost(why)) => {
                    return Err(ClientFault::Lost { server: *server, why });
                }
            }
        }
        Err(ClientFault::NotDone(faults))
    }

    async fn try_server(
        &self,
        server: SocketAddr,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> std::result::Result<HostAnswer, SendFault> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, server.to_string())
            .header(header::AUTHORIZATION, &self.authorization)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.clone()))
            .map_err(|error| SendFault::NotSent(error.to_string()))?;
        let stream =
            match timeout(CONNECT_TIMEOUT.min(self.timeout), TcpStream::connect(server)).await {
                Ok(Ok(stream)) => stream,
                Ok(Err(error)) => return Err(SendFault::NotSent(error.to_string())),
                Err(_) => return Err(SendFault::NotSent("connect timeout".to_owned())),
            };
        match timeout(self.timeout, exchange(stream, request)).await {
            Ok(answer) => answer,
            Err(_) => {
                Err(SendFault::Lost(format!("no answer within {}ms", self.timeout.as_millis())))
            }
        }
    }
}

/// Whether to try the next host. Status 503 guarantees that nothing was done. After status 504 a
/// read can also be repeated, because it changes nothing.
fn should_try_next(method: &Method, status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        || (method == Method::GET && status == StatusCode::GATEWAY_TIMEOUT)
}

async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> std::result::Result<HostAnswer, SendFault> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| SendFault::NotSent(error.to_string()))?;
    tokio::spawn(connection);
    let response =
        sender.send_request(request).await.map_err(|error| SendFault::Lost(error.to_string()))?;
    let status = response.status();
    let retry_after = response.headers().get(header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| SendFault::Lost(error.to_string()))?;
    let body = serde_json::from_slice(&body.to_bytes())
        .map_err(|error| SendFault::Lost(format!("status {status} without JSON: {error}")))?;
    Ok(HostAnswer { status, body, retry_after })
}
