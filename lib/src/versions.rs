//! Configuration versions, which are immutable.
//!
//! Version `n` is stored under the key `config/<n>`, which is written only if it is absent. Therefore only
//! one of several concurrent operators succeeds, the versions are the audit trail, and a lost answer of the
//! store is resolved by reading the key and comparing the change id.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;
use thiserror::Error;

use crate::configuration::Configuration;

/// The maximum size of a value in the store, in bytes.
pub const MAX_VALUE: usize = 1024 * 1024;

/// The key of a hint at the newest version. The hint may lag; the stored versions are authoritative.
pub const HEAD_KEY: &str = "config-head";

/// Returns the key of a version.
pub fn version_key(version: u64) -> String {
    format!("config/{version}")
}

/// A configuration version as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The version number, from 1.
    pub version: u64,
    /// The change id, random for each change.
    pub change: String,
    /// Who applied the change.
    pub author: String,
    /// When it was applied, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The digest of the value of the previous version; empty for the first version.
    pub previous: String,
    /// The configuration document as the operator wrote it.
    pub config: Value,
}

/// Why a version can't be used.
#[derive(Debug, Error)]
pub enum VersionError {
    /// The value is not the JSON of a version.
    #[error("version {version} can't be read")]
    Malformed {
        /// The version number.
        version: u64,
        /// The parse error.
        source: serde_json::Error,
    },
    /// The version in the value differs from that in the key.
    #[error("the key of version {key} holds version {held}")]
    Misplaced {
        /// The number in the key.
        key: u64,
        /// The number in the value.
        held: u64,
    },
    /// The configuration has findings.
    #[error("version {version}: {first}")]
    Findings {
        /// The version number.
        version: u64,
        /// The first finding.
        first: String,
    },
}

impl Version {
    /// Parses a version from the value of its key.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a version, or not this version.
    pub fn parse(version: u64, value: &[u8]) -> Result<Version, VersionError> {
        let read: Result<Version, _> = serde_json::from_slice(value);
        let read = read.map_err(|source| VersionError::Malformed { version, source })?;
        if read.version != version {
            let held = read.version;
            return Err(VersionError::Misplaced { key: version, held });
        }
        Ok(read)
    }

    /// Returns the configuration of the version.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration has findings. A newer or older release may have accepted it.
    pub fn configuration(&self) -> Result<Configuration, VersionError> {
        let text = serde_json::to_vec(&self.config).unwrap_or_default();
        let read = Configuration::parse("config", &text);
        read.map_err(|list| VersionError::Findings {
            version: self.version,
            first: list.first().map(ToString::to_string).unwrap_or_default(),
        })
    }
}

/// Returns the digest by which a version refers to the previous one.
pub fn value_digest(value: &[u8]) -> String {
    let hash = Sha256::digest(value);
    hash.iter().map(|b| format!("{b:02x}")).collect()
}
