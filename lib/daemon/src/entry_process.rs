//! The entry process: starts the actor, accepts and dials links, serves the HTTP API, watches the
//! configuration and the list of boxes, and leaves in an orderly way.

use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::time::Duration;

use actix::Actor;
use actix::Addr;
use stackcourse_lib::clock::millis;
use stackcourse_lib::dispatch::catalog::RequestLimits;
use stackcourse_lib::entry::Entry;
use stackcourse_lib::event::Event;
use stackcourse_lib::event::Kind;
use stackcourse_lib::prelude::wire;
use thiserror::Error;
use tokio::net::TcpListener;

use crate::api;
use crate::api::ApiState;
use crate::boxes::StaticBoxSource;
use crate::config_watch::follow_boxes;
use crate::config_watch::follow_config;
use crate::dispatch::clients::Clients;
use crate::dispatch::http;
use crate::entry_actor::DropDisconnectedCallers;
use crate::entry_actor::ENTRY;
use crate::entry_actor::EntryActor;
use crate::entry_actor::GetHello;
use crate::entry_actor::GetPeersToDial;
use crate::entry_actor::GetStatus;
use crate::entry_actor::HandleLinkEvent;
use crate::entry_actor::Leave;
use crate::http_app::AppLimits;
use crate::http_app::AppServer;
use crate::kernel::Kernel;
use crate::link;
use crate::logging::log_event;
use crate::process_clock::ProcessClock;
use crate::settings::EntrySettings;
use crate::store::AnyStore;

/// The time in which a caller sends the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(4);
/// The time for which a caller's idle connection is kept. It exceeds the usual idle timeouts of load
/// balancers, so that the balancer closes first and sends no request into a closing connection.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
/// The time between checks for peers without a link, and the delay after a failed accept.
const DIAL_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// The time between checks for callers that have disconnected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The time between checks whether a leaving entry is drained.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time after which a planned leave stops waiting for the entry to drain.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(120);

/// The reason why an entry or agent could not start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address can't be bound.
    #[error("can't listen at {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A listener can't be used.
    #[error("a listener can't be used")]
    Http(#[from] std::io::Error),
}

/// A handle to a running entry.
pub struct EntryHandle {
    /// The address of the entry's actor.
    pub entry: Addr<EntryActor>,
    /// The address at which callers are served.
    pub http: SocketAddr,
    /// The address at which links from peers and agents are accepted.
    pub listen: SocketAddr,
    server: AppServer,
    linger: Duration,
}

/// Starts an entry on the current actix system.
///
/// # Errors
///
/// Returns an error if an address can't be bound or the HTTP server can't be started.
pub fn start(
    settings: EntrySettings,
    store: AnyStore,
    kernel: &Kernel,
) -> Result<EntryHandle, EntryError> {
    let listener = bind(settings.listen)?;
    let http = bind_http(settings.http)?;
    let mut setup = settings.setup.clone();
    let (listen_at, http_at) = (listener.local_addr()?, http.local_addr()?);
    setup.address = fill_port(&setup.address, listen_at);
    setup.http = fill_port(&setup.http, http_at);
    let clock = ProcessClock::from_kernel(kernel);
    let name = setup.name.clone();
    let entry = EntryActor::new(Entry::new(setup), clock, store.clone()).start();
    kernel.register(ENTRY, entry.clone());
    log_event(&Event::new(Kind::Started, format!("entry {name}")));
    let links = Clients::start(&settings.limits);
    links.sweep(|kind, detail| log_event(&Event::new(kind, detail)));
    actix_rt::spawn(accept_links(
        TcpListener::from_std(listener)?,
        entry.clone(),
        links,
    ));
    actix_rt::spawn(dial_peers(entry.clone()));
    actix_rt::spawn(drop_disconnected_callers(entry.clone()));
    actix_rt::spawn(follow_config(store.clone(), entry.clone()));
    match store {
        AnyStore::Memory(_) => {
            actix_rt::spawn(follow_boxes(StaticBoxSource, entry.clone()));
        }
        AnyStore::Consul(consul) => {
            actix_rt::spawn(follow_boxes(consul, entry.clone()));
        }
    }
    let server = serve_http(http, entry.clone(), &settings);
    Ok(EntryHandle {
        entry,
        http: http_at,
        listen: listen_at,
        server,
        linger: settings.linger,
    })
}

