//! What passes on the links of a process: frames by kind each way, and what waits to be sent.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use stackcourse_lib::protos::dispatch::frame::Body;

/// Kinds of frames, as the metrics name them.
const KINDS: [&str; 6] = [
    "greeting",
    "orders",
    "update",
    "peer",
    "forward",
    "forward-reply",
];

fn kind_of(body: &Body) -> usize {
    match body {
        Body::Greeting(_) => 0,
        Body::Orders(_) => 1,
        Body::Update(_) => 2,
        Body::Peer(_) => 3,
        Body::Forward(_) => 4,
        Body::ForwardReply(_) => 5,
    }
}

/// Counts of one direction.
#[derive(Debug, Default)]
struct Direction {
    frames: [Cell<u64>; KINDS.len()],
    bytes: Cell<u64>,
}

impl Direction {
    fn count(&self, kind: usize, bytes: usize) {
        let frames = &self.frames[kind];
        frames.set(frames.get() + 1);
        self.bytes.set(self.bytes.get() + bytes as u64);
    }

    fn frames(&self) -> impl Iterator<Item = (&'static str, u64)> {
        KINDS.into_iter().zip(self.frames.iter().map(Cell::get))
    }
}

/// The traffic of all links of a process.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: Direction,
    received: Direction,
    waiting_frames: Cell<usize>,
    waiting_bytes: Cell<usize>,
    longest_wait: Cell<Duration>,
}

impl Traffic {
    /// Counts a frame that came in.
    pub fn count_received(&self, body: &Body, bytes: usize) {
        self.received.count(kind_of(body), bytes);
    }

    /// Counts a frame that is to be sent, and its encoded form; it counts as waiting until it is
    /// dropped.
    pub fn enqueue(self: &Rc<Traffic>, body: &Body, bytes: Bytes) -> Outgoing {
        self.sent.count(kind_of(body), bytes.len());
        self.waiting_frames.set(self.waiting_frames.get() + 1);
        self.waiting_bytes
            .set(self.waiting_bytes.get() + bytes.len());
        Outgoing {
            bytes,
            since: Instant::now(),
            traffic: self.clone(),
        }
    }

    /// Frames sent, by kind.
    pub fn sent(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.sent.frames()
    }

    /// Frames received, by kind.
    pub fn received(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.received.frames()
    }

    /// Bytes sent, and bytes received.
    pub fn bytes(&self) -> [u64; 2] {
        [self.sent.bytes.get(), self.received.bytes.get()]
    }

    /// Frames and bytes that wait in the send queues of all links.
    pub fn waiting(&self) -> [usize; 2] {
        [self.waiting_frames.get(), self.waiting_bytes.get()]
    }

    /// The longest wait in a send queue since this was last asked.
    pub fn take_longest_wait(&self) -> Duration {
        self.longest_wait.take()
    }
}

/// An encoded frame in a send queue.
#[derive(Debug)]
pub struct Outgoing {
    bytes: Bytes,
    since: Instant,
    traffic: Rc<Traffic>,
}

impl Outgoing {
    /// What is to be written.
    pub fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        let traffic = &self.traffic;
        traffic.waiting_frames.set(traffic.waiting_frames.get() - 1);
        let bytes = traffic.waiting_bytes.get() - self.bytes.len();
        traffic.waiting_bytes.set(bytes);
        let longest = traffic.longest_wait.get().max(self.since.elapsed());
        traffic.longest_wait.set(longest);
    }
}
