//! The messages by which a host asks another for a connection to an upstream.
//!
//! The asking host connects to the other's address for peers and sends [`RELAY_PREAMBLE`] and a
//! nonce. The other answers with its own nonce, and gets a [`RelayRequest`], which it answers with a
//! [`RelayReply`]. Both messages carry a proof over both nonces, so that only members are served and
//! no message can be replayed. After [`RelayOutcome::Connected`] the bytes of the upstream's
//! connection follow: plain ones to the upstream, and framed ones from it (see
//! [`super::relay_stream`]).

use std::io;
use std::time::Duration;

use pulley_core::process::{ClusterId, Incarnation};
use pulley_core::{HostId, PoolName, UpstreamId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::peer_gate::{LinkNonces, NONCE_LENGTH};
use super::peer_key_ring::KeyRing;

/// The result of reading or writing a message.
type Result<T> = io::Result<T>;

/// The first bytes of a connection that is to be relayed. Links between hosts begin with a zero
/// byte, so the first byte tells the two apart.
pub(crate) const RELAY_PREAMBLE: [u8; 4] = *b"rly2";

/// Maximum size of a message, in bytes. It is read before its sender is authenticated.
const MESSAGE_LIMIT: usize = 512;

/// Asks for a connection to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayRequest {
    /// The asking host.
    pub(crate) host: HostId,
    /// The upstream to connect to, at the address that the other host knows.
    pub(crate) upstream: UpstreamId,
    /// The pool in which the upstream must be.
    pub(crate) pool: PoolName,
    /// The rest that the upstream has asked of the other host in an answer that it relayed. No
    /// connection is wanted then.
    pub(crate) rest: Option<RelayRest>,
    pub(crate) proof: [u8; 32],
}

/// A rest that an upstream has asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayRest {
    /// The incarnation that has asked for it.
    pub(crate) incarnation: Incarnation,
    /// The time left of it.
    pub(crate) span: Duration,
}

/// Answers a [`RelayRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayReply {
    pub(crate) outcome: RelayOutcome,
    pub(crate) proof: [u8; 32],
}

/// What became of a request for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RelayOutcome {
    /// The connection is open.
    Connected,
    /// The other host shuts down.
    Draining,
    /// The other host relays as many connections as it may.
    Full,
    /// The other host has lost its own path to upstreams.
    CutOff,
    /// The other host doesn't know the upstream, or knows that it takes no work.
    UnknownUpstream,
    /// The other host can't connect to the upstream.
    Unreachable,
    /// The other host keeps a rest that the upstream has asked for.
    Resting,
}

impl RelayOutcome {
    /// Returns the outcome as a short name for logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Draining => "draining",
            Self::Full => "full",
            Self::CutOff => "cut-off",
            Self::UnknownUpstream => "unknown-upstream",
            Self::Unreachable => "unreachable",
            Self::Resting => "resting",
        }
    }
}

/// The secret and the nonces of one connection, which sign and verify its messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelaySigner<'a> {
    pub(crate) key_ring: &'a KeyRing,
    pub(crate) cluster: &'a ClusterId,
    pub(crate) nonces: LinkNonces,
}

impl RelaySigner<'_> {
    pub(crate) fn sign_request(&self, request: &mut RelayRequest) {
        let proof = self.with_request(request, |parts| self.key_ring.sign(parts));
        request.proof = proof;
    }

    pub(crate) fn verify_request(&self, request: &RelayRequest) -> bool {
        self.with_request(request, |parts| self.key_ring.verify(parts, &request.proof))
    }

    pub(crate) fn reply(&self, outcome: RelayOutcome) -> RelayReply {
        let proof = self.with_reply(outcome, |parts| self.key_ring.sign(parts));
        RelayReply { outcome, proof }
    }

    pub(crate) fn verify_reply(&self, reply: &RelayReply) -> bool {
        self.with_reply(reply.outcome, |parts| self.key_ring.verify(parts, &reply.proof))
    }

    fn with_request<T>(&self, request: &RelayRequest, use_parts: impl FnOnce(&[&[u8]]) -> T) -> T {
        let LinkNonces { initiator, responder } = &self.nonces;
        let rest = request.rest.map(|rest| {
            let (seconds, nanos) = (rest.span.as_secs(), rest.span.subsec_nanos());
            (rest.incarnation.0.to_be_bytes(), seconds.to_be_bytes(), nanos.to_be_bytes())
        });
        let (incarnation, seconds, nanos) = rest.as_ref().map_or_else(Default::default, |rest| {
            (rest.0.as_slice(), rest.1.as_slice(), rest.2.as_slice())
        });
        use_parts(&[
            b"relay request",
            self.cluster.as_str().as_bytes(),
            initiator,
            responder,
            request.host.as_str().as_bytes(),
            request.upstream.as_str().as_bytes(),
            request.pool.as_str().as_bytes(),
            incarnation,
            seconds,
            nanos,
        ])
    }

    fn with_reply<T>(&self, outcome: RelayOutcome, use_parts: impl FnOnce(&[&[u8]]) -> T) -> T {
        let LinkNonces { initiator, responder } = &self.nonces;
        use_parts(&[
            b"relay reply",
            self.cluster.as_str().as_bytes(),
            initiator,
            responder,
            outcome.as_str().as_bytes(),
        ])
    }
}

/// Reads a nonce.
pub(crate) async fn read_nonce(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<[u8; NONCE_LENGTH]> {
    let mut nonce = [0; NONCE_LENGTH];
    stream.read_exact(&mut nonce).await?;
    Ok(nonce)
}

/// Reads a message, preceded by its length.
pub(crate) async fn read_message<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<T> {
    let length = usize::from(stream.read_u16().await?);
    if length > MESSAGE_LIMIT {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(|_| io::ErrorKind::InvalidData.into())
}

/// Writes a message, preceded by its length.
pub(crate) async fn write_message<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<()> {
    let body = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let length = u16::try_from(body.len()).map_err(io::Error::other)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await
}
