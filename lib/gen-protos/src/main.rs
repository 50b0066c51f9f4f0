//! Generates the files `lib/src/protos/*.rs` from the schemas beside them.
//!
//! The output is committed, so an ordinary build does not run this program. It needs no
//! `protoc`: the schema is compiled by a library.

use std::error::Error;
use std::path::Path;
use std::path::PathBuf;

/// The schemas, of one package each.
const SCHEMAS: [&str; 2] = ["wire.proto", "dispatch.proto"];

fn main() -> Result<(), Box<dyn Error>> {
    generate(&protos())
}

/// Where the schema stands, and its output beside it.
fn protos() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../src/protos")
}

fn generate(out: &Path) -> Result<(), Box<dyn Error>> {
    let root = protos();
    let schemas = SCHEMAS.map(|name| root.join(name));
    let files = protox::compile(schemas, [&root])?;
    prost_build::Config::new()
        .out_dir(out)
        .bytes(["."])
        .compile_fds(files)?;
    Ok(())
}

#[cfg(test)]
mod tests;
