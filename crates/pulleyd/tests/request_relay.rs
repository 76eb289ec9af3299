//! Requests at a host that has lost its own path to upstreams, while other hosts reach them.

mod path_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use path_support::{
    ANSWER, CutFleet, EntryBuilder, FakeUpstream, TestEntry, all_of, eventually, read_request,
    refusing_upstream, reporting, start_fleet,
};
use pulley_core::HostId;
use pulley_core::process::{
    CoordinatorOutput, Incarnation, PoolCoordinator, ProbeOutcome, UpstreamRecord, UpstreamStart,
    UpstreamStop,
};
use pulleyd::connection::UpstreamProber;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time from the beginning of the cut until requests are counted.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Requests counted, and the interval between them.
const COUNTED_REQUESTS: usize = 40;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Sends requests for a while. Returns how many of the last [`COUNTED_REQUESTS`] were served at the
/// first attempt.
async fn count_served(entry: &TestEntry) -> usize {
    let began = Instant::now();
    while began.elapsed() < SETTLE_TIME {
        entry.post("/refund", "x").await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let mut served = 0;
    for _ in 0..COUNTED_REQUESTS {
        served += usize::from(entry.post("/refund", "x").await.status == 200);
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    served
}

/// Counts what callers of a host get that reaches no upstream, beside one that reaches all.
async fn count_served_while_cut(unreachable: &[FakeUpstream]) -> usize {
    let upstreams = all_of(reporting).await;
    let builder = || EntryBuilder::new().probing(3, 400).deadline_ms(1_000);
    let fleet = start_fleet(vec![
        (builder(), unreachable.iter().collect()),
        (builder(), upstreams.iter().collect()),
    ]);
    let fleet = fleet.await;
    assert_eq!(fleet[1].post("/refund", "x").await.status, 200, "the host beside it serves");
    count_served(&fleet[0]).await
}

// A host whose connections to all upstreams hang refused its callers as "pool-busy", though a host
// beside it reached every upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_whose_connections_hang_serves_its_callers_over_another_host() {
    let served = count_served_while_cut(&all_of(FakeUpstream::silent).await).await;
    assert_eq!(served, COUNTED_REQUESTS);
}

// The same, where new connections are refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_whose_connections_are_refused_serves_its_callers_over_another_host() {
    let served = count_served_while_cut(&all_of(refusing_upstream).await).await;
    assert_eq!(served, COUNTED_REQUESTS);
}

// The same, where connections are reset as soon as they are used.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_whose_connections_are_reset_serves_its_callers_over_another_host() {
    let resetting = || FakeUpstream::breaking_after("");
    let served = count_served_while_cut(&all_of(resetting).await).await;
    assert_eq!(served, COUNTED_REQUESTS);
}

/// An upstream that answers probes, and passes the connection of any other request to a script.
async fn scripted<W>(
    script: impl Fn(TcpStream) -> W + Clone + Send + Sync + 'static,
) -> FakeUpstream
where
    W: Future<Output = Option<()>> + Send + 'static,
{
    FakeUpstream::scripted(move |mut stream, _, log| {
        let script = script.clone();
        async move {
            loop {
                let request = read_request(&mut stream, &log).await?;
                if !request.starts_with("GET") && !request.contains("warm") {
                    return script(stream).await;
                }
                stream.write_all(ANSWER.as_bytes()).await.ok()?;
            }
        }
    })
    .await
}

// The host that relays dies while an upstream is at work on a refund. Were its caller told that
// nothing ran, it would be paid twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relayed_request_whose_relaying_host_dies_may_have_run_and_is_not_repeated() {
    let upstreams = all_of(|| {
        scripted(|_stream| async {
            tokio::time::sleep(Duration::from_secs(30)).await;
            None
        })
    })
    .await;
    let cut = CutFleet::start(all_of(FakeUpstream::silent).await, upstreams).await;
    let refund = async { cut.cut().post("/refund", "once").await };
    let death = async {
        eventually("the refund arrives", || cut.arrivals("once") == 1).await;
        cut.fleet[1].relays.abort_all();
    };
    let (answer, ()) = futures::future::join(refund, death).await;
    assert_eq!(answer.summary(), "502 may-have-run");
    assert_eq!(cut.arrivals("once"), 1);
}

