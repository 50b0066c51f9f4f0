//! The open links of a process, and the addresses it keeps connecting to.

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
use crate::dispatch::channel::Listener;
use crate::dispatch::traffic::Traffic;

/// The links.
#[derive(Default)]
pub struct Links {
    /// What passes on them.
    pub traffic: Rc<Traffic>,
    open: RefCell<HashMap<LinkId, ChannelSender>>,
    dialling: RefCell<HashSet<SocketAddr>>,
}

impl Links {
    /// Notes a link that is up.
    pub fn insert(&self, link: LinkId, sender: ChannelSender) {
        self.open.borrow_mut().insert(link, sender);
    }

    /// Forgets a link, which closes it; what is queued on it is dropped.
    pub fn remove(&self, link: LinkId) {
        self.open.borrow_mut().remove(&link);
    }

    /// Sends a message, if the link is open.
    pub fn send(&self, link: LinkId, body: Body) {
        if let Some(sender) = self.open.borrow().get(&link) {
            sender.send(body);
        }
    }

    /// Notes that an address is connected to from now on; whether that is new.
    pub fn begin(&self, address: SocketAddr) -> bool {
        self.dialling.borrow_mut().insert(address)
    }

    /// Notes that an address is connected to no more.
    pub fn end(&self, address: SocketAddr) {
        self.dialling.borrow_mut().remove(&address);
    }
}

/// The addresses of members, as far as they can be read.
pub fn addresses(members: &[Member]) -> Vec<SocketAddr> {
    let parse = |m: &Member| m.address.parse().ok();
    members.iter().filter_map(parse).collect()
}

/// Keeps a link to an address for as long as the process lives, or until the process there is found to be of another
/// partition. While `linked` says that there is a link already, it only looks again.
pub async fn keep<L: Listener>(address: SocketAddr, listener: L, linked: impl Fn() -> bool) {
    let policy = listener.policy();
    let mut wait = policy.redial_first;
    let mut patience = policy.connect_first;
    loop {
        if linked() {
            actix_rt::time::sleep(policy.redial_last).await;
            continue;
        }
        match channel::dial(address, patience, &listener).await {
            Ok(()) => {
                wait = policy.redial_first;
                patience = policy.connect_first;
            }
            Err(ChannelError::Foreign) => return,
            Err(_) => patience = (patience * 2).min(policy.greeting),
        }
        actix_rt::time::sleep(jitter(wait)).await;
        wait = (wait * 2).min(policy.redial_last);
    }
}

/// A wait somewhere between half of `span` and all of it.
pub fn jitter(span: Duration) -> Duration {
    span.mul_f64(rand::rng().random_range(0.5..1.0))
}
