//! Open-loop load: callers send at a given rate whether or not earlier calls have been answered.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The highest latency that the histograms hold, in microseconds. Higher ones are recorded as this
/// value.
pub(super) const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Delay after which a call counts as sent late. Late calls show that the callers themselves could
/// not keep up.
const LATE_THRESHOLD: Duration = Duration::from_millis(5);

/// Parameters of the load.
#[derive(Clone, Debug)]
pub(crate) struct OpenLoadPlan {
    /// The entries; each call goes to a random one.
    pub(crate) entries: Vec<SocketAddr>,
    /// Path of the requests.
    pub(crate) path: String,
    /// Mean calls per second, with Poisson arrivals.
    pub(crate) rate: f64,
    /// How long the load runs before it is measured.
    pub(crate) warm_up: Duration,
    /// How long the load is measured.
    pub(crate) duration: Duration,
    /// Seed for arrivals and the choice of entries.
    pub(crate) seed: u64,
}

/// Results seen by the callers.
#[derive(Debug)]
pub(crate) struct OpenLoadResult {
    /// Microseconds from when a call was due until its answer was complete; successes only.
    pub(crate) latencies: Histogram<u64>,
    /// Calls refused with the verdict `not-run`.
    pub(crate) refused: u64,
    /// Calls that failed in another way.
    pub(crate) failed: u64,
    /// Calls sent more than 5 ms late because the callers' own threads were busy.
    pub(crate) late: u64,
}

/// The callers of one run.
#[derive(Debug)]
pub(crate) struct OpenLoad {
    plan: OpenLoadPlan,
    client: Client<HttpConnector, Empty<Bytes>>,
}

enum CallOutcome {
    Answered(Duration),
    Refused,
    Failed,
}

impl OpenLoad {
    pub(crate) fn new(plan: OpenLoadPlan) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { plan, client }
    }

    /// Runs the load without measuring.
    pub(crate) async fn warm_up(&self) {
        let _ = self.run(self.plan.warm_up, !self.plan.seed).await;
    }

    /// Runs the load and returns its results.
    pub(crate) async fn measure(&self) -> OpenLoadResult {
        self.run(self.plan.duration, self.plan.seed).await
    }

    async fn run(&self, duration: Duration, seed: u64) -> OpenLoadResult {
        let mut random = SmallRng::seed_from_u64(seed);
        let interarrival_times = Exp::new(self.plan.rate).expect("a rate above zero");
        let (outcomes, mut received_outcomes) = mpsc::unbounded_channel();
        let mut due = Instant::now();
        let end = due + duration;
        let mut late = 0;
        while due < end {
            due += Duration::from_secs_f64(interarrival_times.sample(&mut random));
            tokio::time::sleep_until(due).await;
            late += u64::from(due.elapsed() > LATE_THRESHOLD);
            let entry = self.plan.entries[random.random_range(0..self.plan.entries.len())];
            let call = self.call(entry, due);
            let outcomes = outcomes.clone();
            tokio::spawn(async move {
                let _ = outcomes.send(call.await);
            });
        }
        drop(outcomes);
        let latencies =
            Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("the bounds are in order");
        let mut result = OpenLoadResult { latencies, refused: 0, failed: 0, late };
        while let Some(outcome) = received_outcomes.recv().await {
            match outcome {
                CallOutcome::Answered(latency) => {
                    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                    result.latencies.saturating_record(micros);
                }
                CallOutcome::Refused => result.refused += 1,
                CallOutcome::Failed => result.failed += 1,
            }
        }
        result
    }

    /// Makes one call. Its latency counts from when the call was due. This avoids coordinated
    /// omission: a caller held up by a slow answer to another call does not hide the delay.
    fn call(
        &self,
        entry: SocketAddr,
        due: Instant,
    ) -> impl Future<Output = CallOutcome> + Send + 'static {
        let client = self.client.clone();
        let uri = format!("http://{entry}{}", self.plan.path);
        async move {
            let Ok(request) = Request::get(uri).body(Empty::new()) else {
                return CallOutcome::Failed;
            };
            let Ok(answer) = client.request(request).await else { return CallOutcome::Failed };
            let status = answer.status();
            let not_run =
                answer.headers().get("jacinthpulley-verdict").is_some_and(|v| v == "not-run");
            match answer.into_body().collect().await {
                Ok(_) if status.is_success() => CallOutcome::Answered(due.elapsed()),
                Ok(_) if not_run => CallOutcome::Refused,
                _ => CallOutcome::Failed,
            }
        }
    }
}