// Same, while the upstream sends an answer that ends with its connection. The part that has arrived
// would look like a whole answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_cut_short_by_the_relaying_host_does_not_look_complete() {
    let upstreams = all_of(|| {
        scripted(|mut stream| async move {
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf of a loss file").await.ok()?;
            tokio::time::sleep(Duration::from_secs(30)).await;
            None
        })
    })
    .await;
    let cut = CutFleet::start(all_of(FakeUpstream::silent).await, upstreams).await;
    let file = async { cut.cut().post("/refund", "file").await };
    let death = async {
        eventually("the request arrives", || cut.arrivals("file") == 1).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        cut.fleet[1].relays.abort_all();
    };
    let (answer, ()) = futures::future::join(file, death).await;
    assert_eq!((answer.status, answer.body), (200, None));
}

// An answer that ends with its connection has no other end. Without a mark for it, every such answer
// over another host would be thrown away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_ends_with_its_connection_is_whole_over_another_host() {
    let upstreams = all_of(|| {
        scripted(|mut stream| async move {
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nthe whole file").await.ok()
        })
    })
    .await;
    let cut = CutFleet::start(all_of(FakeUpstream::silent).await, upstreams).await;
    let answer = cut.cut().post("/refund", "file").await;
    assert_eq!((answer.status, answer.body.as_deref()), (200, Some("the whole file")));
}

// Long bodies both ways: bytes that arrive in other pieces than they were sent must not change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_bodies_pass_another_host_unchanged() {
    let upstreams = all_of(|| {
        FakeUpstream::answering(|request| {
            let body = request.split("\r\n\r\n").nth(1).unwrap_or_default();
            let head = "HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT \
                application_utilization=0.2, named_metrics.in_flight=1\r\nContent-Length: ";
            format!("{head}{}\r\n\r\n{body}", body.len()).into_bytes()
        })
    })
    .await;
    let cut = CutFleet::start(all_of(FakeUpstream::silent).await, upstreams).await;
    let body: String = (0..60_000).map(|number| format!("{number} ")).collect();
    let answer = cut.cut().post("/refund", &body).await;
    assert_eq!((answer.status, answer.body.as_deref()), (200, Some(body.as_str())));
}

// A caller leaves while an upstream is at work over another host. An upstream that isn't told works
// on for nobody.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_is_felt_at_the_upstream_over_another_host() {
    let closed = Arc::new(AtomicBool::new(false));
    let upstreams = {
        let closed = Arc::clone(&closed);
        all_of(async move || {
            let closed = Arc::clone(&closed);
            scripted(move |mut stream| {
                let closed = Arc::clone(&closed);
                async move {
                    let _ = stream.read(&mut [0; 16]).await;
                    closed.store(true, Ordering::SeqCst);
                    None
                }
            })
            .await
        })
        .await
    };
    let cut = CutFleet::start(all_of(FakeUpstream::silent).await, upstreams).await;
    let request = "POST /refund HTTP/1.1\r\nHost: shop\r\nContent-Length: 5\r\n\r\nleave";
    let stream = cut.cut().raw(request).await;
    eventually("the request arrives", || cut.arrivals("leave") == 1).await;
    let left = Instant::now();
    drop(stream);
    eventually("the upstream notices", || closed.load(Ordering::SeqCst)).await;
    assert!(left.elapsed() < Duration::from_millis(500), "{:?}", left.elapsed());
}

// The paths are back. A host that went on over others would pay for each request twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_takes_its_own_path_again_once_it_works() {
    let is_cut = Arc::new(AtomicBool::new(true));
    let unreachable = {
        let is_cut = Arc::clone(&is_cut);
        all_of(async move || {
            let is_cut = Arc::clone(&is_cut);
            FakeUpstream::scripted(move |mut stream, _, log| {
                let is_cut = Arc::clone(&is_cut);
                async move {
                    loop {
                        read_request(&mut stream, &log).await?;
                        if is_cut.load(Ordering::SeqCst) {
                            continue;
                        }
                        stream.write_all(ANSWER.as_bytes()).await.ok()?;
                    }
                }
            })
            .await
        })
        .await
    };
    let cut = CutFleet::start(unreachable, all_of(reporting).await).await;
    assert!(cut.relays() > 0);
    is_cut.store(false, Ordering::SeqCst);
    let healed = Instant::now();
    let context = &cut.cut().context;
    eventually("the host is not cut off", || !context.connections.is_cut_off()).await;
    assert!(healed.elapsed() < Duration::from_secs(2), "{:?}", healed.elapsed());
    for _ in 0..10 {
        assert_eq!(cut.cut().post("/refund", "direct").await.status, 200);
    }
    assert_eq!(cut.arrivals("direct"), 0, "no request goes over the other host");
    let direct = cut.unreachable.iter().map(|upstream| upstream.log.requests.lock());
    let direct = direct.map(|log| log.iter().filter(|r| r.contains("direct")).count());
    assert_eq!(direct.sum::<usize>(), 10);
    eventually("no connection is relayed", || cut.relays() == 0).await;
}

