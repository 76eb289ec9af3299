//! The secret keys with which hosts of one installation authenticate each other.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use arc_swap::ArcSwap;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Minimum length of a key, in characters.
const MIN_KEY_LENGTH: usize = 32;
/// Maximum number of keys in a file: the one that signs, and those of a rotation in progress.
const MAX_KEYS: usize = 4;
/// Minimum length of a tag, in bytes: half of a SHA-256 tag, as RFC 2104 section 5 allows.
const MIN_TAG_LENGTH: usize = 16;

/// The result of loading keys or reading them again.
pub type KeyResult<T> = Result<T, KeyFault>;

/// Why a secret file can't be used. The message never contains a key.
#[derive(Debug, Error)]
pub enum KeyFault {
    /// The file can't be read.
    #[error("can't read the secret file {}: {source}", path.display())]
    Unreadable {
        /// The path from which the keys were to be read.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file contains no key.
    #[error("the secret file holds no key")]
    Empty,
    /// The file contains too many keys.
    #[error("the secret file holds more than {MAX_KEYS} keys")]
    TooMany,
    /// A key is too short to be safe.
    #[error("the key on line {line} of the secret file has fewer than {MIN_KEY_LENGTH} characters")]
    TooShort {
        /// The line number, counted from 1.
        line: usize,
    },
}

/// The installation's keys: the first signs, and all of them verify.
///
/// To rotate, add the new key as a second line on every host, then move it to the first line on
/// every host, then remove the old key. [`Self::reload`] applies each step without a restart.
#[derive(Clone)]
pub struct KeyRing {
    path: Option<Arc<Path>>,
    keys: Arc<ArcSwap<Vec<Hmac<Sha256>>>>,
    text: Arc<ArcSwap<String>>,
}

impl KeyRing {
    /// Reads a secret file with one key per line. Blank lines and lines that begin with `#` are
    /// skipped.
    ///
    /// # Errors
    /// [`KeyFault`] if the file can't be read or holds no usable key.
    pub fn load(path: impl Into<PathBuf>) -> KeyResult<Self> {
        let path: PathBuf = path.into();
        let text = read(&path)?;
        let ring = Self::from_text(&text)?;
        Ok(Self { path: Some(Arc::from(path)), ..ring })
    }

    /// Creates a key ring from the text of a secret file.
    ///
    /// # Errors
    /// [`KeyFault`] if the text holds no usable key.
    pub fn from_text(text: &str) -> KeyResult<Self> {
        let keys = parse(text)?;
        Ok(Self {
            path: None,
            keys: Arc::new(ArcSwap::from_pointee(keys)),
            text: Arc::new(ArcSwap::from_pointee(text.to_owned())),
        })
    }

    /// Creates a key ring with one random key, for a process that shares none with others.
    ///
    /// # Panics
    /// Never, as HMAC takes keys of any length.
    #[must_use]
    pub fn random() -> Self {
        let key: [u8; MIN_KEY_LENGTH] = rand::random();
        let key = Hmac::new_from_slice(&key).expect("HMAC takes keys of any length");
        let (keys, text) = (Arc::new(ArcSwap::from_pointee(vec![key])), Arc::default());
        Self { path: None, keys, text }
    }

    /// Reads the file again. All clones of the key ring then use the new keys. Returns whether the
    /// file has changed. On an error the keys stay as they were.
    ///
    /// # Errors
    /// [`KeyFault`] if the file can't be read or holds no usable key.
    pub fn reload(&self) -> KeyResult<bool> {
        let Some(path) = &self.path else {
            return Ok(false);
        };
        let text = read(path)?;
        if text == **self.text.load() {
            return Ok(false);
        }
        let keys = parse(&text)?;
        self.keys.store(Arc::new(keys));
        self.text.store(Arc::new(text));
        Ok(true)
    }

    /// Signs a list of parts with the first key.
    ///
    /// # Panics
    /// Never, as a key ring always has at least one key.
    #[must_use]
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        let keys = self.keys.load();
        let first = keys.first().expect("a key ring has at least one key");
        digest(first, parts).finalize().into_bytes().into()
    }

    /// Whether a tag over a list of parts was made with one of the keys. The tag may be truncated
    /// to 16 bytes or more. The comparison takes constant time, so that an attacker cannot find a
    /// tag byte by byte.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        if tag.len() < MIN_TAG_LENGTH {
            return false;
        }
        let keys = self.keys.load();
        keys.iter().any(|key| digest(key, parts).verify_truncated_left(tag).is_ok())
    }

    /// Whether a text is one of the keys. The comparison takes constant time, as it compares a
    /// digest under the presented key with digests under the ring's keys.
    #[must_use]
    pub fn accepts(&self, presented: &[u8]) -> bool {
        const CONTEXT: &[u8] = b"operator";
        let Ok(key) = Hmac::<Sha256>::new_from_slice(presented) else { return false };
        let tag = digest(&key, &[CONTEXT]).finalize().into_bytes();
        self.verify(&[CONTEXT], &tag)
    }
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyRing").field("keys", &self.keys.load().len()).finish_non_exhaustive()
    }
}

fn read(path: &Path) -> KeyResult<String> {
    std::fs::read_to_string(path)
        .map_err(|source| KeyFault::Unreadable { path: path.to_owned(), source })
}

fn parse(text: &str) -> KeyResult<Vec<Hmac<Sha256>>> {
    let mut keys = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let key = line.trim();
        if key.is_empty() || key.starts_with('#') {
            continue;
        }
        if key.len() < MIN_KEY_LENGTH {
            return Err(KeyFault::TooShort { line: index + 1 });
        }
        keys.push(Hmac::new_from_slice(key.as_bytes()).expect("HMAC takes keys of any length"));
    }
    match keys.len() {
        0 => Err(KeyFault::Empty),
        1..=MAX_KEYS => Ok(keys),
        _ => Err(KeyFault::TooMany),
    }
}

/// Digests a list of parts. The length of each part is included, so that no two different lists
/// give the same input.
fn digest(key: &Hmac<Sha256>, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = key.clone();
    for part in parts {
        let length = u32::try_from(part.len()).unwrap_or(u32::MAX);
        mac.update(&length.to_le_bytes());
        mac.update(part);
    }
    mac
}
