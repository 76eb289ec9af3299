//! Callers that send at a fixed rate or as fast as answers arrive.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, eyre};
use futures::future::join_all;
use hdrhistogram::Histogram;
use http::{Request, Uri};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use pulleyd::process::{ProcessClock, TimerService};
use tokio::net::TcpStream;

/// The longest latency that is recorded: a minute. Latencies are recorded from 1 µs on, with three
/// significant digits.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// The number of calls that warm up each connection before a run. They are not counted.
const WARM_UP_CALLS: usize = 50;

/// The key that callers send. Paths without organisations ignore it.
pub(super) const CALLERS_KEY: &str = "a-key-of-the-bench-0123456789abcdef";

type Sender = SendRequest<Full<Bytes>>;

/// The result of one run.
pub(super) struct LoadResult {
    pub(super) latencies: Histogram<u64>,
    pub(super) errors: u64,
}

/// Callers that use a fixed number of connections.
pub(super) struct CallerLoad {
    connections: usize,
    duration: Duration,
    clock: ProcessClock,
    timer: TimerService,
}

/// Makes an empty histogram of latencies in microseconds.
pub(super) fn new_histogram() -> Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).map_err(|fault| eyre!("{fault}"))
}

impl CallerLoad {
    pub(super) fn new(connections: usize, duration: Duration) -> Result<Self> {
        let clock = ProcessClock::start();
        Ok(Self { connections, duration, clock, timer: TimerService::start(clock)? })
    }

    pub(super) const fn duration(&self) -> Duration {
        self.duration
    }

    /// Runs a closed loop: each connection sends its next call as soon as it has its answer.
    pub(super) async fn closed_loop(&self, address: SocketAddr) -> Result<LoadResult> {
        let mut tasks = Vec::new();
        for mut sender in self.connect(address).await? {
            let deadline = Instant::now() + self.duration;
            tasks.push(tokio::spawn(async move {
                let mut result = LoadResult { latencies: new_histogram()?, errors: 0 };
                while Instant::now() < deadline {
                    let started = Instant::now();
                    let answered = call(&mut sender).await;
                    result.record(started.elapsed(), answered.is_ok());
                    answered?;
                }
                Ok(result)
            }));
        }
        merge(join_all(tasks).await)
    }

    /// Runs an open loop: all connections together send `rate` calls a second, evenly spread. The
    /// latency of a call counts from its due time and so includes the wait for the previous call of
    /// its connection. Otherwise the slowest answers would hide the delay of the calls behind them
    /// (coordinated omission).
    pub(super) async fn open_loop(&self, address: SocketAddr, rate: u64) -> Result<LoadResult> {
        let interval = Duration::from_secs_f64(self.connections as f64 / rate.max(1) as f64);
        let calls = (self.duration.as_secs_f64() / interval.as_secs_f64()) as u32;
        let senders = self.connect(address).await?;
        let start = self.clock.now() + Duration::from_millis(5);
        let mut tasks = Vec::new();
        for (index, mut sender) in senders.into_iter().enumerate() {
            let first_due = start + interval.mul_f64(index as f64 / self.connections as f64);
            let (clock, timer) = (self.clock, self.timer.clone());
            tasks.push(tokio::spawn(async move {
                let mut result = LoadResult { latencies: new_histogram()?, errors: 0 };
                for number in 0..calls {
                    let due = first_due + interval * number;
                    let _ = timer.at(due).await;
                    let answered = call(&mut sender).await;
                    result.record(clock.now().since(due), answered.is_ok());
                    answered?;
                }
                Ok(result)
            }));
        }
        merge(join_all(tasks).await)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Vec<Sender>> {
        let mut senders = Vec::new();
        for _ in 0..self.connections {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let (sender, connection) = handshake(TokioIo::new(stream)).await?;
            tokio::spawn(connection);
            senders.push(sender);
        }
        let warm_ups = senders.iter_mut().map(|sender| async move {
            for _ in 0..WARM_UP_CALLS {
                call(sender).await?;
            }
            Ok::<_, eyre::Report>(())
        });
        join_all(warm_ups).await.into_iter().collect::<Result<()>>()?;
        Ok(senders)
    }
}

impl LoadResult {
    fn record(&mut self, latency: Duration, is_answered: bool) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
        self.latencies.saturating_record(micros.clamp(1, MAX_LATENCY_MICROS));
        self.errors += u64::from(!is_answered);
    }
}

type TaskResult = Result<Result<LoadResult>, tokio::task::JoinError>;

fn merge(results: Vec<TaskResult>) -> Result<LoadResult> {
    let mut total = LoadResult { latencies: new_histogram()?, errors: 0 };
    for result in results {
        let result = result??;
        total.latencies.add(&result.latencies).map_err(|fault| eyre!("{fault}"))?;
        total.errors += result.errors;
    }
    Ok(total)
}

async fn call(sender: &mut Sender) -> Result<()> {
    sender.ready().await?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static("/cover/lookup?vessel=7");
    request.headers_mut().insert("host", http::HeaderValue::from_static("bench"));
    let credentials = http::HeaderValue::from_str(&format!("Bearer {CALLERS_KEY}"))?;
    request.headers_mut().insert("authorization", credentials);
    let response = sender.send_request(request).await?;
    let status = response.status();
    let _ = response.into_body().collect().await?;
    if status.is_success() { Ok(()) } else { Err(eyre!("status {status}")) }
}
