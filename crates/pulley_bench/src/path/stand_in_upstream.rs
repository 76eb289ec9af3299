//! A stand-in upstream that answers every request immediately.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use eyre::Result;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// The body of each answer, about as large as that of a cover lookup.
const ANSWER: [u8; 256] = [b'a'; 256];

/// A stand-in upstream that answers every request immediately.
pub(super) struct StandInUpstream;

impl StandInUpstream {
    /// Starts `count` upstreams on the current runtime and returns their addresses.
    pub(super) async fn start_several(count: usize) -> Result<Vec<SocketAddr>> {
        let mut addresses = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(serve(listener));
        }
        Ok(addresses)
    }
}

async fn serve(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        tokio::spawn(async move {
            let service = service_fn(answer);
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let _ = request.into_body().collect().await;
    let mut response = Response::new(Full::new(Bytes::from_static(&ANSWER)));
    let report = http::HeaderValue::from_static("TEXT cpu_utilization=0.4");
    response.headers_mut().insert("endpoint-load-metrics", report);
    Ok(response)
}
