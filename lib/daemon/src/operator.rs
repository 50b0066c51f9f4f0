//! Operators' commands on the configuration: read the newest version, preview and apply the next, list the
//! audit trail.
//!
//! A version is written only if its key is absent, so of two operators who apply at once one succeeds and the
//! other gets a conflict.

use bytes::Bytes;
use serde::Serialize;
use serde_json::Value;
use stackcourse_lib::configuration::Configuration;
use stackcourse_lib::findings::Finding;
use stackcourse_lib::versions::HEAD_KEY;
use stackcourse_lib::versions::MAX_VALUE;
use stackcourse_lib::versions::Version;
use stackcourse_lib::versions::VersionError;
use stackcourse_lib::versions::value_digest;
use stackcourse_lib::versions::version_key;
use thiserror::Error;

use crate::store::Store;
use crate::store::StoreError;
use crate::system_clock;

/// The number of attempts to write a version while the answers are lost.
const MAX_ATTEMPTS: u32 = 5;
/// The delay between these attempts.
const RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(500);

/// The reason why a configuration could not be applied.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// The document has findings.
    #[error("the configuration has {} findings", .0.len())]
    Findings(Vec<Finding>),
    /// The document, with the fields that a version adds, exceeds the size limit of the store.
    #[error("version {version} needs {size} bytes; the store holds at most {MAX_VALUE}")]
    TooLarge {
        /// The number of the version.
        version: u64,
        /// The size of the version's value in bytes.
        size: usize,
    },
    /// Another operator applied a version first.
    #[error("version {version} was applied by {author} at {time_ms} ms (change {change})")]
    Conflict {
        /// The number of the version that the other operator applied.
        version: u64,
        /// The author of that version.
        author: String,
        /// The time at which it was applied, in milliseconds since the Unix epoch.
        time_ms: u64,
        /// The change id of that version.
        change: String,
    },
    /// The store did not answer. The version may have been applied.
    #[error("it is not known whether version {version} was applied (change {change})")]
    Unconfirmed {
        /// The number of the version.
        version: u64,
        /// The change id of the version.
        change: String,
        /// The last failure.
        source: StoreError,
    },
    /// The store can't be read. Nothing was written.
    #[error("the store can't be read")]
    Store(#[from] StoreError),
    /// The newest version can't be read.
    #[error("the newest version can't be read")]
    Version(#[from] VersionError),
}

/// The result of applying a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Applied {
    /// The number of the newest version after the call.
    pub version: u64,
    /// Whether a version was written; false if the newest version already had this configuration.
    pub changed: bool,
    /// The changes, one per line.
    pub diff: Vec<String>,
    /// The change id of the newest version.
    pub change: String,
}

/// Returns the number and value of the newest version, or 0 and an empty value if there is none.
///
/// # Errors
///
/// Returns an error if the store can't be read.
pub async fn newest_version(store: &impl Store) -> Result<(u64, Bytes), StoreError> {
    let mut found = (0, Bytes::new());
    let hint = store.get(HEAD_KEY).await?;
    let hint = hint.and_then(|h| String::from_utf8_lossy(&h.value).trim().parse().ok());
    if let Some(version) = hint
        && let Some(stored) = store.get(&version_key(version)).await?
    {
        found = (version, stored.value);
    }
    while let Some(stored) = store.get(&version_key(found.0 + 1)).await? {
        found = (found.0 + 1, stored.value);
    }
    Ok(found)
}

/// Parses the configuration in a version's value. Returns an empty one for version 0.
fn parse_configuration(version: u64, value: &Bytes) -> Result<Configuration, VersionError> {
    if version == 0 {
        return Ok(Configuration::default());
    }
    Version::parse(version, value)?.configuration()
}

/// Returns the number of the newest version and the changes that applying a document would make to it.
///
/// # Errors
///
/// Returns an error if the document has findings, or if the store or the newest version can't be read.
pub async fn preview(
    store: &impl Store,
    file: &str,
    text: &[u8],
) -> Result<(u64, Vec<String>), ApplyError> {
    let next = Configuration::parse(file, text).map_err(ApplyError::Findings)?;
    let (version, value) = newest_version(store).await?;
    let current = parse_configuration(version, &value)?;
    Ok((version, current.diff(&next)))
}

/// Applies a document as the next version, completely or not at all.
///
/// `base` is the number of the version that the operator started from, if known. A newer version in the store
/// is then a conflict.
///
/// # Errors
///
/// See [`ApplyError`]. Only after [`ApplyError::Unconfirmed`] is it unknown whether the document was applied.
/// Running the same command again is safe in every case.
pub async fn apply(
    store: &impl Store,
    file: &str,
    text: &[u8],
    author: &str,
    base: Option<u64>,
) -> Result<Applied, ApplyError> {
    let next = Configuration::parse(file, text).map_err(ApplyError::Findings)?;
    let (current, value) = newest_version(store).await?;
    let old = parse_configuration(current, &value)?;
    let diff = old.diff(&next);
    if current > 0 && diff.is_empty() {
        return Ok(unchanged_result(current, &value));
    }
    if base.is_some_and(|base| base != current) {
        return Err(conflict_error(current, &value));
    }
    let version = build_version(current, &value, text, author);
    let change = version.change.clone();
    let number = version.version;
    let value = Bytes::from(serde_json::to_vec(&version).expect("a version is JSON"));
    if value.len() > MAX_VALUE {
        let size = value.len();
        return Err(ApplyError::TooLarge {
            version: number,
            size,
        });
    }
    write_version(store, number, &change, value).await?;
    update_hint(store, number).await;
    Ok(Applied {
        version: number,
        changed: true,
        diff,
        change,
    })
}

