//! The simulated network between schedulers and executors.
//!
//! Keeps the links, the directions that are cut, the bandwidth limits of machines and the traffic of each
//! process. Messages on a link arrive in order; a message into a cut direction is held until the cut heals.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch::frame::Body;

/// A process of a simulated world, by its index.
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
    /// The process that opened it.
    pub from: Node,
    /// The process at the other end.
    pub to: Node,
    /// When the last message in each direction arrives. Later messages arrive after it, which keeps the
    /// order.
    pub last_arrival: [u64; 2],
    /// The messages in each direction that wait for a cut to heal.
    pub held: [Vec<Body>; 2],
    /// Which ends have closed the link or learned that it is closed.
    pub closed: [bool; 2],
}

impl Wire {
    /// Returns the process at the other end and the index of the direction that leads there.
    pub fn other(&self, node: Node) -> (Node, usize) {
        if node == self.from {
            (self.to, 0)
        } else {
            (self.from, 1)
        }
    }

    /// Returns the index of a process's end.
    pub fn end(&self, node: Node) -> usize {
        usize::from(node != self.from)
    }
}

/// The size of a frame's headers on the network, in bytes.
const HEADER_BYTES: u64 = 66;

/// The bandwidth limit of a machine, which holds for each direction.
#[derive(Clone, Copy, Debug)]
struct Uplink {
    bytes_per_s: u64,
    /// When the last frame sent, and the last frame received, has passed.
    free_at: [u64; 2],
}

impl Uplink {
    /// Queues a frame that is ready at `from`, and returns when it has passed.
    fn enqueue(&mut self, way: usize, from: u64, bytes: u64) -> u64 {
        let start = self.free_at[way].max(from);
        self.free_at[way] = start + (bytes + HEADER_BYTES) * 1_000_000 / self.bytes_per_s;
        self.free_at[way]
    }
}

/// Returns the two processes in a fixed order.
fn pair(a: Node, b: Node) -> (Node, Node) {
    (a.min(b), a.max(b))
}

/// The traffic of a process since the counters were last reset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The frames sent and received.
    pub frames: [u64; 2],
    /// The bytes sent and received, without headers.
    pub bytes: [u64; 2],
}

/// The links, cuts, bandwidth limits and traffic counters.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// The links. Those closed at both ends are removed when the cuts heal.
    pub wires: BTreeMap<LinkId, Wire>,
    /// The directions in which nothing passes.
    pub cuts: BTreeSet<(Node, Node)>,
    uplinks: BTreeMap<Node, Uplink>,
    traffic: BTreeMap<Node, Traffic>,
    /// All links that were ever opened between two processes, by [`pair`].
    pairs: BTreeMap<(Node, Node), Vec<LinkId>>,
    next: u64,
}

impl Network {
    /// Resets the traffic counters.
    pub fn reset_traffic(&mut self) {
        self.traffic.clear();
    }

    /// Returns the traffic of a process.
    pub fn traffic_of(&self, node: Node) -> Traffic {
        self.traffic.get(&node).copied().unwrap_or_default()
    }

    /// Counts a frame from one process to another.
    pub fn count(&mut self, from: Node, to: Node, bytes: u64) {
        for (way, node) in [from, to].into_iter().enumerate() {
            let traffic = self.traffic.entry(node).or_default();
            traffic.frames[way] += 1;
            traffic.bytes[way] += bytes;
        }
    }

    /// Limits the bandwidth of a process's machine in each direction. Without a call it is unlimited.
    pub fn set_bandwidth(&mut self, node: Node, bytes_per_s: u64) {
        let uplink = Uplink {
            bytes_per_s,
            free_at: [0; 2],
        };
        self.uplinks.insert(node, uplink);
    }

    /// Queues a frame at its sender, and returns when it has left the machine.
    pub fn depart(&mut self, from: Node, now: u64, bytes: u64) -> u64 {
        let uplink = self.uplinks.get_mut(&from);
        uplink.map_or(now, |u| u.enqueue(0, now, bytes))
    }

    /// Queues a frame that reaches a machine at `at`, and returns when it is fully received.
    pub fn arrive(&mut self, to: Node, at: u64, bytes: u64) -> u64 {
        let uplink = self.uplinks.get_mut(&to);
        uplink.map_or(at, |u| u.enqueue(1, at, bytes))
    }

    /// Returns how long a frame sent now would wait at its sender, in microseconds.
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
            last_arrival: [0; 2],
            held: [Vec::new(), Vec::new()],
            closed: [false; 2],
        };
        self.wires.insert(link, wire);
        self.pairs.entry(pair(from, to)).or_default().push(link);
        link
    }

    /// Returns whether an open link connects two processes.
    pub fn is_linked(&self, a: Node, b: Node) -> bool {
        let links = self.pairs.get(&pair(a, b)).into_iter().flatten();
        let mut wires = links.filter_map(|link| self.wires.get(link));
        wires.any(|w| w.closed == [false; 2])
    }

    /// Returns whether messages pass from one process to another.
    pub fn is_open(&self, from: Node, to: Node) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Returns the links that are open at a process's end.
    pub fn links_of(&self, node: Node) -> Vec<LinkId> {
        let links = self.wires.iter().filter(|(_, w)| {
            let mine = w.from == node || w.to == node;
            mine && !w.closed[w.end(node)]
        });
        links.map(|(link, _)| *link).collect()
    }
}
