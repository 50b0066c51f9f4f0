//! Job ids: UUIDs of version 7 (RFC 9562).
//!
//! The caller mints the id of a job and uses the same id when it submits the job again.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;
use uuid::Uuid;
use uuid::Variant;

use crate::protos::wire;

/// The id of a job. Its first 48 bits are the time at which the caller minted it, so ids are ordered by that
/// time.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(Uuid);

/// Why a string is not a job id.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum JobIdError {
    /// The string is not a UUID.
    #[error("`{0}` is not a UUID")]
    Malformed(String),
    /// The UUID is of another version, which has no mint time at that place.
    #[error("`{0}` is not a UUID of version 7 (RFC 9562)")]
    Version(String),
}

impl JobId {
    /// Returns an id of a mint time in milliseconds since the Unix epoch and 10 random bytes.
    pub fn mint(unix_ms: u64, random: &[u8; 10]) -> JobId {
        let builder = uuid::Builder::from_unix_timestamp_millis(unix_ms, random);
        JobId(builder.into_uuid())
    }

    /// Returns when the caller minted the id, in milliseconds since the Unix epoch.
    pub fn minted_ms(self) -> u64 {
        self.wire().high >> 16
    }

    /// Returns the 16 bytes of the id.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }

    /// Converts the id for a message between processes.
    pub fn wire(self) -> wire::Job {
        let (high, low) = self.0.as_u64_pair();
        wire::Job { high, low }
    }

    /// Converts an id from a message; `None` if it is absent.
    pub fn from_wire(job: Option<wire::Job>) -> Option<JobId> {
        job.map(|j| JobId(Uuid::from_u64_pair(j.high, j.low)))
    }

    /// Returns a lower bound of the ids that are minted at this time.
    pub fn floor(unix_ms: u64) -> JobId {
        JobId(Uuid::from_u64_pair(unix_ms << 16, 0))
    }
}

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<JobId, JobIdError> {
        let Ok(id) = Uuid::try_parse(text) else {
            return Err(JobIdError::Malformed(text.to_owned()));
        };
        let is_v7 = id.get_version_num() == 7 && id.get_variant() == Variant::RFC4122;
        if !is_v7 {
            return Err(JobIdError::Version(text.to_owned()));
        }
        Ok(JobId(id))
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The key of a task: the job and the index of the task in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The index of the task in the job, from 0.
    pub task: u32,
}

#[cfg(test)]
mod tests;
