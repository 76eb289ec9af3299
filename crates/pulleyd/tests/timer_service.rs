//! The timer service with many concurrent subscribers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::join_all;
use pulleyd::process::{ProcessClock, TimerService};

fn start() -> TimerService {
    TimerService::start(ProcessClock::start()).expect("a thread can be started")
}

// Thousands of requests subscribe to their deadlines in any order from several threads. Each must
// be woken, and none before its deadline. An early deadline would fail a request that is still in
// time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_subscriber_is_woken_and_none_early() {
    let timer = start();
    let tasks = (0..4_000_u64).map(|number| {
        let timer = timer.clone();
        tokio::spawn(async move {
            let due = timer.now() + Duration::from_micros(number * 7_919 % 50_000);
            let woken = timer.at(due).await;
            assert!(woken >= due && timer.now() >= due);
        })
    });
    for ended in join_all(tasks).await {
        ended.expect("no panic");
    }
}

// The later of two subscriptions is due first. It must not wait until the earlier one is due.
#[tokio::test]
async fn an_earlier_deadline_fires_before_a_later_one() {
    let timer = start();
    let far = timer.after(Duration::from_secs(600));
    let near = timer.after(Duration::from_millis(20));
    let winner = futures::future::select(far, near).await;
    assert!(matches!(winner, futures::future::Either::Right(_)));
}

// Most deadlines are dropped unused, because the answer comes in time. Work that completes in time
// must keep its result, and other work must be dropped at its deadline.
#[tokio::test]
async fn work_is_dropped_at_its_deadline() {
    struct DropCounter(Arc<AtomicUsize>);
    impl Drop for DropCounter {
        fn drop(&mut self) {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }
    let timer = start();
    let deadline = timer.now() + Duration::from_secs(600);
    assert_eq!(timer.run_until(deadline, async { 7 }).await, Some(7));

    let dropped = Arc::new(AtomicUsize::new(0));
    let counter = DropCounter(Arc::clone(&dropped));
    let endless = async move {
        let _counter = counter;
        std::future::pending::<()>().await;
    };
    let deadline = timer.now() + Duration::from_millis(10);
    assert_eq!(timer.run_until(deadline, endless).await, None);
    assert_eq!(dropped.load(Ordering::SeqCst), 1);
}
