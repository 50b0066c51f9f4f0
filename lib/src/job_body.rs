//! Parses the body of a job: `{"tasks": [JSON, ...], "deadline_ms": N}`.
//!
//! Tasks are kept as the bytes that the caller sent. Their number and nesting depth are limited here; their
//! content is not interpreted.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

/// The maximum number of tasks of a job.
pub const MAX_TASKS: usize = 220;
/// The maximum nesting depth of JSON arrays and objects in a body.
pub const MAX_DEPTH: usize = 64;

/// A job as the caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobBody {
    /// The tasks, each a JSON value.
    pub tasks: Vec<Bytes>,
    /// The deadline, in milliseconds from the request; `None` if the caller did not state one.
    pub deadline_ms: Option<u64>,
}

/// Why a body is not a valid job.
#[derive(Debug, Error)]
pub enum JobBodyError {
    /// The body is nested too deeply.
    #[error("the body nests deeper than {MAX_DEPTH} levels")]
    Depth,
    /// The body is not JSON of the expected form.
    #[error("the body is not `{{\"tasks\": [...], \"deadline_ms\": N}}`: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The job has no tasks, or too many.
    #[error("/tasks holds {0} tasks; a job has 1 to {MAX_TASKS}")]
    Count(usize),
    /// The deadline is zero.
    #[error("/deadline_ms must be at least 1")]
    Deadline,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBody<'a> {
    #[serde(borrow)]
    tasks: Vec<&'a RawValue>,
    #[serde(default)]
    deadline_ms: Option<u64>,
}

impl JobBody {
    /// Parses a body. The tasks share its memory.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body.
    pub fn parse(body: &Bytes) -> Result<JobBody, JobBodyError> {
        if depth(body) > MAX_DEPTH {
            return Err(JobBodyError::Depth);
        }
        let raw: RawBody<'_> = serde_json::from_slice(body)?;
        if raw.tasks.is_empty() || raw.tasks.len() > MAX_TASKS {
            return Err(JobBodyError::Count(raw.tasks.len()));
        }
        if raw.deadline_ms == Some(0) {
            return Err(JobBodyError::Deadline);
        }
        let share = |task: &&RawValue| body.slice_ref(task.get().as_bytes());
        Ok(JobBody {
            tasks: raw.tasks.iter().map(share).collect(),
            deadline_ms: raw.deadline_ms,
        })
    }
}

/// Returns the nesting depth of arrays and objects in JSON text.
pub fn depth(text: &[u8]) -> usize {
    let mut deepest = 0;
    let mut depth: usize = 0;
    let mut in_string = false;
    let mut escaped = false;
    for &byte in text {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b'[' | b'{' => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

/// Returns the JSON array of some JSON values.
pub fn json_list<'a>(values: impl Iterator<Item = &'a [u8]>) -> Bytes {
    let mut list = vec![b'['];
    for (i, value) in values.enumerate() {
        if i > 0 {
            list.push(b',');
        }
        list.extend_from_slice(value);
    }
    list.push(b']');
    Bytes::from(list)
}

#[cfg(test)]
mod tests;
