//! A cluster of real processes for tests and measurements: entries and agents that run the production binary,
//! stubs of the store and the backend servers on threads of this process, and fault proxies in front of the
//! entries and the store. Dropping the [`Cluster`] kills all its processes.

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
use crate::platform::process::ProcessInfo;
use crate::stub_backend;
use crate::stub_backend::BackendState;
use crate::stub_backend::StartLine;
use crate::stub_server::StubServer;
use crate::stub_server::any_port;
use crate::stub_store;

/// The parameters of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// The `stackcourse` binary.
    pub binary: PathBuf,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Number of slots of each agent.
    pub slots: u32,
    /// One-way delay of the links to each entry.
    pub delay: Duration,
    /// Additional settings of each entry.
    pub entry_settings: Value,
    /// Additional settings of each agent.
    pub agent_settings: Value,
    /// The configuration to apply at the start.
    pub config: Value,
    /// Number of backend servers, which agents share round robin; 0 for one per agent.
    pub backends: usize,
    /// Whether agents serve their metrics over HTTP.
    pub agent_http: bool,
}

impl ClusterPlan {
    /// Returns a plan of three entries and four agents with four slots each, without delay.
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

/// Returns a configuration with the given limits, a service `quote`, and a service `switch` whose tasks are
/// never repeated.
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
    /// The file with its output.
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

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns what the kernel tells of the process.
    pub fn info(&self) -> ProcessInfo {
        ProcessInfo::new(self.child.id())
    }

    /// Waits for the process to end. Returns whether it exited successfully within `limit`.
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
    /// The HTTP address for callers.
    pub http: SocketAddr,
    /// The proxy through which agents and other entries connect to it.
    pub proxy: FaultProxy,
    settings: PathBuf,
}

/// An agent of the cluster with its backend server.
pub struct AgentNode {
    /// The process; `None` while it is down.
    pub process: Option<Process>,
    /// The log and the faults of the backend server.
    pub backend: BackendState,
    /// The HTTP address of its metrics, if the plan enables them.
    pub http: SocketAddr,
    settings: PathBuf,
    stub_server: Arc<StubServer>,
}

/// A running cluster.
pub struct Cluster {
    /// The parameters of the cluster.
    pub plan: ClusterPlan,
    /// The stub of the store.
    pub store: StubServer,
    /// The proxy through which entries reach the store.
    pub store_proxy: FaultProxy,
    /// The entries.
    pub entries: Vec<EntryNode>,
    /// The agents.
    pub agents: Vec<AgentNode>,
    dir: PathBuf,
}

/// The ports of [`free_address`]; they lie below the system's ephemeral ports, which outgoing connections
/// occupy.
const PORT_RANGE: std::ops::Range<u32> = 10_000..32_000;

