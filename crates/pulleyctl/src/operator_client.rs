//! Asks one of the hosts over HTTP and tells apart what was not sent from what was not answered.

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

/// What asking gives.
pub(crate) type Result<T> = std::result::Result<T, ClientFault>;

/// Time for a connection; a host that is away should not hold up the next one in turn.
const CONNECT_TIME: Duration = Duration::from_secs(2);

/// Largest answer read, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// Why there is no answer.
#[derive(Debug, Error)]
pub(crate) enum ClientFault {
    /// No host took the request; nothing was done.
    #[error("not done; no host took it:\n  {}", .0.join("\n  "))]
    NotDone(Vec<String>),
    /// A host had the request and its answer was lost; it may have been done.
    #[error("{server} gave no answer: {why}; it may have been done")]
    Lost {
        /// The host that had it.
        server: SocketAddr,
        /// What happened.
        why: String,
    },
}

/// An answer of a host, whatever its status.
#[derive(Debug)]
pub(crate) struct HostAnswer {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The body.
    pub(crate) body: Value,
}

impl HostAnswer {
    /// What a host says when it did not do what was asked.
    pub(crate) fn message(&self) -> String {
        let message = self.body.get("message").and_then(Value::as_str);
        message.map_or_else(|| format!("status {}", self.status), str::to_owned)
    }
}

/// How far one try at one host got.
enum TryFault {
    /// No byte was sent.
    NotSent(String),
    /// Bytes were sent and no whole answer came.
    Lost(String),
}

/// The way to the hosts.
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

    /// Reads from the first host that answers usefully.
    pub(crate) async fn read(&self, path: &str) -> Result<HostAnswer> {
        self.ask(&Method::GET, path, &Bytes::new()).await
    }

    /// Sends a change to the first host that takes it.
    ///
    /// A host that said it did nothing is followed by the next one. After a lost answer no other
    /// host is asked: a second answer could say "refused" of a change that the first had done.
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
                Ok(answer) if another_may_do_it(method, answer.status) => {
                    faults.push(format!("{server}: {}", answer.message()));
                }
                Ok(answer) => return Ok(answer),
                Err(TryFault::NotSent(why)) => faults.push(format!("{server}: {why}")),
                Err(TryFault::Lost(why)) if method == Method::GET => {
                    faults.push(format!("{server}: {why}"));
                }
                Err(TryFault::Lost(why)) => {
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
    ) -> std::result::Result<HostAnswer, TryFault> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, server.to_string())
            .header(header::AUTHORIZATION, &self.authorization)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.clone()))
            .map_err(|error| TryFault::NotSent(error.to_string()))?;
        let stream = match timeout(CONNECT_TIME.min(self.timeout), TcpStream::connect(server)).await
        {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(TryFault::NotSent(error.to_string())),
            Err(_) => return Err(TryFault::NotSent("no connection in time".to_owned())),
        };
        match timeout(self.timeout, exchange(stream, request)).await {
            Ok(answer) => answer,
            Err(_) => {
                Err(TryFault::Lost(format!("no answer within {}ms", self.timeout.as_millis())))
            }
        }
    }
}

/// Whether the next host should be asked: status 503 promises that nothing was done, and a read
/// does nothing anyway.
fn another_may_do_it(method: &Method, status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        || (method == Method::GET && status == StatusCode::GATEWAY_TIMEOUT)
}

async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> std::result::Result<HostAnswer, TryFault> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| TryFault::NotSent(error.to_string()))?;
    tokio::spawn(connection);
    let response =
        sender.send_request(request).await.map_err(|error| TryFault::Lost(error.to_string()))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), ANSWER_LIMIT)
        .collect()
        .await
        .map_err(|error| TryFault::Lost(error.to_string()))?;
    let body = serde_json::from_slice(&body.to_bytes())
        .map_err(|error| TryFault::Lost(format!("status {status} and no JSON: {error}")))?;
    Ok(HostAnswer { status, body })
}
