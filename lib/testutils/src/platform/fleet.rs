//! The real processes of the system on the platform's stand-ins, each machine at a loopback
//! address of its own, with a fault proxy before the links of each entry.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use stackcourse_lib::dispatch::partition::Partitions;
use stackcourse_lib::dispatch::policy::Policy;

use crate::fault_proxy::FaultProxy;
use crate::platform::callers;
use crate::platform::callers::HOST;
use crate::platform::callers::PREFIX;
use crate::platform::store;
use crate::platform::store::PlatformStoreState;
use crate::platform::workers;
use crate::platform::workers::SharedWorkers;
use crate::platform::workers::Workers;
use crate::stub_server::StubServer;

const PEER_PORT: u16 = 7720;
const PROXY_PORT: u16 = 7730;
const CALLERS_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const BEATS_PORT: u16 = 8166;
const WORKER_PORT: u16 = 8165;
const METRICS_PORT: u16 = 9464;
const STORE_PORT: u16 = 8169;
/// The numbers of the first entry and the first agent among a fleet's machines.
const FIRST_ENTRY: usize = 10;
/// See [`FIRST_ENTRY`].
const FIRST_AGENT: usize = 30;
/// The configuration that a fleet starts with.
pub const FIRST_VERSION: u64 = 3;
/// The service of the fleet.
pub const SERVICE: &str = "quote-desk";

/// A machine with the process of one role on it.
pub struct Machine {
    /// Its address.
    pub ip: Ipv4Addr,
    role: &'static str,
    settings: PathBuf,
    binary: PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Starts its process, if none runs.
    ///
    /// # Panics
    ///
    /// When the binary does not run.
    pub fn start(&mut self) {
        if self.child.is_some() {
            return;
        }
        let log = File::options().create(true).append(true).open(self.log());
        let log = log.expect("a log file");
        let copy = log.try_clone().expect("a log file");
        let child = Command::new(&self.binary)
            .args(["platform", self.role])
            .env("STACKCOURSE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(copy))
            .spawn();
        self.child = Some(child.expect("the binary runs"));
    }

    /// Where its log is.
    pub fn log(&self) -> PathBuf {
        self.settings.with_extension("log")
    }

    /// Its log so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(self.log()).unwrap_or_default()
    }

    /// Its settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Sends its process a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks its process to stop and waits for its end; whether it ended well in time.
    pub fn stop(&mut self, limit: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        let end = Instant::now() + limit;
        while let Some(child) = &mut self.child {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.success();
            }
            if Instant::now() >= end {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Where callers reach it, if it is an entry.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLERS_PORT))
    }

    /// Where it says whether it is ready, if it is an entry.
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READY_PORT))
    }

    /// Where its metrics are.
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::from((self.ip, METRICS_PORT))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.signal(Signal::SIGCONT);
        self.kill();
    }
}

/// The fleet.
pub struct Fleet {
    /// The store.
    pub store: PlatformStoreState,
    /// The workers.
    pub workers: SharedWorkers,
    /// The entries.
    pub entries: Vec<Machine>,
    /// The proxies before the entries' links.
    pub proxies: Vec<FaultProxy>,
    /// The agents.
    pub agents: Vec<Machine>,
    /// How it is divided.
    pub partitions: Partitions,
    dir: PathBuf,
    _stand_ins: Vec<StubServer>,
}

/// A configuration with one queue for each service named.
pub fn configuration(version: u64, services: &[&str]) -> Value {
    let route = |service: &&str| {
        json!({
            "name": format!("r-{service}"),
            "host": HOST,
            "pathPrefix": if *service == SERVICE { PREFIX.to_owned() } else { format!("/{service}/") },
            "type": "unsafe",
            "timeoutMs": 1500,
            "sloMs": 400,
            "priority": 0,
            "service": service,
            "maxAttempts": 3,
            "extension": 3.0,
        })
    };
    let routes: Vec<Value> = services.iter().map(route).collect();
    json!({"version": version, "routes": routes, "services": [], "limits": {}})
}

/// Places for fleets: the middle two numbers of loopback addresses.
const PLACES: u32 = 200 * 256;
static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

