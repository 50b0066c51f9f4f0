//! A fleet of real entry and agent processes on the simulated platform. Each machine has a loopback address
//! of its own, and a fault proxy lies in front of each entry's peer port, so that tests can disturb the
//! entry's links.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use stackcourse_lib::dispatch::partition::Partitions;
use stackcourse_lib::dispatch::policy::Policy;

use crate::fault_proxy::Fault;
use crate::fault_proxy::FaultProxy;
use crate::platform::callers;
use crate::platform::callers::HOST;
use crate::platform::callers::PREFIX;
use crate::platform::machine::CALLERS_PORT;
use crate::platform::machine::HEARTBEAT_PORT;
use crate::platform::machine::METRICS_PORT;
use crate::platform::machine::Machine;
use crate::platform::machine::PEER_PORT;
use crate::platform::machine::READY_PORT;
use crate::platform::store;
use crate::platform::store::PlatformStoreState;
use crate::platform::workers;
use crate::platform::workers::SharedWorkers;
use crate::platform::workers::Workers;
use crate::stub_server::StubServer;

const PROXY_PORT: u16 = 7730;
const WORKER_PORT: u16 = 8165;
const WORKER_PROXY_PORT: u16 = 8175;
const STORE_PORT: u16 = 8169;
/// The number of the first entry among a fleet's machines; the store's is 0.
const FIRST_ENTRY: usize = 10;
/// The number of the first agent among a fleet's machines.
const FIRST_AGENT: usize = 30;
/// The version of the configuration that a fleet starts with.
pub const FIRST_VERSION: u64 = 3;
/// The service that the fleet's workers belong to.
pub const SERVICE: &str = "quote-desk";

/// What a fleet consists of and how it is set up.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The number of entries.
    pub entries: usize,
    /// The number of agents.
    pub agents: usize,
    /// The policy of all processes.
    pub policy: Value,
    /// The `limits` of all processes.
    pub limits: Value,
    /// The `limits` of the operator's configuration.
    pub request_limits: Value,
}

impl FleetPlan {
    /// Returns a plan with the policy of the templates under `deploy/` and default limits.
    pub fn new(entries: usize, agents: usize) -> FleetPlan {
        FleetPlan {
            entries,
            agents,
            policy: default_policy(),
            limits: json!({}),
            request_limits: json!({}),
        }
    }

    /// Returns the same plan for a fleet that is divided into partitions in spite of its size.
    pub fn partitioned(entries: usize, agents: usize) -> FleetPlan {
        FleetPlan {
            policy: partitioned_policy(),
            ..FleetPlan::new(entries, agents)
        }
    }
}

/// A running fleet. Its processes end and its files are removed when it is dropped.
pub struct Fleet {
    /// The simulated store.
    pub store: PlatformStoreState,
    /// The simulated workers, one beside each agent.
    pub workers: SharedWorkers,
    /// The machines of the entries.
    pub entries: Vec<Machine>,
    /// The fault proxies in front of the entries' peer ports.
    pub proxies: Vec<FaultProxy>,
    /// The machines of the agents.
    pub agents: Vec<Machine>,
    /// The fault proxies in front of the workers, one beside each agent.
    pub worker_proxies: Vec<FaultProxy>,
    /// The assignment of entries, agents and jobs to partitions.
    pub partitions: Partitions,
    dir: PathBuf,
    _stand_ins: Vec<StubServer>,
}

/// Returns a configuration with one queue for each of the services.
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

/// The number of networks that fleets choose from; each is the middle two bytes of loopback addresses.
const NETWORK_COUNT: u32 = 200 * 256;
static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

/// Returns the middle two bytes of a fleet's loopback addresses, which no running fleet of any process uses.
fn choose_network() -> [u8; 2] {
    let first = std::process::id().wrapping_mul(256) % NETWORK_COUNT;
    loop {
        let fleet = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let index = (first + fleet) % NETWORK_COUNT;
        let base = [(index / 256) as u8 + 20, (index % 256) as u8];
        if is_network_free(base) {
            return base;
        }
    }
}