fn unchanged_result(version: u64, value: &Bytes) -> Applied {
    let change = Version::parse(version, value).map(|v| v.change);
    Applied {
        version,
        changed: false,
        diff: Vec::new(),
        change: change.unwrap_or_default(),
    }
}

fn conflict_error(version: u64, value: &Bytes) -> ApplyError {
    match Version::parse(version, value) {
        Ok(other) => ApplyError::Conflict {
            version,
            author: other.author,
            time_ms: other.time_ms,
            change: other.change,
        },
        Err(e) => ApplyError::Version(e),
    }
}

fn build_version(current: u64, value: &Bytes, text: &[u8], author: &str) -> Version {
    let previous = if current == 0 {
        String::new()
    } else {
        value_digest(value)
    };
    Version {
        version: current + 1,
        change: uuid::Uuid::new_v4().to_string(),
        author: author.to_owned(),
        time_ms: system_clock::unix_ms(),
        previous,
        config: serde_json::from_slice::<Value>(text).unwrap_or_default(),
    }
}

/// Writes a version's key if it is absent. If the answer is lost, reads the key back and compares the change
/// id to find out whether the write took effect.
async fn write_version(
    store: &impl Store,
    version: u64,
    change: &str,
    value: Bytes,
) -> Result<(), ApplyError> {
    let key = version_key(version);
    let mut last_error = StoreError::Unavailable("no attempt was made".into());
    for _ in 0..MAX_ATTEMPTS {
        if let Ok(true) = store.swap(&key, 0, value.clone()).await {
            return Ok(());
        }
        match store.get(&key).await {
            Ok(Some(stored)) => {
                let stored_version = Version::parse(version, &stored.value)?;
                if stored_version.change == change {
                    return Ok(());
                }
                return Err(conflict_error(version, &stored.value));
            }
            Ok(None) => {}
            Err(e) => last_error = e,
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
    Err(ApplyError::Unconfirmed {
        version,
        change: change.to_owned(),
        source: last_error,
    })
}

/// Updates the hint at the newest version. Ignores failures, because readers expect the hint to lag behind.
async fn update_hint(store: &impl Store, version: u64) {
    let Ok(current) = store.get(HEAD_KEY).await else {
        return;
    };
    let index = current.map_or(0, |p| p.index);
    let value = Bytes::from(version.to_string());
    let _ = store.swap(HEAD_KEY, index, value).await;
}

/// One version in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AuditLine {
    /// The number of the version.
    pub version: u64,
    /// The time at which it was applied, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The author of the version.
    pub author: String,
    /// The change id of the version.
    pub change: String,
    /// Whether the digest that it names is that of the previous version.
    pub chained: bool,
    /// The changes since the previous version, one per line.
    pub diff: Vec<String>,
}

/// Returns the audit trail: the versions from `since` on, oldest first. Versions missing from the store are
/// left out.
///
/// # Errors
///
/// Returns an error if the store or a version can't be read.
pub async fn audit(store: &impl Store, since: u64) -> Result<Vec<AuditLine>, ApplyError> {
    let (last, _) = newest_version(store).await?;
    let mut previous = read_version(store, since.saturating_sub(1)).await?;
    let mut lines = Vec::new();
    for number in since.max(1)..=last {
        let Some(value) = read_version(store, number).await? else {
            previous = None;
            continue;
        };
        let version = Version::parse(number, &value)?;
        let old = match &previous {
            Some(old) => parse_configuration(number - 1, old).unwrap_or_default(),
            None => Configuration::default(),
        };
        let digest = previous.as_ref().map(|b| value_digest(b));
        let diff = match version.configuration() {
            Ok(new) => old.diff(&new),
            Err(e) => vec![format!("! {e}")],
        };
        lines.push(AuditLine {
            version: number,
            time_ms: version.time_ms,
            author: version.author,
            change: version.change,
            chained: version.previous == digest.unwrap_or_default(),
            diff,
        });
        previous = Some(value);
    }
    Ok(lines)
}

async fn read_version(store: &impl Store, version: u64) -> Result<Option<Bytes>, StoreError> {
    if version == 0 {
        return Ok(None);
    }
    let stored = store.get(&version_key(version)).await?;
    Ok(stored.map(|s| s.value))
}

#[cfg(test)]
mod tests;
