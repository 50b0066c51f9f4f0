//! The actor that owns an entry's state machine.

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
use crate::status::EntryStatus;
use crate::store::AnyStore;
use crate::store::carry_out;
use crate::ticker::TICK;
use crate::ticker::Ticker;

/// The name under which the actor's address is registered with the kernel.
pub const ENTRY: &str = "entry";

/// The actor.
pub struct EntryActor {
    entry: Entry,
    ticker: Ticker,
    store: AnyStore,
    links: HashMap<LinkId, LinkSender>,
    names: HashMap<LinkId, String>,
    callers: HashMap<u64, oneshot::Sender<JobReply>>,
    next: u64,
}

impl EntryActor {
    /// An actor for a state machine that has not been given any input.
    pub fn new(entry: Entry, ticker: Ticker, store: AnyStore) -> EntryActor {
        EntryActor {
            entry,
            ticker,
            store,
            links: HashMap::new(),
            names: HashMap::new(),
            callers: HashMap::new(),
            next: 0,
        }
    }

    /// Does what the state machine wants done.
    fn flush(&mut self, ctx: &mut Context<EntryActor>) {
        for action in self.entry.take_actions() {
            match action {
                Action::Send(link, body) => {
                    if let Some(sender) = self.links.get(&link) {
                        sender.send(body);
                    }
                }
                Action::Respond(id, verdict) => {
                    if let Some(caller) = self.callers.remove(&id) {
                        let _ = caller.send(verdict);
                    }
                }
                Action::Store(tag, op) => {
                    let store = self.store.clone();
                    let call = async move { carry_out(&store, op).await };
                    let done = call.into_actor(self).map(move |reply, actor, ctx| {
                        actor.store_done(ctx, tag, reply);
                    });
                    ctx.spawn(done);
                }
                Action::ShiftClock(by_ms) => self.ticker.shift(by_ms),
                Action::Log(event) => log_event(&event),
            }
        }
    }

    fn store_done(&mut self, ctx: &mut Context<EntryActor>, tag: u64, reply: StoreReply) {
        self.entry.handle_store_reply(self.ticker.now(), tag, reply);
        self.flush(ctx);
    }
}

impl Actor for EntryActor {
    type Context = Context<EntryActor>;

    fn started(&mut self, ctx: &mut Context<EntryActor>) {
        ctx.set_mailbox_capacity(MAILBOX);
        ctx.run_interval(TICK, |actor, ctx| {
            actor.entry.tick(actor.ticker.now());
            actor.flush(ctx);
        });
    }
}

/// How many messages of the HTTP threads may wait for the actor.
const MAILBOX: usize = 10_000;

/// Something happened on a link.
#[derive(Message)]
#[rtype(result = "()")]
pub struct OnLink(pub LinkEvent);

impl Handler<OnLink> for EntryActor {
    type Result = ();

    fn handle(&mut self, msg: OnLink, ctx: &mut Context<EntryActor>) {
        let now = self.ticker.now();
        match msg.0 {
            LinkEvent::Up(link, hello, sender) => {
                self.links.insert(link, sender);
                self.names.insert(link, hello.name.clone());
                self.entry.link_up(now, link, &hello);
            }
            LinkEvent::Frame(link, body) => self.entry.handle_message(now, link, body),
            LinkEvent::Down(link) => {
                self.links.remove(&link);
                self.names.remove(&link);
                self.entry.link_down(now, link);
            }
        }
        self.flush(ctx);
    }
}

/// A caller's request.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Submit {
    /// What is asked.
    pub submission: Submission,
    /// Where the answer goes. When its other end is dropped the caller has gone.
    pub answer: oneshot::Sender<JobReply>,
}

impl Handler<Submit> for EntryActor {
    type Result = ();

    fn handle(&mut self, msg: Submit, ctx: &mut Context<EntryActor>) {
        self.next += 1;
        self.callers.insert(self.next, msg.answer);
        self.entry
            .submit(self.ticker.now(), self.next, msg.submission);
        self.flush(ctx);
    }
}

/// Looks for callers that have gone.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SweepCallers;

impl Handler<SweepCallers> for EntryActor {
    type Result = ();

    fn handle(&mut self, _: SweepCallers, _: &mut Context<EntryActor>) {
        let gone = |c: &oneshot::Sender<JobReply>| c.is_closed();
        let ids: Vec<u64> = self
            .callers
            .iter()
            .filter(|(_, c)| gone(c))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.callers.remove(&id);
            self.entry.forget_request(id);
        }
    }
}

/// A configuration version was read. The answer is the version to look for next.
#[derive(Message)]
#[rtype(result = "u64")]
pub struct ConfigRead {
    /// Its number; 0 to ask only.
    pub version: u64,
    /// Its value.
    pub value: Bytes,
}

impl Handler<ConfigRead> for EntryActor {
    type Result = u64;

    fn handle(&mut self, msg: ConfigRead, ctx: &mut Context<EntryActor>) -> u64 {
        if msg.version > 0 {
            self.entry
                .apply_config(self.ticker.now(), msg.version, msg.value);
            self.flush(ctx);
        }
        self.entry.follower().next()
    }
}

/// The platform's list of boxes was read.
#[derive(Message)]
#[rtype(result = "()")]
pub struct BoxesRead(pub BoxList);

impl Handler<BoxesRead> for EntryActor {
    type Result = ();

    fn handle(&mut self, msg: BoxesRead, _: &mut Context<EntryActor>) {
        self.entry.set_leaving_boxes(&msg.0.leaving);
    }
}

/// The process is to leave.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave;

impl Handler<Leave> for EntryActor {
    type Result = ();

    fn handle(&mut self, _: Leave, ctx: &mut Context<EntryActor>) {
        self.entry.leave(self.ticker.now());
        self.flush(ctx);
    }
}

/// Asks for the entry's state.
#[derive(Message)]
#[rtype(result = "EntryStatus")]
pub struct GetStatus;

impl Handler<GetStatus> for EntryActor {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Context<EntryActor>) -> MessageResult<GetStatus> {
        MessageResult(EntryStatus::of(&self.entry, self.ticker.now()))
    }
}

/// Asks for the metrics in Prometheus' text format.
#[derive(Message)]
#[rtype(result = "String")]
pub struct GetMetrics;

impl Handler<GetMetrics> for EntryActor {
    type Result = String;

    fn handle(&mut self, _: GetMetrics, _: &mut Context<EntryActor>) -> String {
        metrics::of_entry(&self.entry)
    }
}

/// Asks which peers should be connected to: address and name of each member without a link, if
/// it is this entry that dials.
#[derive(Message)]
#[rtype(result = "Vec<(String, String)>")]
pub struct GetDials;

impl Handler<GetDials> for EntryActor {
    type Result = Vec<(String, String)>;

    fn handle(&mut self, _: GetDials, _: &mut Context<EntryActor>) -> Vec<(String, String)> {
        let Some(record) = self.entry.record() else {
            return Vec::new();
        };
        let me = self.entry.name().to_owned();
        let linked = |name: &str| self.names.values().any(|n| n == name);
        let members = record.members.iter();
        members
            .filter(|m| m.name < me && !linked(&m.name))
            .map(|m| (m.address.clone(), m.name.clone()))
            .collect()
    }
}

/// Asks for this entry's greeting.
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
            up_ms: self.ticker.up_ms(),
            room: None,
            address: self.entry.address().to_owned(),
        })
    }
}