/// Returns whether the ports of a fleet's store and of its first proxy are free in a network.
fn is_network_free(base: [u8; 2]) -> bool {
    let free = |number, port| TcpListener::bind((address(base, number), port)).is_ok();
    free(0, STORE_PORT) && free(FIRST_ENTRY, PROXY_PORT)
}

/// Returns the address of a machine in a network.
fn address(base: [u8; 2], number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, base[0], base[1], number as u8 + 1)
}

impl Fleet {
    /// Starts a fleet and waits until its entries are ready and its agents are linked.
    ///
    /// # Panics
    ///
    /// Panics if the fleet is not ready within 30 s.
    pub async fn start(binary: &Path, entries: usize, agents: usize) -> Fleet {
        Fleet::start_plan(binary, &FleetPlan::new(entries, agents)).await
    }

    /// Starts a fleet that is divided into partitions in spite of its size, and waits likewise.
    ///
    /// # Panics
    ///
    /// Panics if the fleet is not ready within 30 s.
    pub async fn start_partitioned(binary: &Path, entries: usize, agents: usize) -> Fleet {
        Fleet::start_plan(binary, &FleetPlan::partitioned(entries, agents)).await
    }

    /// Starts a fleet as planned and waits until it is ready.
    ///
    /// # Panics
    ///
    /// Panics if the fleet is not ready within 30 s.
    pub async fn start_plan(binary: &Path, plan: &FleetPlan) -> Fleet {
        let (entries, agents) = (plan.entries, plan.agents);
        let partitions = Policy::deserialize(&plan.policy);
        let partitions = partitions.expect("a policy").partitions;
        let names = |count, name: fn(usize) -> String| (0..count).map(name).collect::<Vec<_>>();
        let (agent_names, entry_names) = (names(agents, agent_name), names(entries, entry_name));
        let partitions = Partitions::for_fleet(&agent_names, &entry_names, &partitions);
        let base = choose_network();
        let dir = std::env::temp_dir().join(format!("stackcourse-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let ip = |n: usize| address(base, n);
        let store_state = PlatformStoreState::default();
        let mut first = configuration(FIRST_VERSION, &[SERVICE]);
        first["limits"] = plan.request_limits.clone();
        store_state.write_as_operator("op/config", &first);
        let store_address = SocketAddr::from((ip(0), STORE_PORT));
        let mut stand_ins = vec![store::start(store_address, store_state.clone())];
        let shared = Workers::new(agents, SERVICE);
        let mut fleet = Fleet {
            store: store_state,
            workers: shared.clone(),
            entries: Vec::new(),
            proxies: Vec::new(),
            agents: Vec::new(),
            worker_proxies: Vec::new(),
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
            let node = node(&name, zone_of(0), at, store_address, Some(listen), plan);
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
            let heartbeats = SocketAddr::from((at, HEARTBEAT_PORT));
            let worker = SocketAddr::from((at, WORKER_PORT));
            let proxy = SocketAddr::from((at, WORKER_PROXY_PORT));
            stand_ins.push(workers::start(worker, heartbeats, shared.clone(), number));
            fleet.worker_proxies.push(FaultProxy::start(proxy, worker));
            let settings = json!({
                "node": node(&agent_name(number), zone_of(number), at, store_address, None, plan),
                "beats": heartbeats,
                "worker": proxy,
                "hold_ms": 1000,
            });
            let machine = fleet.machine(binary, "agent", number, at, &settings);
            fleet.agents.push(machine);
        }
        fleet._stand_ins = stand_ins;
        fleet.wait_until_ready().await;
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
        let mut machine = Machine::new(ip, role, file, binary);
        machine.start();
        machine
    }

    /// Evacuates an availability zone as the operator, or ends its evacuation.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock on the workers.
    pub fn set_evacuated(&self, zone: &str, evacuated: bool) {
        let key = format!("op/evacuate/{zone}");
        if evacuated {
            self.store.write_as_operator(&key, &json!({}));
        } else {
            self.store.remove_as_operator(&key);
        }
        let mut workers = self.workers.lock().unwrap();
        let since = evacuated.then(|| workers.now());
        for number in 0..workers.models.len() {
            if zone_of(number) == zone {
                workers.evacuated_since[number] = since;
            }
        }
    }

    /// Cuts agents off from all entries, or from none: their links carry nothing and stay open.
    pub fn cut_off(&self, agents: &[usize]) {
        let fault = Fault {
            stall_from: agents.iter().map(|n| greeting_text(*n)).collect(),
            ..Fault::default()
        };
        for proxy in &self.proxies {
            proxy.set(fault.clone());
        }
    }

    /// Counts the agents in an entry's partition.
    fn agents_in_partition_of(&self, entry: usize) -> usize {
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
    /// Panics if that takes more than 30 s.
    pub async fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(30);
        loop {
            let mut all_ready = true;
            for (number, entry) in self.entries.iter().enumerate() {
                let ready = callers::send_request(entry.ready(), "GET", "/-/ready", None).await;
                let linked = metric(entry.metrics(), "state", "executors_linked").await;
                all_ready &= ready.status == 200
                    && linked == Some(self.agents_in_partition_of(number) as u64);
            }
            if all_ready {
                return;
            }
            assert!(Instant::now() < end, "the fleet is not ready after 30 s");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Copies the logs of all processes into a directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory can't be created or written to.
    pub fn copy_logs(&self, dir: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(dir)?;
        for machine in self.entries.iter().chain(&self.agents) {
            let log = machine.log();
            let name = log.file_name().unwrap_or_default();
            std::fs::copy(&log, dir.join(name))?;
        }
        Ok(())
    }

    /// Returns the first violation of a guarantee, if any.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock on the workers.
    pub fn violation(&self) -> Option<String> {
        self.workers.lock().unwrap().witness.violation.clone()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Returns the availability zone of an agent. Agents alternate between two zones, so that one can be
/// evacuated; entries are in the first.
pub fn zone_of(agent: usize) -> &'static str {
    ["z", "y"][agent % 2]
}

fn entry_name(number: usize) -> String {
    format!("entry-{number}")
}

fn agent_name(number: usize) -> String {
    format!("agent-{number}")
}

/// Returns what the greeting of an agent contains and that of no other: its name after its length.
fn greeting_text(agent: usize) -> String {
    let name = agent_name(agent);
    format!("{}{name}", char::from(name.len() as u8))
}

/// Returns the policy fields that the templates under `deploy/` switch on.
fn default_policy() -> Value {
    json!({"recovery": {"on": true}})
}

/// Returns the same policy fields with partitions small enough to divide a fleet of a few machines.
fn partitioned_policy() -> Value {
    let mut policy = default_policy();
    policy["partitions"] = json!({"executors": 3, "schedulers": 2});
    policy
}

fn node(
    name: &str,
    zone: &str,
    ip: Ipv4Addr,
    store: SocketAddr,
    reached_at: Option<SocketAddr>,
    plan: &FleetPlan,
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
        "policy": plan.policy,
        "limits": plan.limits,
    })
}

/// Reads the metrics page of a process. Returns `None` if it does not respond.
pub async fn metrics_page(address: SocketAddr) -> Option<String> {
    let client = awc::Client::default();
    let call = client.get(format!("http://{address}/metrics"));
    let mut response = call.timeout(Duration::from_secs(2)).send().await.ok()?;
    let body = response.body().await.ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

/// Reads the value of a process's metric that has a label with the given value.
pub async fn metric(address: SocketAddr, name: &str, value: &str) -> Option<u64> {
    let text = metrics_page(address).await?;
    let line = text.lines().find(|l| {
        l.starts_with(&format!("stackcourse_{name}{{")) && l.contains(&format!("\"{value}\""))
    })?;
    line.rsplit(' ').next()?.parse().ok()
}
