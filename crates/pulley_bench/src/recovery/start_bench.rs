//! Measures how long a replica takes from its start until it has recovered its last state.

use std::path::Path;
use std::time::Instant;

use eyre::{Result, bail};
use pulley_core::Moment;
use pulley_core::process::MemberId;
use pulley_core::version::{ConfigVersion, ReplicaDriver, ReplicaIdentity, ReplicaSettings};
use pulleyd::version::LogStorage;

use super::replica_cluster::ReplicaCluster;
use super::stream_bench::{SHEET_BYTES, change};

/// Measures the start of a replica for several log lengths, with and without snapshots.
pub(crate) fn measure_starts(folder: &Path) -> Result<()> {
    for changes in [100, 1_000, 5_000] {
        for snapshots in [true, false] {
            measure_start(folder, changes, snapshots)?;
        }
    }
    Ok(())
}

fn measure_start(folder: &Path, changes: u64, snapshots: bool) -> Result<()> {
    let folder = tempfile::tempdir_in(folder)?;
    let defaults = ReplicaSettings::default();
    let snapshot_bytes = if snapshots { defaults.snapshot_bytes } else { usize::MAX };
    let settings = defaults.with_snapshot_bytes(snapshot_bytes);
    let cluster = ReplicaCluster::start(1, folder.path(), &settings)?;
    for number in 0..changes {
        cluster.ask(number, change(number, SHEET_BYTES)?);
        cluster.next_answer()?;
    }
    drop(cluster);
    let bytes = folder_size(&folder.path().join("replica-0"))?;
    let started = Instant::now();
    // Includes one election timeout: even a single replica has to be elected again before it leads
    // and knows which entries are committed.
    let cluster = ReplicaCluster::start(1, folder.path(), &settings)?;
    let elected = started.elapsed();
    cluster.ask(changes, change(changes, SHEET_BYTES)?);
    let (_, answer) = cluster.next_answer()?;
    let served = started.elapsed();
    let expected = format!("{:?}", ConfigVersion(changes + 1));
    if !format!("{answer:?}").contains(&expected) {
        bail!("the replica did not recover its last state: {answer:?}");
    }
    println!(
        "part=start changes={changes} sheet_bytes={SHEET_BYTES} snapshots={snapshots} \
         folder_bytes={bytes} elected_ms={:.1} served_ms={:.1} recovery_ms={:.1}",
        elected.as_secs_f64() * 1e3,
        served.as_secs_f64() * 1e3,
        recovery_ms(folder.path())?,
    );
    Ok(())
}

/// Returns the milliseconds that it takes to open the folder and create the driver, without the
/// election.
fn recovery_ms(folder: &Path) -> Result<f64> {
    let identity =
        ReplicaIdentity { host: "host-0".parse()?, member: MemberId(1), cluster: "bench".parse()? };
    // Opens a copy, because the running replica holds the lock of the folder.
    let copy = tempfile::tempdir_in(folder)?;
    for item in std::fs::read_dir(folder.join("replica-0"))? {
        let item = item?;
        std::fs::copy(item.path(), copy.path().join(item.file_name()))?;
    }
    let started = Instant::now();
    let (_storage, recovered) = LogStorage::open(copy.path(), &identity)?;
    let settings = ReplicaSettings::default();
    let driver = ReplicaDriver::new(identity, recovered, settings, Moment::ZERO, 1);
    let elapsed = started.elapsed().as_secs_f64() * 1e3;
    drop(driver);
    Ok(elapsed)
}

fn folder_size(folder: &Path) -> Result<u64> {
    let mut bytes = 0;
    for item in std::fs::read_dir(folder)? {
        bytes += item?.metadata()?.len();
    }
    Ok(bytes)
}
