//! The operators' and upstreams' APIs over real sockets, with a fake control thread.

#![allow(clippy::unwrap_used, clippy::panic, reason = "a panic fails the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pulley_core::ConfigVersion;
use pulley_core::version::{ChangeAnswer, EvacuatedZones, LogIndex, ZoneAnswer, ZoneUse};
use pulleyd::connection::KeyRing;
use pulleyd::process::{
    AnnounceApi, ApiServer, ControlFault, ControlHandle, ControlRequest, HostReadiness,
    OperatorApi, OperatorKeys, ProcessMetrics, RunningView, ViewCell,
};
use quickcheck::{Arbitrary, Gen};
use slog::{Discard, Logger, o};
use smol_str::SmolStr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const ANNOUNCEMENT: &str = r#"{"id":"u1","address":"127.0.0.1:9","zone":"z","pool":"cover",
"slots":2,"connections":500,"incarnation":1,"sequence":1,"phase":"ready"}"#;

/// The longest wait for an answer. Only a hang exceeds it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

struct TestHost {
    operators: SocketAddr,
    upstreams: SocketAddr,
    view: ViewCell,
}

/// Answers requests as a control thread would, but drops changes that expect version 99.
async fn run_fake_control(mut requests: mpsc::Receiver<ControlRequest>) {
    while let Some(control_request) = requests.recv().await {
        match control_request {
            ControlRequest::Announce(announcement, reply) => {
                let id = announcement.id.as_str();
                let refusal = ControlFault::Refused("u2 has another address".to_owned());
                let _ = reply.send(if id == "u2" { Err(refusal) } else { Ok(()) });
            }
            ControlRequest::Apply(change, reply) if change.expect != ConfigVersion(99) => {
                let version = change.expect.next();
                let _ = reply.send(ChangeAnswer::Accepted { version });
            }
            ControlRequest::CurrentPlan(reply) => {
                let _ = reply.send(Err(ControlFault::NoQuorum("2 of 3 replicas".to_owned())));
            }
            ControlRequest::OrderZone(order, reply) if order.zone.as_str() == "lost" => {
                let _ = reply.send(Err(ControlFault::NoAnswer));
            }
            ControlRequest::OrderZone(order, reply) => {
                let _ = reply.send(Ok(match order.zone_use {
                    ZoneUse::Evacuated => ZoneAnswer::Accepted { revision: LogIndex(7) },
                    ZoneUse::InUse => ZoneAnswer::Overtaken { current: ZoneUse::Evacuated },
                }));
            }
            ControlRequest::EvacuatedZones(reply) => {
                let zones = vec!["z1".parse().unwrap()];
                let _ = reply.send(Ok(EvacuatedZones { revision: LogIndex(7), zones }));
            }
            ControlRequest::Audit(_, reply) => drop(reply.send(Ok(Vec::new()))),
            ControlRequest::Status(reply) => {
                let _ = reply.send(Ok(serde_json::json!({ "version": 7 })));
            }
            _ => {}
        }
    }
}

async fn serve(router: axum::Router, limits: pulleyd::process::ApiLimits) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let logger = Logger::root(Discard, o!());
    tokio::spawn(ApiServer::new(listener, router, limits, logger).run(std::future::pending()));
    address
}

async fn test_host() -> TestHost {
    let (control, requests) = ControlHandle::channel(16);
    tokio::spawn(run_fake_control(requests));
    let view = ViewCell::default();
    let keys = Arc::new(|key: &[u8]| key == b"secret");
    let logger = Logger::root(Discard, o!());
    let metrics = ProcessMetrics::new().unwrap();
    metrics.record_view(7, true);
    metrics.record_awaited_version(Some(ConfigVersion(8)));
    let operators = OperatorApi::new(control.clone(), view.clone(), metrics, keys, logger);
    let upstreams = AnnounceApi::new(control, view.clone());
    TestHost {
        operators: serve(operators.router(), OperatorApi::LIMITS).await,
        upstreams: serve(upstreams.router(), AnnounceApi::LIMITS).await,
        view,
    }
}

/// Sends raw bytes, keeps the sending side open, and reads the answer until the server closes the
/// connection.
async fn exchange_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        // The server may answer and close before it has read everything.
        let _ = stream.write_all(bytes).await;
        let mut answer = Vec::new();
        let mut chunk = [0_u8; 4096];
        while let Ok(count @ 1..) = stream.read(&mut chunk).await {
            answer.extend_from_slice(&chunk[..count]);
        }
        String::from_utf8_lossy(&answer).into_owned()
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.unwrap()
}