// The host that relays shuts down. The request in flight is answered, and the next ones go over
// another host without an error.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relaying_host_that_shuts_down_cuts_off_no_request() {
    let upstreams = all_of(|| {
        scripted(|mut stream| async move {
            tokio::time::sleep(Duration::from_millis(600)).await;
            stream.write_all(ANSWER.as_bytes()).await.ok()
        })
    })
    .await;
    let cut = CutFleet::start(all_of(FakeUpstream::silent).await, upstreams).await;
    let refund = async { cut.cut().post("/refund", "last").await };
    let drain = async {
        eventually("the refund arrives", || cut.arrivals("last") == 1).await;
        let relays = &cut.fleet[1].relays;
        relays.begin_drain();
        relays.wait_drained(cut.cut().context.clock.now() + Duration::from_secs(5)).await;
    };
    let (answer, ()) = futures::future::join(refund, drain).await;
    assert_eq!(answer.status, 200);
    assert_eq!(cut.relays(), 0, "idle connections are closed as well");
}

// Two hosts are cut off and would ask each other for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_is_cut_off_itself_refuses_to_relay_at_once() {
    let unreachable = all_of(refusing_upstream).await;
    let builder = || EntryBuilder::new().probing(3, 400).deadline_ms(1_000);
    let lists = || unreachable.iter().collect();
    let fleet = start_fleet(vec![(builder(), lists()), (builder(), lists())]).await;
    for _ in 0..20 {
        let (first, second) =
            futures::future::join(fleet[0].post("/refund", "x"), fleet[1].post("/refund", "x"))
                .await;
        for answer in [first, second] {
            assert_eq!(answer.header("jacinthpulley-verdict"), Some("not-run"));
            assert!(answer.header("retry-after").is_some());
        }
    }
    assert_eq!(fleet.iter().map(|entry| entry.relays.open_connections()).sum::<usize>(), 0);
}

// A process that doesn't hold the installation's key must reach no upstream over a host, nor keep the
// host from sending to one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stranger_gets_no_connection_over_a_host() {
    let upstreams = all_of(reporting).await;
    let fleet = start_fleet(vec![(EntryBuilder::new(), upstreams.iter().collect())]).await;
    let relay = path_support::serve_relays("entry-1", &fleet[0]).await;
    // A request for a connection, and the notice of a rest of 60 s of incarnation 1.
    let parts: [&[u8]; 2] = [&[0], &[1, 1, 60, 0]];
    for rest in parts {
        let mut stream = TcpStream::connect(relay.address).await.expect("it listens");
        stream.write_all(b"rly2").await.expect("written");
        stream.write_all(&[7; 32]).await.expect("written");
        stream.read_exact(&mut [0; 32]).await.expect("a nonce");
        let mut request = vec![7];
        request.extend_from_slice(b"entry-2");
        request.extend_from_slice(&[2]);
        request.extend_from_slice(b"u0");
        request.extend_from_slice(&[4]);
        request.extend_from_slice(b"pool");
        request.extend_from_slice(rest);
        request.extend_from_slice(&[9; 32]);
        let length = u16::try_from(request.len()).expect("short").to_be_bytes();
        stream.write_all(&length).await.expect("written");
        stream.write_all(&request).await.expect("written");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        assert!(answer.is_empty(), "the connection is closed without an answer");
    }
    assert_eq!(upstreams.iter().map(FakeUpstream::connections).sum::<usize>(), 0);
    let context = &fleet[0].context;
    let start = UpstreamStart { id: "u0".parse().expect("a name"), incarnation: Incarnation(1) };
    assert_eq!(context.connections.gate().find(&start), UpstreamStop::default());
}

