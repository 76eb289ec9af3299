//! The protocol between hosts: the Rust code generated from the Cap'n Proto schema in
//! `schema/peer.capnp`.
//!
//! Run `scripts/generate-wire` to regenerate it. Where the generator is installed, CI checks that
//! the committed code matches the schema.

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
