//! The actor that owns an entry's state machine.
//!
//! Feeds it ticks, link events, requests, configuration versions and store replies, and executes the actions
//! that it requests. The state machine is touched by this actor only.

use std::collections::HashMap;

use actix::prelude::*;
use bytes::Bytes;
use stackcourse_lib::entry::Action;
use stackcourse_lib::entry::Entry;
use stackcourse_lib::entry::Submission;
use stackcourse_lib::outcome::JobReply;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::prelude::wire;
use stackcourse_lib::store::StoreReply;
use tokio::sync::oneshot;

use crate::boxes::BoxList;
use crate::link::LinkEvent;
use crate::link::LinkSender;
use crate::logging::log_event;
use crate::metrics;
use crate::process_clock::ProcessClock;
use crate::process_clock::TICK;
use crate::status::EntryStatus;
use crate::store::AnyStore;
use crate::store::execute_op;

/// The name under which the actor's address is registered in the [`Kernel`](crate::kernel::Kernel).
pub const ENTRY: &str = "entry";

/// Owns an entry's state machine, its links, its store client and the callers that wait for an answer.
pub struct EntryActor {
    entry: Entry,
    clock: ProcessClock,
    store: AnyStore,
    links: HashMap<LinkId, LinkSender>,
    link_names: HashMap<LinkId, String>,
    callers: HashMap<u64, oneshot::Sender<JobReply>>,
    next_request: u64,
}

impl EntryActor {
    /// Creates an actor for a state machine that has not received any input.
    pub fn new(entry: Entry, clock: ProcessClock, store: AnyStore) -> EntryActor {
        EntryActor {
            entry,
            clock,
            store,
            links: HashMap::new(),
            link_names: HashMap::new(),
            callers: HashMap::new(),
            next_request: 0,
        }
    }

    /// Executes the actions that the state machine has requested.
    fn execute_actions(&mut self, ctx: &mut Context<EntryActor>) {
        for action in self.entry.take_actions() {
            match action {
                Action::Send(link, body) => {
                    if let Some(sender) = self.links.get(&link) {
                        sender.send(body);
                    }
                }
                Action::Respond(id, reply) => {
                    if let Some(caller) = self.callers.remove(&id) {
                        let _ = caller.send(reply);
                    }
                }
                Action::Store(tag, op) => {
                    let store = self.store.clone();
                    let call = async move { execute_op(&store, op).await };
                    let done = call.into_actor(self).map(move |reply, actor, ctx| {
                        actor.handle_store_reply(ctx, tag, reply);
                    });
                    ctx.spawn(done);
                }
                Action::ShiftClock(by_ms) => self.clock.shift(by_ms),
                Action::Log(event) => log_event(&event),
            }
        }
    }

    fn handle_store_reply(&mut self, ctx: &mut Context<EntryActor>, tag: u64, reply: StoreReply) {
        self.entry.handle_store_reply(self.clock.now(), tag, reply);
        self.execute_actions(ctx);
    }
}

impl Actor for EntryActor {
    type Context = Context<EntryActor>;

    fn started(&mut self, ctx: &mut Context<EntryActor>) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
        ctx.run_interval(TICK, |actor, ctx| {
            actor.entry.tick(actor.clock.now());
            actor.execute_actions(ctx);
        });
    }
}

/// The number of messages that the HTTP threads may queue for the actor.
const MAILBOX_CAPACITY: usize = 10_000;

/// Passes a link event to the state machine.
#[derive(Message)]
#[rtype(result = "()")]
pub struct HandleLinkEvent(pub LinkEvent);

impl Handler<HandleLinkEvent> for EntryActor {
    type Result = ();

    fn handle(&mut self, msg: HandleLinkEvent, ctx: &mut Context<EntryActor>) {
        let now = self.clock.now();
        match msg.0 {
            LinkEvent::Up(link, hello, sender) => {
                self.links.insert(link, sender);
                self.link_names.insert(link, hello.name.clone());
                self.entry.link_up(now, link, &hello);
            }
            LinkEvent::Message(link, body) => self.entry.handle_message(now, link, body),
            LinkEvent::Down(link) => {
                self.links.remove(&link);
                self.link_names.remove(&link);
                self.entry.link_down(now, link);
            }
        }
        self.execute_actions(ctx);
    }
}

/// Submits a caller's request.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Submit {
    /// The request.
    pub submission: Submission,
    /// Receives the answer. Its receiver is dropped when the caller disconnects.
    pub answer: oneshot::Sender<JobReply>,
}

impl Handler<Submit> for EntryActor {
    type Result = ();

