//! The platform's store as the dispatch plane uses it: keys with revisions, watches, leases and
//! changes under a condition.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

/// Why a call failed. A change that failed may have been made, or may be made yet.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// No answer came in time.
    #[error("the store does not answer")]
    Away,
    /// It turned the call away and did nothing.
    #[error("the store turned the call away with status {0}")]
    Refused(u16),
    /// The history asked for is gone.
    #[error("the store's history does not reach back so far")]
    Compacted,
    /// The lease is over.
    #[error("the lease is over")]
    NoLease,
    /// The condition of a change does not hold.
    #[error("another change came first")]
    Conflict,
    /// It answered with something else than its protocol.
    #[error("the store's answer can't be read: {0}")]
    Malformed(String),
}

/// A key as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// Its value; empty if that can't be read.
    pub value: Bytes,
    /// The revision of its last change.
    pub revision: u64,
    /// Why the key or the value can't be read, with the place; none if both can. The key is empty if it is what
    /// can't be read.
    pub fault: Option<String>,
}

/// A change that a watch tells of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(Item),
    /// A key is gone.
    Gone {
        /// The key.
        key: String,
        /// The revision at which it went.
        revision: u64,
    },
}

/// A lease, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease(pub u64);

/// What the store offers.
pub trait KeyStore: 'static {
    /// Reads a key; also gives the store's revision.
    fn get(&self, key: &str) -> impl Future<Output = Result<(Option<Item>, u64), StoreError>>;
    /// Reads a key as it may have stood some seconds ago. Where the store offers no such reading it is an ordinary one.
    fn peek(&self, key: &str) -> impl Future<Output = Result<(Option<Item>, u64), StoreError>> {
        self.get(key)
    }
    /// Reads all keys that begin with `prefix`, likewise.
    fn peek_list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<(Vec<Item>, u64), StoreError>> {
        self.list(prefix)
    }
    /// Reads all keys that begin with `prefix`; also gives the store's revision.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<(Vec<Item>, u64), StoreError>>;
    /// Waits for changes after a revision; also gives the revision to go on from.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<(Vec<Change>, u64), StoreError>>;
    /// Writes a key, under a lease if one is given, whatever it held.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        lease: Option<Lease>,
    ) -> impl Future<Output = Result<(), StoreError>>;
    /// Writes a key that is not there, for good. Where it is there it fails with [`StoreError::Conflict`].
    fn create(&self, key: &str, value: Bytes) -> impl Future<Output = Result<(), StoreError>>;
    /// Takes a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, StoreError>>;
    /// Renews a lease.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<(), StoreError>>;
    /// Ends a lease.
    fn end(&self, lease: Lease) -> impl Future<Output = Result<(), StoreError>>;
}
