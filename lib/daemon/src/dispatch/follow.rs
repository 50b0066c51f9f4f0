//! Following the store: the operator's configuration, and which schedulers there are.
//!
//! Both go on from what they have while the store is away. A key that has vanished condemns
//! nobody: members are only ever added, and found dead by contact.

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

/// Waits between tries while the store does not answer, shortest and longest.
const RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));
/// The lease of a registered process, and how often it is renewed.
const REGISTRATION: (Duration, Duration) = (Duration::from_secs(10), Duration::from_millis(4500));
/// Every so many renewals a process makes sure that its key stands.
const LOOK_EVERY: u32 = 2;

/// What the follower tells, and where it writes its log lines.
pub trait Follower: 'static {
    /// A watched key has this value.
    fn value(&self, item: &Item);
    /// A watched key went at this revision.
    fn gone(&self, _key: &str, _revision: u64) {}
    /// All watched keys that there are, as of revision `at`. A key that is not among them is gone.
    fn listed(&self, items: &[Item], _at: u64) {
        items.iter().for_each(|item| self.value(item));
    }
    /// The store has answered: what was told is what it holds.
    fn confirmed(&self) {}
    /// The store does not answer, though it did before or was only just asked.
    fn away(&self) {}
    /// Writes a log line.
    fn log(&self, kind: Kind, detail: String);
    /// The longest pause between tries while the store does not answer.
    fn longest_pause(&self) -> Duration {
        RETRY.1
    }
}

/// What is watched: keys that begin with a prefix, after revision `at`, for up to `wait` a call.
#[derive(Clone, Copy, Debug)]
struct Watching<'a> {
    prefix: &'a str,
    at: u64,
    wait: Duration,
}

/// At most so many keys that can't be read are remembered as logged; more are not logged.
const FAULTS_LOGGED: usize = 100;

/// Logs each key that can't be read once.
#[derive(Debug, Default)]
pub struct FaultLog {
    logged: RefCell<HashSet<String>>,
}

impl FaultLog {
    /// Logs that a key or its value can't be read, if so and if that was not logged before.
    pub fn note<F: Follower>(&self, follower: &F, item: &Item) {
        let Some(fault) = &item.fault else {
            return;
        };
        if self.is_news(&item.key) {
            follower.log(Kind::BadRecord, format!("{}: {fault}", item.key));
        }
    }

    /// Whether nothing was logged of a key yet. Counts as logged from now on.
    pub fn is_news(&self, key: &str) -> bool {
        let mut logged = self.logged.borrow_mut();
        logged.len() < FAULTS_LOGGED && logged.insert(key.to_owned())
    }
}

/// Follows all keys that begin with a prefix, for as long as the process lives. `wait` is how
/// long one watch waits.
pub async fn follow<S: KeyStore, F: Follower>(
    store: Rc<S>,
    prefix: String,
    wait: Duration,
    follower: F,
) {
    let away = Cell::new(false);
    let faults = FaultLog::default();
    let mut pause = RETRY.0;
    loop {
        let read = store.list(&prefix).await;
        match read {
            Ok((items, at)) => {
                note_back(&follower, &away, &prefix);
                pause = RETRY.0;
                items.iter().for_each(|item| faults.note(&follower, item));
                follower.listed(&items, at);
                follower.confirmed();
                let prefix = prefix.as_str();
                let from = Watching { prefix, at, wait };
                let error = watch(&*store, from, &follower, &faults).await;
                note_away(&follower, &away, prefix, &error);
            }
            Err(error) => note_away(&follower, &away, &prefix, &error),
        }
        let longest = follower.longest_pause();
        actix_rt::time::sleep(jitter(pause.min(longest))).await;
        pause = (pause * 2).min(longest);
    }
}

/// Watches from a revision on until that fails.
async fn watch<S: KeyStore, F: Follower>(
    store: &S,
    from: Watching<'_>,
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
                            faults.note(follower, &item);
                            follower.value(&item);
                        }
                        Change::Gone { key, revision } => follower.gone(&key, revision),
                    }
                }
                follower.confirmed();
            }
            Err(error) => return error,
        }
    }
}

