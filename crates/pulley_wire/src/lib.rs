//! The peer protocol: its Cap'n Proto schema in `schema/peer.capnp`, and the code made from it.
//!
//! Regenerate with `scripts/generate-wire`; CI compares where the generator is installed.

#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::unimplemented,
    clippy::unwrap_used,
    missing_docs,
    rust_2018_idioms,
    unreachable_pub,
    unused_qualifications,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod peer_capnp;
