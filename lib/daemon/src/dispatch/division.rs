//! Into how many partitions the fleet is divided, as far as a process knows.
//!
//! The store says so; a process that it does not answer learns it from the first process that greets it. It is written
//! there once, by the first entry that has counted the processes of a fleet that starts for the first time, and stays.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use stackcourse_lib::dispatch::partition;
use stackcourse_lib::dispatch::partition::Partition;
use stackcourse_lib::dispatch::partition::Partitions;
use stackcourse_lib::dispatch::policy::Partitions as PartitionPolicy;
use stackcourse_lib::event::Kind;
use stackcourse_lib::protos::dispatch as proto;
use tokio::sync::watch;

use crate::dispatch::channel::Wanted;
use crate::dispatch::follow;
use crate::dispatch::follow::FaultLog;
use crate::dispatch::follow::Follower;
use crate::dispatch::links::jitter;
use crate::dispatch::store::Item;
use crate::dispatch::store::KeyStore;
use crate::dispatch::store::StoreError;

/// Where the division stands in the store.
const KEY: &str = "division";
/// Where the schedulers stand in the store.
pub const SCHEDULERS: &str = "members/";
/// Where the executors stand in the store.
pub const EXECUTORS: &str = "executors/";
/// How long one watch of the division waits.
const WATCH: Duration = Duration::from_secs(25);

/// The division as it stands in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct DivisionRecord {
    /// Two to the power of this is the number of partitions.
    bits: u32,
}

/// A process that wants to know the division.
pub trait Divided: Clone + 'static {
    /// What it knows.
    fn division(&self) -> &Division;
    /// Connects to a scheduler.
    fn dial(&self, address: SocketAddr);
    /// Writes a log line.
    fn log(&self, kind: Kind, detail: String);
}

/// What a process knows of the division.
pub struct Division {
    name: String,
    /// Where schedulers may be found while the store does not answer.
    seeds: Vec<SocketAddr>,
    known: watch::Sender<Option<Partitions>>,
}

impl Division {
    /// For a process of this name, which knows nothing yet but where to ask while the store does not answer.
    pub fn new(name: &str, seeds: Vec<SocketAddr>) -> Division {
        Division {
            name: name.to_owned(),
            seeds,
            known: watch::Sender::default(),
        }
    }

    /// The division, if it is known.
    pub fn get(&self) -> Option<Partitions> {
        *self.known.borrow()
    }

