//! Tests of the operators' commands with a simulated store.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use serde_json::Value;
use serde_json::json;
use stackcourse_testutils::stub_server::any_port;
use stackcourse_testutils::stub_store;

fn run_command(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stackcourse"));
    command.args(args).output().expect("the binary runs")
}

fn to_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A temporary directory, removed when it is dropped.
struct TempDir(PathBuf);

impl TempDir {
    fn new() -> TempDir {
        let name = format!("stackcourse-test-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a directory");
        TempDir(path)
    }

    fn file(&self, name: &str, value: &Value) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, value.to_string()).expect("a file");
        path.display().to_string()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn config(service: &str) -> Value {
    json!({"services": {service: {"halls": ["*"], "zones": ["*"]}}})
}

/// Each finding must name the file and the JSON pointer of its place.
#[test]
fn test_check_findings() {
    let dir = TempDir::new();
    let file = dir.file(
        "c.json",
        &json!({"services": {"q": {"halls": ["h"]}}, "x": 1}),
    );
    let output = run_command(&["check", &file]);
    assert_eq!(output.status.code(), Some(3));
    let error = to_text(&output.stderr).replace(&file, "c.json");
    insta::assert_snapshot!(error);
}

/// Applying the same file again must change nothing, and a file with an outdated base must be refused. The
/// audit lists the applied versions with their authors.
#[test]
fn test_apply_repeat_and_conflict() {
    let dir = TempDir::new();
    let store = stub_store::start(any_port());
    let url = store.url();
    let one = dir.file("one.json", &config("quote"));
    let two = dir.file("two.json", &config("form"));
    let apply = |file: &str, author: &str, more: &[&str]| {
        let mut args = vec!["apply", file, "--author", author, "--store", &url];
        args.extend(more);
        run_command(&args)
    };
    assert_eq!(apply(&one, "ann", &[]).status.code(), Some(0));
    let again = apply(&one, "ann", &[]);
    assert!(to_text(&again.stdout).contains("version 1 already has this configuration"));
    assert_eq!(apply(&two, "bob", &["--base", "1"]).status.code(), Some(0));
    let outdated = apply(&one, "cat", &["--base", "1"]);
    assert_eq!(outdated.status.code(), Some(4));
    assert!(
        to_text(&outdated.stderr).contains("applied by bob"),
        "{outdated:?}"
    );
    let audit = run_command(&["audit", "--json", "--store", &url]);
    let lines: Value = serde_json::from_slice(&audit.stdout).expect("JSON");
    let authors: Vec<&Value> = lines
        .as_array()
        .expect("a list")
        .iter()
        .map(|l| &l["author"])
        .collect();
    assert_eq!(authors, ["ann", "bob"]);
    assert_eq!(lines[1]["chained"], true);
}

/// Apply without a reachable store must exit with code 5 and a hint.
#[test]
fn test_apply_store_unreachable() {
    let dir = TempDir::new();
    let file = dir.file("one.json", &config("quote"));
    let output = run_command(&["apply", &file, "--store", "http://127.0.0.1:9"]);
    assert_eq!(output.status.code(), Some(5));
    assert!(to_text(&output.stderr).contains("hint: "));
}

/// All findings of a settings file must be reported at once, not only the first.
#[test]
fn test_entry_settings_findings() {
    let dir = TempDir::new();
    let file = dir.file("e.json", &json!({"name": "e1", "http": "x"}));
    let output = run_command(&["entry", "--settings", &file]);
    assert_eq!(output.status.code(), Some(3));
    let error = to_text(&output.stderr);
    for pointer in ["/http", "/listen", "/zone", "/store"] {
        assert!(error.contains(pointer), "{pointer} is missing: {error}");
    }
}

/// The schema command must print a JSON schema.
#[test]
fn test_schema_output() {
    let output = run_command(&["schema"]);
    let schema: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(schema["title"], "Configuration");
}

/// Every command must have a help text, and the program's help must list the exit codes.
#[test]
fn test_help_output() {
    for command in ["dev", "entry", "agent", "check", "apply", "audit", "status"] {
        let output = run_command(&[command, "--help"]);
        assert_eq!(output.status.code(), Some(0), "{command}");
    }
    let help = to_text(&run_command(&["--help"]).stdout);
    assert!(help.contains("Exit codes:"), "{help}");
}
