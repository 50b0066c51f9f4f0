//! Generates `lib/src/protos/*.rs` from the Protocol Buffers schemas in the same folder.
//!
//! The output is committed, so that ordinary builds do not run this program. It needs no `protoc`, because a
//! library compiles the schemas.

use std::error::Error;
use std::path::Path;
use std::path::PathBuf;

/// The schema files; each has its own package.
const SCHEMAS: [&str; 2] = ["wire.proto", "dispatch.proto"];

fn main() -> Result<(), Box<dyn Error>> {
    generate(&schema_dir())
}

/// Returns the folder of the schemas and of the generated code.
fn schema_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../src/protos")
}

/// Compiles the schemas and writes the generated code to `out`.
fn generate(out: &Path) -> Result<(), Box<dyn Error>> {
    let root = schema_dir();
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
