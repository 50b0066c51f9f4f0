//! The `dev` mode: one process with an in-memory store, one entry, one agent and an echo backend server.

use std::net::SocketAddr;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use bytes::Bytes;
use serde_json::json;
use stackcourse_lib::agent::AgentSetup;
use stackcourse_lib::dispatch::connections::LimitSettings;
use stackcourse_lib::entry::EntrySetup;
use stackcourse_lib::room::Room;
use stackcourse_lib::versions::Version;
use stackcourse_lib::versions::version_key;

use crate::agent_process;
use crate::agent_process::AgentHandle;
use crate::entry_actor::GetStatus;
use crate::entry_process;
use crate::entry_process::EntryError;
use crate::entry_process::EntryHandle;
use crate::entry_process::bind;
use crate::kernel::Kernel;
use crate::memory_store::MemoryStore;
use crate::process_clock::TICK;
use crate::settings::AgentSettings;
use crate::settings::EntrySettings;
use crate::settings::LogSettings;
use crate::status::EntryStatus;
use crate::store::AnyStore;

/// A loopback address with a port chosen by the system.
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// The number of slots of the agent.
const SLOTS: u32 = 8;

/// Handles to the parts of a `dev` process.
pub struct DevHandle {
    /// The entry.
    pub entry: EntryHandle,
    /// The agent.
    pub agent: AgentHandle,
}

/// Starts the store, the entry, the agent and the backend server. Callers are served at `listen`.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub fn start(listen: SocketAddr, kernel: &Kernel) -> Result<DevHandle, EntryError> {
    let store = MemoryStore::default();
    store.write(&version_key(1), 0, first_version());
    let backend = start_echo()?;
    let entry = entry_process::start(entry_settings(listen), AnyStore::Memory(store), kernel)?;
    let agent = agent_process::start(agent_settings(entry.listen, backend), kernel)?;
    Ok(DevHandle { entry, agent })
}

impl DevHandle {
    /// Waits until the entry serves shards and has a usable agent, or until the entry stops.
    pub async fn wait_until_ready(&self) {
        let is_serving = |s: &EntryStatus| s.served > 0 && s.agents.iter().any(|a| a.available);
        while let Ok(status) = self.entry.entry.send(GetStatus).await {
            if is_serving(&status) {
                return;
            }
            actix_rt::time::sleep(TICK).await;
        }
    }
}

fn first_version() -> Bytes {
    let version = Version {
        version: 1,
        change: "dev".into(),
        author: "dev".into(),
        time_ms: 0,
        previous: String::new(),
        config: json!({"services": {"echo": {"halls": ["dev"], "zones": ["dev"]}}}),
    };
    Bytes::from(serde_json::to_vec(&version).expect("a version is JSON"))
}

fn entry_settings(listen: SocketAddr) -> EntrySettings {
    let mut setup = EntrySetup::new("dev", rand::random());
    setup.zone = "dev".into();
    setup.address = ANY_PORT.to_string();
    setup.http = listen.to_string();
    EntrySettings {
        setup,
        http: listen,
        listen: ANY_PORT,
        store: String::new(),
        body_bytes: 4 << 20,
        linger: std::time::Duration::ZERO,
        limits: LimitSettings::default(),
        log: LogSettings::default(),
    }
}

fn agent_settings(entry: SocketAddr, backend: SocketAddr) -> AgentSettings {
    let mut setup = AgentSetup::new("dev", rand::random(), Room::of_slots(SLOTS));
    setup.zone = "dev".into();
    setup.hall = "dev".into();
    AgentSettings {
        setup,
        entries: vec![entry],
        backend: format!("http://{backend}"),
        connections: 60,
        keepalive: std::time::Duration::from_secs(2),
        answer_bytes: 1 << 20,
        http: None,
        limits: LimitSettings::default(),
        log: LogSettings::default(),
    }
}

/// Starts a backend server that answers each task with the task's own payload.
fn start_echo() -> Result<SocketAddr, EntryError> {
    let listener = bind(ANY_PORT)?;
    let address = listener.local_addr()?;
    let server = HttpServer::new(|| App::new().default_service(web::to(echo)))
        .workers(1)
        .disable_signals()
        .listen(listener)?;
    actix_rt::spawn(server.run());
    Ok(address)
}

async fn echo(body: Bytes) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/json")
        .body(body)
}
