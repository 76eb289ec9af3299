//! Headers and bodies of any shape are forwarded byte for byte while many requests share the
//! connections.

mod path_support;

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, Request, Response, Version};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use path_support::{FakeUpstream, TestEntry};
use quickcheck::{Arbitrary, Gen};
use tokio::net::TcpListener;

const SEED: u64 = 20_261_202;
const ROUNDS: usize = 12;
const CALLS: usize = 24;

#[derive(Clone, Debug)]
struct ShapedCall {
    chunks: Vec<Vec<u8>>,
    has_length: bool,
    is_http2: bool,
    headers: Vec<String>,
    path: &'static str,
}

impl Arbitrary for ShapedCall {
    fn arbitrary(g: &mut Gen) -> Self {
        let lengths = [0, 1, 2, 7, 1_000, 4_096, 16_384, 70_000];
        let count = usize::arbitrary(g) % 5;
        let chunk = |g: &mut Gen| {
            let length = *g.choose(&lengths).expect("not empty");
            let first = u8::arbitrary(g);
            (0..length).map(|place| first.wrapping_add((place % 251) as u8)).collect()
        };
        let text = |g: &mut Gen| {
            let length = usize::arbitrary(g) % 200;
            (0..length).map(|_| char::from(b'!' + u8::arbitrary(g) % 94)).collect()
        };
        Self {
            chunks: (0..count).map(|_| chunk(g)).collect(),
            has_length: bool::arbitrary(g),
            is_http2: bool::arbitrary(g),
            headers: (0..usize::arbitrary(g) % 6).map(|_| text(g)).collect(),
            path: g.choose(&["/balance", "/refund"]).expect("not empty"),
        }
    }
}

async fn echo(request: Request<Incoming>) -> Result<Response<Incoming>, Infallible> {
    let (parts, body) = request.into_parts();
    let mut response = Response::new(body);
    for name in ["x-call", "content-length"] {
        if let Some(value) = parts.headers.get(name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    for value in parts.headers.get_all("x-shape") {
        response.headers_mut().append("x-shape", value.clone());
    }
    Ok(response)
}

async fn echo_upstream() -> FakeUpstream {
    let mut upstream = FakeUpstream::healthy("unused").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    upstream.address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = hyper::service::service_fn(echo);
            tokio::spawn(async move {
                let builder = auto::Builder::new(TokioExecutor::new());
                let _ = builder.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    upstream
}

fn shaped_request(entry: &TestEntry, number: usize, call: &ShapedCall) -> Request<Chunks> {
    let uri = format!("http://{}{}?n={number}", entry.address, call.path);
    let mut request = Request::post(uri).header("x-call", number);
    for value in &call.headers {
        request = request.header("x-shape", value);
    }
    if call.has_length {
        request = request.header("content-length", call.chunks.concat().len());
    }
    let frames: Vec<_> = call.chunks.iter().map(|chunk| Bytes::from(chunk.clone())).collect();
    let frames = frames.into_iter().map(|chunk| Ok(Frame::data(chunk)));
    request.body(StreamBody::new(stream::iter(frames.collect::<Vec<_>>()))).expect("a request")
}

type Chunks = StreamBody<stream::Iter<std::vec::IntoIter<Result<Frame<Bytes>, Infallible>>>>;

fn shapes(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all("x-shape").iter();
    values.map(|value| value.to_str().expect("text").to_owned()).collect()
}

async fn check(
    entry: &TestEntry,
    clients: &[Client<HttpConnector, Chunks>; 2],
    calls: &[ShapedCall],
) {
    let sent = calls.iter().enumerate().map(|(number, call)| async move {
        let client = &clients[usize::from(call.is_http2)];
        let response = client.request(shaped_request(entry, number, call)).await;
        let (parts, body) = response.expect("an answer").into_parts();
        let got = body.collect().await.expect("a whole body").to_bytes();
        assert_eq!(parts.status, 200, "{call:?}");
        assert_eq!(parts.version == Version::HTTP_2, call.is_http2);
        assert_eq!(parts.headers["x-call"], number.to_string());
        assert_eq!(shapes(&parts.headers), call.headers);
        assert!(got == call.chunks.concat(), "the body of call {number} differs");
    });
    futures::future::join_all(sent).await;
}

type HttpConnector = hyper_util::client::legacy::connect::HttpConnector;

#[test]
fn any_shape_passes_byte_for_byte_under_interleaving() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let (upstream, other) = (echo_upstream().await, echo_upstream().await);
        let entry = TestEntry::start(&[&upstream, &other]).await;
        let client = |is_http2| {
            Client::builder(TokioExecutor::new())
                .http2_only(is_http2)
                .pool_idle_timeout(Duration::from_secs(60))
                .build_http()
        };
        let clients = [client(false), client(true)];
        let mut g = Gen::from_size_and_seed(64, SEED);
        for _ in 0..ROUNDS {
            let calls: Vec<_> = (0..CALLS).map(|_| ShapedCall::arbitrary(&mut g)).collect();
            check(&entry, &clients, &calls).await;
        }
        assert_eq!(entry.context.schedulers.running(), 0);
    });
}