    /// Waits until it is known.
    pub async fn known(&self) -> Partitions {
        let mut known = self.known.subscribe();
        loop {
            if let Some(partitions) = *known.borrow_and_update() {
                return partitions;
            }
            if known.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// The partition of this process, if it is known.
    pub fn own(&self) -> Option<Partition> {
        self.get().map(|p| p.of_name(&self.name))
    }

    /// The number of partitions, the own one, and who told it, for the log.
    pub fn describe(&self, origin: &str) -> String {
        let count = self.get().map_or(0, Partitions::count);
        let own = self.own().map(|own| format!(", this is {own}"));
        format!("{count}{}, from {origin}", own.unwrap_or_default())
    }

    /// Takes the division, which never changes once it is known; whether it was not known before.
    pub fn set(&self, partitions: Partitions) -> bool {
        self.known.send_if_modified(|known| {
            let news = known.is_none();
            known.get_or_insert(partitions);
            news
        })
    }

    /// What a greeting says of it.
    pub fn told(&self) -> u32 {
        self.get().map_or(0, |p| p.bits() + 1)
    }

    /// Learns it from a greeting; whether that was news.
    pub fn hear(&self, theirs: &proto::Greeting) -> bool {
        let told = theirs.divided.checked_sub(1).and_then(Partitions::new);
        told.is_some_and(|partitions| self.set(partitions))
    }

    /// Whether a link is wanted to a process, by its greeting: both are of one partition.
    pub fn wants(&self, theirs: &proto::Greeting) -> Wanted {
        let Some(partitions) = self.get() else {
            return Wanted::NotYet;
        };
        if theirs.divided != self.told() {
            return Wanted::NotYet;
        }
        match partitions.of_name(&theirs.name) == partitions.of_name(&self.name) {
            true => Wanted::Yes,
            false => Wanted::Never,
        }
    }
}

/// Asks the processes that are known from the settings how the fleet is divided, and which members there are.
pub fn ask_seeds<H: Divided>(host: &H) {
    for seed in &host.division().seeds {
        host.dial(*seed);
    }
}

struct DivisionFollower<H> {
    host: H,
    faults: FaultLog,
}

impl<H: Divided> DivisionFollower<H> {
    /// Somebody else has spoilt the record: the processes that run still know what it said.
    fn note_fault(&self, item: &Item) {
        if self.faults.is_news(&item.key) {
            let most = partition::MAX_BITS;
            let detail = format!("{KEY}: not a number of bits up to {most}");
            self.host.log(Kind::BadRecord, detail);
        }
        ask_seeds(&self.host);
    }
}

impl<H: Divided> Follower for DivisionFollower<H> {
    fn value(&self, item: &Item) {
        if item.key != KEY {
            return;
        }
        let record = serde_json::from_slice::<DivisionRecord>(&item.value);
        let partitions = record.ok().and_then(|r| Partitions::new(r.bits));
        let division = self.host.division();
        match partitions {
            Some(partitions) if division.set(partitions) => {
                self.host
                    .log(Kind::FleetDivided, division.describe("the store"));
            }
            Some(_) => {}
            None => self.note_fault(item),
        }
    }

    fn away(&self) {
        ask_seeds(&self.host);
    }

    fn log(&self, kind: Kind, detail: String) {
        self.host.log(kind, detail);
    }
}

/// Learns the division from the store, unless it becomes known otherwise.
pub async fn learn<H: Divided, S: KeyStore>(host: H, store: Rc<S>) -> Partitions {
    let follower = DivisionFollower {
        host: host.clone(),
        faults: FaultLog::default(),
    };
    let following = actix_rt::spawn(follow::follow(store, KEY.to_owned(), WATCH, follower));
    let partitions = host.division().known().await;
    following.abort();
    partitions
}

/// Divides a fleet that is not divided yet: counts its processes until two counts agree, and writes how many
/// partitions they make. Whoever is first decides.
pub async fn found<H: Divided, S: KeyStore>(host: H, store: Rc<S>, policy: PartitionPolicy) {
    let spread = policy.count_again * 2;
    actix_rt::time::sleep(policy.appear + spread - jitter(spread)).await;
    let mut before = None;
    while host.division().get().is_none() {
        let listed = list(&*store).await.ok();
        let whole = listed.filter(|fleet| fleet.holds(&host.division().name));
        let size = whole.as_ref().map(Listed::size);
        if let Some(fleet) = whole
            && size == before
        {
            let partitions = Partitions::for_fleet(&fleet.executors, &fleet.schedulers, &policy);
            write(&host, &*store, partitions).await;
        }
        before = size;
        actix_rt::time::sleep(jitter(policy.count_again * 2)).await;
    }
}

/// The names of the processes that the store lists.
struct Listed {
    executors: Vec<String>,
    schedulers: Vec<String>,
}

impl Listed {
    /// Whether processes had the time to register: the one of this name has, and some executor.
    fn holds(&self, scheduler: &str) -> bool {
        let registered = self.schedulers.iter().any(|name| name == scheduler);
        registered && !self.executors.is_empty()
    }

    fn size(&self) -> [usize; 2] {
        [self.executors.len(), self.schedulers.len()]
    }
}

async fn list<S: KeyStore>(store: &S) -> Result<Listed, StoreError> {
    let (executors, _) = store.list(EXECUTORS).await?;
    let (schedulers, _) = store.list(SCHEDULERS).await?;
    let name =
        |prefix: &'static str| move |item: &Item| process_at(prefix, item).ok().map(str::to_owned);
    Ok(Listed {
        executors: executors.iter().filter_map(name(EXECUTORS)).collect(),
        schedulers: schedulers.iter().filter_map(name(SCHEDULERS)).collect(),
    })
}

/// The process that a key of the store is of.
///
/// # Errors
///
/// When the key can't be read, or is of no process; in words.
pub fn process_at<'a>(prefix: &str, item: &'a Item) -> Result<&'a str, String> {
    if let Some(fault) = &item.fault {
        return Err(fault.clone());
    }
    let path = item.key.strip_prefix(prefix);
    let name = path.and_then(partition::name_from_path);
    name.ok_or_else(|| "not the key of a process".to_owned())
}

/// Writes the division if there is none. Whatever stands there then is learned by watching it, so an answer that is
/// lost does no harm.
async fn write<H: Divided, S: KeyStore>(host: &H, store: &S, partitions: Partitions) {
    let record = DivisionRecord {
        bits: partitions.bits(),
    };
    let json = serde_json::to_vec(&record).expect("a number has a JSON form");
    if let Err(error) = store.create(KEY, json.into()).await
        && error != StoreError::Conflict
    {
        host.log(Kind::StoreUnavailable, format!("writing {KEY}: {error}"));
    }
}
