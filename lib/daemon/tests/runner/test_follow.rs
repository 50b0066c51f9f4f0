//! Following keys of the store, and keeping a key registered there, across outages of the store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stackcourse_daemon::dispatch::follow;
use stackcourse_daemon::dispatch::follow::Follower;
use stackcourse_daemon::dispatch::store::Change;
use stackcourse_daemon::dispatch::store::Item;
use stackcourse_daemon::dispatch::store::KeyStore;
use stackcourse_daemon::dispatch::store::Lease;
use stackcourse_daemon::dispatch::store::StoreError;
use stackcourse_lib::event::Kind;
use tokio::time::Instant;

const KEY: &str = "op/config";

/// A store with one key that rejects all calls until `available_at`.
struct RecoveringStore {
    available_at: Instant,
}

impl RecoveringStore {
    fn answer<T>(&self, value: T) -> Result<T, StoreError> {
        if Instant::now() < self.available_at {
            return Err(StoreError::Refused(503));
        }
        Ok(value)
    }
}

impl KeyStore for RecoveringStore {
    async fn get(&self, _key: &str) -> Result<(Option<Item>, u64), StoreError> {
        self.answer((None, 1))
    }

    async fn list(&self, _prefix: &str) -> Result<(Vec<Item>, u64), StoreError> {
        let item = Item {
            key: KEY.to_owned(),
            value: Bytes::new(),
            revision: 1,
            fault: None,
        };
        self.answer((vec![item], 1))
    }

    async fn watch(
        &self,
        _prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<(Vec<Change>, u64), StoreError> {
        actix_rt::time::sleep(wait).await;
        self.answer((Vec::new(), after))
    }

    async fn put(&self, _: &str, _: Bytes, _: Option<Lease>) -> Result<(), StoreError> {
        self.answer(())
    }

    async fn create(&self, _: &str, _: Bytes) -> Result<(), StoreError> {
        self.answer(())
    }

    async fn grant(&self, _ttl: Duration) -> Result<Lease, StoreError> {
        self.answer(Lease(1))
    }

    async fn renew(&self, _lease: Lease) -> Result<(), StoreError> {
        self.answer(())
    }

    async fn end(&self, _lease: Lease) -> Result<(), StoreError> {
        self.answer(())
    }
}

/// Records when it receives its first value. It cannot work without one, so it limits the retry delay.
struct ImpatientFollower {
    received: Rc<Cell<Option<Instant>>>,
}

impl Follower for ImpatientFollower {
    fn on_put(&self, _item: &Item) {
        self.received
            .set(self.received.get().or(Some(Instant::now())));
    }

    fn log(&self, _kind: Kind, _detail: String) {}

    fn max_retry_delay(&self) -> Duration {
        Duration::from_millis(50)
    }
}

/// After a power failure of all machines, entries reject all jobs until they have read the configuration.
/// If their retry delay doubled up to the default limit, they would read it up to 0.4 s after the store's
/// recovery.
#[actix_rt::test]
async fn test_follow_limited_retry_delay() {
    tokio::time::pause();
    let available_at = Instant::now() + Duration::from_millis(720);
    let received: Vec<_> = (0..8).map(|_| Rc::new(Cell::new(None))).collect();
    for received in &received {
        let store = Rc::new(RecoveringStore { available_at });
        let follower = ImpatientFollower {
            received: received.clone(),
        };
        actix_rt::spawn(follow::follow(
            store,
            KEY.to_owned(),
            Duration::from_secs(1),
            follower,
        ));
    }
    tokio::time::sleep(Duration::from_millis(1000)).await;
    for received in received {
        let at = received.get().expect("the value is read within 280 ms");
        let delay = at.saturating_duration_since(available_at);
        assert!(
            delay < Duration::from_millis(150),
            "{delay:?} after the recovery"
        );
    }
}

/// A store that is unavailable for a time span, during which all leases expire and their keys are deleted.
struct LeaseLosingStore {
    outage: std::ops::Range<Instant>,
    /// When the key was last written.
    written: Rc<Cell<Option<Instant>>>,
}

impl LeaseLosingStore {
    fn answer<T>(&self, value: T) -> Result<T, StoreError> {
        if self.outage.contains(&Instant::now()) {
            return Err(StoreError::Unavailable);
        }
        Ok(value)
    }
}

impl KeyStore for LeaseLosingStore {
    async fn get(&self, key: &str) -> Result<(Option<Item>, u64), StoreError> {
        let item = Item {
            key: key.to_owned(),
            value: Bytes::new(),
            revision: 1,
            fault: None,
        };
        self.answer((Some(item), 1))
    }

    async fn list(&self, _prefix: &str) -> Result<(Vec<Item>, u64), StoreError> {
        self.answer((Vec::new(), 1))
    }

    async fn watch(
        &self,
        _prefix: &str,
        after: u64,
        _wait: Duration,
    ) -> Result<(Vec<Change>, u64), StoreError> {
        self.answer((Vec::new(), after))
    }

    async fn put(&self, _: &str, _: Bytes, _: Option<Lease>) -> Result<(), StoreError> {
        self.answer(())?;
        self.written.set(Some(Instant::now()));
        Ok(())
    }

    async fn create(&self, _: &str, _: Bytes) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn grant(&self, _ttl: Duration) -> Result<Lease, StoreError> {
        let number = u64::from(Instant::now() >= self.outage.end);
        self.answer(Lease(number))
    }

    async fn renew(&self, lease: Lease) -> Result<(), StoreError> {
        self.answer(())?;
        let expired = lease.0 == 0 && Instant::now() >= self.outage.end;
        if expired {
            Err(StoreError::LeaseExpired)
        } else {
            Ok(())
        }
    }

    async fn end(&self, _lease: Lease) -> Result<(), StoreError> {
        self.answer(())
    }
}

/// If a process's key expires while the store is unavailable, the process writes it again within two seconds
/// of the store's recovery.
#[actix_rt::test]
async fn test_registration_after_outage() {
    tokio::time::pause();
    let start = Instant::now();
    let outage = start + Duration::from_millis(1000)..start + Duration::from_millis(15_300);
    let written: Vec<_> = (0..20).map(|_| Rc::new(Cell::new(None))).collect();
    for written in &written {
        let store = Rc::new(LeaseLosingStore {
            outage: outage.clone(),
            written: written.clone(),
        });
        let value = tokio::sync::watch::channel(Bytes::from_static(b"here")).1;
        let key = "members/a".to_owned();
        let leaving = tokio_util::sync::CancellationToken::new();
        actix_rt::spawn(follow::keep_registered(store, key, value, leaving));
    }
    tokio::time::sleep(Duration::from_secs(20)).await;
    for written in written {
        let at = written.get().expect("it was written");
        let delay = at.checked_duration_since(outage.end);
        let delay = delay.expect("it is written again after the recovery");
        assert!(
            delay < Duration::from_secs(2),
            "{delay:?} after the recovery"
        );
    }
}
