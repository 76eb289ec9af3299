//! Reads a data folder at startup. A torn write at the end of the log is discarded; any other
//! damage is an error.

use std::sync::Arc;

use bytes::Bytes;
use pulley_core::version::{
    LogEntry, LogIndex, RecoveredState, ReplicaMembership, ReplicaSnapshot, SnapshotPosition,
    VoteRecord,
};
use serde::{Deserialize, Serialize};

use super::audit_reader::chunk_number;
use super::disk_folder::DiskFolder;
use super::record_frame::{WriteGroup, read_frame, was_synced};
use super::storage_fault::{Result, StorageFault};

const SEGMENT_PREFIX: &str = "log-";
const SEGMENT_SUFFIX: &str = ".segment";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const SNAPSHOT_SUFFIX: &str = ".state";

/// One record of a segment.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum LogRecord {
    /// The election state from this record on.
    Vote(VoteRecord),
    /// Entries from this index on are no longer part of the log.
    Truncate(LogIndex),
    /// The founding membership that this disk has agreed to.
    Promise(ReplicaMembership),
    /// The next entry.
    Entry(Arc<LogEntry>),
}

/// The header of a snapshot file. The state follows unframed, so that a large one is not copied.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SnapshotHeader {
    pub(crate) position: SnapshotPosition,
    pub(crate) size: u64,
    pub(crate) checksum: u32,
}

/// A log segment on disk.
#[derive(Clone, Debug)]
pub(crate) struct SegmentFile {
    pub(crate) number: u64,
    /// The highest entry index in it.
    pub(crate) highest: LogIndex,
    pub(crate) length: u64,
}

impl SegmentFile {
    pub(crate) fn name(&self) -> String {
        segment_name(self.number)
    }
}

/// The contents of a data folder.
#[derive(Debug, Default)]
pub(crate) struct FolderContents {
    pub(crate) recovered: RecoveredState,
    pub(crate) segments: Vec<SegmentFile>,
    pub(crate) last_group: WriteGroup,
    /// How many bytes of a torn write were discarded.
    pub(crate) torn_bytes: u64,
}

pub(crate) fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:020}{SEGMENT_SUFFIX}")
}

pub(crate) fn snapshot_name(index: LogIndex) -> String {
    format!("{SNAPSHOT_PREFIX}{:020}{SNAPSHOT_SUFFIX}", index.0)
}

pub(crate) fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix(SEGMENT_PREFIX)?.strip_suffix(SEGMENT_SUFFIX)?.parse().ok()
}

pub(crate) fn snapshot_number(name: &str) -> Option<u64> {
    name.strip_prefix(SNAPSHOT_PREFIX)?.strip_suffix(SNAPSHOT_SUFFIX)?.parse().ok()
}

/// Reads the newest snapshot, the audit chunk numbers and all segments of a folder.
pub(crate) fn read_folder<D: DiskFolder>(folder: &D) -> Result<FolderContents> {
    let names = folder.file_names().map_err(StorageFault::disk("data folder"))?;
    let mut contents = FolderContents::default();
    contents.recovered.snapshot = newest_snapshot(folder, &names)?;
    contents.recovered.audit_chunks = names.iter().filter_map(|name| chunk_number(name)).collect();
    let numbers: Vec<u64> = names.iter().filter_map(|name| segment_number(name)).collect();
    for (position, number) in numbers.iter().enumerate() {
        let is_last = position + 1 == numbers.len();
        read_segment(folder, *number, is_last, &mut contents)?;
    }
    Ok(contents)
}

fn newest_snapshot<D: DiskFolder>(
    folder: &D,
    names: &[String],
) -> Result<Option<Arc<ReplicaSnapshot>>> {
    let newest = names.iter().filter_map(|name| snapshot_number(name)).max();
    let Some(number) = newest else { return Ok(None) };
    let name = snapshot_name(LogIndex(number));
    let bytes = read_file(folder, &name)?;
    // The file was synced before it was renamed, so any fault in it is damage, not a torn write.
    let Some(frame) = read_frame(&bytes, 0) else {
        return Err(StorageFault::damaged(&name, 0, "the snapshot checksum does not match"));
    };
    let header = frame
        .decode::<SnapshotHeader>()
        .map_err(|error| StorageFault::damaged(&name, 0, error.to_string()))?;
    let begin = frame.end;
    let state = Bytes::from(bytes).slice(begin..);
    if state.len() as u64 != header.size || crc32c::crc32c(&state) != header.checksum {
        return Err(StorageFault::damaged(&name, begin, "the state checksum does not match"));
    }
    Ok(Some(Arc::new(ReplicaSnapshot { position: header.position, state })))
}

fn read_segment<D: DiskFolder>(
    folder: &D,
    number: u64,
    is_last: bool,
    contents: &mut FolderContents,
) -> Result<()> {
    let name = segment_name(number);
    let bytes = read_file(folder, &name)?;
    let mut segment = SegmentFile { number, highest: LogIndex(0), length: 0 };
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(frame) = read_frame(&bytes, offset) else {
            if !is_last || was_synced(&bytes, offset, contents.last_group) {
                return Err(StorageFault::damaged(
                    &name,
                    offset,
                    "a record checksum does not match",
                ));
            }
            contents.torn_bytes = (bytes.len() - offset) as u64;
            break;
        };
        let record = frame
            .decode::<LogRecord>()
            .map_err(|error| StorageFault::damaged(&name, offset, error.to_string()))?;
        replay(&name, offset, record, &mut segment, &mut contents.recovered)?;
        contents.last_group = contents.last_group.max(frame.group);
        offset = frame.end;
    }
    segment.length = offset as u64;
    contents.segments.push(segment);
    Ok(())
}

fn replay(
    name: &str,
    offset: usize,
    record: LogRecord,
    segment: &mut SegmentFile,
    recovered: &mut RecoveredState,
) -> Result<()> {
    let base = recovered.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.position.index);
    match record {
        LogRecord::Vote(vote) => recovered.vote = vote,
        LogRecord::Promise(members) => recovered.promise = Some(members),
        LogRecord::Truncate(index) => recovered.entries.retain(|entry| entry.index < index),
        LogRecord::Entry(entry) => {
            segment.highest = segment.highest.max(entry.index);
            if entry.index <= base {
                return Ok(());
            }
            let last = recovered.entries.last().map_or(base, |entry| entry.index);
            if entry.index != last.next() {
                let what = format!("entry {} follows entry {last}", entry.index);
                return Err(StorageFault::damaged(name, offset, what));
            }
            recovered.entries.push(entry);
        }
    }
    Ok(())
}

fn read_file<D: DiskFolder>(folder: &D, name: &str) -> Result<Vec<u8>> {
    let bytes = folder.read(name).map_err(StorageFault::disk(name))?;
    bytes.ok_or_else(|| StorageFault::damaged(name, 0, "the file is missing"))
}
