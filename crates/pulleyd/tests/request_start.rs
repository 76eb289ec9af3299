//! Requests at a host that has just started.

mod path_support;

use std::time::{Duration, Instant};

use path_support::{EntryBuilder, FakeUpstream};
use pulleyd::process::{HostReadiness, RunningView};

fn not_ready(view: &RunningView) -> RunningView {
    RunningView { readiness: HostReadiness::NotReady { why: "starting".into() }, ..view.clone() }
}

// All hosts restart together. A request reaches a host that has no configuration yet and gets it a
// tenth of a second later. If it were refused at once, the caller would spend its only retry while
// no host is ready. If it is held, it is answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_waits_until_a_starting_host_is_ready() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = EntryBuilder::new().start(&[&upstream]).await;
    let view = entry.context.view.clone();
    let ready = view.load();
    view.store(not_ready(&ready));
    let known = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        view.store(RunningView::clone(&ready));
    });
    let answer = entry.post("/balance", "x").await;
    known.await.expect("no panic");
    assert_eq!(answer.status, 200);
}

// The same host is isolated from all others and never gets the configuration. Its callers are
// refused while they have time left to try another host, and are told to retry soon.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_stays_unready_refuses_after_its_start() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = EntryBuilder::new().deadline_ms(60_000).start(&[&upstream]).await;
    let view = entry.context.view.clone();
    view.store(not_ready(&view.load()));
    let first = entry.post("/balance", "x").await;
    assert_eq!(first.summary(), "503 not-run");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let asked = Instant::now();
    let second = entry.post("/balance", "x").await;
    assert_eq!(second.summary(), "503 not-run");
    assert!(asked.elapsed() < Duration::from_millis(500), "{:?}", asked.elapsed());
    assert_eq!(upstream.runs(), 0);
}

// A caller allows its request a second and spends more than a tenth of it at a starting host. The
// upstream must be told the remaining time. If it were given the whole second, it would work on
// after the caller has gone.
#[tokio::test(flavor = "multi_thread")]
async fn time_at_a_starting_host_is_taken_off_the_deadline() {
    let upstream = FakeUpstream::healthy("done").await;
    let entry = EntryBuilder::new().start(&[&upstream]).await;
    let view = entry.context.view.clone();
    let ready = view.load();
    view.store(not_ready(&ready));
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(150)).await;
        view.store(RunningView::clone(&ready));
    });
    let deadline = [("jacinthpulley-deadline-ms", "1000")];
    let answer = entry.post_with("/balance", "x", &deadline).await;
    assert_eq!(answer.status, 200);
    let request = upstream.last_request().to_lowercase();
    let line = request.lines().find_map(|line| line.strip_prefix("jacinthpulley-deadline-ms: "));
    let left: u64 = line.expect("a deadline").trim().parse().expect("milliseconds");
    assert!(left <= 900, "{left} ms are passed on");
}
