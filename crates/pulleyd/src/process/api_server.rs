//! An HTTP server with limits, for the listeners of operators and upstreams.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::{Body, HttpBody};
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::http::StatusCode;
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::api_fault::{ApiFault, Result};

/// Timeout for a client's headers. A client that sends them very slowly would otherwise hold a
/// connection forever.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for a client's body, in addition to the transfer time of the announced length over the
/// slowest link.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The slowest link of a client that is allowed for, in bytes per second.
const SLOWEST_LINK_RATE: usize = 128 << 10;

/// The largest header block, in bytes.
const HEADER_BYTES: u32 = 16 << 10;

/// Timeout for open connections to end once the server stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Backoff after a failed accept. The process is then out of file descriptors, and an immediate
/// retry would only occupy a core as well.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The limits of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApiLimits {
    /// The maximum number of concurrent connections. Further ones wait in the operating system's
    /// accept queue.
    pub connections: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
}

/// Serves one router on one listener.
#[derive(Debug)]
pub struct ApiServer {
    listener: TcpListener,
    router: Router,
    limits: ApiLimits,
    logger: Logger,
}

impl ApiServer {
    /// Creates a server. It accepts connections once [`Self::run`] is called.
    #[must_use]
    pub fn new(listener: TcpListener, router: Router, limits: ApiLimits, logger: Logger) -> Self {
        let logging = middleware::from_fn_with_state(logger.clone(), log_refused_body);
        Self { listener, router: router.layer(logging), limits, logger }
    }

    /// Accepts and serves connections until `stop` completes, then gives open requests two seconds
    /// to finish.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let connections = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        tokio::pin!(stop);
        loop {
            let accepted = tokio::select! {
                () = &mut stop => break,
                accepted = self.accept(&permits) => accepted,
            };
            if let Some((stream, permit)) = accepted {
                self.serve(stream, permit, &connections);
            }
        }
        drop(self.listener);
        let _ = tokio::time::timeout(STOP_TIMEOUT, connections.shutdown()).await;
    }

    async fn accept(&self, permits: &Arc<Semaphore>) -> Option<(TcpStream, OwnedSemaphorePermit)> {
        let permit = Arc::clone(permits).acquire_owned().await.ok()?;
        match self.listener.accept().await {
            Ok((stream, _)) => Some((stream, permit)),
            Err(error) => {
                warn!(self.logger, "accept-failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                None
            }
        }
    }

    fn serve(
        &self,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        connections: &GracefulShutdown,
    ) {
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(HEADER_BYTES as usize);
        builder.http2().timer(TokioTimer::new()).max_header_list_size(HEADER_BYTES);
        let service = TowerToHyperService::new(self.router.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = connections.watch(connection);
        let logger = self.logger.clone();
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!(logger, "connection-ended"; "error" => %error);
            }
            drop(permit);
        });
    }
}

/// Logs a request that was refused for its body. It never reaches its handler, so the handler
/// cannot log it.
async fn log_refused_body(State(logger): State<Logger>, request: Request, next: Next) -> Response {
    let (path, announced) = (request.uri().path().to_owned(), request.body().size_hint().exact());
    let response = next.run(request).await;
    if matches!(response.status(), StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT) {
        warn!(logger, "body-refused"; "path" => path, "status" => response.status().as_u16(),
            "announced_bytes" => announced);
    }
    response
}

/// Reads each body completely before the handler runs, within limits of size and time.
pub(super) fn with_body_limits(router: Router, body_bytes: usize) -> Router {
    // The body extractors of axum have a lower limit of their own, which is turned off here.
    let router = router.layer(DefaultBodyLimit::disable());
    router.layer(middleware::from_fn_with_state(body_bytes, limit_body))
}

async fn limit_body(State(body_bytes): State<usize>, request: Request, next: Next) -> Response {
    match read_body(request, body_bytes).await {
        Ok(request) => next.run(request).await,
        Err(fault) => fault.into_response(),
    }
}

async fn read_body(request: Request, body_bytes: usize) -> Result<Request> {
    let (parts, body) = request.into_parts();
    let announced = body.size_hint().lower().min(body_bytes as u64);
    let time = BODY_TIMEOUT + Duration::from_millis(announced * 1_000 / SLOWEST_LINK_RATE as u64);
    let body = Limited::new(body, body_bytes).collect();
    let Ok(collected) = tokio::time::timeout(time, body).await else {
        let message = format!("the body did not arrive within {}s", time.as_secs());
        return Err(ApiFault::new(StatusCode::REQUEST_TIMEOUT, "too-slow", message));
    };
    match collected {
        Ok(collected) => Ok(Request::from_parts(parts, Body::from(collected.to_bytes()))),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("the body is over {body_bytes} bytes");
            Err(ApiFault::new(StatusCode::PAYLOAD_TOO_LARGE, "too-large", message))
        }
        Err(error) => Err(ApiFault::bad_request(format!("the body is cut short: {error}"))),
    }
}
