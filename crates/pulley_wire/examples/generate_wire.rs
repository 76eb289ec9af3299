//! Generates the Rust code of the peer protocol from its schema. The argument is the output folder.

fn main() -> Result<(), capnp::Error> {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    capnpc::CompilerCommand::new()
        .src_prefix("crates/pulley_wire/schema")
        .file("crates/pulley_wire/schema/peer.capnp")
        .output_path(folder)
        .run()
}