/// The middle of a fleet's loopback addresses: a place that no fleet of this or another process uses.
fn network() -> [u8; 2] {
    let first = std::process::id().wrapping_mul(256) % PLACES;
    loop {
        let fleet = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let place = (first + fleet) % PLACES;
        let base = [(place / 256) as u8 + 20, (place % 256) as u8];
        if is_free(base) {
            return base;
        }
    }
}

/// Whether nothing listens where a fleet's store and its first proxy would.
fn is_free(base: [u8; 2]) -> bool {
    let free = |number, port| TcpListener::bind((address(base, number), port)).is_ok();
    free(0, STORE_PORT) && free(FIRST_ENTRY, PROXY_PORT)
}

/// The address of a machine of the fleet at this place.
fn address(base: [u8; 2], number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, base[0], base[1], number as u8 + 1)
}

impl Fleet {
    /// Starts a fleet and waits until its entries are ready and its agents linked.
    ///
    /// # Panics
    ///
    /// When it does not come up within half a minute.
    pub async fn start(binary: &Path, entries: usize, agents: usize) -> Fleet {
        Fleet::start_under(binary, entries, agents, &deployed()).await
    }

    /// Starts a fleet that is divided though it is small, likewise.
    ///
    /// # Panics
    ///
    /// When it does not come up within half a minute.
    pub async fn start_divided(binary: &Path, entries: usize, agents: usize) -> Fleet {
        Fleet::start_under(binary, entries, agents, &dividing()).await
    }

