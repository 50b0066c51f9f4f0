//! Following keys of the store.

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

/// A store with one key, that turns all calls away until a moment.
struct LateStore {
    back_at: Instant,
}

impl LateStore {
    fn answer<T>(&self, value: T) -> Result<T, StoreError> {
        if Instant::now() < self.back_at {
            return Err(StoreError::Refused(503));
        }
        Ok(value)
    }
}

impl KeyStore for LateStore {
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

/// Notes when it has its first value, which it can't do without.
struct Needy {
    got: Rc<Cell<Option<Instant>>>,
}

impl Follower for Needy {
    fn on_put(&self, _item: &Item) {
        self.got.set(self.got.get().or(Some(Instant::now())));
    }

    fn log(&self, _kind: Kind, _detail: String) {}

    fn max_retry_delay(&self) -> Duration {
        Duration::from_millis(50)
    }
}

/// After all machines had lost power, entries had the configuration up to 0.4 s after the store had answered
/// other calls of theirs, and refused all jobs meanwhile: the pauses between tries had doubled.
#[actix_rt::test]
async fn test_follow_comes_back_soon_where_it_can_not_wait() {
    tokio::time::pause();
    let back_at = Instant::now() + Duration::from_millis(720);
    let got: Vec<_> = (0..8).map(|_| Rc::new(Cell::new(None))).collect();
    for got in &got {
        let store = Rc::new(LateStore { back_at });
        let needy = Needy { got: got.clone() };
        actix_rt::spawn(follow::follow(
            store,
            KEY.to_owned(),
            Duration::from_secs(1),
            needy,
        ));
    }
    tokio::time::sleep(Duration::from_millis(1000)).await;
    for got in got {
        let at = got.get().expect("the value is read within 280 ms");
        let late = at.saturating_duration_since(back_at);
        assert!(
            late < Duration::from_millis(150),
            "{late:?} after the store"
        );
    }
}

/// A store that is away for a span, after which all leases that were granted before are over and their keys gone.
struct ForgetfulStore {
    away: std::ops::Range<Instant>,
    /// When the key was last written.
    written: Rc<Cell<Option<Instant>>>,
}

impl ForgetfulStore {
    fn answer<T>(&self, value: T) -> Result<T, StoreError> {
        if self.away.contains(&Instant::now()) {
            return Err(StoreError::Unavailable);
        }
        Ok(value)
    }
}

impl KeyStore for ForgetfulStore {
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
        let number = u64::from(Instant::now() >= self.away.end);
        self.answer(Lease(number))
    }

    async fn renew(&self, lease: Lease) -> Result<(), StoreError> {
        self.answer(())?;
        let lapsed = lease.0 == 0 && Instant::now() >= self.away.end;
        if lapsed {
            Err(StoreError::LeaseExpired)
        } else {
            Ok(())
        }
    }

    async fn end(&self, _lease: Lease) -> Result<(), StoreError> {
        self.answer(())
    }
}

/// A process whose key has lapsed while the store was away has it there again within two seconds of its return.
#[actix_rt::test]
async fn test_registered_key_that_has_lapsed_is_back_within_two_seconds() {
    tokio::time::pause();
    let begun = Instant::now();
    let away = begun + Duration::from_millis(1000)..begun + Duration::from_millis(15_300);
    let written: Vec<_> = (0..20).map(|_| Rc::new(Cell::new(None))).collect();
    for written in &written {
        let store = Rc::new(ForgetfulStore {
            away: away.clone(),
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
        let back = at.checked_duration_since(away.end);
        let back = back.expect("it is written again after the return");
        assert!(back < Duration::from_secs(2), "{back:?} after the return");
    }
}
