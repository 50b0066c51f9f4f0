//! A cluster of real processes: the shipped binary as entries and agents, stand-ins on threads of
//! this process, and fault proxies between them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;
use stackcourse_daemon::consul::ConsulStore;
use stackcourse_daemon::operator;
use stackcourse_daemon::operator::ApplyError;
use stackcourse_daemon::status::EntryStatus;
use stackcourse_daemon::status::fetch_status;
use stackcourse_daemon::system_clock;
use stackcourse_lib::job_id::JobId;

use crate::fault_proxy::FaultProxy;
use crate::standin::StandIn;
use crate::standin::any_port;
use crate::stub_backend;
use crate::stub_backend::BackendState;
use crate::stub_backend::StartLine;
use crate::stub_store;

/// What a cluster consists of.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// The `stackcourse` binary.
    pub binary: PathBuf,
    /// How many entries.
    pub entries: usize,
    /// How many agents, each with a back end.
    pub agents: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// Delay between the processes, one way.
    pub delay: Duration,
    /// Settings added to each entry's.
    pub entry_settings: Value,
    /// Settings added to each agent's.
    pub agent_settings: Value,
    /// The configuration.
    pub config: Value,
    /// How many back ends there are; agents share them in turn. 0 for one each.
    pub backends: usize,
    /// Whether agents serve their metrics.
    pub agent_http: bool,
}

impl ClusterPlan {
    /// Three entries and four agents of four slots, without delay.
    pub fn new(binary: impl Into<PathBuf>) -> ClusterPlan {
        ClusterPlan {
            binary: binary.into(),
            entries: 3,
            agents: 4,
            slots: 4,
            delay: Duration::ZERO,
            entry_settings: json!({}),
            agent_settings: json!({}),
            config: plain_config(json!({})),
            backends: 0,
            agent_http: false,
        }
    }
}

/// A configuration with a service `quote`, a once-only service `switch`, and limits.
pub fn plain_config(limits: Value) -> Value {
    json!({
        "services": {
            "quote": {"halls": ["*"], "zones": ["*"]},
            "switch": {"halls": ["*"], "zones": ["*"], "repeat": "never"},
        },
        "limits": limits,
    })
}

/// A child process that is killed when it is dropped.
pub struct Process {
    child: Child,
    /// Its log.
    pub log: PathBuf,
}

