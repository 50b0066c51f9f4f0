//! The body of a job: `{"tasks": [JSON, ...], "deadline_ms": N}`.
//!
//! Tasks are kept as the bytes the caller sent; they are bounded here and not interpreted.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

/// The most tasks a job may have.
pub const MAX_TASKS: usize = 220;
/// The deepest nesting of JSON lists and objects in a body.
pub const MAX_DEPTH: usize = 64;

/// A job as its caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobBody {
    /// One JSON value a task.
    pub tasks: Vec<Bytes>,
    /// The caller's deadline, in milliseconds from the request.
    pub deadline_ms: Option<u64>,
}

/// Why a body can't be a job.
#[derive(Debug, Error)]
pub enum JobBodyError {
    /// It nests too deeply.
    #[error("the body nests deeper than {MAX_DEPTH} levels")]
    Depth,
    /// It is not the JSON asked for.
    #[error("the body is not `{{\"tasks\": [...], \"deadline_ms\": N}}`: {0}")]
    Syntax(#[from] serde_json::Error),
    /// It has no tasks, or too many.
    #[error("/tasks holds {0} tasks; a job has 1 to {MAX_TASKS}")]
    Count(usize),
    /// The deadline is no time at all.
    #[error("/deadline_ms must be at least 1")]
    Deadline,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw<'a> {
    #[serde(borrow)]
    tasks: Vec<&'a RawValue>,
    #[serde(default)]
    deadline_ms: Option<u64>,
}

impl JobBody {
    /// Reads a body. The tasks share its memory.
    ///
    /// # Errors
    ///
    /// What is wrong with it, and where.
    pub fn parse(body: &Bytes) -> Result<JobBody, JobBodyError> {
        if depth(body) > MAX_DEPTH {
            return Err(JobBodyError::Depth);
        }
        let raw: Raw<'_> = serde_json::from_slice(body)?;
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

/// How deeply lists and objects nest in a JSON text.
pub fn depth(text: &[u8]) -> usize {
    let mut deepest = 0;
    let mut level: usize = 0;
    let mut quoted = false;
    let mut escaped = false;
    for &byte in text {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            _ if quoted => {}
            b'[' | b'{' => {
                level += 1;
                deepest = deepest.max(level);
            }
            b']' | b'}' => level = level.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

/// The JSON list of some JSON values.
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
