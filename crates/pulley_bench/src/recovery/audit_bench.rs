//! Measures how long a search through old audit records takes.

use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use eyre::{Result, eyre};
use pulley_core::process::MemberId;
use pulley_core::version::{
    AUDIT_CHUNK, AuditChunk, AuditFilter, AuditRead, AuditRecord, ChangeAnswer, ConfigVersion,
    PersistBatch, ReplicaIdentity,
};
use pulleyd::version::{LogStorage, SystemFolder, read_audit};

/// The number of chunks written: about 73 days at 2,100 changes a day, a tenth of two years.
const CHUNKS: u64 = 600;

/// Writes audit chunks and searches all of them for a change that none contains.
pub(crate) fn measure_audit(folder: &Path) -> Result<()> {
    let folder = tempfile::tempdir_in(folder)?;
    let identity =
        ReplicaIdentity { host: "host-0".parse()?, member: MemberId(1), cluster: "bench".parse()? };
    let (mut storage, _) = LogStorage::open(folder.path(), &identity)?;
    let started = Instant::now();
    for number in 0..CHUNKS {
        let audit = vec![Arc::new(chunk(number)?)];
        storage.write(&[PersistBatch { audit, ..PersistBatch::default() }])?;
    }
    let write_time = started.elapsed();
    let mut bytes = 0;
    for item in std::fs::read_dir(folder.path())? {
        bytes += item?.metadata()?.len();
    }
    let change_id = Some("not-there".parse()?);
    let read = AuditRead {
        id: 1,
        chunks: (0..CHUNKS).rev().collect(),
        filter: AuditFilter { change_id, ..AuditFilter::default() },
        limit: 1,
    };
    let started = Instant::now();
    read_audit(&SystemFolder::open(folder.path())?, &read)
        .ok_or_else(|| eyre!("an audit chunk is missing"))?;
    println!(
        "part=audit records={} chunks={CHUNKS} bytes={bytes} write_ms_per_chunk={:.2} \
         search_ms={:.1}",
        CHUNKS * AUDIT_CHUNK as u64,
        write_time.as_secs_f64() * 1e3 / CHUNKS as f64,
        started.elapsed().as_secs_f64() * 1e3,
    );
    Ok(())
}

fn chunk(number: u64) -> Result<AuditChunk> {
    let records = (0..AUDIT_CHUNK as u64)
        .map(|place| {
            let index = number * AUDIT_CHUNK as u64 + place;
            Ok(AuditRecord {
                index,
                unix_ms: 1_700_000_000_000 + index,
                actor: "morning-planner".parse()?,
                change_id: format!("planner-2026-12-03-{index}").parse()?,
                base: ConfigVersion(index),
                diff: "~broker-desks/cover-check share 50.00%>51.00%".to_owned(),
                outcome: "accepted".into(),
                answer: ChangeAnswer::Accepted { version: ConfigVersion(index + 1) },
            })
        })
        .collect::<Result<_>>()?;
    Ok(AuditChunk { number, records })
}