fn request(method: &str, path: &str, key: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

async fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let answer = exchange_raw(address, &request(method, path, "secret", body)).await;
    (status_of(&answer), answer.split_once("\r\n\r\n").unwrap().1.to_owned())
}

fn status_of(answer: &str) -> u16 {
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
    status.unwrap_or_else(|| panic!("no status in {answer:?}"))
}

fn upload(expect: u64, sheet: &str) -> String {
    serde_json::json!({ "change_id": "c1", "actor": "ana", "expect": expect, "sheet": sheet })
        .to_string()
}

#[tokio::test]
async fn requests_without_a_valid_key_are_unauthorized() {
    let host = test_host().await;
    for path in ["/v1/sheet", "/v1/audit", "/v1/status", "/metrics", "/status", "/nowhere"] {
        for key in ["wrong", "", "secret2"] {
            let answer = exchange_raw(host.operators, &request("GET", path, key, "")).await;
            assert_eq!(status_of(&answer), 401, "{path} with {key:?}");
        }
    }
}

/// During a key rotation the file holds the old and the new key, and operators may send either. A
/// ring that accepts only one of them would lock operators out, and a loose comparison would let
/// others in.
#[test]
fn each_key_of_the_ring_is_accepted_and_no_other() {
    let (old, new) = ("o".repeat(32), "n".repeat(40));
    let ring = KeyRing::from_text(&format!("# rotation\n{new}\n{old}\n")).unwrap();
    let accepts = |key: &str| OperatorKeys::accepts(&ring, key.as_bytes());
    assert!(accepts(&old) && accepts(&new));
    let both = format!("{}\n{old}", "x".repeat(32));
    for wrong in ["", "short", &"o".repeat(33), &"O".repeat(32), &"# rotation".repeat(4), &both] {
        assert!(!accepts(wrong), "{wrong}");
    }
    assert!(!OperatorKeys::accepts(&ring, &[0xff; 32]));
}

