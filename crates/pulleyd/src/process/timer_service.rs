//! The timer service that all parts of the process share.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::Duration;

use futures::future::{Either, select};
use parking_lot::{Condvar, Mutex};
use pulley_core::Moment;

use super::ProcessClock;

/// Result of starting the service.
type Result<T> = std::result::Result<T, io::Error>;

/// The timer service of the process: one thread that wakes subscribers when they are due.
///
/// Handles are cheap to clone and work on any thread and any runtime. The thread ends once the last
/// handle and the last subscription are dropped.
///
/// ```
/// # use std::time::Duration;
/// # use pulleyd::process::{ProcessClock, TimerService};
/// let clock = ProcessClock::start();
/// let timer = TimerService::start(clock).expect("a thread can be started");
/// let due = clock.now() + Duration::from_millis(1);
/// let woken = futures::executor::block_on(timer.at(due));
/// assert!(woken >= due);
/// ```
#[derive(Clone, Debug)]
pub struct TimerService {
    handle: Arc<TimerHandle>,
}

#[derive(Debug)]
struct TimerHandle {
    shared: Arc<TimerShared>,
}

#[derive(Debug)]
struct TimerShared {
    clock: ProcessClock,
    queue: Mutex<TimerQueue>,
    changed: Condvar,
}

/// Subscriptions ordered by due time. The number distinguishes subscriptions for the same moment.
#[derive(Debug, Default)]
struct TimerQueue {
    due: BTreeMap<(Moment, u64), Waker>,
    next_number: u64,
    sleeps_until: Option<Moment>,
    closed: bool,
}

impl TimerService {
    /// Starts the service's thread.
    ///
    /// # Errors
    /// Returns the operating system's error if no thread can be started.
    pub fn start(clock: ProcessClock) -> Result<Self> {
        let shared =
            Arc::new(TimerShared { clock, queue: Mutex::default(), changed: Condvar::new() });
        let worker = Arc::clone(&shared);
        thread::Builder::new().name("timer".to_owned()).spawn(move || worker.run())?;
        Ok(Self { handle: Arc::new(TimerHandle { shared }) })
    }

    /// Returns the current time of the service's clock.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.handle.shared.clock.now()
    }

    /// Returns a subscription to the moment `due`.
    pub fn at(&self, due: Moment) -> TimerSubscription {
        TimerSubscription { timer: self.clone(), due, number: None }
    }

    /// Returns a subscription to the moment that is `delay` from now.
    pub fn after(&self, delay: Duration) -> TimerSubscription {
        self.at(self.now() + delay)
    }

    /// Runs a future until it completes or the deadline passes. Returns `None` if the deadline
    /// passes first, which drops the future.
    pub async fn run_until<T>(&self, deadline: Moment, work: impl Future<Output = T>) -> Option<T> {
        match select(pin!(work), self.at(deadline)).await {
            Either::Left((done, _)) => Some(done),
            Either::Right(_) => None,
        }
    }
}

impl Drop for TimerHandle {
    fn drop(&mut self) {
        self.shared.queue.lock().closed = true;
        self.shared.changed.notify_one();
    }
}

impl TimerShared {
    fn run(&self) {
        let mut queue = self.queue.lock();
        while !queue.closed {
            let now = self.clock.now();
            let rest = queue.due.split_off(&(Moment::from_micros(now.micros() + 1), 0));
            let expired = std::mem::replace(&mut queue.due, rest);
            if !expired.is_empty() {
                // A waker runs code of other modules. Under the lock it would deadlock if it called
                // this service.
                parking_lot::MutexGuard::unlocked(&mut queue, || {
                    expired.into_values().for_each(Waker::wake);
                });
                continue;
            }
            let first = queue.due.keys().next().map(|(due, _)| *due);
            queue.sleeps_until = first;
            match first {
                Some(due) => {
                    self.changed.wait_for(&mut queue, due.since(now));
                }
                None => self.changed.wait(&mut queue),
            }
            queue.sleeps_until = None;
        }
    }

    fn insert(&self, due: Moment, waker: Waker) -> u64 {
        let mut queue = self.queue.lock();
        let number = queue.next_number;
        queue.next_number += 1;
        queue.due.insert((due, number), waker);
        let is_first = queue.sleeps_until.is_none_or(|sleeps_until| due < sleeps_until);
        if is_first {
            self.changed.notify_one();
        }
        number
    }
}

/// A future that completes once its moment has come. Dropping it ends the subscription.
#[derive(Debug)]
#[must_use = "a subscription does nothing unless it is awaited"]
pub struct TimerSubscription {
    timer: TimerService,
    due: Moment,
    number: Option<u64>,
}

impl Future for TimerSubscription {
    type Output = Moment;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Moment> {
        let now = self.timer.now();
        if now >= self.due {
            return Poll::Ready(now);
        }
        let due = self.due;
        let Some(number) = self.number else {
            let number = self.timer.handle.shared.insert(due, context.waker().clone());
            self.number = Some(number);
            return Poll::Pending;
        };
        let shared = &self.timer.handle.shared;
        let mut queue = shared.queue.lock();
        if let Some(waker) = queue.due.get_mut(&(due, number)) {
            waker.clone_from(context.waker());
            return Poll::Pending;
        }
        drop(queue);
        // The timer thread removed the subscription after the clock was read above, so it is due.
        Poll::Ready(due)
    }
}

impl Drop for TimerSubscription {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.timer.handle.shared.queue.lock().due.remove(&(self.due, number));
        }
    }
}