// Whoever reaches the peers' port may send anything. It must get no answer and hold nothing for long.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_requests_for_relaying_are_closed() {
    let upstreams = all_of(reporting).await;
    let fleet = start_fleet(vec![(EntryBuilder::new(), upstreams.iter().collect())]).await;
    let relay = path_support::serve_relays("entry-1", &fleet[0]).await;
    let nonce = [7; 32];
    let opening: Vec<u8> = b"rly2".iter().chain(&nonce).copied().collect();
    let with = |bytes: &[u8]| -> Vec<u8> { opening.iter().chain(bytes).copied().collect() };
    let malformed: [Vec<u8>; 6] = [
        b"rly1".iter().chain(&nonce).copied().collect(),
        b"GET / HTTP/1.1\r\nHost: a host of the installation\r\n\r\n".to_vec(),
        with(&[0, 0]),
        with(&[255, 255, 1, 2, 3]),
        with(&[0, 4, 255, 255, 255, 255]),
        with(&[0, 60]),
    ];
    for bytes in malformed {
        let mut stream = TcpStream::connect(relay.address).await.expect("it listens");
        let began = Instant::now();
        let _ = stream.write_all(&bytes).await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        assert!(answer.len() <= 32, "no more than a nonce: {answer:?}");
        assert!(began.elapsed() < Duration::from_secs(4), "{bytes:?} holds a connection");
    }
    assert_eq!(fleet[0].relays.open_connections(), 0);
    assert_eq!(upstreams.iter().map(FakeUpstream::connections).sum::<usize>(), 0);
}

/// Sends requests at a host, then returns the failures at upstreams that it reports to others.
async fn reported_failures(entry: &TestEntry, requests: usize) -> u32 {
    let context = &entry.context;
    let (view, now) = (context.view.load(), || context.clock.now());
    let host: HostId = "entry-1".parse().expect("a name");
    let (pool, records) = view.upstreams.iter().next().expect("a pool");
    let zone = "a".parse().expect("a name");
    let mut coordinator = PoolCoordinator::new(pool.clone(), zone, host.clone(), now());
    coordinator.apply_plan(now(), Arc::clone(&view.plan));
    let records: Vec<_> = records.iter().map(|record| UpstreamRecord::clone(record)).collect();
    coordinator.apply_upstreams(now(), &records);
    for _ in 0..requests {
        entry.post("/refund", "x").await;
    }
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(10) {
        for (_, _, report) in context.schedulers.take_reports(now()) {
            if report.round.is_some() {
                return report.rows.outcomes.iter().map(|sum| u32::from(sum.failures)).sum();
            }
            coordinator.receive(now(), &host, &report);
        }
        for output in coordinator.tick(now()) {
            if let CoordinatorOutput::Publish { sum, .. } = output {
                context.schedulers.receive_sum(now(), &sum);
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("no round of counts");
}

// All hosts share what each sees of an upstream. A host that is cut off took work away from upstreams
// that answered all others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_doubts_its_own_path_blames_no_upstream() {
    let (unreachable, upstreams) = (all_of(refusing_upstream).await, all_of(reporting).await);
    let fleet = start_fleet(vec![
        (EntryBuilder::new(), unreachable.iter().collect()),
        (EntryBuilder::new(), upstreams.iter().collect()),
    ]);
    let early = reported_failures(&fleet.await[0], 20).await;
    assert!(early <= 2, "{early}: the first failures are its only sign");

    let mut mixed = all_of(reporting).await;
    mixed[0] = refusing_upstream().await;
    let entry = EntryBuilder::new().start(&mixed.iter().collect::<Vec<_>>()).await;
    assert!(reported_failures(&entry, 20).await > 0, "a single bad upstream is blamed");
}

// The coordinator's host is cut off, and its probes fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failed_probe_is_not_reported_while_the_own_path_is_in_doubt() {
    let (unreachable, upstreams) = (all_of(refusing_upstream).await, all_of(reporting).await);
    let fleet = start_fleet(vec![
        (EntryBuilder::new(), unreachable.iter().collect()),
        (EntryBuilder::new(), upstreams.iter().collect()),
    ]);
    let entry = &fleet.await[0];
    let connections = Arc::clone(&entry.context.connections);
    let prober = UpstreamProber::new(Handle::current(), connections);
    let probe = async || {
        let (sender, outcome) = oneshot::channel();
        let target = ("pool".parse().expect("a name"), "u0".parse().expect("a name"));
        prober.probe(target, unreachable[0].address, move |outcome| {
            let _ = sender.send(outcome);
        });
        outcome.await.ok()
    };
    assert_eq!(probe().await, Some(ProbeOutcome::Failed));
    for _ in 0..20 {
        entry.post("/refund", "x").await;
    }
    assert!(entry.context.connections.is_cut_off());
    assert_eq!(probe().await, None);
}
