//! Messages between processes, generated from the schemas in `protos/`.
//!
//! The generated files are committed; `cargo run -p stackcourse-gen-protos` regenerates them.

/// Messages between entries, and between entries and agents.
#[allow(missing_docs, clippy::all)]
pub mod wire {
    include!("protos/stackcourse.wire.rs");
}

/// Messages between schedulers and executors.
#[allow(missing_docs, clippy::all)]
pub mod dispatch {
    include!("protos/stackcourse.dispatch.rs");
}
