//! What is known of one connection.

use std::net::SocketAddr;
use std::time::Duration;

use super::Cause;
use super::Port;
use crate::dispatch::catalog::RequestLimits;
use crate::prelude::Mono;

/// The time without progress after which a connection may be closed for the sake of others.
const STALL: Duration = Duration::from_millis(200);
/// The bytes after which a connection counts as one that brings something. A client that sends single bytes to keep a
/// connection is not spared for them.
const PROGRESS_BYTES: usize = 256;
/// The time that is added to the time limits that clients know, for delays on the way.
const TIME_MARGIN: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request has begun.
    Idle,
    /// The head of a request is awaited or has come in part.
    Head,
    /// The body of a request comes in.
    Body,
    /// A whole request is served.
    Serving,
    /// The answer is being sent.
    Answering,
    /// The client was refused; the answer is given time to arrive.
    Closing,
}

/// A connection of a client.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    pub port: Port,
    pub peer: SocketAddr,
    pub phase: Phase,
    /// What it holds beyond [`CONNECTION_BYTES`], in bytes.
    pub held: usize,
    /// When the head began to come, or was first awaited.
    pub head_since: Mono,
    last_byte: Mono,
    last_progress: Mono,
    /// The bytes since `last_progress`.
    brought: usize,
    /// The bytes that were read in this phase.
    pub wire: usize,
    /// The bytes of the body.
    pub body: usize,
    pub chunked: bool,
    /// Whether what the client leaves in the buffers of an answer is counted.
    pub is_blocked: bool,
}

impl Connection {
    /// Creates a connection that has just been opened.
    pub fn new(now: Mono, port: Port, peer: SocketAddr) -> Connection {
        Connection {
            port,
            peer,
            phase: Phase::Head,
            held: 0,
            head_since: now,
            last_byte: now,
            last_progress: now,
            brought: 0,
            wire: 0,
            body: 0,
            chunked: false,
            is_blocked: false,
        }
    }

    /// Handles bytes that were read.
    pub fn receive(&mut self, now: Mono, bytes: usize) {
        if self.phase == Phase::Idle {
            self.enter(now, Phase::Head);
            self.head_since = now;
        }
        self.last_byte = now;
        self.wire += bytes;
        self.brought += bytes;
        if self.brought >= PROGRESS_BYTES {
            self.progress(now);
        }
    }

    /// Handles that the client has brought or taken something.
    pub fn progress(&mut self, now: Mono) {
        self.last_byte = now;
        self.last_progress = now;
        self.brought = 0;
    }

    /// Begins a phase.
    pub fn enter(&mut self, now: Mono, phase: Phase) {
        self.phase = phase;
        self.wire = 0;
        self.progress(now);
    }

    /// Returns how long it has brought nothing, if it may be closed for the sake of others.
    pub fn stall(&self, now: Mono) -> Option<Duration> {
        let stall = now.since(self.last_progress);
        (self.phase != Phase::Serving && stall >= STALL).then_some(stall)
    }

    /// Returns whether it waits for a request of which nothing has come.
    pub fn awaits_request(&self) -> bool {
        match self.phase {
            Phase::Idle => true,
            Phase::Head => self.wire == 0,
            Phase::Body | Phase::Serving | Phase::Answering | Phase::Closing => false,
        }
    }

    /// Returns whether a request has come in part.
    pub fn in_request(&self) -> bool {
        match self.phase {
            Phase::Head => self.wire > 0,
            Phase::Body => true,
            Phase::Idle | Phase::Serving | Phase::Answering | Phase::Closing => false,
        }
    }

    /// Returns why its time is over, if it is.
    pub fn overdue(&self, now: Mono, limits: &RequestLimits) -> Option<Cause> {
        let (since, limit, cause) = match self.phase {
            Phase::Idle => (self.last_byte, limits.idle_timeout(), Cause::Idle),
            Phase::Head => (self.head_since, limits.header_timeout(), Cause::HeadTime),
            Phase::Body => (self.last_byte, limits.idle_timeout(), Cause::BodyTime),
            Phase::Answering => (self.last_byte, limits.idle_timeout(), Cause::AnswerTime),
            Phase::Serving | Phase::Closing => return None,
        };
        (now.since(since) >= limit + TIME_MARGIN).then_some(cause)
    }
}
