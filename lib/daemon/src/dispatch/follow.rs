//! Following keys of the store, such as the operator's configuration and the list of members, and keeping the
//! key of this process registered under a lease.
//!
//! While the store does not answer, a follower keeps the last values and retries. The disappearance of a
//! member's key does not mean that the member is dead: members are only added here, and found dead when their
//! links fail.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stackcourse_lib::event::Kind;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::dispatch::links::jitter;
use crate::dispatch::store::Change;
use crate::dispatch::store::Item;
use crate::dispatch::store::KeyStore;
use crate::dispatch::store::Lease;
use crate::dispatch::store::StoreError;

/// The shortest and the longest delay between retries while the store does not answer.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
/// The duration of the lease of a registered key, and the interval at which it is renewed.
const REGISTRATION: (Duration, Duration) = (Duration::from_secs(10), Duration::from_millis(4500));
/// In every so many rounds of renewal a process checks that its key still exists.
const VERIFY_ROUNDS: u32 = 2;

/// Handles the keys that [`follow`] reads, and writes its log lines.
pub trait Follower: 'static {
    /// Handles the present value of a watched key.
    fn on_put(&self, item: &Item);
    /// Handles the deletion of a watched key at a revision.
    fn on_delete(&self, _key: &str, _revision: u64) {}
    /// Handles the full list of watched keys as of revision `at`. A key that is not in the list does not
    /// exist.
    fn on_list(&self, items: &[Item], _at: u64) {
        items.iter().for_each(|item| self.on_put(item));
    }
    /// Handles an answer of the store, which confirms that the values passed on so far are current.
    fn on_confirmed(&self) {}
    /// Handles the first failure of a call to the store, at the start or after an answer.
    fn on_unavailable(&self) {}
    /// Writes a log line.
    fn log(&self, kind: Kind, detail: String);
    /// Returns the longest delay between retries while the store does not answer.
    fn max_retry_delay(&self) -> Duration {
        RETRY_DELAY.1
    }
}

/// The start of a watch: the prefix of the keys, the revision `at` to continue from, and the wait of one
/// call.
#[derive(Clone, Copy, Debug)]
struct WatchStart<'a> {
    prefix: &'a str,
    at: u64,
    wait: Duration,
}

/// The maximum number of unreadable keys that are remembered as logged. Further keys are not logged.
const MAX_LOGGED_FAULTS: usize = 100;
/// The part of a key that is remembered, in characters. Keys of the store have 200 bytes at most; other texts may be longer.
const MAX_KEY_CHARS: usize = 256;

/// Logs each unreadable key only once.
#[derive(Debug, Default)]
pub struct FaultLog {
    logged: RefCell<HashSet<String>>,
}

impl FaultLog {
    /// Logs the fault of a key or value that can't be read, unless the key was logged before.
    pub fn log_item<F: Follower>(&self, follower: &F, item: &Item) {
        let Some(fault) = &item.fault else {
            return;
        };
        if self.mark_logged(&item.key) {
            follower.log(Kind::BadRecord, format!("{}: {fault}", item.key));
        }
    }

    /// Marks a key as logged. Returns whether it is to be logged now, which is so for the first call for each
    /// key until the limit is reached.
    pub fn mark_logged(&self, key: &str) -> bool {
        let mut logged = self.logged.borrow_mut();
        let key: String = key.chars().take(MAX_KEY_CHARS).collect();
        logged.len() < MAX_LOGGED_FAULTS && logged.insert(key)
    }
}

/// Follows all keys that begin with a prefix, for as long as the process runs. Each watch call waits up to
/// `wait`.
pub async fn follow<S: KeyStore, F: Follower>(
    store: Rc<S>,
    prefix: String,
    wait: Duration,
    follower: F,
) {
    let unavailable = Cell::new(false);
    let faults = FaultLog::default();
    let mut delay = RETRY_DELAY.0;
    loop {
        let read = store.list(&prefix).await;
        match read {
            Ok((items, at)) => {
                log_recovered(&follower, &unavailable, &prefix);
                delay = RETRY_DELAY.0;
                items
                    .iter()
                    .for_each(|item| faults.log_item(&follower, item));
                follower.on_list(&items, at);
                follower.on_confirmed();
                let prefix = prefix.as_str();
                let from = WatchStart { prefix, at, wait };
                let error = watch(&*store, from, &follower, &faults).await;
                log_unavailable(&follower, &unavailable, prefix, &error);
            }
            Err(error) => log_unavailable(&follower, &unavailable, &prefix, &error),
        }
        let max_delay = follower.max_retry_delay();
        actix_rt::time::sleep(jitter(delay.min(max_delay))).await;
        delay = (delay * 2).min(max_delay);
    }
}

