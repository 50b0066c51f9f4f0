//! Links between the processes of a world: in order, delayed, cut one way or both, reset, and of
//! limited bandwidth where a process's machine has a limit.

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

/// A frame's headers on the wire, in bytes.
const HEADERS: u64 = 66;

/// What a machine's connection to the network carries each way.
#[derive(Clone, Copy, Debug)]
struct Uplink {
    bytes_per_s: u64,
    /// When what was sent, and what is received, is through.
    free_at: [u64; 2],
}

impl Uplink {
    /// When a frame is through that may begin at `from`.
    fn pass(&mut self, way: usize, from: u64, bytes: u64) -> u64 {
        let begin = self.free_at[way].max(from);
        self.free_at[way] = begin + (bytes + HEADERS) * 1_000_000 / self.bytes_per_s;
        self.free_at[way]
    }
}

fn pair(a: Node, b: Node) -> (Node, Node) {
    (a.min(b), a.max(b))
}

/// What a process has sent and received since counting began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Frames, sent and received.
    pub frames: [u64; 2],
    /// Their bytes without headers, sent and received.
    pub bytes: [u64; 2],
}

/// All links, and the cuts.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// The links.
    pub wires: BTreeMap<LinkId, Wire>,
    /// Directions in which nothing passes.
    pub cuts: BTreeSet<(Node, Node)>,
    uplinks: BTreeMap<Node, Uplink>,
    loads: BTreeMap<Node, Load>,
    /// The links that were opened between two processes, by their pair in order.
    pairs: BTreeMap<(Node, Node), Vec<LinkId>>,
    next: u64,
}

impl Network {
    /// Begins to count anew.
    pub fn count_anew(&mut self) {
        self.loads.clear();
    }

    /// What a process has sent and received.
    pub fn load_of(&self, node: Node) -> Load {
        self.loads.get(&node).copied().unwrap_or_default()
    }

    /// Counts a frame from one process to another.
    pub fn count(&mut self, from: Node, to: Node, bytes: u64) {
        for (way, node) in [from, to].into_iter().enumerate() {
            let load = self.loads.entry(node).or_default();
            load.frames[way] += 1;
            load.bytes[way] += bytes;
        }
    }

    /// Limits what a process's machine can send and receive; the others have no limit.
    pub fn limit(&mut self, node: Node, bytes_per_s: u64) {
        let uplink = Uplink {
            bytes_per_s,
            free_at: [0; 2],
        };
        self.uplinks.insert(node, uplink);
    }

    /// When a frame that is sent at `now` has left its machine.
    pub fn departs(&mut self, from: Node, now: u64, bytes: u64) -> u64 {
        let uplink = self.uplinks.get_mut(&from);
        uplink.map_or(now, |u| u.pass(0, now, bytes))
    }

    /// When a frame that comes to a machine at `at` is received whole.
    pub fn arrives(&mut self, to: Node, at: u64, bytes: u64) -> u64 {
        let uplink = self.uplinks.get_mut(&to);
        uplink.map_or(at, |u| u.pass(1, at, bytes))
    }

    /// How long what is sent by a process now waits for its machine's connection, in microseconds.
    pub fn backlog(&self, node: Node, now: u64) -> u64 {
        let uplink = self.uplinks.get(&node);
        uplink.map_or(0, |u| u.free_at[0].saturating_sub(now))
    }

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
        self.pairs.entry(pair(from, to)).or_default().push(link);
        link
    }

    /// Whether an open link joins two processes.
    pub fn joined(&self, a: Node, b: Node) -> bool {
        let links = self.pairs.get(&pair(a, b)).into_iter().flatten();
        let mut wires = links.filter_map(|link| self.wires.get(link));
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