fn note_away<F: Follower>(follower: &F, away: &Cell<bool>, prefix: &str, error: &StoreError) {
    if !away.replace(true) {
        follower.away();
        follower.log(
            Kind::StoreUnavailable,
            format!("watching {prefix}: {error}"),
        );
    }
}

fn note_back<F: Follower>(follower: &F, away: &Cell<bool>, prefix: &str) {
    if away.replace(false) {
        follower.log(Kind::StoreRecovered, format!("watching {prefix}"));
    }
}

/// Keeps a key under a lease until `leaving` is cancelled, and takes it away then. Each new value
/// is written at once.
pub async fn keep_registered<S: KeyStore>(
    store: Rc<S>,
    key: String,
    mut value: watch::Receiver<Bytes>,
    leaving: CancellationToken,
) {
    let mut entry: Option<Entry> = None;
    let mut rounds = 0u32;
    let mut pause = RETRY.0;
    while !leaving.is_cancelled() {
        let now = value.borrow_and_update().clone();
        let kept = match &entry {
            Some(held) => keep(&*store, held, &key, now, rounds).await,
            None => enter(&*store, &key, now).await,
        };
        rounds = rounds.wrapping_add(1);
        let wait = match kept {
            Ok(held) => {
                entry = Some(held);
                pause = RETRY.0;
                REGISTRATION.1
            }
            Err(error) => {
                if error == StoreError::NoLease {
                    entry = None;
                }
                let wait = pause;
                pause = (pause * 2).min(RETRY.1);
                wait
            }
        };
        tokio::select! {
            () = actix_rt::time::sleep(jitter(wait)) => {}
            () = leaving.cancelled() => {}
            () = changed(&mut value) => {}
        }
    }
    if let Some(held) = entry {
        let _ = store.end(held.lease).await;
    }
}

/// Waits until there is a new value; for good if there will be none.
async fn changed(value: &mut watch::Receiver<Bytes>) {
    if value.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Reads a key, trying until the store answers.
pub async fn read<S: KeyStore>(store: &S, key: &str) -> Option<Item> {
    let mut pause = RETRY.0;
    loop {
        if let Ok((item, _)) = store.get(key).await {
            return item;
        }
        actix_rt::time::sleep(jitter(pause)).await;
        pause = (pause * 2).min(RETRY.1);
    }
}

/// Reads all keys that stand under a prefix, trying until the store answers.
pub async fn list<S: KeyStore>(store: &S, prefix: &str) -> Vec<Item> {
    let mut pause = RETRY.0;
    loop {
        if let Ok((items, _)) = store.list(prefix).await {
            return items;
        }
        actix_rt::time::sleep(jitter(pause)).await;
        pause = (pause * 2).min(RETRY.1);
    }
}

/// A key as it was last written.
struct Entry {
    lease: Lease,
    value: Bytes,
}

async fn enter<S: KeyStore>(store: &S, key: &str, value: Bytes) -> Result<Entry, StoreError> {
    let lease = store.grant(REGISTRATION.0).await?;
    store.put(key, value.clone(), Some(lease)).await?;
    Ok(Entry { lease, value })
}

/// Writes a new value, or renews the lease; now and then makes sure that the key is there, since
/// keys can be taken away while their lease lives.
async fn keep<S: KeyStore>(
    store: &S,
    held: &Entry,
    key: &str,
    value: Bytes,
    rounds: u32,
) -> Result<Entry, StoreError> {
    let lease = held.lease;
    if value != held.value {
        store.put(key, value.clone(), Some(lease)).await?;
        return Ok(Entry { lease, value });
    }
    store.renew(lease).await?;
    if rounds.is_multiple_of(LOOK_EVERY) {
        // A key that seems to be missing since the reading is old is written once more, which does no harm.
        let (item, _) = store.peek(key).await?;
        if item.is_none() {
            store.put(key, value.clone(), Some(lease)).await?;
        }
    }
    Ok(Entry { lease, value })
}
