//! The platform's key-value store, as the daemons and the operators' commands use it.
//!
//! The store also offers leases, which are not used: an entry's right to act depends on reads that it makes
//! anyway, and renewing leases would consume writes, of which the store allows the fewest
//! (`docs/design/ownership.md`).

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use stackcourse_lib::store::StoreOp;
use stackcourse_lib::store::StoreReply;
use stackcourse_lib::store::Stored;
use thiserror::Error;

use crate::consul::ConsulStore;
use crate::memory_store::MemoryStore;

/// The time after which the answer to a call counts as lost.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// The reason why a call to the store failed. A failed write may still have taken effect.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store did not answer in time or can't be reached.
    #[error("the store does not answer: {0}")]
    Unavailable(String),
    /// The answer does not follow the store's protocol.
    #[error("the store's answer can't be read: {0}")]
    Malformed(String),
    /// The store refused the call.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
}

/// A key-value store with compare-and-swap and blocking reads.
pub trait Store {
    /// Reads a key. The value is never older than the call.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Stored>, StoreError>>;

    /// Writes a key if the index of its last change is still `index`, or if it is absent for `index` 0.
    /// Returns whether the key was written.
    fn swap(
        &self,
        key: &str,
        index: u64,
        value: Bytes,
    ) -> impl Future<Output = Result<bool, StoreError>>;

    /// Removes a key.
    fn remove(&self, key: &str) -> impl Future<Output = Result<(), StoreError>>;

    /// Waits until a key has changed since `seen`, at most for `wait`. Returns the key's value and the index
    /// to pass as `seen` to the next call.
    fn watch(
        &self,
        key: &str,
        seen: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<(Option<Stored>, u64), StoreError>>;
}

/// The supported stores.
#[derive(Clone)]
pub enum AnyStore {
    /// A store in this process, for `dev` and for tests.
    Memory(MemoryStore),
    /// Consul, over HTTP.
    Consul(ConsulStore),
}

impl Store for AnyStore {
    async fn get(&self, key: &str) -> Result<Option<Stored>, StoreError> {
        match self {
            AnyStore::Memory(store) => store.get(key).await,
            AnyStore::Consul(store) => store.get(key).await,
        }
    }

    async fn swap(&self, key: &str, index: u64, value: Bytes) -> Result<bool, StoreError> {
        match self {
            AnyStore::Memory(store) => store.swap(key, index, value).await,
            AnyStore::Consul(store) => store.swap(key, index, value).await,
        }
    }

    async fn remove(&self, key: &str) -> Result<(), StoreError> {
        match self {
            AnyStore::Memory(store) => store.remove(key).await,
            AnyStore::Consul(store) => store.remove(key).await,
        }
    }

    async fn watch(
        &self,
        key: &str,
        seen: u64,
        wait: Duration,
    ) -> Result<(Option<Stored>, u64), StoreError> {
        match self {
            AnyStore::Memory(store) => store.watch(key, seen, wait).await,
            AnyStore::Consul(store) => store.watch(key, seen, wait).await,
        }
    }
}

/// Executes an operation that a state machine requested. Reports each failure as [`StoreReply::Lost`], and
/// each removal too, because nothing depends on its result.
pub async fn execute_op(store: &impl Store, op: StoreOp) -> StoreReply {
    match op {
        StoreOp::Get { key } => match store.get(&key).await {
            Ok(value) => StoreReply::Value(value),
            Err(_) => StoreReply::Lost,
        },
        StoreOp::Swap { key, index, value } => match store.swap(&key, index, value).await {
            Ok(written) => StoreReply::Swapped(written),
            Err(_) => StoreReply::Lost,
        },
        StoreOp::Remove { key } => {
            let _ = store.remove(&key).await;
            StoreReply::Lost
        }
    }
}
