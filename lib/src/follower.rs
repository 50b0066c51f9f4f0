//! Tracks the configuration version in force on a node.
//!
//! The input are versions from the store or from peers, in any order; the output is the configuration in
//! force. Its version never decreases.

use std::sync::Arc;

use bytes::Bytes;

use crate::configuration::Configuration;
use crate::versions::Version;
use crate::versions::VersionError;

/// The configuration in force on one node.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    version: u64,
    /// The highest version that was applied or skipped.
    last_tried: u64,
    value: Bytes,
    config: Arc<Configuration>,
}

impl Follower {
    /// Returns the version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the configuration in force; it is empty before the first version.
    pub fn config(&self) -> &Arc<Configuration> {
        &self.config
    }

    /// Returns the stored value of the version in force.
    pub fn value(&self) -> &Bytes {
        &self.value
    }

    /// Returns the version to read next.
    pub fn next(&self) -> u64 {
        self.last_tried + 1
    }

    /// Applies the value of a version that was received from the store or from a peer. Returns whether this
    /// brought it into force; a version that is not above all versions received before changes nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the version can't be used. It is skipped, and the version in force stays.
    pub fn apply(&mut self, version: u64, value: Bytes) -> Result<bool, VersionError> {
        if version <= self.last_tried {
            return Ok(false);
        }
        self.last_tried = version;
        let config = Version::parse(version, &value)?.configuration()?;
        assert!(
            version > self.version,
            "invariant: configuration never reverts"
        );
        self.version = version;
        self.value = value;
        self.config = Arc::new(config);
        Ok(true)
    }
}

#[cfg(test)]
mod tests;
