//! The configuration follower: moves a node from version to version, only upward.

use std::sync::Arc;

use bytes::Bytes;

use crate::configuration::Configuration;
use crate::versions::Version;
use crate::versions::VersionError;

/// The configuration in force on one node.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    version: u64,
    tried: u64,
    value: Bytes,
    config: Arc<Configuration>,
}

impl Follower {
    /// The version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The configuration in force; empty before the first version.
    pub fn config(&self) -> &Arc<Configuration> {
        &self.config
    }

    /// The value of the version in force as it stands in the store.
    pub fn value(&self) -> &Bytes {
        &self.value
    }

    /// The version to look for next.
    pub fn next(&self) -> u64 {
        self.tried + 1
    }

    /// Takes in the value of a version, from the store or a peer. Returns whether it is in force
    /// now; a version at or below the one in force changes nothing.
    ///
    /// # Errors
    ///
    /// When the version can't be used. It is passed over: the node stays on the one in force.
    pub fn apply(&mut self, version: u64, value: Bytes) -> Result<bool, VersionError> {
        if version <= self.tried {
            return Ok(false);
        }
        self.tried = version;
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
