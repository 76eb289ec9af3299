//! Identifies a request by what decides what an upstream does with it.

use std::sync::OnceLock;

use http::header::{HOST, HeaderValue};
use http::request::Parts;
use http::{Method, Uri};
use pulley_core::process::{ContentDigest, ContentHead};

use super::{BodySource, TrafficContext};
use crate::connection::KeyRing;

/// Keeps digests of contents apart from other uses of the installation's keys.
const DIGEST_CONTEXT: &[u8] = b"content";

/// What an upstream sees of a request that decides what it does: method, host, path with query, and
/// body. Ids, deadlines and connections differ between attempts and are left out.
#[derive(Debug)]
pub(super) struct RequestContent {
    method: Method,
    host: Option<HeaderValue>,
    uri: Uri,
    body: BodySource,
    head: OnceLock<ContentHead>,
    digest: OnceLock<ContentDigest>,
}

impl RequestContent {
    /// Refers to the content of a request.
    pub(super) fn new(parts: &Parts, body: &BodySource) -> Self {
        Self {
            method: parts.method.clone(),
            host: parts.headers.get(HOST).cloned(),
            uri: parts.uri.clone(),
            body: body.clone(),
            head: OnceLock::new(),
            digest: OnceLock::new(),
        }
    }

    /// Whether any content with the same head is suspected.
    pub(super) fn may_be_suspect(&self, context: &TrafficContext) -> bool {
        let gate = &context.quarantine;
        gate.has_any_suspects() && gate.has_suspects(self.head(&context.content_keys))
    }

    /// Returns the content's digest while any content with the same head is suspected, if the whole
    /// body has been read.
    pub(super) fn suspect_digest(&self, context: &TrafficContext) -> Option<ContentDigest> {
        if !self.may_be_suspect(context) {
            return None;
        }
        self.digest(&context.content_keys)
    }

    /// Returns the content's digest; `None` if the body has not been read whole.
    pub(super) fn digest(&self, keys: &KeyRing) -> Option<ContentDigest> {
        if let Some(digest) = self.digest.get() {
            return Some(*digest);
        }
        let body = self.body.digest()?;
        let tag = self.sign(keys, &[body.as_slice()]);
        Some(*self.digest.get_or_init(|| ContentDigest::new(self.head(keys), &tag)))
    }

    /// Reads the rest of the body and returns the content's digest. Earlier attempts cannot read any
    /// more of the body, and later ones only if it is short enough to be kept.
    pub(super) async fn read_digest(&self, context: &TrafficContext) -> Option<ContentDigest> {
        if self.digest.get().is_none() && self.body.digest().is_none() {
            self.body.read_rest(&context.held_bodies).await;
        }
        self.digest(&context.content_keys)
    }

    /// Reads and keeps the whole body before it is sent, and returns the content's digest; `None` if
    /// the body is too long for that.
    pub(super) async fn read_digest_to_send(
        &self,
        context: &TrafficContext,
    ) -> Option<ContentDigest> {
        if self.digest.get().is_none() && self.body.digest().is_none() {
            self.body.keep_rest(&context.held_bodies).await;
        }
        self.digest(&context.content_keys)
    }

    fn head(&self, keys: &KeyRing) -> ContentHead {
        *self.head.get_or_init(|| ContentHead::from_tag(&self.sign(keys, &[])))
    }

    /// Signs method, host, path and `rest`.
    fn sign(&self, keys: &KeyRing, rest: &[&[u8]]) -> [u8; 32] {
        let host = self.host.as_ref().map(|host| host.as_bytes().to_ascii_lowercase());
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let head: [&[u8]; 4] = [
            DIGEST_CONTEXT,
            self.method.as_str().as_bytes(),
            host.as_deref().unwrap_or_default(),
            path.as_bytes(),
        ];
        let parts: Vec<&[u8]> = head.into_iter().chain(rest.iter().copied()).collect();
        keys.sign(&parts)
    }
}
