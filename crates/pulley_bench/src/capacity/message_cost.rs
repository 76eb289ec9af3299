//! Measures the time of one message: a sealed datagram over a socket and an announcement.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::Result;
use nix::sys::resource::{UsageWho, getrusage};
use nix::sys::time::TimeValLike;
use pulley_core::Moment;
use pulley_core::process::UpstreamRegistry;
use pulleyd::connection::{DatagramSeal, FrameClass, KeyRing, PeerDatagrams};
use tokio::sync::mpsc;

use super::network::announcement;

/// The key shared by both ends.
const KEY: &str = "a-key-for-measurements-0123456789abcdef";
/// The number of datagrams in flight at once: fewer than a socket's buffer holds.
const BURST: u32 = 32;
/// The number of datagrams sent for each size.
const DATAGRAMS: u32 = 64_000;
/// The number of announcements that are processed.
const ANNOUNCEMENTS: u64 = 1_000_000;

/// Runs both measurements.
pub(super) fn run() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    for size in [50, 500, 1_200] {
        runtime.block_on(time_datagrams(size))?;
    }
    time_announcements();
    Ok(())
}

/// Returns the processor time that the whole process has used so far.
fn processor_time() -> Result<Duration> {
    let usage = getrusage(UsageWho::RUSAGE_SELF)?;
    let micros = (usage.user_time() + usage.system_time()).num_microseconds();
    Ok(Duration::from_micros(u64::try_from(micros)?))
}

async fn time_datagrams(size: usize) -> Result<()> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let seal = |host: &str| -> Result<DatagramSeal> {
        Ok(DatagramSeal::new(host.parse()?, "capacity".parse()?, KeyRing::from_text(KEY)?))
    };
    let (inbound, mut received) = mpsc::channel(256);
    let (unused_sender, _unused_receiver) = mpsc::channel(1);
    let receiver = PeerDatagrams::bind(any_port, seal("far-host")?, inbound).await?;
    let sender = PeerDatagrams::bind(any_port, seal("near-host")?, unused_sender).await?;
    let to = receiver.local_address()?;
    let body = vec![7; size];
    let before = processor_time()?;
    let mut arrived = 0_u32;
    for _ in 0..DATAGRAMS / BURST {
        let sent = (0..BURST).filter(|_| sender.send(to, FrameClass::Counts, &body)).count();
        for _ in 0..sent {
            let datagram = tokio::time::timeout(Duration::from_secs(1), received.recv()).await;
            arrived += u32::from(matches!(datagram, Ok(Some(_))));
        }
    }
    let spent = processor_time()? - before;
    println!(
        "scenario=datagram body_bytes={size} arrived={arrived} of={DATAGRAMS} \
         cpu_us_sent_and_received={:.2}",
        spent.as_secs_f64() * 1e6 / f64::from(arrived.max(1)),
    );
    Ok(())
}

/// Measures announcements of 1,200 upstreams, renewed at one host without pause.
fn time_announcements() {
    const UPSTREAMS: u64 = 1_200;
    let mut registry = UpstreamRegistry::new();
    let mut spent = Duration::ZERO;
    for number in 0..ANNOUNCEMENTS {
        let upstream = usize::try_from(number % UPSTREAMS).unwrap_or(0);
        let announcement = announcement(upstream, 1, number / UPSTREAMS + 1);
        let now = Moment::from_micros(number);
        let started = Instant::now();
        let _ = registry.announce(now, announcement);
        spent += started.elapsed();
    }
    println!(
        "scenario=announcement upstreams={UPSTREAMS} count={ANNOUNCEMENTS} wall_us={:.3}",
        spent.as_secs_f64() * 1e6 / ANNOUNCEMENTS as f64,
    );
}
