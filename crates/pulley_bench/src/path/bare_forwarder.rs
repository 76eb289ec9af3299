//! A forwarder that uses only hyper-util: it has no kinds, queue, limits, verdicts or retries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use eyre::Result;
use http::uri::{Authority, Scheme, Uri};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;

type BareClient = Client<HttpConnector, Incoming>;

/// The upstreams, selected round-robin.
struct UpstreamRotation {
    upstreams: Vec<Authority>,
    next: AtomicUsize,
}

/// Starts the forwarder on the current runtime and returns its address.
pub(super) async fn start(upstreams: Vec<SocketAddr>) -> Result<SocketAddr> {
    let upstreams: Result<Vec<_>, _> =
        upstreams.iter().map(|address| address.to_string().parse()).collect();
    let rotation = Arc::new(UpstreamRotation { upstreams: upstreams?, next: AtomicUsize::new(0) });
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: BareClient = Client::builder(TokioExecutor::new()).build(connector);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(serve(listener, client, rotation));
    Ok(address)
}

async fn serve(listener: TcpListener, client: BareClient, rotation: Arc<UpstreamRotation>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let (client, rotation) = (client.clone(), Arc::clone(&rotation));
        tokio::spawn(async move {
            let service =
                service_fn(move |request| forward(client.clone(), rotation.clone(), request));
            let builder = auto::Builder::new(TokioExecutor::new());
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn forward(
    client: BareClient,
    rotation: Arc<UpstreamRotation>,
    mut request: Request<Incoming>,
) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
    let index = rotation.next.fetch_add(1, Ordering::Relaxed) % rotation.upstreams.len();
    let mut parts = std::mem::take(request.uri_mut()).into_parts();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = Some(rotation.upstreams[index].clone());
    *request.uri_mut() = Uri::from_parts(parts).unwrap_or_default();
    client.request(request).await
}