    /// Starts a fleet under a policy.
    async fn start_under(binary: &Path, entries: usize, agents: usize, policy: &Value) -> Fleet {
        let partitions = Policy::deserialize(policy).expect("a policy").partitions;
        let names = |count, name: fn(usize) -> String| (0..count).map(name).collect::<Vec<_>>();
        let (agent_names, entry_names) = (names(agents, agent_name), names(entries, entry_name));
        let partitions = Partitions::for_fleet(&agent_names, &entry_names, &partitions);
        let base = network();
        let dir = std::env::temp_dir().join(format!("stackcourse-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let ip = |n: usize| address(base, n);
        let store_state = PlatformStoreState::default();
        let first = configuration(FIRST_VERSION, &[SERVICE]);
        store_state.operator_writes("op/config", &first);
        let store_address = SocketAddr::from((ip(0), STORE_PORT));
        let mut stand_ins = vec![store::start(store_address, store_state.clone())];
        let shared = Workers::new(agents, SERVICE);
        let mut fleet = Fleet {
            store: store_state,
            workers: shared.clone(),
            entries: Vec::new(),
            proxies: Vec::new(),
            agents: Vec::new(),
            partitions,
            dir,
            _stand_ins: Vec::new(),
        };
        for number in 0..entries {
            let at = ip(FIRST_ENTRY + number);
            let own = SocketAddr::from((at, PEER_PORT));
            let listen = SocketAddr::from((at, PROXY_PORT));
            fleet.proxies.push(FaultProxy::start(listen, own));
            let name = entry_name(number);
            let node = node(&name, zone_of(0), at, store_address, Some(listen), policy);
            let settings = json!({
                "node": node,
                "callers": SocketAddr::from((at, CALLERS_PORT)),
                "ready": SocketAddr::from((at, READY_PORT)),
            });
            let machine = fleet.machine(binary, "entry", number, at, &settings);
            fleet.entries.push(machine);
        }
        for number in 0..agents {
            let at = ip(FIRST_AGENT + number);
            let beats = SocketAddr::from((at, BEATS_PORT));
            let worker = SocketAddr::from((at, WORKER_PORT));
            stand_ins.push(workers::start(worker, beats, shared.clone(), number));
            let settings = json!({
                "node": node(&agent_name(number), zone_of(number), at, store_address, None, policy),
                "beats": beats,
                "worker": worker,
                "hold_ms": 1000,
            });
            let machine = fleet.machine(binary, "agent", number, at, &settings);
            fleet.agents.push(machine);
        }
        fleet._stand_ins = stand_ins;
        fleet.wait_until_up().await;
        fleet
    }

    fn machine(
        &self,
        binary: &Path,
        role: &'static str,
        number: usize,
        ip: Ipv4Addr,
        settings: &Value,
    ) -> Machine {
        let file = self.dir.join(format!("{role}-{number}.json"));
        std::fs::write(&file, settings.to_string()).expect("a settings file");
        let mut machine = Machine {
            ip,
            role,
            settings: file,
            binary: binary.to_owned(),
            child: None,
        };
        machine.start();
        machine
    }

    /// The operator evacuates a zone, or takes it back.
    ///
    /// # Panics
    ///
    /// When another thread panicked while it held the workers.
    pub fn set_evacuated(&self, zone: &str, evacuated: bool) {
        let key = format!("op/evacuate/{zone}");
        if evacuated {
            self.store.operator_writes(&key, &json!({}));
        } else {
            self.store.operator_removes(&key);
        }
        let mut workers = self.workers.lock().unwrap();
        let since = evacuated.then(|| workers.now());
        for number in 0..workers.models.len() {
            if zone_of(number) == zone {
                workers.evacuated[number] = since;
            }
        }
    }

    /// How many agents are of the partition of an entry.
    fn agents_beside(&self, entry: usize) -> usize {
        let own = self.partitions.of_name(&entry_name(entry));
        let agents = 0..self.agents.len();
        agents
            .filter(|agent| self.partitions.of_name(&agent_name(*agent)) == own)
            .count()
    }

    /// Waits until every entry is ready and every agent is linked to every entry of its partition.
    ///
    /// # Panics
    ///
    /// When that takes over half a minute.
    pub async fn wait_until_up(&self) {
        let end = Instant::now() + Duration::from_secs(30);
        loop {
            let mut up = true;
            for (number, entry) in self.entries.iter().enumerate() {
                let ready = callers::call(entry.ready(), "GET", "/-/ready", None).await;
                let linked = metric(entry.metrics(), "state", "executors_linked").await;
                up &= ready.status == 200 && linked == Some(self.agents_beside(number) as u64);
            }
            if up {
                return;
            }
            assert!(Instant::now() < end, "the fleet does not come up");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Copies the logs of all processes so far.
    ///
    /// # Errors
    ///
    /// When the directory can't be made or written to.
    pub fn keep_logs(&self, dir: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(dir)?;
        for machine in self.entries.iter().chain(&self.agents) {
            let log = machine.log();
            let name = log.file_name().unwrap_or_default();
            std::fs::copy(&log, dir.join(name))?;
        }
        Ok(())
    }

    /// The promise that was broken, if any.
    ///
    /// # Panics
    ///
    /// When another thread panicked while it held the workers.
    pub fn violation(&self) -> Option<String> {
        self.workers.lock().unwrap().witness.violation.clone()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// The availability zone of an agent: two of them in turn, so that one can be evacuated. Entries are in the first.
pub fn zone_of(agent: usize) -> &'static str {
    ["z", "y"][agent % 2]
}

fn entry_name(number: usize) -> String {
    format!("entry-{number}")
}

fn agent_name(number: usize) -> String {
    format!("agent-{number}")
}

/// What the deploy templates switch on.
fn deployed() -> Value {
    json!({"recovery": {"on": true}})
}

/// The same, and a fleet of a few machines is divided.
fn dividing() -> Value {
    let mut policy = deployed();
    policy["partitions"] = json!({"executors": 3, "schedulers": 2});
    policy
}

fn node(
    name: &str,
    zone: &str,
    ip: Ipv4Addr,
    store: SocketAddr,
    reached_at: Option<SocketAddr>,
    policy: &Value,
) -> Value {
    json!({
        "name": name,
        "zone": zone,
        "ip": ip,
        "ports": [PEER_PORT, PEER_PORT + 15],
        "seeds": [],
        "store": store,
        "grace_s": 6.0,
        "metrics_port": METRICS_PORT,
        "reached_at": reached_at,
        "policy": policy,
    })
}

/// Reads the metrics page of a process.
pub async fn metrics_page(address: SocketAddr) -> Option<String> {
    let client = awc::Client::default();
    let call = client.get(format!("http://{address}/metrics"));
    let mut answer = call.timeout(Duration::from_secs(2)).send().await.ok()?;
    let body = answer.body().await.ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

/// Reads a metric of a process.
pub async fn metric(address: SocketAddr, name: &str, label: &str) -> Option<u64> {
    let text = metrics_page(address).await?;
    let line = text.lines().find(|l| {
        l.starts_with(&format!("stackcourse_{name}{{")) && l.contains(&format!("\"{label}\""))
    })?;
    line.rsplit(' ').next()?.parse().ok()
}
