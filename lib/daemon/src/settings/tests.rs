//! Tests of `settings`.

use super::*;

#[test]
fn test_entry_settings_findings() {
    let text = br#"{"name": "e 1", "http": "localhost:80", "listen": "127.0.0.1:1",
        "store": "http://127.0.0.1:8500", "confirm_ms": 1500, "colour": 3,
        "policy": "best"}"#;
    let error = EntrySettings::parse("e.json", text).unwrap_err();
    let SettingsError::Findings(list) = error else {
        panic!("other error");
    };
    let lines: Vec<String> = list.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn test_agent_settings_defaults() {
    let text = br#"{"name": "w1", "zone": "z", "hall": "h", "room": {"slots": 8},
        "entries": ["127.0.0.1:7001"], "backend": "http://127.0.0.1:9000"}"#;
    let settings = AgentSettings::parse("a.json", text).unwrap();
    assert_eq!((settings.connections, settings.setup.room.slots), (60, 8));
    assert_eq!(settings.http, None);
}

/// Limits that can't be kept together are found, and a body that can never be held.
#[test]
fn test_entry_settings_limits() {
    let findings = |more: &str| {
        let text = format!(
            r#"{{"name": "e1", "zone": "z", "http": "127.0.0.1:1", "listen": "127.0.0.1:2",
            "store": "http://127.0.0.1:8500", {more}}}"#
        );
        match EntrySettings::parse("e.json", text.as_bytes()) {
            Ok(_) => Vec::new(),
            Err(SettingsError::Findings(list)) => list.iter().map(|f| f.pointer.clone()).collect(),
            Err(other) => panic!("{other}"),
        }
    };
    assert!(findings(r#""memory_mb": 120"#).is_empty());
    assert_eq!(findings(r#""memory_mb": 40"#), ["/body_bytes"]);
    assert_eq!(
        findings(r#""client_memory_mb": 4, "body_bytes": 4000000"#),
        ["/body_bytes"]
    );
    assert_eq!(
        findings(r#""memory_mb": 100, "client_memory_mb": 60"#),
        [""]
    );
}
