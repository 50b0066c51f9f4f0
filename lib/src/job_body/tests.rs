//! Tests of `job_body`.

use assert_matches::assert_matches;

use super::*;

fn parse(text: &str) -> Result<JobBody, JobBodyError> {
    JobBody::parse(&Bytes::copy_from_slice(text.as_bytes()))
}

#[test]
fn test_job_body_keeps_tasks_as_sent() {
    let body = parse(r#"{"tasks": [{"a":  1}, "x"], "deadline_ms": 5}"#).unwrap();
    assert_eq!(body.tasks, [r#"{"a":  1}"#, r#""x""#]);
    assert_eq!(body.deadline_ms, Some(5));
}

#[test]
fn test_job_body_limits() {
    assert_matches!(parse(r#"{"tasks": []}"#), Err(JobBodyError::Count(0)));
    let many = format!(r#"{{"tasks": [{}1]}}"#, "1,".repeat(MAX_TASKS));
    assert_matches!(parse(&many), Err(JobBodyError::Count(221)));
    let deep = format!(r#"{{"tasks": [{}{}]}}"#, "[".repeat(90), "]".repeat(90));
    assert_matches!(parse(&deep), Err(JobBodyError::Depth));
    assert_matches!(
        parse(r#"{"tasks": [1], "x": 1}"#),
        Err(JobBodyError::Syntax(_))
    );
    assert_matches!(parse(r#"{"tasks": [1"#), Err(JobBodyError::Syntax(_)));
    let none = parse(r#"{"tasks": [1], "deadline_ms": 0}"#);
    assert_matches!(none, Err(JobBodyError::Deadline));
}

#[test]
fn test_depth_brackets_in_strings() {
    assert_eq!(depth(br#"["[[\"[", {"a": []}]"#), 3);
}
