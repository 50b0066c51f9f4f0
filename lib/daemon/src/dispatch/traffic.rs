//! Traffic counters for the links of a process: frames by kind and bytes in each direction, and the frames
//! and bytes that wait to be sent.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use stackcourse_lib::protos::dispatch::frame::Body;

/// Names of the kinds of frames in the metrics.
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

/// Counters for one direction.
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
    /// Counts a received frame.
    pub fn count_received(&self, body: &Body, bytes: usize) {
        self.received.count(kind_of(body), bytes);
    }

    /// Counts a frame to be sent and wraps its encoded form, which counts as waiting until it is dropped.
    pub fn enqueue(self: &Rc<Traffic>, body: &Body, bytes: Bytes) -> Outgoing {
        self.sent.count(kind_of(body), bytes.len());
        self.waiting_frames.set(self.waiting_frames.get() + 1);
        self.waiting_bytes
            .set(self.waiting_bytes.get() + bytes.len());
        Outgoing {
            bytes,
            queued_at: Instant::now(),
            traffic: self.clone(),
        }
    }

    /// Returns the number of frames sent, by kind.
    pub fn sent(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.sent.frames()
    }

    /// Returns the number of frames received, by kind.
    pub fn received(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.received.frames()
    }

    /// Returns the number of bytes sent and of bytes received.
    pub fn bytes(&self) -> [u64; 2] {
        [self.sent.bytes.get(), self.received.bytes.get()]
    }

    /// Returns the number of frames and of bytes that wait in the send queues of all links.
    pub fn waiting(&self) -> [usize; 2] {
        [self.waiting_frames.get(), self.waiting_bytes.get()]
    }

    /// Returns the longest wait in a send queue since the last call, and resets it.
    pub fn take_longest_wait(&self) -> Duration {
        self.longest_wait.take()
    }
}

/// An encoded frame in a send queue.
#[derive(Debug)]
pub struct Outgoing {
    bytes: Bytes,
    queued_at: Instant,
    traffic: Rc<Traffic>,
}

impl Outgoing {
    /// Returns the encoded frame.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        let traffic = &self.traffic;
        traffic.waiting_frames.set(traffic.waiting_frames.get() - 1);
        let bytes = traffic.waiting_bytes.get() - self.bytes.len();
        traffic.waiting_bytes.set(bytes);
        let longest = traffic.longest_wait.get().max(self.queued_at.elapsed());
        traffic.longest_wait.set(longest);
    }
}
