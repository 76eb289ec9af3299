//! Contents under which upstreams have ended.

mod content_key;

pub use content_key::ContentDigest;

use super::NameFault;
