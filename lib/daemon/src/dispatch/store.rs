//! The key-value store as the dispatch plane uses it: keys with revisions, watches, leases and conditional
//! writes.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

/// Reasons why a call failed. A write that failed may have been applied all the same, or may be applied
/// later.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The store did not answer in time, or could not be reached.
    #[error("the store does not answer")]
    Unavailable,
    /// The store rejected the call and did nothing.
    #[error("the store rejected the call with status {0}")]
    Refused(u16),
    /// The requested revision has been compacted away.
    #[error("the store's history does not reach back so far")]
    Compacted,
    /// The lease has expired or does not exist.
    #[error("the lease has expired")]
    LeaseExpired,
    /// The condition of a write does not hold.
    #[error("another write came first")]
    Conflict,
    /// The store's answer does not follow its protocol.
    #[error("the store's answer can't be read: {0}")]
    Malformed(String),
}

/// A key with its present value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value; empty if it can't be read.
    pub value: Bytes,
    /// The revision of the last change.
    pub revision: u64,
    /// The reason why the key or the value can't be read, with its place; none if both can be read. The key
    /// is empty if it is what can't be read.
    pub fault: Option<String>,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(Item),
    /// A key was deleted.
    Deleted {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: u64,
    },
}

/// The number of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease(pub u64);

/// Operations of the store.
pub trait KeyStore: 'static {
    /// Reads a key. Also returns the store's revision.
    fn get(&self, key: &str) -> impl Future<Output = Result<(Option<Item>, u64), StoreError>>;
    /// Reads a key; the result may be some seconds old. Stores without such a cheaper read do an ordinary
    /// one.
    fn get_stale(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<(Option<Item>, u64), StoreError>> {
        self.get(key)
    }
    /// Reads all keys that begin with `prefix`; the result may be some seconds old, as with
    /// [`KeyStore::get_stale`].
    fn list_stale(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<(Vec<Item>, u64), StoreError>> {
        self.list(prefix)
    }
    /// Reads all keys that begin with `prefix`. Also returns the store's revision.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<(Vec<Item>, u64), StoreError>>;
    /// Waits up to `wait` for changes after a revision. Also returns the revision to continue from.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<(Vec<Change>, u64), StoreError>>;
    /// Writes a key unconditionally, under a lease if one is given.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        lease: Option<Lease>,
    ) -> impl Future<Output = Result<(), StoreError>>;
    /// Creates a key without a lease. Fails with [`StoreError::Conflict`] if it exists.
    fn create(&self, key: &str, value: Bytes) -> impl Future<Output = Result<(), StoreError>>;
    /// Acquires a lease that lasts for `ttl`.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, StoreError>>;
    /// Renews a lease.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<(), StoreError>>;
    /// Ends a lease, which deletes its keys.
    fn end(&self, lease: Lease) -> impl Future<Output = Result<(), StoreError>>;
}
