//! The agent process: starts the actor, keeps links to the known entries, serves metrics and health over
//! HTTP, and leaves in an orderly way.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::Actor;
use actix::Addr;
use actix_web::HttpResponse;
use actix_web::web;
use stackcourse_lib::dispatch::catalog::RequestLimits;
use stackcourse_lib::event::Event;
use stackcourse_lib::event::Kind;
use stackcourse_lib::prelude::wire;

use crate::agent_actor::AGENT;
use crate::agent_actor::AgentActor;
use crate::agent_actor::GetAgentMetrics;
use crate::agent_actor::GetEntries;
use crate::agent_actor::IsDrained;
use crate::agent_actor::agent_hello;
use crate::backend::Backend;
use crate::entry_actor::HandleLinkEvent;
use crate::entry_actor::Leave;
use crate::entry_process::EntryError;
use crate::entry_process::bind_http;
use crate::http_app::AppLimits;
use crate::http_app::AppServer;
use crate::kernel::Kernel;
use crate::link;
use crate::logging::log_event;
use crate::process_clock::ProcessClock;
use crate::settings::AgentSettings;

/// The initial delay before an entry is dialed again; it doubles with each failed attempt.
const MIN_DIAL_DELAY: Duration = Duration::from_millis(250);
/// The longest delay before an entry is dialed again.
const MAX_DIAL_DELAY: Duration = Duration::from_secs(4);
/// The time between checks for known entries without a link.
const DIAL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The time between checks whether a leaving agent is drained.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time that the last answers have to reach their entries before the process stops.
const ANSWER_DELIVERY_TIME: Duration = Duration::from_millis(300);
/// The time after which a planned leave stops waiting for running tasks.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(120);

/// A handle to a running agent.
pub struct AgentHandle {
    /// The address of the agent's actor.
    pub agent: Addr<AgentActor>,
    /// Serves metrics and health while the handle lives, if that is on.
    _server: Option<AppServer>,
}

/// Starts an agent on the current actix system.
///
/// # Errors
///
/// Returns an error if the HTTP address can't be bound.
pub fn start(settings: AgentSettings, kernel: &Kernel) -> Result<AgentHandle, EntryError> {
    let clock = ProcessClock::from_kernel(kernel);
    let backend = Backend::new(&settings);
    let setup = settings.setup.clone();
    let hello = move || agent_hello(&setup, &clock);
    let name = settings.setup.name.clone();
    let actor = AgentActor::new(settings.setup, clock, backend, &settings.entries);
    let agent = actor.start();
    kernel.register(AGENT, agent.clone());
    log_event(&Event::new(Kind::Started, format!("agent {name}")));
    actix_rt::spawn(dial_entries(agent.clone(), hello));
    let limits = AppLimits {
        process: settings.limits,
        requests: RequestLimits::without_body(),
    };
    let serve = |address| serve_http(address, agent.clone(), limits);
    let server = settings.http.map(serve).transpose()?;
    Ok(AgentHandle {
        agent,
        _server: server,
    })
}

fn serve_http(
    address: SocketAddr,
    agent: Addr<AgentActor>,
    limits: AppLimits,
) -> Result<AppServer, EntryError> {
    let listener = bind_http(address)?;
    Ok(AppServer::start(listener, limits, move |config, _| {
        config
            .app_data(web::Data::new(agent))
            .route("/metrics", web::get().to(metrics))
            .route("/healthz", web::get().to(healthz));
    }))
}

async fn metrics(agent: web::Data<Addr<AgentActor>>) -> HttpResponse {
    match agent.send(GetAgentMetrics).await {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn healthz(agent: web::Data<Addr<AgentActor>>) -> HttpResponse {
    match agent.send(GetEntries).await {
        Ok(known) if !known.linked.is_empty() => HttpResponse::Ok().body("ok\n"),
        _ => HttpResponse::ServiceUnavailable().body("no entry is linked\n"),
    }
}

/// The state of dialing one address.
#[derive(Default)]
struct DialState {
    /// The name of the entry that last answered at this address.
    name: Option<String>,
    delay: Duration,
    next_attempt: Option<tokio::time::Instant>,
}

/// Keeps a link to every known entry, with an exponential, jittered delay between attempts.
async fn dial_entries(agent: Addr<AgentActor>, hello: impl Fn() -> wire::Hello) {
    let states: std::rc::Rc<std::cell::RefCell<HashMap<SocketAddr, DialState>>> =
        std::rc::Rc::default();
    while let Ok(known) = agent.send(GetEntries).await {
        let now = tokio::time::Instant::now();
        for address in known.addresses {
            let mut all = states.borrow_mut();
            let state = all.entry(address).or_default();
            let linked = state
                .name
                .as_ref()
                .is_some_and(|n| known.linked.contains(n));
            let is_waiting = state.next_attempt.is_some_and(|at| now < at);
            if linked || is_waiting {
                continue;
            }
            state.delay = (state.delay * 2).clamp(MIN_DIAL_DELAY, MAX_DIAL_DELAY);
            let jitter = rand::random_range(0.75..1.25);
            state.next_attempt = Some(now + link::HANDSHAKE_TIMEOUT + state.delay.mul_f64(jitter));
            drop(all);
            let agent = agent.clone();
            let hello = hello();
            let states = states.clone();
            let linked = known.linked.clone();
            actix_rt::spawn(async move {
                let accept = |theirs: &wire::Hello| {
                    let mut all = states.borrow_mut();
                    let state = all.entry(address).or_default();
                    state.name = Some(theirs.name.clone());
                    state.delay = Duration::ZERO;
                    !theirs.agent && !linked.contains(&theirs.name)
                };
                let events = move |event| agent.do_send(HandleLinkEvent(event));
                let _ = link::dial(address, hello, accept, events).await;
                let mut all = states.borrow_mut();
                let state = all.entry(address).or_default();
                let jitter = rand::random_range(0.75..1.25);
                let delay = state.delay.max(MIN_DIAL_DELAY).mul_f64(jitter);
                state.next_attempt = Some(tokio::time::Instant::now() + delay);
            });
        }
        actix_rt::time::sleep(DIAL_CHECK_INTERVAL).await;
    }
}

impl AgentHandle {
    /// Leaves as planned: starts no further tasks, waits for the running ones and sends their answers.
    pub async fn leave(self) {
        self.agent.do_send(Leave);
        let started = tokio::time::Instant::now();
        while started.elapsed() < LEAVE_TIMEOUT {
            if self.agent.send(IsDrained).await.unwrap_or(true) {
                break;
            }
            actix_rt::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        actix_rt::time::sleep(ANSWER_DELIVERY_TIME).await;
        log_event(&Event::new(Kind::Left, "agent"));
    }
}