/// Returns the advertised address, with port 0 replaced by the port that the system chose for `bound`.
fn fill_port(advertised: &str, bound: SocketAddr) -> String {
    match advertised.parse::<SocketAddr>() {
        Ok(mut address) if address.port() == 0 => {
            address.set_port(bound.port());
            address.to_string()
        }
        _ => advertised.to_owned(),
    }
}

/// Binds a non-blocking listener to an address.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind(address: SocketAddr) -> Result<StdListener, EntryError> {
    let bound = StdListener::bind(address).and_then(|l| {
        l.set_nonblocking(true)?;
        Ok(l)
    });
    bound.map_err(|source| EntryError::Listen { address, source })
}

/// Binds a non-blocking listener for clients.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind_http(address: SocketAddr) -> Result<StdListener, EntryError> {
    let bound = http::listen(address).and_then(TcpListener::into_std);
    bound.map_err(|source| EntryError::Listen { address, source })
}

/// Serves callers on a thread of its own. All decisions are made on this one.
fn serve_http(
    listener: StdListener,
    entry: Addr<EntryActor>,
    settings: &EntrySettings,
) -> AppServer {
    let body_bytes = settings.body_bytes;
    let limits = AppLimits {
        process: settings.limits,
        requests: RequestLimits {
            max_body_bytes: body_bytes,
            header_timeout_ms: millis(HEADER_TIMEOUT),
            idle_timeout_ms: millis(KEEP_ALIVE_TIMEOUT),
            ..RequestLimits::default()
        },
    };
    AppServer::start(listener, limits, move |config, clients| {
        let state = ApiState {
            entry,
            body_bytes,
            clients,
        };
        api::configure_routes(config, state);
    })
}

async fn accept_links(listener: TcpListener, entry: Addr<EntryActor>, clients: Clients) {
    while entry.connected() {
        let Ok((stream, peer)) = listener.accept().await else {
            actix_rt::time::sleep(DIAL_CHECK_INTERVAL).await;
            continue;
        };
        let entry = entry.clone();
        let admission = clients.admit_link(peer).await;
        actix_rt::spawn(async move {
            let Ok(hello) = entry.send(GetHello).await else {
                return;
            };
            let events = move |event| entry.do_send(HandleLinkEvent(event));
            let closed = admission.closed();
            tokio::select! {
                _ = link::serve(stream, hello, || drop(admission), events) => {}
                () = closed => {}
            }
        });
    }
}

/// Keeps links to the peers that this entry dials: those whose names sort before its own.
async fn dial_peers(entry: Addr<EntryActor>) {
    while let Ok(peers) = entry.send(GetPeersToDial).await {
        for (address, name) in peers {
            let Ok(address) = address.parse() else {
                continue;
            };
            let Ok(hello) = entry.send(GetHello).await else {
                return;
            };
            actix_rt::spawn(dial_peer(entry.clone(), address, name, hello));
        }
        actix_rt::time::sleep(DIAL_CHECK_INTERVAL).await;
    }
}

async fn dial_peer(entry: Addr<EntryActor>, address: SocketAddr, name: String, hello: wire::Hello) {
    let accept = |theirs: &wire::Hello| theirs.name == name && !theirs.agent;
    let events = move |event| entry.do_send(HandleLinkEvent(event));
    let _ = link::dial(address, hello, accept, events).await;
}

async fn drop_disconnected_callers(entry: Addr<EntryActor>) {
    while entry.send(DropDisconnectedCallers).await.is_ok() {
        actix_rt::time::sleep(CALLER_CHECK_INTERVAL).await;
    }
}

impl EntryHandle {
    /// Leaves as planned: hands the shards over, answers every caller and stops. Goes on answering for at
    /// least the configured linger time.
    pub async fn leave(self) {
        self.entry.do_send(Leave);
        let started = tokio::time::Instant::now();
        while started.elapsed() < LEAVE_TIMEOUT {
            let is_drained = match self.entry.send(GetStatus).await {
                Ok(status) => status.drained,
                Err(_) => true,
            };
            if is_drained && started.elapsed() >= self.linger {
                break;
            }
            actix_rt::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        self.server.stop(LEAVE_TIMEOUT).await;
        log_event(&Event::new(Kind::Left, "entry"));
    }
}
