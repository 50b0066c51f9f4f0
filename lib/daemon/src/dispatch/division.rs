//! The division of the fleet: the number of partitions, as far as a process knows it.
//!
//! A process reads the division from the store or, while the store does not answer, takes it from the first
//! greeting that carries it. The first entry that has counted the processes of a new fleet writes it; it
//! never changes afterwards.

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

use crate::dispatch::channel::LinkDecision;
use crate::dispatch::follow;
use crate::dispatch::follow::FaultLog;
use crate::dispatch::follow::Follower;
use crate::dispatch::links::jitter;
use crate::dispatch::store::Item;
use crate::dispatch::store::KeyStore;
use crate::dispatch::store::StoreError;

/// The key of the division in the store.
const DIVISION_KEY: &str = "division";
/// The prefix of the schedulers' keys in the store.
pub const SCHEDULERS: &str = "members/";
/// The prefix of the executors' keys in the store.
pub const EXECUTORS: &str = "executors/";
/// The time that one watch of the division waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// The division as stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct DivisionRecord {
    /// The base-2 logarithm of the number of partitions.
    bits: u32,
}

/// A process that needs the division of the fleet.
pub trait PartitionedHost: Clone + 'static {
    /// Returns what the process knows of the division.
    fn division(&self) -> &Division;
    /// Connects to the scheduler at an address.
    fn dial(&self, address: SocketAddr);
    /// Writes a log line.
    fn log(&self, kind: Kind, detail: String);
}

/// What a process knows of the division of the fleet.
pub struct Division {
    name: String,
    /// Addresses of schedulers to ask while the store does not answer.
    seeds: Vec<SocketAddr>,
    known: watch::Sender<Option<Partitions>>,
}

impl Division {
    /// Creates an unknown division for the process `name`, which asks the `seeds` while the store does not
    /// answer.
    pub fn new(name: &str, seeds: Vec<SocketAddr>) -> Division {
        Division {
            name: name.to_owned(),
            seeds,
            known: watch::Sender::default(),
        }
    }

    /// Returns the division, if it is known.
    pub fn get(&self) -> Option<Partitions> {
        *self.known.borrow()
    }

    /// Waits until the division is known and returns it.
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

    /// Returns the partition of this process, if it is known.
    pub fn own(&self) -> Option<Partition> {
        self.get().map(|p| p.of_name(&self.name))
    }

    /// Describes the division for the log: the number of partitions, the own one and the origin of the
    /// information.
    pub fn describe(&self, origin: &str) -> String {
        let count = self.get().map_or(0, Partitions::count);
        let own = self.own().map(|own| format!(", this is {own}"));
        format!("{count}{}, from {origin}", own.unwrap_or_default())
    }

    /// Sets the division unless it is known already, since it never changes. Returns whether it was unknown
    /// before.
    pub fn set(&self, partitions: Partitions) -> bool {
        self.known.send_if_modified(|known| {
            let is_first = known.is_none();
            known.get_or_insert(partitions);
            is_first
        })
    }

    /// Returns the division as greetings encode it: the number of bits plus one, or 0 if it is unknown.
    pub fn to_greeting(&self) -> u32 {
        self.get().map_or(0, |p| p.bits() + 1)
    }

    /// Takes the division from a greeting that carries it. Returns whether it was unknown before.
    pub fn set_from_greeting(&self, theirs: &proto::Greeting) -> bool {
        let announced = theirs.divided.checked_sub(1).and_then(Partitions::new);
        announced.is_some_and(|partitions| self.set(partitions))
    }

    /// Returns whether a link to the sender of a greeting is wanted, which is so if both belong to the same
    /// partition.
    pub fn decide_link(&self, theirs: &proto::Greeting) -> LinkDecision {
        let Some(partitions) = self.get() else {
            return LinkDecision::NotYet;
        };
        if theirs.divided != self.to_greeting() {
            return LinkDecision::NotYet;
        }
        match partitions.of_name(&theirs.name) == partitions.of_name(&self.name) {
            true => LinkDecision::Yes,
            false => LinkDecision::Never,
        }
    }
}

/// Connects to the schedulers named in the settings, which know the division and the other members.
pub fn dial_seeds<H: PartitionedHost>(host: &H) {
    for seed in &host.division().seeds {
        host.dial(*seed);
    }
}

struct DivisionFollower<H> {
    host: H,
    faults: FaultLog,
}

