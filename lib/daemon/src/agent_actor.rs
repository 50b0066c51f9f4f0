//! The actor that owns an agent's state machine.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use actix::prelude::*;
use stackcourse_lib::agent::Action;
use stackcourse_lib::agent::Agent;
use stackcourse_lib::agent::AgentSetup;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::prelude::wire;

use crate::backend::Backend;
use crate::entry_actor::Leave;
use crate::entry_actor::OnLink;
use crate::link::LinkEvent;
use crate::link::LinkSender;
use crate::logging::log_event;
use crate::metrics;
use crate::ticker::TICK;
use crate::ticker::Ticker;

/// The name under which the actor's address is registered with the kernel.
pub const AGENT: &str = "agent";

/// The actor.
pub struct AgentActor {
    agent: Agent,
    ticker: Ticker,
    backend: Backend,
    links: HashMap<LinkId, LinkSender>,
    names: HashMap<LinkId, String>,
    entries: HashSet<SocketAddr>,
}

impl AgentActor {
    /// An actor for an agent whose state machine has not been given any input. `entries` are the
    /// addresses to begin with.
    pub fn new(
        setup: AgentSetup,
        ticker: Ticker,
        backend: Backend,
        entries: &[SocketAddr],
    ) -> AgentActor {
        AgentActor {
            agent: Agent::new(setup),
            ticker,
            backend,
            links: HashMap::new(),
            names: HashMap::new(),
            entries: entries.iter().copied().collect(),
        }
    }

    /// Does what the state machine wants done.
    fn flush(&mut self, ctx: &mut Context<AgentActor>) {
        for action in self.agent.take_actions() {
            match action {
                Action::Send(link, body) => {
                    if let Some(sender) = self.links.get(&link) {
                        sender.send(body);
                    }
                }
                Action::Run(task) => {
                    let backend = self.backend.clone();
                    let key = task.key;
                    let ticker = self.ticker;
                    let call = async move { backend.run(task, ticker).await };
                    let done = call.into_actor(self).map(move |result, actor, ctx| {
                        actor.agent.handle_task_end(actor.ticker.now(), key, result);
                        actor.flush(ctx);
                    });
                    ctx.spawn(done);
                }
                Action::ShiftClock(by_ms) => self.ticker.shift(by_ms),
                Action::Log(event) => log_event(&event),
                Action::Close(link) => {
                    // The writing task ends with the sender, and the link with it.
                    self.links.remove(&link);
                    self.names.remove(&link);
                }
                Action::Entries(list) => {
                    let parsed = list.iter().filter_map(|a| a.parse::<SocketAddr>().ok());
                    self.entries.extend(parsed);
                }
            }
        }
    }
}

impl Actor for AgentActor {
    type Context = Context<AgentActor>;

    fn started(&mut self, ctx: &mut Context<AgentActor>) {
        ctx.run_interval(TICK, |actor, ctx| {
            actor.agent.tick(actor.ticker.now());
            actor.flush(ctx);
        });
    }
}

impl Handler<OnLink> for AgentActor {
    type Result = ();

    fn handle(&mut self, msg: OnLink, ctx: &mut Context<AgentActor>) {
        let now = self.ticker.now();
        match msg.0 {
            LinkEvent::Up(link, hello, sender) => {
                self.links.insert(link, sender);
                self.names.insert(link, hello.name);
                self.agent.link_up(now, link);
            }
            LinkEvent::Frame(link, body) => self.agent.handle_message(now, link, body),
            LinkEvent::Down(link) => {
                self.links.remove(&link);
                self.names.remove(&link);
                self.agent.link_down(link);
            }
        }
        self.flush(ctx);
    }
}

impl Handler<Leave> for AgentActor {
    type Result = ();

    fn handle(&mut self, _: Leave, ctx: &mut Context<AgentActor>) {
        self.agent.leave(self.ticker.now());
        self.flush(ctx);
    }
}

/// Asks whether a leaving agent has nothing left to finish.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsDrained;

impl Handler<IsDrained> for AgentActor {
    type Result = bool;

    fn handle(&mut self, _: IsDrained, _: &mut Context<AgentActor>) -> bool {
        self.agent.is_drained()
    }
}

/// Asks which entries should be linked: all known addresses, and the names of those that are.
#[derive(Message)]
#[rtype(result = "KnownEntries")]
pub struct GetEntries;

/// The entries an agent knows.
#[derive(Clone, Debug)]
pub struct KnownEntries {
    /// Their addresses.
    pub addresses: Vec<SocketAddr>,
    /// The names of those that are linked.
    pub linked: HashSet<String>,
}

impl Handler<GetEntries> for AgentActor {
    type Result = MessageResult<GetEntries>;

    fn handle(&mut self, _: GetEntries, _: &mut Context<AgentActor>) -> MessageResult<GetEntries> {
        MessageResult(KnownEntries {
            addresses: self.entries.iter().copied().collect(),
            linked: self.names.values().cloned().collect(),
        })
    }
}

/// Asks for the metrics in Prometheus' text format.
#[derive(Message)]
#[rtype(result = "String")]
pub struct GetAgentMetrics;

impl Handler<GetAgentMetrics> for AgentActor {
    type Result = String;

    fn handle(&mut self, _: GetAgentMetrics, _: &mut Context<AgentActor>) -> String {
        metrics::of_agent(&self.agent)
    }
}

/// The greeting of an agent.
pub fn agent_hello(setup: &AgentSetup, ticker: &Ticker) -> wire::Hello {
    wire::Hello {
        name: setup.name.clone(),
        incarnation: setup.incarnation,
        agent: true,
        zone: setup.zone.clone(),
        hall: setup.hall.clone(),
        up_ms: ticker.up_ms(),
        room: Some(setup.room.wire()),
        address: String::new(),
    }
}