#[tokio::test]
async fn a_sheet_is_accepted_refused_or_unknown() {
    let host = test_host().await;
    let good = include_str!("../../../examples/kolkhi.csv");
    let accepted = call(host.operators, "POST", "/v1/sheet", &upload(4, good)).await;
    assert_eq!(accepted, (200, r#"{"accepted":{"version":5}}"#.to_owned()));

    let (status, body) = call(host.operators, "POST", "/v1/sheet", &upload(4, "pool\nx")).await;
    assert_eq!(status, 422);
    assert!(body.contains("column service"), "{body}");

    // The fake control thread drops this request, as a control thread that ends meanwhile would.
    let (status, body) = call(host.operators, "POST", "/v1/sheet", &upload(99, good)).await;
    assert_eq!(status, 504);
    assert!(body.contains("unknown"), "{body}");

    let (status, body) = call(host.operators, "GET", "/v1/sheet", "").await;
    assert_eq!(status, 503);
    assert!(body.contains("no-quorum"), "{body}");
}

// An order for a zone is answered as accepted, refused or unknown, and one without a valid zone is
// refused as a bad request. An operator who takes a failed order for done would shut down machines
// that still serve requests.
#[tokio::test]
async fn an_order_for_a_zone_is_accepted_refused_or_unknown() {
    let host = test_host().await;
    let order = |zone: &str, zone_use: &str| {
        format!(r#"{{"change_id":"z-1","actor":"tester","zone":"{zone}","zone_use":"{zone_use}"}}"#)
    };
    for (zone, zone_use, status, text) in [
        ("z1", "evacuated", 200, r#"{"accepted":{"revision":7}}"#),
        ("z1", "in-use", 409, r#"{"overtaken":{"current":"evacuated"}}"#),
        ("lost", "evacuated", 504, "unknown"),
        ("", "evacuated", 400, "bad-request"),
        ("two words", "evacuated", 400, "bad-request"),
        ("z1", "closed", 400, "bad-request"),
    ] {
        let answer = call(host.operators, "POST", "/v1/zones", &order(zone, zone_use)).await;
        assert_eq!(answer.0, status, "{zone} {zone_use}: {}", answer.1);
        assert!(answer.1.contains(text), "{zone} {zone_use}: {}", answer.1);
    }
    let shown = call(host.operators, "GET", "/v1/zones", "").await;
    assert_eq!(shown, (200, r#"{"revision":7,"zones":["z1"]}"#.to_owned()));
}

#[tokio::test]
async fn metrics_and_status_are_served() {
    let host = test_host().await;
    let (status, body) = call(host.operators, "GET", "/metrics", "").await;
    assert_eq!(status, 200);
    assert!(body.contains("pulley_config_version 7"), "{body}");
    assert!(body.contains("pulley_config_version_awaited 8"), "{body}");
    assert_eq!(call(host.operators, "GET", "/status", "").await.1, r#"{"version":7}"#);
    assert_eq!(call(host.operators, "GET", "/v1/audit?limit=5", "").await.0, 200);
    assert_eq!(call(host.operators, "GET", "/v1/audit?colour=red", "").await.0, 400);
}

#[tokio::test]
async fn health_follows_the_view() {
    let host = test_host().await;
    let (status, body) = call(host.upstreams, "GET", "/healthz", "").await;
    assert_eq!((status, body.contains("starting")), (503, true));
    let ready = RunningView { readiness: HostReadiness::Ready, ..RunningView::default() };
    host.view.store(ready);
    assert_eq!(call(host.upstreams, "GET", "/healthz", "").await.0, 200);
    let why = SmolStr::new("lease over");
    let readiness = HostReadiness::NotReady { why };
    host.view.store(RunningView { readiness, ..RunningView::default() });
    let (status, body) = call(host.upstreams, "GET", "/healthz", "").await;
    assert_eq!((status, body.contains("lease over")), (503, true));
}

/// A broken or hostile upstream sends an invalid announcement. If it were accepted, an upstream
/// with a million slots, or with an address that nobody can connect to, would attract its pool's
/// requests.
#[tokio::test]
async fn announcements_are_checked() {
    let host = test_host().await;
    assert_eq!(call(host.upstreams, "POST", "/v1/announce", ANNOUNCEMENT).await.0, 200);
    let (status, body) =
        call(host.upstreams, "POST", "/v1/announce", &ANNOUNCEMENT.replace("u1", "u2")).await;
    assert_eq!((status, body.contains("another address")), (409, true));
    for (from, to) in [
        ("127.0.0.1:9", "127.0.0.1:0"),
        ("127.0.0.1:9", "0.0.0.0:9"),
        ("127.0.0.1:9", "localhost:9"),
        ("\"slots\":2", "\"slots\":0"),
        ("\"slots\":2", "\"slots\":1000000"),
        ("\"connections\":500", "\"connections\":0"),
        ("\"u1\"", "\"u 1\""),
        ("ready", "resting"),
        ("{", "["),
    ] {
        let body = ANNOUNCEMENT.replacen(from, to, 1);
        let (status, answer) = call(host.upstreams, "POST", "/v1/announce", &body).await;
        assert_eq!(status, 400, "{body}: {answer}");
    }
}

/// Clients that send too much, endlessly or too slowly would each hold memory or a connection of
/// the process that also serves requests.
#[tokio::test]
async fn requests_beyond_a_limit_are_refused_with_a_status() {
    let host = test_host().await;
    let head = "POST /v1/announce HTTP/1.1\r\nhost: h\r\n";
    let chunk = format!("400\r\n{}\r\n", "x".repeat(0x400));
    let oversized = format!("{head}content-length: 5000\r\n\r\n{}", "x".repeat(5_000));
    let endless = format!("{head}transfer-encoding: chunked\r\n\r\n{}", chunk.repeat(9));
    let slow_body = format!("{head}content-length: 100\r\n\r\n{{");
    let large_header = format!("{head}x: {}\r\n\r\n", "x".repeat(40_000));
    let two_framings =
        format!("{head}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n");
    let two_lengths = format!("{head}content-length: 5\r\ncontent-length: 6\r\n\r\nabcdef");
    let answers =
        [&oversized, &endless, &slow_body, &large_header, head, &two_framings, &two_lengths]
            .map(|bytes| exchange_raw(host.upstreams, bytes.as_bytes()));
    let answers = futures::future::join_all(answers).await;
    let [oversized, endless, slow_body, large_header, slow_header, two_framings, two_lengths] =
        &answers[..]
    else {
        panic!("{answers:?}")
    };
    assert_eq!(status_of(oversized), 413);
    assert_eq!(status_of(endless), 413);
    assert_eq!(status_of(slow_body), 408);
    assert_eq!(status_of(large_header), 431);
    // With incomplete headers there is no request to answer, so the connection is closed.
    assert_eq!(slow_header, "");
    assert_eq!(status_of(two_framings), 400);
    assert_eq!(status_of(two_lengths), 400);
}

/// Passes a request to a router without a socket, and returns the status.
async fn status_without_socket(
    router: &axum::Router,
    request: http::Request<axum::body::Body>,
) -> u16 {
    let answer = tower::ServiceExt::oneshot(router.clone(), request).await;
    answer.unwrap_or_else(|never| match never {}).status().as_u16()
}

fn random_request(generator: &mut Gen, path: &str, good: &str) -> http::Request<axum::body::Body> {
    let mut body = good.as_bytes().to_vec();
    for _ in 0..*generator.choose(&[0, 1, 3]).unwrap() {
        let place = usize::arbitrary(generator) % body.len();
        body[place] = u8::arbitrary(generator);
    }
    if bool::arbitrary(generator) {
        body.truncate(usize::arbitrary(generator) % (body.len() + 1));
    }
    if u8::arbitrary(generator) < 16 {
        body = Vec::arbitrary(generator);
    }
    let request = http::Request::post(path).header("authorization", "Bearer secret");
    request.body(body.into()).unwrap()
}

/// A listener answers damaged requests, and never with status 500. That would mean that unchecked
/// bytes from outside reached code that does not expect them.
#[tokio::test]
async fn damaged_requests_never_cause_an_internal_error() {
    let (control, requests) = ControlHandle::channel(16);
    tokio::spawn(run_fake_control(requests));
    let view = ViewCell::default();
    let keys = Arc::new(|key: &[u8]| key == b"secret");
    let metrics = ProcessMetrics::new().unwrap();
    let logger = Logger::root(Discard, o!());
    let operators = OperatorApi::new(control.clone(), view.clone(), metrics, keys, logger).router();
    let upstreams = AnnounceApi::new(control, view).router();
    let sheet = upload(4, include_str!("../../../examples/abay.csv"));
    let mut generator = Gen::from_size_and_seed(128, 3);
    let mut accepted = 0;
    for _ in 0..1_500 {
        let request = random_request(&mut generator, "/v1/announce", ANNOUNCEMENT);
        let announced = status_without_socket(&upstreams, request).await;
        let request = random_request(&mut generator, "/v1/sheet", &sheet);
        let applied = status_without_socket(&operators, request).await;
        let request = random_request(&mut generator, "/v1/replicas", r#"{"host":"a"}"#);
        let changed = status_without_socket(&operators, request).await;
        assert!([200, 400, 409].contains(&announced), "{announced}");
        assert!([200, 400, 422].contains(&applied), "{applied}");
        // The fake control thread does not answer requests about replicas.
        assert!([400, 504].contains(&changed), "{changed}");
        accepted += u32::from(announced == 200) + u32::from(applied == 200);
    }
    assert!((100..2_900).contains(&accepted), "both outcomes must occur: {accepted}");
}

/// A large sheet over a slow link was cut off, because its body had the timeout of a small one.
#[tokio::test]
async fn a_large_body_has_longer_to_arrive() {
    let host = test_host().await;
    let body = upload(4, &"x,".repeat(256 << 10));
    let bytes = request("POST", "/v1/sheet", "secret", &body);
    let mut stream = TcpStream::connect(host.operators).await.unwrap();
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    stream.write_all(first).await.unwrap();
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    let _ = stream.write_all(rest).await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    tokio::time::timeout(ANSWER_TIMEOUT, reading).await.unwrap().unwrap();
    // The body is read to its end, and then refused because it is not a valid sheet.
    assert_eq!(status_of(&String::from_utf8_lossy(&answer)), 422);
}

/// A broken or hostile client of operators that has the key must meet the same limits. Otherwise it
/// would hold memory or a connection of the process that also serves requests.
#[tokio::test]
async fn the_operators_listener_has_limits_too() {
    let host = test_host().await;
    let head = "POST /v1/sheet HTTP/1.1\r\nhost: h\r\nauthorization: Bearer secret\r\n";
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    let endless = format!("{head}transfer-encoding: chunked\r\n\r\n{}", chunk.repeat(40));
    let slow = format!("{head}content-length: 10\r\n\r\n{{");
    let without_key = "POST /v1/sheet HTTP/1.1\r\nhost: h\r\ncontent-length: 99\r\n\r\n";
    let answers =
        [&endless, &slow, without_key].map(|text| exchange_raw(host.operators, text.as_bytes()));
    let answers = futures::future::join_all(answers).await;
    let statuses: Vec<u16> = answers.iter().map(|answer| status_of(answer)).collect();
    // Without the key, the answer comes before the body is read.
    assert_eq!(statuses, [413, 408, 401]);
}
