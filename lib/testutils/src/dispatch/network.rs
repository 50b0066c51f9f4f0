//! Links between the processes of a world: in order, delayed, cut one way or both, reset.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch::frame::Body;

/// A process of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Node {
    /// A scheduler.
    Scheduler(usize),
    /// An executor.
    Executor(usize),
}

/// A link between two processes.
#[derive(Clone, Debug)]
pub struct Wire {
    /// Who opened it.
    pub from: Node,
    /// To whom.
    pub to: Node,
    /// When the last message each way arrives, so that the order is kept.
    pub last: [u64; 2],
    /// Messages that a cut holds up, each way.
    pub held: [Vec<Body>; 2],
    /// Which ends have closed it or heard that it is closed.
    pub closed: [bool; 2],
}

impl Wire {
    /// The other end, and which direction leads there.
    pub fn other(&self, node: Node) -> (Node, usize) {
        if node == self.from {
            (self.to, 0)
        } else {
            (self.from, 1)
        }
    }

    /// Which end a process is.
    pub fn end(&self, node: Node) -> usize {
        usize::from(node != self.from)
    }
}

/// All links, and the cuts.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// The links.
    pub wires: BTreeMap<LinkId, Wire>,
    /// Directions in which nothing passes.
    pub cuts: BTreeSet<(Node, Node)>,
    next: u64,
}

impl Network {
    /// Opens a link.
    pub fn open(&mut self, from: Node, to: Node) -> LinkId {
        self.next += 1;
        let link = LinkId(self.next);
        let wire = Wire {
            from,
            to,
            last: [0; 2],
            held: [Vec::new(), Vec::new()],
            closed: [false; 2],
        };
        self.wires.insert(link, wire);
        link
    }

    /// Whether an open link joins two processes.
    pub fn joined(&self, a: Node, b: Node) -> bool {
        let between = |w: &&Wire| (w.from, w.to) == (a, b) || (w.from, w.to) == (b, a);
        let mut wires = self.wires.values().filter(between);
        wires.any(|w| w.closed == [false; 2])
    }

    /// Whether something passes from one process to another.
    pub fn passes(&self, from: Node, to: Node) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// The open links of a process.
    pub fn links_of(&self, node: Node) -> Vec<LinkId> {
        let of = self.wires.iter().filter(|(_, w)| {
            let mine = w.from == node || w.to == node;
            mine && !w.closed[w.end(node)]
        });
        of.map(|(link, _)| *link).collect()
    }
}
