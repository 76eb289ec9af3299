//! Measures the messages and bytes that replicas send to each other.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use eyre::Result;
use pulley_core::version::ReplicaSettings;

use super::replica_cluster::ReplicaCluster;
use super::stream_bench::row_change;

const REPLICAS: usize = 5;
const IDLE_TIME: Duration = Duration::from_secs(10);
const CHANGES: u64 = 40;

/// Measures what five replicas send, both idle and for each change of one row in a large sheet.
pub(crate) fn measure_traffic(folder: &Path) -> Result<()> {
    let folder = tempfile::tempdir_in(folder)?;
    let cluster = ReplicaCluster::start(REPLICAS, folder.path(), &ReplicaSettings::default())?;
    cluster.ask(0, row_change(0)?);
    cluster.next_answer()?;
    let (messages, bytes) = sent(&cluster);
    thread::sleep(IDLE_TIME);
    let (idle_messages, idle_bytes) = sent(&cluster);
    let seconds = IDLE_TIME.as_secs_f64();
    println!(
        "part=traffic replicas={REPLICAS} load=idle messages_per_second={:.1} \
         bytes_per_second={:.0}",
        (idle_messages - messages) as f64 / seconds,
        (idle_bytes - bytes) as f64 / seconds,
    );
    let (_, before) = sent(&cluster);
    for number in 1..=CHANGES {
        cluster.ask(number, row_change(number)?);
        cluster.next_answer()?;
    }
    let (_, after) = sent(&cluster);
    println!(
        "part=traffic replicas={REPLICAS} load=changes bytes_per_change={:.0}",
        (after - before) as f64 / CHANGES as f64,
    );
    Ok(())
}

fn sent(cluster: &ReplicaCluster) -> (u64, u64) {
    let traffic = cluster.traffic();
    (traffic.messages.load(Ordering::Relaxed), traffic.bytes.load(Ordering::Relaxed))
}
