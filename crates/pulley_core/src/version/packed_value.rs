//! Values in compressed encoding, as they are stored and sent.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A value in compressed encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedValue(Bytes);

impl PackedValue {
    pub(crate) fn pack<T: Serialize>(value: &T) -> Self {
        let encoded = postcard::to_stdvec(value).expect("plain data types always encode");
        Self(Bytes::from(lz4_flex::compress_prepend_size(&encoded)))
    }

    /// Decodes the value; `None` if it takes more than `limit` bytes or cannot be decoded.
    pub(crate) fn unpack<T: DeserializeOwned>(&self, limit: usize) -> Option<T> {
        // Decompression allocates the declared size, so it is checked against the limit first.
        let declared_size = u32::from_le_bytes(*self.0.first_chunk()?);
        if usize::try_from(declared_size).ok()? > limit {
            return None;
        }
        let encoded = lz4_flex::decompress_size_prepended(&self.0).ok()?;
        match postcard::take_from_bytes(&encoded) {
            Ok((value, [])) => Some(value),
            _ => None,
        }
    }

    /// Returns the compressed size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.0.len()
    }
}
