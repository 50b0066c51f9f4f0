//! An in-memory store for `dev` and for tests.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use stackcourse_lib::store::Stored;
use tokio::sync::watch;

use crate::store::Store;
use crate::store::StoreError;

#[derive(Default)]
struct Contents {
    index: u64,
    keys: HashMap<String, Stored>,
}

/// A store whose clones share their contents.
#[derive(Clone)]
pub struct MemoryStore {
    contents: Arc<Mutex<Contents>>,
    changes: Arc<watch::Sender<u64>>,
}

impl Default for MemoryStore {
    fn default() -> MemoryStore {
        MemoryStore {
            contents: Arc::default(),
            changes: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl MemoryStore {
    /// Returns the current value of a key and the store's index.
    pub fn read(&self, key: &str) -> (Option<Stored>, u64) {
        let contents = self
            .contents
            .lock()
            .expect("no thread panics while holding the lock");
        (contents.keys.get(key).cloned(), contents.index)
    }

    /// Writes a key if the index of its last change is `index`; see [`Store::swap`].
    pub fn write(&self, key: &str, index: u64, value: Bytes) -> bool {
        let mut contents = self
            .contents
            .lock()
            .expect("no thread panics while holding the lock");
        let current = contents.keys.get(key).map_or(0, |s| s.index);
        if current != index {
            return false;
        }
        contents.index += 1;
        let index = contents.index;
        contents
            .keys
            .insert(key.to_owned(), Stored { value, index });
        self.changes.send_replace(index);
        true
    }

    /// Removes a key and wakes the watches.
    pub fn erase(&self, key: &str) {
        let mut contents = self
            .contents
            .lock()
            .expect("no thread panics while holding the lock");
        contents.index += 1;
        contents.keys.remove(key);
        self.changes.send_replace(contents.index);
    }

    /// Waits until the store's index exceeds `seen`, at most for `wait`.
    pub async fn wait(&self, seen: u64, wait: Duration) {
        let mut changes = self.changes.subscribe();
        let newer = changes.wait_for(|index| *index > seen);
        let _ = tokio::time::timeout(wait, newer).await;
    }
}

impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Stored>, StoreError> {
        Ok(self.read(key).0)
    }

    async fn swap(&self, key: &str, index: u64, value: Bytes) -> Result<bool, StoreError> {
        Ok(self.write(key, index, value))
    }

    async fn remove(&self, key: &str) -> Result<(), StoreError> {
        self.erase(key);
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        seen: u64,
        wait: Duration,
    ) -> Result<(Option<Stored>, u64), StoreError> {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let (value, index) = self.read(key);
            let changed = value.as_ref().is_some_and(|v| v.index > seen);
            let now = tokio::time::Instant::now();
            if changed || now >= deadline {
                let next = value.as_ref().map_or(index, |v| v.index);
                return Ok((value, next));
            }
            self.wait(index, deadline - now).await;
        }
    }
}