impl Process {
    fn start(binary: &Path, role: &str, settings: &Path) -> Process {
        let log = settings.with_extension("log");
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .expect("a log file");
        let copy = file.try_clone().expect("a log file");
        let child = Command::new(binary)
            .args([role, "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(copy))
            .stderr(Stdio::from(file))
            .spawn()
            .expect("the binary runs");
        Process { child, log }
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Kills it without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its end; returns whether it ended well in time.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::SIGCONT);
        self.kill();
    }
}

/// An entry of the cluster.
pub struct EntryNode {
    /// The process; `None` while it is down.
    pub process: Option<Process>,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// The proxy in front of its links.
    pub proxy: FaultProxy,
    settings: PathBuf,
}

/// An agent of the cluster with its back end.
pub struct AgentNode {
    /// The process; `None` while it is down.
    pub process: Option<Process>,
    /// The back end's log and mood.
    pub backend: BackendState,
    /// Where its metrics are served.
    pub http: SocketAddr,
    settings: PathBuf,
    standin: Arc<StandIn>,
}

/// The cluster.
pub struct Cluster {
    /// The plan it was made by.
    pub plan: ClusterPlan,
    /// The store.
    pub store: StandIn,
    /// The proxy in front of the store.
    pub store_proxy: FaultProxy,
    /// The entries.
    pub entries: Vec<EntryNode>,
    /// The agents.
    pub agents: Vec<AgentNode>,
    dir: PathBuf,
}

/// Ports below those that the system hands out by itself.
const PORTS: std::ops::Range<u32> = 10_000..32_000;

/// A loopback address that was free a moment ago and that no other call in this process got or
/// gets, so that tests which run at once do not take each other's ports.
pub fn free_address() -> SocketAddr {
    static FIRST: OnceLock<u32> = OnceLock::new();
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let count = PORTS.end - PORTS.start;
    let first = *FIRST.get_or_init(|| rand::random_range(0..count));
    loop {
        let place = first + TAKEN.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + place % count;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// A new job id.
pub fn new_job() -> JobId {
    JobId::mint(system_clock::unix_ms(), &rand::random())
}

fn merge(base: &mut Value, extra: &Value) {
    if let (Value::Object(base), Value::Object(extra)) = (base, extra) {
        for (name, value) in extra {
            base.insert(name.clone(), value.clone());
        }
    }
}

impl Cluster {
    /// Starts a cluster and applies its configuration. It is ready when every entry has the
    /// configuration and every agent is usable.
    pub async fn start(plan: ClusterPlan) -> Cluster {
        let dir = std::env::temp_dir().join(format!("stackcourse-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let store = stub_store::start(any_port());
        let store_proxy = FaultProxy::start(any_port(), store.address);
        let mut cluster = Cluster {
            plan,
            store,
            store_proxy,
            entries: Vec::new(),
            agents: Vec::new(),
            dir,
        };
        cluster
            .apply(&cluster.plan.config.clone())
            .await
            .expect("a configuration");
        for i in 0..cluster.plan.entries {
            let node = cluster.make_entry(i);
            cluster.entries.push(node);
        }
        for i in 0..cluster.plan.entries {
            cluster.start_entry(i);
        }
        for i in 0..cluster.plan.agents {
            let node = cluster.make_agent(i);
            cluster.agents.push(node);
            cluster.start_agent(i);
        }
        cluster.wait_ready().await;
        cluster
    }

    fn make_entry(&self, i: usize) -> EntryNode {
        let (http, listen) = (free_address(), free_address());
        let proxy = FaultProxy::start(any_port(), listen);
        proxy.pass(self.plan.delay);
        let mut settings = json!({
            "name": format!("e{}", i + 1),
            "zone": format!("z{}", i % 3 + 1),
            "http": http.to_string(),
            "listen": listen.to_string(),
            "advertise": proxy.address.to_string(),
            "store": format!("http://{}", self.store_proxy.address),
            "linger_ms": 200,
        });
        merge(&mut settings, &self.plan.entry_settings);
        EntryNode {
            process: None,
            http,
            proxy,
            settings: self.write_settings(&format!("e{}", i + 1), &settings),
        }
    }

    fn make_agent(&self, i: usize) -> AgentNode {
        let shared = self.plan.backends > 0 && i >= self.plan.backends;
        let (backend, standin) = if shared {
            let other = &self.agents[i % self.plan.backends];
            (other.backend.clone(), other.standin.clone())
        } else {
            let backend = BackendState::default();
            let standin = stub_backend::start(any_port(), backend.clone());
            (backend, Arc::new(standin))
        };
        let http = free_address();
        let entries: Vec<String> = self
            .entries
            .iter()
            .map(|e| e.proxy.address.to_string())
            .collect();
        let mut settings = json!({
            "name": format!("w{}", i + 1),
            "zone": format!("z{}", i % 3 + 1),
            "hall": format!("h{}", i % 3 + 1),
            "room": {"slots": self.plan.slots},
            "entries": entries,
            "backend": standin.url(),
        });
        if self.plan.agent_http {
            settings["http"] = json!(http.to_string());
        }
        merge(&mut settings, &self.plan.agent_settings);
        AgentNode {
            process: None,
            backend,
            settings: self.write_settings(&format!("w{}", i + 1), &settings),
            http,
            standin,
        }
    }

    fn write_settings(&self, name: &str, settings: &Value) -> PathBuf {
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("a settings file");
        path
    }

    /// Starts an entry, also again.
    pub fn start_entry(&mut self, i: usize) {
        let settings = self.entries[i].settings.clone();
        let process = Process::start(&self.plan.binary, "entry", &settings);
        self.entries[i].process = Some(process);
    }

    /// Starts an agent, also again.
    pub fn start_agent(&mut self, i: usize) {
        let settings = self.agents[i].settings.clone();
        let process = Process::start(&self.plan.binary, "agent", &settings);
        self.agents[i].process = Some(process);
    }

    /// Kills an entry without warning.
    pub fn kill_entry(&mut self, i: usize) {
        self.entries[i].process = None;
    }

    /// Kills an agent without warning. Its back end goes on.
    pub fn kill_agent(&mut self, i: usize) {
        self.agents[i].process = None;
    }

    /// Applies a configuration through the store itself, not the proxy.
    pub async fn apply(&self, config: &Value) -> Result<u64, ApplyError> {
        let store = ConsulStore::new(&self.store.url());
        let text = config.to_string();
        let applied = operator::apply(&store, "config", text.as_bytes(), "test", None).await?;
        Ok(applied.version)
    }

    /// The state of an entry.
    pub async fn status(&self, i: usize) -> Option<EntryStatus> {
        fetch_status(&self.entries[i].http.to_string()).await
    }

    /// Waits until every entry that runs knows every agent that runs as usable, and every other
    /// entry that runs as a peer.
    pub async fn wait_ready(&self) {
        let agents = self.agents.iter().filter(|a| a.process.is_some()).count();
        let entries = self.entries.iter().filter(|e| e.process.is_some()).count();
        let ready = |s: &EntryStatus| {
            let available = s.agents.iter().filter(|a| a.available).count();
            let linked = available >= agents && s.peers + 1 >= entries;
            linked && s.right == "confirmed" && s.config > 0
        };
        for i in 0..self.entries.len() {
            if self.entries[i].process.is_some() {
                self.wait_status(i, "ready", ready).await;
            }
        }
    }

    /// Waits until an entry's state is as asked.
    ///
    /// # Panics
    ///
    /// When that takes more than 30 s.
    pub async fn wait_status(&self, i: usize, what: &str, test: impl Fn(&EntryStatus) -> bool) {
        let end = Instant::now() + Duration::from_secs(30);
        let mut last = None;
        while Instant::now() < end {
            last = self.status(i).await;
            if last.as_ref().is_some_and(&test) {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("entry {} is not {what}: {last:?}", i + 1);
    }

    /// Waits until a configuration version is in force on every node, as the entries that own shards
    /// know it, and returns how long that took.
    pub async fn wait_version(&self, version: u64) -> Duration {
        let begun = Instant::now();
        for i in 0..self.entries.len() {
            self.wait_status(i, "on the version", |s| {
                let agents = s.agents.iter().all(|a| a.config >= version);
                s.config >= version && (agents || s.owned == 0)
            })
            .await;
        }
        begun.elapsed()
    }

    /// The entry that serves the most shards.
    pub async fn owner(&self) -> usize {
        let mut best = (0, 0);
        for i in 0..self.entries.len() {
            let served = self.status(i).await.map_or(0, |s| s.served);
            if served > best.1 {
                best = (i, served);
            }
        }
        best.0
    }

    /// Sends a job to an entry; `None` when the connection broke.
    pub async fn put(&self, i: usize, service: &str, job: JobId, body: &Value) -> Option<Reply> {
        put_job(self.entries[i].http, service, job, body).await
    }

    /// A counter or gauge of all entries, summed by its label.
    pub async fn metric(&self, name: &str) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for entry in &self.entries {
            for (label, value) in read_metric(entry.http, name).await {
                *sums.entry(label).or_default() += value;
            }
        }
        sums
    }

    /// Asks an entry for a job.
    pub async fn get(&self, i: usize, service: &str, job: JobId) -> Option<Reply> {
        let url = job_url(self.entries[i].http, service, job);
        let request = awc::Client::default().get(url).timeout(LONGEST);
        read_reply(request.send().await.ok()?).await
    }

    /// Every start that any back end has logged.
    pub fn starts(&self) -> Vec<StartLine> {
        self.agents.iter().flat_map(|a| a.backend.log()).collect()
    }

    /// How often each task of a job has started.
    pub fn starts_of(&self, job: JobId) -> Vec<u32> {
        let id = job.to_string();
        let mine = self.starts().into_iter().filter(|s| s.job == id);
        let mut tasks: Vec<u32> = mine.map(|s| s.task).collect();
        tasks.sort_unstable();
        tasks
    }

    /// Panics if any task has started twice.
    pub fn assert_no_double_start(&self) {
        let mut all: Vec<(String, u32)> =
            self.starts().into_iter().map(|s| (s.job, s.task)).collect();
        all.sort();
        for pair in all.windows(2) {
            assert_ne!(pair[0], pair[1], "a task started twice");
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        if std::env::var_os("STACKCOURSE_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// The longest a caller of the tests waits.
const LONGEST: Duration = Duration::from_secs(70);

/// What a caller got.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Value,
    /// The header `Retry-After`, in seconds.
    pub retry: Option<u64>,
}

impl Reply {
    /// The outcome's word, or the state of a job that still runs.
    pub fn outcome(&self) -> &str {
        let word = self.body["outcome"].as_str();
        word.or(self.body["state"].as_str()).unwrap_or("")
    }
}

/// A counter or gauge of one process by its label; empty when it does not answer.
pub async fn read_metric(http: SocketAddr, name: &str) -> BTreeMap<String, f64> {
    let mut values = BTreeMap::new();
    let url = format!("http://{http}/metrics");
    let Ok(mut response) = awc::Client::default().get(url).send().await else {
        return values;
    };
    let Ok(body) = response.body().await else {
        return values;
    };
    let prefix = format!("{name}{{");
    for line in String::from_utf8_lossy(&body).lines() {
        let Some(rest) = line.strip_prefix(&prefix) else {
            continue;
        };
        let label = rest.split('"').nth(1).unwrap_or("").to_owned();
        let value = line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok());
        values.insert(label, value.unwrap_or(0.0));
    }
    values
}

fn job_url(http: SocketAddr, service: &str, job: JobId) -> String {
    format!("http://{http}/v1/services/{service}/jobs/{job}")
}

/// Sends a job to an entry's HTTP address; `None` when the connection broke.
pub async fn put_job(http: SocketAddr, service: &str, job: JobId, body: &Value) -> Option<Reply> {
    put_with(&awc::Client::default(), http, service, job, body).await
}

/// The same with a client of the caller's, whose connections are used again.
pub async fn put_with(
    client: &awc::Client,
    http: SocketAddr,
    service: &str,
    job: JobId,
    body: &Value,
) -> Option<Reply> {
    let url = job_url(http, service, job);
    let request = client.put(url).timeout(LONGEST);
    read_reply(request.send_json(body).await.ok()?).await
}

async fn read_reply<S>(mut response: awc::ClientResponse<S>) -> Option<Reply>
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let retry = response.headers().get("retry-after");
    let retry = retry.and_then(|v| v.to_str().ok()?.parse().ok());
    let body = response.body().limit(64 << 20).await.ok()?;
    Some(Reply {
        status: response.status().as_u16(),
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        retry,
    })
}

/// A job body with tasks of these times in milliseconds.
pub fn body_of(times: &[u64], deadline_ms: u64) -> Value {
    let tasks: Vec<Value> = times.iter().map(|ms| json!({"ms": ms})).collect();
    json!({"tasks": tasks, "deadline_ms": deadline_ms})
}

/// The answers that the stand-in back end gives to a job of `count` tasks.
pub fn answers_of(job: JobId, count: u32) -> Value {
    let answer = |task| json!({"job": job.to_string(), "task": task});
    Value::Array((0..count).map(answer).collect())
}
