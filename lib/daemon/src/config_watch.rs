//! Watches the store for new configuration versions and the platform for changes of its list of boxes, and
//! passes both to the entry's actor.

use std::time::Duration;

use actix::Addr;
use bytes::Bytes;
use stackcourse_lib::versions::HEAD_KEY;
use stackcourse_lib::versions::version_key;

use crate::boxes::BoxSource;
use crate::entry_actor::ApplyConfig;
use crate::entry_actor::EntryActor;
use crate::entry_actor::SetBoxList;
use crate::store::AnyStore;
use crate::store::Store;
use crate::store::StoreError;

/// The time after which a watch returns without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Passes configuration versions to the entry, one after the other, until its actor stops.
pub async fn follow_config(store: AnyStore, entry: Addr<EntryActor>) {
    skip_to_hint(&store, &entry).await;
    loop {
        let query = ApplyConfig {
            version: 0,
            value: Bytes::new(),
        };
        let Ok(next) = entry.send(query).await else {
            return;
        };
        if let Err(e) = follow_version(&store, &entry, next).await {
            log::debug!("configuration version {next}: {e}");
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Waits for one version and passes it to the entry. If the entry gets the version from a peer meanwhile, the
/// wait ends with the watch's timeout.
async fn follow_version(
    store: &AnyStore,
    entry: &Addr<EntryActor>,
    version: u64,
) -> Result<(), StoreError> {
    let key = version_key(version);
    let found = match store.get(&key).await? {
        Some(stored) => Some(stored),
        None => {
            let (_, seen) = store.watch(&key, 0, Duration::ZERO).await?;
            store.watch(&key, seen, WATCH_TIMEOUT).await?.0
        }
    };
    if let Some(stored) = found {
        let value = stored.value;
        let _ = entry.send(ApplyConfig { version, value }).await;
    }
    Ok(())
}

/// Applies the version that the hint names, so that the entry need not read all versions from the first.
async fn skip_to_hint(store: &AnyStore, entry: &Addr<EntryActor>) {
    let Ok(Some(hint)) = store.get(HEAD_KEY).await else {
        return;
    };
    let text = String::from_utf8_lossy(&hint.value);
    let Ok(version) = text.trim().parse::<u64>() else {
        return;
    };
    if let Ok(Some(stored)) = store.get(&version_key(version)).await {
        let value = stored.value;
        let _ = entry.send(ApplyConfig { version, value }).await;
    }
}

/// Passes the platform's list of boxes to the entry on each change until its actor stops.
pub async fn follow_boxes(boxes: impl BoxSource, entry: Addr<EntryActor>) {
    let mut seen = 0;
    while entry.connected() {
        match boxes.list(seen, WATCH_TIMEOUT).await {
            Ok((list, next)) => {
                seen = next;
                let _ = entry.send(SetBoxList(list)).await;
            }
            Err(_) => actix_rt::time::sleep(RETRY_DELAY * 10).await,
        }
    }
}
