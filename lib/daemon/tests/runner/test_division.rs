//! The division of a new fleet into partitions: how it is established, and how a process learns it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stackcourse_daemon::dispatch::division;
use stackcourse_daemon::dispatch::division::Division;
use stackcourse_daemon::dispatch::division::PartitionedHost;
use stackcourse_daemon::dispatch::store::Change;
use stackcourse_daemon::dispatch::store::Item;
use stackcourse_daemon::dispatch::store::KeyStore;
use stackcourse_daemon::dispatch::store::Lease;
use stackcourse_daemon::dispatch::store::StoreError;
use stackcourse_lib::dispatch::partition;
use stackcourse_lib::dispatch::policy::Partitions as PartitionPolicy;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::event::Kind;

const KEY: &str = "division";

/// A store in memory.
#[derive(Default)]
struct MemoryStore {
    items: RefCell<BTreeMap<String, Bytes>>,
}

impl MemoryStore {
    fn write(&self, key: String, value: &'static str) {
        self.items
            .borrow_mut()
            .insert(key, Bytes::from_static(value.as_bytes()));
    }

    /// Registers a process under the prefix of its role, `members/` or `executors/`.
    fn register(&self, role: &str, name: &str) {
        self.write(format!("{role}{}", partition::path_of(name)), "{}");
    }

    fn items(&self, prefix: &str) -> Vec<Item> {
        let items = self.items.borrow();
        let items = items.iter().filter(|(key, _)| key.starts_with(prefix));
        let item = |(key, value): (&String, &Bytes)| Item {
            key: key.clone(),
            value: value.clone(),
            revision: 1,
            fault: None,
        };
        items.map(item).collect()
    }
}

impl KeyStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<(Option<Item>, u64), StoreError> {
        Ok((self.items(key).into_iter().next(), 1))
    }

    async fn list(&self, prefix: &str) -> Result<(Vec<Item>, u64), StoreError> {
        Ok((self.items(prefix), 1))
    }

    async fn watch(
        &self,
        prefix: &str,
        _after: u64,
        wait: Duration,
    ) -> Result<(Vec<Change>, u64), StoreError> {
        actix_rt::time::sleep(wait.min(Duration::from_millis(10))).await;
        Ok((self.items(prefix).into_iter().map(Change::Put).collect(), 1))
    }

    async fn put(&self, _: &str, _: Bytes, _: Option<Lease>) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn create(&self, key: &str, value: Bytes) -> Result<(), StoreError> {
        let mut items = self.items.borrow_mut();
        if items.contains_key(key) {
            return Err(StoreError::Conflict);
        }
        items.insert(key.to_owned(), value);
        Ok(())
    }

    async fn grant(&self, _ttl: Duration) -> Result<Lease, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn renew(&self, _lease: Lease) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn end(&self, _lease: Lease) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
    }
}

/// A process that records which addresses it dials.
#[derive(Clone)]
struct Process {
    division: Rc<Division>,
    dialled: Rc<RefCell<Vec<SocketAddr>>>,
}

impl Process {
    fn new(name: &str, seeds: Vec<SocketAddr>) -> Process {
        Process {
            division: Rc::new(Division::new(name, seeds)),
            dialled: Rc::default(),
        }
    }
}

impl PartitionedHost for Process {
    fn division(&self) -> &Division {
        &self.division
    }

    fn dial(&self, address: SocketAddr) {
        self.dialled.borrow_mut().push(address);
    }

    fn log(&self, _kind: Kind, _detail: String) {}
}

/// Returns a policy with short delays.
fn short_delays() -> PartitionPolicy {
    PartitionPolicy {
        executors: 2,
        schedulers: 1,
        appear: Duration::ZERO,
        count_again: Duration::from_millis(10),
        ..Policy::default().partitions
    }
}

fn process_names(role: &str, count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{role}-{i}")).collect()
}

#[actix_rt::test]
async fn test_division_waits_for_registrations() {
    let store = Rc::new(MemoryStore::default());
    let process = Process::new("edge-0", Vec::new());
    let establishing = division::establish(process.clone(), store.clone(), short_delays());
    let establishing = actix_rt::spawn(establishing);
    let waiting = actix_rt::spawn(division::wait_for_division(process.clone(), store.clone()));
    process_names("edge", 6)
        .iter()
        .for_each(|name| store.register(division::SCHEDULERS, name));
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(store.items(KEY), vec![], "no executor has registered yet");
    process_names("side", 8)
        .iter()
        .for_each(|name| store.register(division::EXECUTORS, name));
    let partitions = waiting.await.expect("the division");
    assert!(partitions.count() > 1, "{partitions:?}");
    establishing
        .await
        .expect("it ends once the division is known");
    assert_eq!(store.items(KEY).len(), 1);
}

#[actix_rt::test]
async fn test_division_invalid_record() {
    let store = Rc::new(MemoryStore::default());
    store.write(KEY.to_owned(), "{\"bits\": 99}");
    let seed: SocketAddr = "127.0.0.1:7700".parse().expect("an address");
    let process = Process::new("edge-0", vec![seed]);
    let waiting = actix_rt::spawn(division::wait_for_division(process.clone(), store));
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(process.dialled.borrow().first(), Some(&seed));
    assert_eq!(process.division.get(), None);
    waiting.abort();
}
