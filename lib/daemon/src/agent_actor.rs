//! The actor that owns an agent's state machine.
//!
//! Feeds it ticks, link events and the results of backend calls, and executes the actions that it requests.
//! The state machine is touched by this actor only.

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
use crate::entry_actor::HandleLinkEvent;
use crate::entry_actor::Leave;
use crate::link::LinkEvent;
use crate::link::LinkSender;
use crate::logging::log_event;
use crate::metrics;
use crate::process_clock::ProcessClock;
use crate::process_clock::TICK;

/// The name under which the actor's address is registered in the [`Kernel`](crate::kernel::Kernel).
pub const AGENT: &str = "agent";

/// Owns an agent's state machine, its links and its backend server.
pub struct AgentActor {
    agent: Agent,
    clock: ProcessClock,
    backend: Backend,
    links: HashMap<LinkId, LinkSender>,
    link_names: HashMap<LinkId, String>,
    entries: HashSet<SocketAddr>,
}

impl AgentActor {
    /// Creates an actor with a new state machine. `entries` are the addresses of the entries to link first.
    pub fn new(
        setup: AgentSetup,
        clock: ProcessClock,
        backend: Backend,
        entries: &[SocketAddr],
    ) -> AgentActor {
        AgentActor {
            agent: Agent::new(setup),
            clock,
            backend,
            links: HashMap::new(),
            link_names: HashMap::new(),
            entries: entries.iter().copied().collect(),
        }
    }

    /// Executes the actions that the state machine has requested.
    fn execute_actions(&mut self, ctx: &mut Context<AgentActor>) {
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
                    let clock = self.clock;
                    let call = async move { backend.run(task, clock).await };
                    let done = call.into_actor(self).map(move |result, actor, ctx| {
                        actor.agent.handle_task_end(actor.clock.now(), key, result);
                        actor.execute_actions(ctx);
                    });
                    ctx.spawn(done);
                }
                Action::ShiftClock(by_ms) => self.clock.shift(by_ms),
                Action::Log(event) => log_event(&event),
                Action::Close(link) => {
                    // Dropping the sender ends the writing task, which closes the link.
                    self.links.remove(&link);
                    self.link_names.remove(&link);
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
            actor.agent.tick(actor.clock.now());
            actor.execute_actions(ctx);
        });
    }
}

impl Handler<HandleLinkEvent> for AgentActor {
    type Result = ();

    fn handle(&mut self, msg: HandleLinkEvent, ctx: &mut Context<AgentActor>) {
        let now = self.clock.now();
        match msg.0 {
            LinkEvent::Up(link, hello, sender) => {
                self.links.insert(link, sender);
                self.link_names.insert(link, hello.name);
                self.agent.link_up(now, link);
            }
            LinkEvent::Message(link, body) => self.agent.handle_message(now, link, body),
            LinkEvent::Down(link) => {
                self.links.remove(&link);
                self.link_names.remove(&link);
                self.agent.link_down(link);
            }
        }
        self.execute_actions(ctx);
    }
}

impl Handler<Leave> for AgentActor {
    type Result = ();

    fn handle(&mut self, _: Leave, ctx: &mut Context<AgentActor>) {
        self.agent.leave(self.clock.now());
        self.execute_actions(ctx);
    }
}

/// Asks whether a leaving agent has finished all of its tasks.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsDrained;

impl Handler<IsDrained> for AgentActor {
    type Result = bool;

    fn handle(&mut self, _: IsDrained, _: &mut Context<AgentActor>) -> bool {
        self.agent.is_drained()
    }
}

/// Asks for the addresses of all known entries and the names of the linked ones.
#[derive(Message)]
#[rtype(result = "KnownEntries")]
pub struct GetEntries;

/// The entries that an agent knows.
#[derive(Clone, Debug)]
pub struct KnownEntries {
    /// The addresses of the known entries.
    pub addresses: Vec<SocketAddr>,
    /// The names of the linked entries.
    pub linked: HashSet<String>,
}

impl Handler<GetEntries> for AgentActor {
    type Result = MessageResult<GetEntries>;

    fn handle(&mut self, _: GetEntries, _: &mut Context<AgentActor>) -> MessageResult<GetEntries> {
        MessageResult(KnownEntries {
            addresses: self.entries.iter().copied().collect(),
            linked: self.link_names.values().cloned().collect(),
        })
    }
}

/// Asks for the agent's metrics in the Prometheus text format.
#[derive(Message)]
#[rtype(result = "String")]
pub struct GetAgentMetrics;

impl Handler<GetAgentMetrics> for AgentActor {
    type Result = String;

    fn handle(&mut self, _: GetAgentMetrics, _: &mut Context<AgentActor>) -> String {
        metrics::encode_agent(&self.agent)
    }
}

/// Returns the hello message that an agent sends when it opens a link.
pub fn agent_hello(setup: &AgentSetup, clock: &ProcessClock) -> wire::Hello {
    wire::Hello {
        name: setup.name.clone(),
        incarnation: setup.incarnation,
        agent: true,
        zone: setup.zone.clone(),
        hall: setup.hall.clone(),
        up_ms: clock.up_ms(),
        room: Some(setup.room.wire()),
        address: String::new(),
    }
}
