//! Job ids: UUIDs of version 7 (RFC 9562), minted by the caller and kept on resubmission.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;
use uuid::Uuid;
use uuid::Variant;

use crate::protos::wire;

/// The id of a job. Its first 48 bits are the time at which the caller minted it, so ids sort
/// by that time.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(Uuid);

/// Why a text is not a job id.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum JobIdError {
    /// The text is no UUID.
    #[error("`{0}` is not a UUID")]
    Malformed(String),
    /// The UUID is of a version without a mint time.
    #[error("`{0}` is not a UUID of version 7 (RFC 9562)")]
    Version(String),
}

impl JobId {
    /// Builds an id from a mint time in Unix milliseconds and 10 bytes of randomness.
    pub fn mint(unix_ms: u64, random: &[u8; 10]) -> JobId {
        let builder = uuid::Builder::from_unix_timestamp_millis(unix_ms, random);
        JobId(builder.into_uuid())
    }

    /// When the caller minted the id, in milliseconds since the Unix epoch.
    pub fn minted_ms(self) -> u64 {
        self.wire().high >> 16
    }

    /// The id's 16 bytes.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }

    /// The id as it travels between processes.
    pub fn wire(self) -> wire::Job {
        let (high, low) = self.0.as_u64_pair();
        wire::Job { high, low }
    }

    /// Reads an id from a message; `None` if it is absent.
    pub fn from_wire(job: Option<wire::Job>) -> Option<JobId> {
        job.map(|j| JobId(Uuid::from_u64_pair(j.high, j.low)))
    }

    /// The smallest id that could have been minted at this time.
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
        let right = id.get_version_num() == 7 && id.get_variant() == Variant::RFC4122;
        if !right {
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

/// One task of a job, by its place in the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The place of the task in the job, from 0.
    pub task: u32,
}

#[cfg(test)]
mod tests;