    fn handle(&mut self, msg: Submit, ctx: &mut Context<EntryActor>) {
        self.next_request += 1;
        self.callers.insert(self.next_request, msg.answer);
        self.entry
            .submit(self.clock.now(), self.next_request, msg.submission);
        self.execute_actions(ctx);
    }
}

/// Drops the requests of callers that have disconnected.
#[derive(Message)]
#[rtype(result = "()")]
pub struct DropDisconnectedCallers;

impl Handler<DropDisconnectedCallers> for EntryActor {
    type Result = ();

    fn handle(&mut self, _: DropDisconnectedCallers, _: &mut Context<EntryActor>) {
        let has_disconnected = |c: &oneshot::Sender<JobReply>| c.is_closed();
        let ids: Vec<u64> = self
            .callers
            .iter()
            .filter(|(_, c)| has_disconnected(c))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.callers.remove(&id);
            self.entry.forget_request(id);
        }
    }
}

/// Applies a configuration version that was read from the store. Returns the number of the version to read
/// next.
#[derive(Message)]
#[rtype(result = "u64")]
pub struct ApplyConfig {
    /// The number of the version; 0 applies nothing and only asks for the next number.
    pub version: u64,
    /// The value stored under the version's key.
    pub value: Bytes,
}

impl Handler<ApplyConfig> for EntryActor {
    type Result = u64;

    fn handle(&mut self, msg: ApplyConfig, ctx: &mut Context<EntryActor>) -> u64 {
        if msg.version > 0 {
            self.entry
                .apply_config(self.clock.now(), msg.version, msg.value);
            self.execute_actions(ctx);
        }
        self.entry.follower().next()
    }
}

/// Passes the platform's list of boxes to the state machine.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetBoxList(pub BoxList);

impl Handler<SetBoxList> for EntryActor {
    type Result = ();

    fn handle(&mut self, msg: SetBoxList, _: &mut Context<EntryActor>) {
        self.entry.set_leaving_boxes(&msg.0.leaving);
    }
}

/// Makes the process leave: an entry hands its shards over, an agent finishes its tasks.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave;

impl Handler<Leave> for EntryActor {
    type Result = ();

    fn handle(&mut self, _: Leave, ctx: &mut Context<EntryActor>) {
        self.entry.leave(self.clock.now());
        self.execute_actions(ctx);
    }
}

/// Asks for the entry's status.
#[derive(Message)]
#[rtype(result = "EntryStatus")]
pub struct GetStatus;

impl Handler<GetStatus> for EntryActor {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Context<EntryActor>) -> MessageResult<GetStatus> {
        MessageResult(EntryStatus::from_entry(&self.entry, self.clock.now()))
    }
}

/// Asks for the entry's metrics in the Prometheus text format.
#[derive(Message)]
#[rtype(result = "String")]
pub struct GetMetrics;

impl Handler<GetMetrics> for EntryActor {
    type Result = String;

    fn handle(&mut self, _: GetMetrics, _: &mut Context<EntryActor>) -> String {
        metrics::encode_entry(&self.entry)
    }
}

/// Asks for the address and name of each member without a link that this entry has to dial.
///
/// Of two entries the one with the greater name dials, so that each pair has one link.
#[derive(Message)]
#[rtype(result = "Vec<(String, String)>")]
pub struct GetPeersToDial;

impl Handler<GetPeersToDial> for EntryActor {
    type Result = Vec<(String, String)>;

    fn handle(&mut self, _: GetPeersToDial, _: &mut Context<EntryActor>) -> Vec<(String, String)> {
        let Some(record) = self.entry.record() else {
            return Vec::new();
        };
        let own_name = self.entry.name().to_owned();
        let linked = |name: &str| self.link_names.values().any(|n| n == name);
        let members = record.members.iter();
        members
            .filter(|m| m.name < own_name && !linked(&m.name))
            .map(|m| (m.address.clone(), m.name.clone()))
            .collect()
    }
}

/// Asks for the hello message that this entry sends on a new link.
#[derive(Message)]
#[rtype(result = "wire::Hello")]
pub struct GetHello;

impl Handler<GetHello> for EntryActor {
    type Result = MessageResult<GetHello>;

    fn handle(&mut self, _: GetHello, _: &mut Context<EntryActor>) -> MessageResult<GetHello> {
        MessageResult(wire::Hello {
            name: self.entry.name().to_owned(),
            incarnation: self.entry.incarnation(),
            agent: false,
            zone: String::new(),
            hall: String::new(),
            up_ms: self.clock.up_ms(),
            room: None,
            address: self.entry.address().to_owned(),
        })
    }
}
