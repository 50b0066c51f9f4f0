//! Tests of `configuration`.

use super::*;

#[test]
fn test_configuration_collects_findings_with_place() {
    let text = br#"{"services": {"a/b": {"halls": [], "zones": ["z", 3], "repeat": "no",
        "team": "x", "colour": 1}}, "teams": {"t": {"weight": 0}}, "limit": {}}"#;
    let findings = Configuration::parse("c.json", text).unwrap_err();
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn test_configuration_round_trips_through_json() {
    let text = br#"{"services": {"quote": {"halls": ["h1"], "zones": ["*"], "team": "t"}},
        "teams": {"t": {"quota": 4}}}"#;
    let read = Configuration::parse("c.json", text).unwrap();
    let again = serde_json::to_vec(&read).unwrap();
    assert_eq!(Configuration::parse("c.json", &again), Ok(read));
}

#[test]
fn test_service_permitted_sites() {
    let text = br#"{"services": {"q": {"halls": ["h1"], "zones": ["z1", "z2"]}}}"#;
    let read = Configuration::parse("c.json", text).unwrap();
    let site = |hall, zone| Site {
        name: "a",
        hall,
        zone,
    };
    let service = &read.services["q"];
    assert!(service.permits(site("h1", "z2")));
    assert!(!service.permits(site("h2", "z2")));
    assert!(!service.permits(site("h1", "z3")));
    assert!(read.part(1, site("h2", "z1")).services.is_empty());
}

#[test]
fn test_configuration_diff_names_pointers() {
    let parse = |text: &str| Configuration::parse("c", text.as_bytes()).unwrap();
    let old = parse(r#"{"services": {"a": {"halls": ["h"], "zones": ["z"]}}}"#);
    let new = parse(
        r#"{"services": {"b": {"halls": ["h"], "zones": ["z"]}},
        "limits": {"queue": 5}}"#,
    );
    insta::assert_snapshot!(old.diff(&new).join("\n"));
}
