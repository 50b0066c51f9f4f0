//! The links between the processes of a simulated world.
//!
//! Sends and delivers messages, opens and closes links, cuts and heals directions, and tells the state
//! machines of both ends.

use prost::Message;
use rand::Rng;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch::frame::Body;

use super::Event;
use super::World;
use crate::dispatch::network::Node;

/// Returns the size of a frame, in bytes.
fn size(body: &Body) -> u64 {
    let bytes = match body {
        Body::Greeting(m) => m.encoded_len(),
        Body::Orders(m) => m.encoded_len(),
        Body::Update(m) => m.encoded_len(),
        Body::Peer(m) => m.encoded_len(),
        Body::Forward(m) => m.encoded_len(),
        Body::ForwardReply(m) => m.encoded_len(),
    };
    bytes as u64
}

impl World {
    pub(super) fn send(&mut self, from: Node, link: LinkId, body: Body) {
        let Some(wire) = self.network.wires.get_mut(&link) else {
            return;
        };
        let (to, way) = wire.other(from);
        if wire.closed != [false; 2] {
            return;
        }
        if self.network.cuts.contains(&(from, to)) || !wire.held[way].is_empty() {
            wire.held[way].push(body);
            return;
        }
        let delay = self.rng.random_range(300..1500);
        let last = wire.last_arrival[way];
        let bytes = size(&body);
        self.network.count(from, to, bytes);
        let departs = self.network.depart(from, self.now, bytes);
        let arrives = self.network.arrive(to, departs + delay, bytes);
        let arrives = arrives.max(last + 1);
        let wire = self.network.wires.get_mut(&link).expect("it was there");
        wire.last_arrival[way] = arrives;
        let wait = arrives - self.now;
        self.schedule(wait, Event::Deliver(link, to, Box::new(body)));
    }

    pub(super) fn deliver(&mut self, link: LinkId, node: Node, body: Body) {
        let open = |w: &crate::dispatch::network::Wire| !w.closed[w.end(node)];
        if !self.network.wires.get(&link).is_some_and(open) {
            return;
        }
        match node {
            Node::Scheduler(n) => {
                self.with_scheduler(n, |s, now| s.handle_message(now, link, body))
            }
            Node::Executor(n) => {
                if let Body::Orders(orders) = body {
                    let incarnation = self.incarnation(node);
                    self.with_executor(n, incarnation, |e, now| e.handle_orders(now, link, orders));
                }
            }
        }
    }

    /// Closes a link at one end. The other end learns of it unless the direction to it is cut.
    pub(super) fn close(&mut self, node: Node, link: LinkId) {
        let Some(wire) = self.network.wires.get_mut(&link) else {
            return;
        };
        let (other, _) = wire.other(node);
        let end = wire.end(node);
        wire.closed[end] = true;
        if self.network.is_open(node, other) {
            self.schedule(800, Event::LinkClosed(link, other));
        }
    }

    pub(super) fn handle_closed(&mut self, link: LinkId, node: Node) {
        let Some(wire) = self.network.wires.get_mut(&link) else {
            return;
        };
        let end = wire.end(node);
        if std::mem::replace(&mut wire.closed[end], true) {
            return;
        }
        match node {
            Node::Scheduler(n) => self.with_scheduler(n, |s, now| s.link_down(now, link)),
            Node::Executor(n) => {
                let incarnation = self.incarnation(node);
                self.with_executor(n, incarnation, |e, _| e.link_down(link));
            }
        }
    }

    pub(super) fn dial(&mut self, from: Node, to: Node, incarnation: u64) {
        if self.incarnation(from) != incarnation || !self.is_up(from) {
            return;
        }
        let wait = self.rng.random_range(40_000..200_000);
        self.schedule(wait, Event::Dial(from, to, incarnation));
        let awake = self.frozen_until(from) <= self.now && self.frozen_until(to) <= self.now;
        let reachable = self.network.is_open(from, to) && self.network.is_open(to, from);
        if !awake || !reachable || !self.is_up(to) || self.network.is_linked(from, to) {
            return;
        }
        let link = self.network.open(from, to);
        self.link_up(from, to, link);
        self.link_up(to, from, link);
    }

    pub(super) fn link_up(&mut self, node: Node, other: Node, link: LinkId) {
        let theirs = match other {
            Node::Scheduler(n) => self.schedulers[n].scheduler.greeting(),
            Node::Executor(n) => self.executors[n].executor.greeting(),
        };
        match node {
            Node::Scheduler(n) => self.with_scheduler(n, |s, now| s.link_up(now, link, &theirs)),
            Node::Executor(n) => {
                let incarnation = self.incarnation(node);
                self.with_executor(n, incarnation, |e, now| e.link_up(now, link, &theirs));
            }
        }
    }

    /// Cuts a direction: messages are held until the cut heals.
    pub fn cut(&mut self, from: Node, to: Node) {
        self.network.cuts.insert((from, to));
    }

    /// Heals all cuts and sends the messages that they held.
    pub fn heal(&mut self) {
        self.network.cuts.clear();
        self.send_held();
    }

    /// Sends the messages that cuts held, unless they are still cut off, and closes the links of which one
    /// end is closed.
    pub(super) fn send_held(&mut self) {
        let links: Vec<LinkId> = self.network.wires.keys().copied().collect();
        for link in links {
            for way in 0..2 {
                let wire = self.network.wires.get_mut(&link).expect("it was listed");
                let held = std::mem::take(&mut wire.held[way]);
                let from = if way == 0 { wire.from } else { wire.to };
                for body in held {
                    self.send(from, link, body);
                }
            }
            let wire = &self.network.wires[&link];
            if wire.closed[0] != wire.closed[1] {
                let open = if wire.closed[0] { wire.to } else { wire.from };
                self.schedule(500, Event::LinkClosed(link, open));
            }
        }
        self.network.wires.retain(|_, w| w.closed != [true; 2]);
    }

    /// Opens another link between two processes that are linked already.
    pub fn add_link(&mut self, a: Node, b: Node) {
        let up = [a, b].into_iter().all(|node| self.is_up(node));
        let awake = [a, b].into_iter().all(|n| self.frozen_until(n) <= self.now);
        let reachable = self.network.is_open(a, b) && self.network.is_open(b, a);
        if a == b || !up || !awake || !reachable || !self.network.is_linked(a, b) {
            return;
        }
        let link = self.network.open(a, b);
        self.link_up(a, b, link);
        self.link_up(b, a, link);
    }

    /// Resets a random link of a process, if it has any. Messages on their way are lost.
    pub fn reset_link(&mut self, node: Node) {
        let links = self.network.links_of(node);
        if links.is_empty() {
            return;
        }
        let link = links[self.rng.random_range(0..links.len())];
        let (from, to) = (self.network.wires[&link].from, self.network.wires[&link].to);
        self.schedule(100, Event::LinkClosed(link, from));
        self.schedule(100, Event::LinkClosed(link, to));
    }

    /// Resets all links of a process. Messages on their way are lost.
    pub fn reset_links(&mut self, node: Node) {
        for link in self.network.links_of(node) {
            let wire = &self.network.wires[&link];
            let (from, to) = (wire.from, wire.to);
            self.schedule(100, Event::LinkClosed(link, from));
            self.schedule(100, Event::LinkClosed(link, to));
        }
    }
}
