use super::Policy;
use crate::findings::Findings;
use serde_json::json;
use std::time::Duration;

fn read(value: serde_json::Value) -> (Policy, Vec<String>) {
    let mut findings = Findings::new("policy");
    let policy = Policy::read(&value, &mut findings);
    let list = findings.into_list();
    let lines = list.iter().map(|f| format!("{}: {}", f.pointer, f.message));
    (policy, lines.collect())
}

#[test]
fn test_policy_defaults() {
    assert_eq!(read(json!({})), (Policy::default(), Vec::new()));
}

#[test]
fn test_policy_overridden_fields() {
    let (policy, findings) = read(json!({
        "admission": { "sure_share": 0.5, "late_wait_ms": 10, "round_jobs": 7 },
    }));
    assert_eq!(findings, Vec::<String>::new());
    assert_eq!(policy.admission.sure_share, 0.5);
    assert_eq!(policy.admission.late_wait, Duration::from_millis(10));
    assert_eq!(policy.admission.round_jobs, 7);
    assert_eq!(policy.placement, Policy::default().placement);
}

#[test]
fn test_policy_invalid_fields() {
    let (policy, findings) = read(json!({
        "admission": { "sure_share": 7, "late_wait": 10 },
        "health": 3,
        "luck": {},
    }));
    assert_eq!(policy, Policy::default());
    assert_eq!(findings.len(), 4, "{findings:?}");
    assert!(findings[0].starts_with("/admission/sure_share: must be a number from 0 to 1"));
    assert!(findings[1].starts_with("/admission/late_wait: unknown field"));
    assert!(findings[2].starts_with("/health: must be an object"));
    assert!(findings[3].starts_with("/luck: unknown field"));
}

#[test]
fn test_policy_lapse_too_short() {
    let (_, findings) = read(json!({ "leases": { "worker_hold_ms": 600 } }));
    assert_eq!(findings.len(), 1);
    assert!(findings[0].starts_with("/leases/lapse_ms: must be longer"));
}

#[test]
fn test_policy_deserialize_errors() {
    let text = r#"{"health": {"stall_ms": 0, "failures": "x"}}"#;
    let error = serde_json::from_str::<Policy>(text).expect_err("findings");
    let message = error.to_string();
    assert!(message.contains("/health/stall_ms"), "{message}");
    assert!(message.contains("/health/failures"), "{message}");
}

/// `docs/SETTINGS.md` lists each field with its default, its range and its meaning.
#[test]
fn test_policy_fields_are_listed() {
    let page = include_str!("../../../../docs/SETTINGS.md");
    let mut missing = Vec::new();
    for field in Policy::field_docs() {
        let line = format!(
            "| `{}` | {} | {} | {} |",
            field.name, field.default, field.range, field.meaning
        );
        if !page.contains(&line) {
            missing.push(line);
        }
    }
    assert!(missing.is_empty(), "missing:\n{}", missing.join("\n"));
}
