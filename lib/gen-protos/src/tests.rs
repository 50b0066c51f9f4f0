//! Tests of `main`.

use super::*;

const OUTPUTS: [&str; 2] = ["stackcourse.wire.rs", "stackcourse.dispatch.rs"];

#[test]
fn test_committed_output_matches_schema() {
    let name = format!("stackcourse-protos-{}", std::process::id());
    let out = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&out).expect("a directory");
    generate(&out).expect("the schema compiles");
    for name in OUTPUTS {
        let generated = std::fs::read_to_string(out.join(name)).expect("output");
        let committed = std::fs::read_to_string(schema_dir().join(name)).expect("output");
        assert_eq!(
            generated, committed,
            "run `cargo run -p stackcourse-gen-protos`"
        );
    }
    let _ = std::fs::remove_dir_all(&out);
}
