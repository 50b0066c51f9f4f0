//! Messages between the processes, generated from the schemas in `protos/`.
//!
//! The generated files are committed; `cargo run -p stackcourse-gen-protos` makes them anew.

#[allow(missing_docs, clippy::all)]
pub mod wire {
    include!("protos/stackcourse.wire.rs");
}

/// Messages between schedulers and executors.
#[allow(missing_docs, clippy::all)]
pub mod dispatch {
    include!("protos/stackcourse.dispatch.rs");
}
