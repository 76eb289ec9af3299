//! A value in its compressed encoding, as it is kept and sent.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A value in its compressed encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedValue(Bytes);

impl PackedValue {
    pub(crate) fn pack<T: Serialize>(value: &T) -> Self {
        let encoded = postcard::to_stdvec(value).expect("plain data types always encode");
        Self(Bytes::from(lz4_flex::compress_prepend_size(&encoded)))
    }

    /// Reads the value, unless it takes more than `limit` bytes or cannot be read.
    pub(crate) fn unpack<T: DeserializeOwned>(&self, limit: usize) -> Option<T> {
        // The size that the packed form claims is memory to be set aside: it is checked first.
        let claimed = u32::from_le_bytes(*self.0.first_chunk()?);
        if usize::try_from(claimed).ok()? > limit {
            return None;
        }
        let encoded = lz4_flex::decompress_size_prepended(&self.0).ok()?;
        match postcard::take_from_bytes(&encoded) {
            Ok((value, [])) => Some(value),
            _ => None,
        }
    }

    /// How many bytes the packed form takes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.0.len()
    }
}