impl<H: PartitionedHost> DivisionFollower<H> {
    /// Logs that the stored division is invalid, and falls back to the running processes, which still know
    /// it.
    fn report_fault(&self, item: &Item) {
        if self.faults.mark_logged(&item.key) {
            let max_bits = partition::MAX_BITS;
            let detail = format!("{DIVISION_KEY}: not a number of bits up to {max_bits}");
            self.host.log(Kind::BadRecord, detail);
        }
        dial_seeds(&self.host);
    }
}

impl<H: PartitionedHost> Follower for DivisionFollower<H> {
    fn on_put(&self, item: &Item) {
        if item.key != DIVISION_KEY {
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
            None => self.report_fault(item),
        }
    }

    fn on_unavailable(&self) {
        dial_seeds(&self.host);
    }

    fn log(&self, kind: Kind, detail: String) {
        self.host.log(kind, detail);
    }
}

/// Waits until the division is known, from the store or from a greeting, and returns it.
pub async fn wait_for_division<H: PartitionedHost, S: KeyStore>(
    host: H,
    store: Rc<S>,
) -> Partitions {
    let follower = DivisionFollower {
        host: host.clone(),
        faults: FaultLog::default(),
    };
    let following = actix_rt::spawn(follow::follow(
        store,
        DIVISION_KEY.to_owned(),
        WATCH_WAIT,
        follower,
    ));
    let partitions = host.division().known().await;
    following.abort();
    partitions
}

/// Divides a fleet that has no division yet: counts its processes until two successive counts agree, and
/// writes the number of partitions for that size. The first process to write decides.
pub async fn establish<H: PartitionedHost, S: KeyStore>(
    host: H,
    store: Rc<S>,
    policy: PartitionPolicy,
) {
    let spread = policy.count_again * 2;
    actix_rt::time::sleep(policy.appear + spread - jitter(spread)).await;
    let mut previous_size = None;
    while host.division().get().is_none() {
        let listed = list_processes(&*store).await.ok();
        let complete = listed.filter(|fleet| fleet.is_registered(&host.division().name));
        let size = complete.as_ref().map(ListedProcesses::size);
        if let Some(fleet) = complete
            && size == previous_size
        {
            let partitions = Partitions::for_fleet(&fleet.executors, &fleet.schedulers, &policy);
            write_division(&host, &*store, partitions).await;
        }
        previous_size = size;
        actix_rt::time::sleep(jitter(policy.count_again * 2)).await;
    }
}

/// The names of the processes registered in the store.
struct ListedProcesses {
    executors: Vec<String>,
    schedulers: Vec<String>,
}

impl ListedProcesses {
    /// Returns whether `scheduler` and at least one executor are listed. A list without them is incomplete,
    /// because the processes are still registering.
    fn is_registered(&self, scheduler: &str) -> bool {
        let registered = self.schedulers.iter().any(|name| name == scheduler);
        registered && !self.executors.is_empty()
    }

    fn size(&self) -> [usize; 2] {
        [self.executors.len(), self.schedulers.len()]
    }
}

async fn list_processes<S: KeyStore>(store: &S) -> Result<ListedProcesses, StoreError> {
    let (executors, _) = store.list(EXECUTORS).await?;
    let (schedulers, _) = store.list(SCHEDULERS).await?;
    let name =
        |prefix: &'static str| move |item: &Item| parse_name(prefix, item).ok().map(str::to_owned);
    Ok(ListedProcesses {
        executors: executors.iter().filter_map(name(EXECUTORS)).collect(),
        schedulers: schedulers.iter().filter_map(name(SCHEDULERS)).collect(),
    })
}

/// Returns the name of the process to which a key of the store belongs.
///
/// # Errors
///
/// When the key can't be read or belongs to no process; the text says why.
pub fn parse_name<'a>(prefix: &str, item: &'a Item) -> Result<&'a str, String> {
    if let Some(fault) = &item.fault {
        return Err(fault.clone());
    }
    let path = item.key.strip_prefix(prefix);
    let name = path.and_then(partition::name_from_path);
    name.ok_or_else(|| "not the key of a process".to_owned())
}

/// Writes the division if the store has none. The process takes the result from its watch of the key, so a
/// lost reply does no harm.
async fn write_division<H: PartitionedHost, S: KeyStore>(
    host: &H,
    store: &S,
    partitions: Partitions,
) {
    let record = DivisionRecord {
        bits: partitions.bits(),
    };
    let json = serde_json::to_vec(&record).expect("a number has a JSON form");
    if let Err(error) = store.create(DIVISION_KEY, json.into()).await
        && error != StoreError::Conflict
    {
        host.log(
            Kind::StoreUnavailable,
            format!("writing {DIVISION_KEY}: {error}"),
        );
    }
}
