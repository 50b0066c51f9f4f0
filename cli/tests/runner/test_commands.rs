//! The operators' commands against the stand-in store.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use serde_json::Value;
use serde_json::json;
use stackcourse_testutils::stub_server::any_port;
use stackcourse_testutils::stub_store;

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stackcourse"));
    command.args(args).output().expect("the binary runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

struct Dir(PathBuf);

impl Dir {
    fn new() -> Dir {
        let name = format!("stackcourse-test-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a directory");
        Dir(path)
    }

    fn file(&self, name: &str, value: &Value) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, value.to_string()).expect("a file");
        path.display().to_string()
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn config(service: &str) -> Value {
    json!({"services": {service: {"halls": ["*"], "zones": ["*"]}}})
}

#[test]
fn test_check_command_reports_findings_with_place() {
    let dir = Dir::new();
    let file = dir.file(
        "c.json",
        &json!({"services": {"q": {"halls": ["h"]}}, "x": 1}),
    );
    let output = run(&["check", &file]);
    assert_eq!(output.status.code(), Some(3));
    let error = text(&output.stderr).replace(&file, "c.json");
    insta::assert_snapshot!(error);
}

#[test]
fn test_apply_command_is_safe_to_run_again_and_audited() {
    let dir = Dir::new();
    let store = stub_store::start(any_port());
    let url = store.url();
    let one = dir.file("one.json", &config("quote"));
    let two = dir.file("two.json", &config("form"));
    let apply = |file: &str, author: &str, more: &[&str]| {
        let mut args = vec!["apply", file, "--author", author, "--store", &url];
        args.extend(more);
        run(&args)
    };
    assert_eq!(apply(&one, "ann", &[]).status.code(), Some(0));
    let again = apply(&one, "ann", &[]);
    assert!(text(&again.stdout).contains("version 1 already says this"));
    assert_eq!(apply(&two, "bob", &["--base", "1"]).status.code(), Some(0));
    let late = apply(&one, "cat", &["--base", "1"]);
    assert_eq!(late.status.code(), Some(4));
    assert!(text(&late.stderr).contains("applied by bob"), "{late:?}");
    let audit = run(&["audit", "--json", "--store", &url]);
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

#[test]
fn test_apply_command_without_a_store_changes_nothing() {
    let dir = Dir::new();
    let file = dir.file("one.json", &config("quote"));
    let output = run(&["apply", &file, "--store", "http://127.0.0.1:9"]);
    assert_eq!(output.status.code(), Some(5));
    assert!(text(&output.stderr).contains("hint: "));
}

#[test]
fn test_entry_command_reports_all_findings_of_settings() {
    let dir = Dir::new();
    let file = dir.file("e.json", &json!({"name": "e1", "http": "x"}));
    let output = run(&["entry", "--settings", &file]);
    assert_eq!(output.status.code(), Some(3));
    let error = text(&output.stderr);
    for pointer in ["/http", "/listen", "/zone", "/store"] {
        assert!(error.contains(pointer), "{pointer} is missing: {error}");
    }
}

#[test]
fn test_schema_command_prints_a_schema() {
    let output = run(&["schema"]);
    let schema: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(schema["title"], "Configuration");
}

#[test]
fn test_every_command_has_help() {
    for command in ["dev", "entry", "agent", "check", "apply", "audit", "status"] {
        let output = run(&[command, "--help"]);
        assert_eq!(output.status.code(), Some(0), "{command}");
    }
    let help = text(&run(&["--help"]).stdout);
    assert!(help.contains("Exit codes:"), "{help}");
}
