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
    fn value(&self, _item: &Item) {
        self.got.set(self.got.get().or(Some(Instant::now())));
    }

    fn log(&self, _kind: Kind, _detail: String) {}

    fn longest_pause(&self) -> Duration {
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
        actix_rt::spawn(follow::follow(store, KEY, Duration::from_secs(1), needy));
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