/// Returns a loopback address that is currently free. Each call of this process tries another port, so that
/// concurrent tests do not take each other's ports.
pub fn free_address() -> SocketAddr {
    static FIRST_OFFSET: OnceLock<u32> = OnceLock::new();
    static ADDRESSES_TRIED: AtomicU32 = AtomicU32::new(0);
    let count = PORT_RANGE.end - PORT_RANGE.start;
    let first = *FIRST_OFFSET.get_or_init(|| rand::random_range(0..count));
    loop {
        let offset = first + ADDRESSES_TRIED.fetch_add(1, Ordering::Relaxed);
        let port = PORT_RANGE.start + offset % count;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns a new job id with the current time.
pub fn new_job_id() -> JobId {
    JobId::mint(system_clock::unix_ms(), &rand::random())
}

fn merge_settings(base: &mut Value, extra: &Value) {
    if let (Value::Object(base), Value::Object(extra)) = (base, extra) {
        for (name, value) in extra {
            base.insert(name.clone(), value.clone());
        }
    }
}

impl Cluster {
    /// Starts a cluster, applies its configuration and waits until it is ready, see [`Cluster::wait_ready`].
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
        proxy.set_delay(self.plan.delay);
        let mut settings = json!({
            "name": format!("e{}", i + 1),
            "zone": format!("z{}", i % 3 + 1),
            "http": http.to_string(),
            "listen": listen.to_string(),
            "advertise": proxy.address.to_string(),
            "store": format!("http://{}", self.store_proxy.address),
            "linger_ms": 200,
        });
        merge_settings(&mut settings, &self.plan.entry_settings);
        EntryNode {
            process: None,
            http,
            proxy,
            settings: self.write_settings(&format!("e{}", i + 1), &settings),
        }
    }

    fn make_agent(&self, i: usize) -> AgentNode {
        let shared = self.plan.backends > 0 && i >= self.plan.backends;
        let (backend, stub_server) = if shared {
            let other = &self.agents[i % self.plan.backends];
            (other.backend.clone(), other.stub_server.clone())
        } else {
            let backend = BackendState::default();
            let stub_server = stub_backend::start(any_port(), backend.clone());
            (backend, Arc::new(stub_server))
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
            "backend": stub_server.url(),
        });
        if self.plan.agent_http {
            settings["http"] = json!(http.to_string());
        }
        merge_settings(&mut settings, &self.plan.agent_settings);
        AgentNode {
            process: None,
            backend,
            settings: self.write_settings(&format!("w{}", i + 1), &settings),
            http,
            stub_server,
        }
    }

    fn write_settings(&self, name: &str, settings: &Value) -> PathBuf {
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("a settings file");
        path
    }

    /// Starts or restarts an entry.
    pub fn start_entry(&mut self, i: usize) {
        let settings = self.entries[i].settings.clone();
        let process = Process::start(&self.plan.binary, "entry", &settings);
        self.entries[i].process = Some(process);
    }

    /// Starts or restarts an agent.
    pub fn start_agent(&mut self, i: usize) {
        let settings = self.agents[i].settings.clone();
        let process = Process::start(&self.plan.binary, "agent", &settings);
        self.agents[i].process = Some(process);
    }

    /// Kills an entry with SIGKILL.
    pub fn kill_entry(&mut self, i: usize) {
        self.entries[i].process = None;
    }

    /// Kills an agent with SIGKILL. Its backend server keeps running.
    pub fn kill_agent(&mut self, i: usize) {
        self.agents[i].process = None;
    }

    /// Writes a configuration to the store directly, bypassing the proxy, and returns its version.
    pub async fn apply(&self, config: &Value) -> Result<u64, ApplyError> {
        let store = ConsulStore::new(&self.store.url());
        let text = config.to_string();
        let applied = operator::apply(&store, "config", text.as_bytes(), "test", None).await?;
        Ok(applied.version)
    }

    /// Returns the status of an entry, or `None` if it does not answer.
    pub async fn status(&self, i: usize) -> Option<EntryStatus> {
        fetch_status(&self.entries[i].http.to_string()).await
    }

    /// Waits until every running entry has a configuration and a confirmed right to serve, counts all running
    /// agents as usable, and is linked to all other running entries.
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

    /// Waits until the status of an entry passes `test`; `what` describes the condition.
    ///
    /// # Panics
    ///
    /// Panics after 30 s.
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

    /// Waits until every entry has applied at least the given configuration version, and every agent as well
    /// as far as the entries that own shards know. Returns how long that took.
    pub async fn wait_version(&self, version: u64) -> Duration {
        let started_at = Instant::now();
        for i in 0..self.entries.len() {
            self.wait_status(i, "on the version", |s| {
                let agents = s.agents.iter().all(|a| a.config >= version);
                s.config >= version && (agents || s.owned == 0)
            })
            .await;
        }
        started_at.elapsed()
    }

    /// Returns the entry that serves the most shards, or the first entry if none serves any.
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

    /// Submits a job to an entry. Returns `None` if the connection broke or the request timed out.
    pub async fn put(&self, i: usize, service: &str, job: JobId, body: &Value) -> Option<Reply> {
        put_job(self.entries[i].http, service, job, body).await
    }

    /// Returns the values of a counter or gauge by its first label, summed over all entries.
    pub async fn metric(&self, name: &str) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for entry in &self.entries {
            for (label, value) in read_metric(entry.http, name).await {
                *sums.entry(label).or_default() += value;
            }
        }
        sums
    }

    /// Queries an entry for the state of a job. Returns `None` if the connection broke or the request timed
    /// out.
    pub async fn get(&self, i: usize, service: &str, job: JobId) -> Option<Reply> {
        let url = job_url(self.entries[i].http, service, job);
        let request = awc::Client::default().get(url).timeout(REQUEST_TIMEOUT);
        read_reply(request.send().await.ok()?).await
    }

    /// Returns the starts in the logs of all agents' backend servers. The log of a backend server that
    /// several agents share is included once for each of them.
    pub fn starts(&self) -> Vec<StartLine> {
        self.agents.iter().flat_map(|a| a.backend.log()).collect()
    }

    /// Returns the tasks of a job that have started, in order; a task that started twice is listed twice.
    pub fn started_tasks(&self, job: JobId) -> Vec<u32> {
        let id = job.to_string();
        let mine = self.starts().into_iter().filter(|s| s.job == id);
        let mut tasks: Vec<u32> = mine.map(|s| s.task).collect();
        tasks.sort_unstable();
        tasks
    }

    /// Panics if a task has started twice.
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

/// How long callers wait for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(70);

/// The reply to a caller.
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
    /// Returns the name of the outcome, or of the state if the job has not ended.
    pub fn outcome(&self) -> &str {
        let word = self.body["outcome"].as_str();
        word.or(self.body["state"].as_str()).unwrap_or("")
    }
}

/// Returns the values of a counter or gauge of one process by its first label; empty if it does not answer.
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

/// Submits a job to an entry's HTTP address. Returns `None` if the connection broke or the request timed out.
pub async fn put_job(http: SocketAddr, service: &str, job: JobId, body: &Value) -> Option<Reply> {
    put_job_with(&awc::Client::default(), http, service, job, body).await
}

/// Like [`put_job`], with a client whose connections are reused.
pub async fn put_job_with(
    client: &awc::Client,
    http: SocketAddr,
    service: &str,
    job: JobId,
    body: &Value,
) -> Option<Reply> {
    let url = job_url(http, service, job);
    let request = client.put(url).timeout(REQUEST_TIMEOUT);
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

/// Returns a job body with tasks of the given durations in milliseconds.
pub fn job_body(times: &[u64], deadline_ms: u64) -> Value {
    let tasks: Vec<Value> = times.iter().map(|ms| json!({"ms": ms})).collect();
    json!({"tasks": tasks, "deadline_ms": deadline_ms})
}

/// Returns the answers of the stub backend server to a job of `count` tasks.
pub fn stub_answers(job: JobId, count: u32) -> Value {
    let answer = |task| json!({"job": job.to_string(), "task": task});
    Value::Array((0..count).map(answer).collect())
}