/// Watches from a revision on until a call fails, and returns the error.
async fn watch<S: KeyStore, F: Follower>(
    store: &S,
    from: WatchStart<'_>,
    follower: &F,
    faults: &FaultLog,
) -> StoreError {
    let mut after = from.at;
    loop {
        match store.watch(from.prefix, after, from.wait).await {
            Ok((changes, at)) => {
                after = after.max(at);
                for change in changes {
                    match change {
                        Change::Put(item) => {
                            faults.log_item(follower, &item);
                            follower.on_put(&item);
                        }
                        Change::Deleted { key, revision } => follower.on_delete(&key, revision),
                    }
                }
                follower.on_confirmed();
            }
            Err(error) => return error,
        }
    }
}

fn log_unavailable<F: Follower>(
    follower: &F,
    unavailable: &Cell<bool>,
    prefix: &str,
    error: &StoreError,
) {
    if !unavailable.replace(true) {
        follower.on_unavailable();
        follower.log(
            Kind::StoreUnavailable,
            format!("watching {prefix}: {error}"),
        );
    }
}

fn log_recovered<F: Follower>(follower: &F, unavailable: &Cell<bool>, prefix: &str) {
    if unavailable.replace(false) {
        follower.log(Kind::StoreRecovered, format!("watching {prefix}"));
    }
}

/// Keeps a key registered under a lease until `leaving` is cancelled, and then removes it by ending the
/// lease. Writes each new value at once.
pub async fn keep_registered<S: KeyStore>(
    store: Rc<S>,
    key: String,
    mut value: watch::Receiver<Bytes>,
    leaving: CancellationToken,
) {
    let mut registered: Option<Registered> = None;
    let mut rounds = 0u32;
    let mut delay = RETRY_DELAY.0;
    while !leaving.is_cancelled() {
        let current = value.borrow_and_update().clone();
        let result = match &registered {
            Some(registration) => refresh(&*store, registration, &key, current, rounds).await,
            None => register(&*store, &key, current).await,
        };
        rounds = rounds.wrapping_add(1);
        let wait = match result {
            Ok(registration) => {
                registered = Some(registration);
                delay = RETRY_DELAY.0;
                REGISTRATION.1
            }
            Err(error) => {
                if error == StoreError::LeaseExpired {
                    registered = None;
                }
                let wait = delay;
                delay = (delay * 2).min(RETRY_DELAY.1);
                wait
            }
        };
        tokio::select! {
            () = actix_rt::time::sleep(jitter(wait)) => {}
            () = leaving.cancelled() => {}
            () = changed(&mut value) => {}
        }
    }
    if let Some(registration) = registered {
        let _ = store.end(registration.lease).await;
    }
}

/// Waits for a new value. Never returns if the sender is dropped.
async fn changed(value: &mut watch::Receiver<Bytes>) {
    if value.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Reads a key, retrying until the store answers.
pub async fn read_with_retry<S: KeyStore>(store: &S, key: &str) -> Option<Item> {
    let mut delay = RETRY_DELAY.0;
    loop {
        if let Ok((item, _)) = store.get(key).await {
            return item;
        }
        actix_rt::time::sleep(jitter(delay)).await;
        delay = (delay * 2).min(RETRY_DELAY.1);
    }
}

/// Reads all keys that begin with a prefix, retrying until the store answers.
pub async fn list_with_retry<S: KeyStore>(store: &S, prefix: &str) -> Vec<Item> {
    let mut delay = RETRY_DELAY.0;
    loop {
        if let Ok((items, _)) = store.list(prefix).await {
            return items;
        }
        actix_rt::time::sleep(jitter(delay)).await;
        delay = (delay * 2).min(RETRY_DELAY.1);
    }
}

/// A registered key: its lease and the value last written.
struct Registered {
    lease: Lease,
    value: Bytes,
}

async fn register<S: KeyStore>(
    store: &S,
    key: &str,
    value: Bytes,
) -> Result<Registered, StoreError> {
    let lease = store.grant(REGISTRATION.0).await?;
    store.put(key, value.clone(), Some(lease)).await?;
    Ok(Registered { lease, value })
}

/// Writes a changed value, or renews the lease. Checks now and then that the key still exists, because a key
/// can be deleted while its lease is valid.
async fn refresh<S: KeyStore>(
    store: &S,
    registration: &Registered,
    key: &str,
    value: Bytes,
    rounds: u32,
) -> Result<Registered, StoreError> {
    let lease = registration.lease;
    if value != registration.value {
        store.put(key, value.clone(), Some(lease)).await?;
        return Ok(Registered { lease, value });
    }
    store.renew(lease).await?;
    if rounds.is_multiple_of(VERIFY_ROUNDS) {
        // A stale read may miss an existing key; writing it once more does no harm.
        let (item, _) = store.get_stale(key).await?;
        if item.is_none() {
            store.put(key, value.clone(), Some(lease)).await?;
        }
    }
    Ok(Registered { lease, value })
}
