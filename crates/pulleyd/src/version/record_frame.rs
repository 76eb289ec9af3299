//! The framing of records in a file. Each record is stored with its length, a checksum and the
//! number of its write group.

use postcard::Error as EncodingError;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Marks the start of a frame, so that frames can be found again after damage.
const MAGIC: [u8; 4] = *b"jplr";

/// Size of the frame header in bytes: magic, length, checksum, group.
const HEADER_SIZE: usize = 20;

/// The largest accepted payload in bytes, so that a damaged length cannot claim gigabytes.
const PAYLOAD_LIMIT: usize = 512 << 20;

/// Flag bit that marks the first frame of a group.
const GROUP_START: u64 = 1 << 63;

/// The number of a group of frames that were written and synced together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WriteGroup(pub(crate) u64);

/// A frame read from a file.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordFrame<'a> {
    pub(crate) group: WriteGroup,
    pub(crate) is_group_start: bool,
    pub(crate) payload: &'a [u8],
    /// The offset of the next frame.
    pub(crate) end: usize,
}

impl RecordFrame<'_> {
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, EncodingError> {
        postcard::from_bytes(self.payload)
    }
}

/// Appends a record to a buffer as a frame.
pub(crate) fn push_frame<T: Serialize>(
    buffer: &mut Vec<u8>,
    group: WriteGroup,
    is_group_start: bool,
    record: &T,
) -> Result<(), EncodingError> {
    let payload = postcard::to_allocvec(record)?;
    let length = u32::try_from(payload.len()).map_err(|_| EncodingError::SerializeBufferFull)?;
    let tag = if is_group_start { group.0 | GROUP_START } else { group.0 };
    let checksum = frame_checksum(length, tag, &payload);
    buffer.extend_from_slice(&MAGIC);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&checksum.to_le_bytes());
    buffer.extend_from_slice(&tag.to_le_bytes());
    buffer.extend_from_slice(&payload);
    Ok(())
}

/// Reads the frame at an offset. Returns `None` if it is incomplete or damaged.
pub(crate) fn read_frame(bytes: &[u8], offset: usize) -> Option<RecordFrame<'_>> {
    let header = bytes.get(offset..offset.checked_add(HEADER_SIZE)?)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let checksum = u32::from_le_bytes(header[8..12].try_into().ok()?);
    let tag = u64::from_le_bytes(header[12..20].try_into().ok()?);
    let size = usize::try_from(length).ok().filter(|size| *size <= PAYLOAD_LIMIT)?;
    let start = offset + HEADER_SIZE;
    let payload = bytes.get(start..start + size)?;
    if frame_checksum(length, tag, payload) != checksum {
        return None;
    }
    let group = WriteGroup(tag & !GROUP_START);
    Some(RecordFrame { group, is_group_start: tag & GROUP_START != 0, payload, end: start + size })
}

/// Returns whether the damage at `offset` is in data that had been synced.
///
/// A group is written only after the previous one was synced. If a later group follows the damage,
/// the damaged data was durable once, and truncating it would silently lose entries that were
/// acknowledged to other replicas. Without a later group, the damage is a write that a power loss
/// interrupted, which was never acknowledged.
pub(crate) fn was_synced(bytes: &[u8], offset: usize, last_intact: WriteGroup) -> bool {
    let next_group = last_intact.0 + 1;
    let mut from = offset + 1;
    while let Some(found) = find_magic(bytes, from) {
        if let Some(frame) = read_frame(bytes, found) {
            let starts_next = frame.group.0 == next_group && frame.is_group_start;
            if frame.group.0 > next_group || starts_next {
                return true;
            }
        }
        from = found + 1;
    }
    false
}

fn find_magic(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    rest.windows(MAGIC.len()).position(|window| window == MAGIC).map(|at| from + at)
}

fn frame_checksum(length: u32, tag: u64, payload: &[u8]) -> u32 {
    let head = crc32c::crc32c(&length.to_le_bytes());
    let tagged = crc32c::crc32c_append(head, &tag.to_le_bytes());
    crc32c::crc32c_append(tagged, payload)
}
