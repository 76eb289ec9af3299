//! The timer service under many subscribers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::join_all;
use pulleyd::process::{ProcessClock, TimerService};

fn start() -> TimerService {
    TimerService::start(ProcessClock::start()).expect("a thread can be started")
}

// Thousands of requests subscribe their deadlines in any order from several threads. Each is woken,
// and none before its moment: a deadline that comes early fails a request that was in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn wakes_everybody_and_nobody_early() {
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

// A later subscription is due first. It must not wait for the earlier one's far moment.
#[tokio::test]
async fn a_nearer_moment_goes_before_a_farther_one() {
    let timer = start();
    let far = timer.after(Duration::from_secs(600));
    let near = timer.after(Duration::from_millis(20));
    let winner = futures::future::select(far, near).await;
    assert!(matches!(winner, futures::future::Either::Right(_)));
}

// Most deadlines are dropped unused, as the answer came in time. Work that ends in time keeps its
// result, and work that does not is dropped at its deadline.
#[tokio::test]
async fn limits_work_and_drops_it_at_the_deadline() {
    struct Held(Arc<AtomicUsize>);
    impl Drop for Held {
        fn drop(&mut self) {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }
    let timer = start();
    let deadline = timer.now() + Duration::from_secs(600);
    assert_eq!(timer.limit(deadline, async { 7 }).await, Some(7));

    let dropped = Arc::new(AtomicUsize::new(0));
    let held = Held(Arc::clone(&dropped));
    let endless = async move {
        let _held = held;
        std::future::pending::<()>().await;
    };
    let deadline = timer.now() + Duration::from_millis(10);
    assert_eq!(timer.limit(deadline, endless).await, None);
    assert_eq!(dropped.load(Ordering::SeqCst), 1);
}
