//! The open links of a process and the addresses to which it maintains connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch::Member;
use stackcourse_lib::protos::dispatch::frame::Body;

use crate::dispatch::channel;
use crate::dispatch::channel::ChannelError;
use crate::dispatch::channel::ChannelSender;
use crate::dispatch::channel::LinkHandler;
use crate::dispatch::traffic::Traffic;

/// The open links of a process, by their numbers, and the addresses being dialled.
#[derive(Default)]
pub struct Links {
    /// The traffic counters for all links.
    pub traffic: Rc<Traffic>,
    open: RefCell<HashMap<LinkId, ChannelSender>>,
    dialling: RefCell<HashSet<SocketAddr>>,
}

impl Links {
    /// Adds a link that is up.
    pub fn insert(&self, link: LinkId, sender: ChannelSender) {
        self.open.borrow_mut().insert(link, sender);
    }

    /// Removes a link, which closes it and discards its queued frames.
    pub fn remove(&self, link: LinkId) {
        self.open.borrow_mut().remove(&link);
    }

    /// Sends a message, if the link is open.
    pub fn send(&self, link: LinkId, body: Body) {
        if let Some(sender) = self.open.borrow().get(&link) {
            sender.send(body);
        }
    }

    /// Marks an address as being dialled. Returns whether it was not marked before.
    pub fn begin_dialling(&self, address: SocketAddr) -> bool {
        self.dialling.borrow_mut().insert(address)
    }

    /// Marks an address as no longer being dialled.
    pub fn end_dialling(&self, address: SocketAddr) {
        self.dialling.borrow_mut().remove(&address);
    }
}

/// Returns the addresses of members, skipping those that can't be parsed.
pub fn addresses(members: &[Member]) -> Vec<SocketAddr> {
    let parse = |m: &Member| m.address.parse().ok();
    members.iter().filter_map(parse).collect()
}

/// Maintains a link to an address for as long as this process runs, or until the process there turns out to
/// belong to another partition. While `linked` returns true there is a link already, and it only polls
/// `linked` again.
pub async fn maintain<L: LinkHandler>(address: SocketAddr, handler: L, linked: impl Fn() -> bool) {
    let policy = handler.policy();
    let mut wait = policy.redial_first;
    let mut connect_timeout = policy.connect_first;
    loop {
        if linked() {
            actix_rt::time::sleep(policy.redial_last).await;
            continue;
        }
        match channel::dial(address, connect_timeout, &handler).await {
            Ok(()) => {
                wait = policy.redial_first;
                connect_timeout = policy.connect_first;
            }
            Err(ChannelError::OtherPartition) => return,
            Err(_) => connect_timeout = (connect_timeout * 2).min(policy.greeting),
        }
        actix_rt::time::sleep(jitter(wait)).await;
        wait = (wait * 2).min(policy.redial_last);
    }
}

/// Returns a random duration between half of `span` and `span`, so that processes don't retry in step.
pub fn jitter(span: Duration) -> Duration {
    span.mul_f64(rand::rng().random_range(0.5..1.0))
}
