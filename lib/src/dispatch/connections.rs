//! Limits on what clients can make a process hold: which connection may send more, which request is refused and which
//! connection is closed.
//!
//! [`Connections`] counts what each connection of a client holds, from the first byte of a head to the last byte of an
//! answer, on all ports of a process together. The sum never exceeds the [`Budget`]. Where room runs short, the
//! connection that has held much for long and has brought nothing lately is closed first, and ordinary requests keep a
//! share that larger ones can't take.
//!
//! A connection passes through the phases of [`Phase`]. The caller reports each step and carries out what is decided: it
//! reads at most what [`Connections::read_allowance`] returns, and closes the connections that
//! [`Connections::take_closed`] returns before it does anything else.

mod causes;
mod connection;
mod leaving;
mod limits;

use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::clock;
use crate::dispatch::catalog::RequestLimits;
use crate::prelude::Mono;

use crate::dispatch::connections::causes::CauseCounts;
use crate::dispatch::connections::connection::Connection;
use crate::dispatch::connections::connection::Phase;
use crate::dispatch::connections::limits::PORTS;

pub use crate::dispatch::connections::causes::Cause;
pub use crate::dispatch::connections::causes::Notice;
pub use crate::dispatch::connections::limits::Budget;
pub use crate::dispatch::connections::limits::CONNECTION_BYTES;
pub use crate::dispatch::connections::limits::LimitConflict;
pub use crate::dispatch::connections::limits::LimitSettings;
pub use crate::dispatch::connections::limits::MAX_DEFAULT_MEMORY_MB;
pub use crate::dispatch::connections::limits::ORDINARY_BYTES;
pub use crate::dispatch::connections::limits::Port;
pub use crate::dispatch::connections::limits::ProcessLimits;
pub use crate::dispatch::connections::limits::RECEIVE_BUFFER;
pub use crate::dispatch::connections::limits::SEND_BUFFER;

new_key_type! {
    /// Identifies an open connection of a client.
    pub struct ConnectionId;
}

/// What a byte of a body holds, in bytes: the byte itself and what it is parsed into.
pub const HELD_PER_BODY_BYTE: usize = 2;
/// What a byte of a head holds, in bytes: the buffer that it comes into and the parsed head.
const HELD_PER_HEAD_BYTE: usize = 2;
/// What a chunk of a body holds until it is taken, beyond its bytes.
const HELD_PER_CHUNK: usize = 64;
/// The most bytes that are read at a time. Between two such reads other connections have their turn.
const READ_STEP: usize = 8 << 10;
/// The same for chunked bodies, whose chunks each cost more than the bytes that they bring.
const CHUNKED_READ_STEP: usize = 1 << 10;
/// The most bytes of later requests that are read while a request is served. Reading shows that a client has closed its
/// connection.
const READ_AHEAD: usize = 512;
/// The bytes that a chunked body may take on the wire, for each byte that it carries. A chunk of one byte takes six.
const WIRE_PER_BODY_BYTE: usize = 8;
/// The bytes that a body may take on the wire in addition.
const WIRE_SLACK: usize = 64 << 10;
/// The size of answers that is included in [`CONNECTION_BYTES`].
const ANSWER_INCLUDED: usize = 8 << 10;
/// What an answer holds that its client does not take, in bytes: the kernel doubles the buffer that is asked for.
const BLOCKED_ANSWER: usize = 2 * SEND_BUFFER;
/// The time between two sweeps.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// What may be read from a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAllowance {
    /// At most this many bytes.
    Bytes(usize),
    /// Nothing until the request that is served has been answered.
    Nothing,
    /// Nothing any more: the request is refused.
    Refused(Cause),
    /// Nothing: the connection has been closed.
    Closed,
}

/// How the size of a request's body is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyKind {
    /// There is no body.
    None,
    /// The size is announced, in bytes.
    Sized(u64),
    /// The body ends where its last chunk or the connection ends.
    Open,
}

/// A connection that was closed for the sake of others or because of its time limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedConnection {
    /// The connection.
    pub id: ConnectionId,
    /// Why it was closed.
    pub cause: Cause,
    /// Whether a part of a request had come, so that an answer is due.
    pub in_request: bool,
}

/// The connections of all clients of a process, and what they hold.
#[derive(Debug)]
pub struct Connections {
    budget: Budget,
    limits: [RequestLimits; PORTS],
    connections: SlotMap<ConnectionId, Connection>,
    open: [usize; PORTS],
    /// What all connections hold, in bytes.
    held: usize,
    /// The most connections that were open at the same time.
    most_open: usize,
    last_sweep: Option<Mono>,
    closed: Vec<ClosedConnection>,
    counts: CauseCounts,
}

impl Connections {
    /// Creates an empty set of connections.
    pub fn new(budget: Budget) -> Connections {
        Connections {
            budget,
            limits: [RequestLimits::default(); PORTS],
            connections: SlotMap::with_key(),
            open: [0; PORTS],
            held: 0,
            most_open: 0,
            last_sweep: None,
            closed: Vec::new(),
            counts: CauseCounts::default(),
        }
    }

    /// Returns the budget.
    pub fn budget(&self) -> Budget {
        self.budget
    }

    /// Sets the limits of the requests on a port.
    pub fn set_limits(&mut self, port: Port, limits: RequestLimits) {
        self.limits[port as usize] = limits;
    }

    /// Admits a new connection.
    ///
    /// # Errors
    ///
    /// The cause, if there is no room for it and no other connection may be closed for it.
    pub fn open(&mut self, now: Mono, port: Port, peer: SocketAddr) -> Result<ConnectionId, Cause> {
        if self.open[port as usize] >= self.budget.connection_limit(port) {
            let longest = |_, c: &Connection, stall| (c.port == port).then_some(stall);
            if !self.close_one(now, Cause::Connections, longest) {
                return Err(self.counts.count(Cause::Connections, peer));
            }
        }
        if !self.make_room(now, None, CONNECTION_BYTES, false) {
            return Err(self.counts.count(Cause::Memory, peer));
        }
        self.held += CONNECTION_BYTES;
        self.open[port as usize] += 1;
        self.most_open = self.most_open.max(self.connections.len() + 1);
        self.check();
        let connection = Connection::new(now, port, peer);
        Ok(self.connections.insert(connection))
    }

    /// Returns what may be read from a connection now.
    pub fn read_allowance(&self, id: ConnectionId) -> ReadAllowance {
        let Some(c) = self.connections.get(id) else {
            return ReadAllowance::Closed;
        };
        match c.phase {
            Phase::Idle => ReadAllowance::Bytes(READ_STEP),
            Phase::Head => {
                let limit = self.limits[c.port as usize].max_header_bytes;
                match limit.saturating_sub(c.wire) {
                    0 => ReadAllowance::Refused(Cause::HeadSize),
                    left => ReadAllowance::Bytes(left.min(READ_STEP)),
                }
            }
            Phase::Body if c.chunked => ReadAllowance::Bytes(CHUNKED_READ_STEP),
            Phase::Body => ReadAllowance::Bytes(READ_STEP),
            Phase::Serving => match READ_AHEAD.saturating_sub(c.wire) {
                0 => ReadAllowance::Nothing,
                left => ReadAllowance::Bytes(left),
            },
            Phase::Answering | Phase::Closing => ReadAllowance::Nothing,
        }
    }

    /// Counts bytes that were read from a connection.
    ///
    /// # Errors
    ///
    /// The cause, if the request is to be refused.
    pub fn received(&mut self, now: Mono, id: ConnectionId, bytes: usize) -> Result<(), Cause> {
        let Some(c) = self.connections.get_mut(id) else {
            return Ok(());
        };
        c.receive(now, bytes);
        match c.phase {
            Phase::Head => self.hold(now, id, bytes * HELD_PER_HEAD_BYTE),
            Phase::Body if c.wire > c.body * WIRE_PER_BODY_BYTE + WIRE_SLACK => {
                Err(self.refuse(id, Cause::BodyOverhead))
            }
            _ => Ok(()),
        }
    }

    /// Handles the whole head of a request.
    ///
    /// # Errors
    ///
    /// The cause, if the request is to be refused.
    pub fn begin(&mut self, now: Mono, id: ConnectionId, body: BodyKind) -> Result<(), Cause> {
        let Some(c) = self.connections.get_mut(id) else {
            return Ok(());
        };
        let most = self.limits[c.port as usize].max_body_bytes;
        let most = most.min(self.budget.largest_body()) as u64;
        c.body = 0;
        c.chunked = body == BodyKind::Open;
        match body {
            BodyKind::None => c.enter(now, Phase::Serving),
            BodyKind::Sized(size) if size > most => return Err(self.refuse(id, Cause::BodySize)),
            BodyKind::Sized(_) | BodyKind::Open => c.enter(now, Phase::Body),
        }
        Ok(())
    }

    /// Handles a part of a body before it is stored, with its size and the memory that is added to store it, in bytes.
    ///
    /// # Errors
    ///
    /// The cause, if the request is to be refused.
    pub fn body_part(
        &mut self,
        now: Mono,
        id: ConnectionId,
        bytes: usize,
        added: usize,
    ) -> Result<(), Cause> {
        let Some(c) = self.connections.get_mut(id) else {
            return Ok(());
        };
        c.body += bytes;
        let most = self.limits[c.port as usize].max_body_bytes;
        if c.body > most.min(self.budget.largest_body()) {
            return Err(self.refuse(id, Cause::BodySize));
        }
        match added {
            0 => Ok(()),
            _ => self.hold(now, id, added * HELD_PER_BODY_BYTE),
        }
    }

    /// Counts the queue of chunks that were taken at once.
    ///
    /// # Errors
    ///
    /// The cause, if the request is to be refused.
    pub fn chunk_queue(&mut self, now: Mono, id: ConnectionId, added: usize) -> Result<(), Cause> {
        self.hold(now, id, added * HELD_PER_CHUNK)
    }

    /// Handles the end of a body.
    pub fn body_complete(&mut self, now: Mono, id: ConnectionId) {
        if let Some(c) = self.connections.get_mut(id) {
            c.enter(now, Phase::Serving);
        }
    }

    /// Handles an answer before it is sent, with the size of its body.
    ///
    /// # Errors
    ///
    /// The cause, if there is no room for it.
    pub fn answer(&mut self, now: Mono, id: ConnectionId, bytes: usize) -> Result<(), Cause> {
        if let Some(c) = self.connections.get_mut(id)
            && c.phase != Phase::Closing
        {
            let ahead = if c.phase == Phase::Serving { c.wire } else { 0 };
            c.enter(now, Phase::Answering);
            c.wire = ahead;
        }
        match bytes.saturating_sub(ANSWER_INCLUDED) {
            0 => Ok(()),
            extra => self.hold(now, id, extra),
        }
    }

    /// Handles that the client takes no more of an answer at present.
    ///
    /// # Errors
    ///
    /// The cause, if there is no room for what it leaves in the buffers.
    pub fn blocked(&mut self, now: Mono, id: ConnectionId) -> Result<(), Cause> {
        let is_counted = |c: &Connection| c.is_blocked;
        if self.connections.get(id).is_none_or(is_counted) {
            return Ok(());
        }
        self.hold(now, id, BLOCKED_ANSWER)?;
        self.connections[id].is_blocked = true;
        Ok(())
    }

    /// Handles that the client took a part of an answer.
    pub fn sent(&mut self, now: Mono, id: ConnectionId) {
        if let Some(c) = self.connections.get_mut(id) {
            c.progress(now);
        }
    }

    /// Handles that all answers so far were sent. Returns whether the connection may read on.
    pub fn flushed(&mut self, now: Mono, id: ConnectionId) -> bool {
        let Some(c) = self.connections.get_mut(id) else {
            return false;
        };
        if c.phase != Phase::Answering {
            return false;
        }
        let ahead = c.wire;
        c.enter(now, Phase::Idle);
        if ahead > 0 {
            c.phase = Phase::Head;
            c.head_since = now;
            c.wire = ahead;
        }
        c.is_blocked = false;
        self.held -= std::mem::take(&mut c.held);
        true
    }

    /// Handles that a refused client is given time to receive its answer.
    pub fn closing(&mut self, now: Mono, id: ConnectionId) {
        if let Some(c) = self.connections.get_mut(id) {
            c.enter(now, Phase::Closing);
            self.held -= std::mem::take(&mut c.held);
        }
    }

    /// Handles the end of a connection.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(c) = self.connections.remove(id) {
            self.held -= c.held + CONNECTION_BYTES;
            self.open[c.port as usize] -= 1;
        }
    }

    /// Closes the connections whose time is over. Is called about every [`SWEEP_INTERVAL`].
    ///
    /// After a pause of the process it closes none, because what clients have sent meanwhile is not read yet.
    pub fn sweep(&mut self, now: Mono) {
        let last = self.last_sweep.replace(now);
        if last.is_some_and(|last| now.since(last) > 2 * SWEEP_INTERVAL) {
            return;
        }
        let overdue = self.connections.iter().filter_map(|(id, c)| {
            let cause = c.overdue(now, &self.limits[c.port as usize])?;
            Some((id, cause))
        });
        let overdue: Vec<(ConnectionId, Cause)> = overdue.collect();
        for (id, cause) in overdue {
            self.close_for(id, cause);
        }
    }

    /// Returns the connections that were closed since the last call.
    pub fn take_closed(&mut self) -> Vec<ClosedConnection> {
        std::mem::take(&mut self.closed)
    }

    /// Returns what the log is to say now.
    pub fn take_notices(&mut self, now: Mono) -> Vec<Notice> {
        self.counts.take_notices(now)
    }

    /// Returns how often each cause has led to a refusal or a closed connection.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.counts.totals()
    }

    /// Returns whether a request is being received, served or answered.
    pub fn is_serving(&self) -> bool {
        let phases = [Phase::Body, Phase::Serving, Phase::Answering];
        let mut connections = self.connections.values();
        connections.any(|c| phases.contains(&c.phase))
    }

    /// Returns the connections that are open now, the most there were, and the bytes that are held.
    pub fn gauges(&self) -> [usize; 3] {
        [self.connections.len(), self.most_open, self.held]
    }

    /// Counts more that a connection holds, in bytes.
    ///
    /// # Errors
    ///
    /// The cause, if there is no room for it.
    pub fn hold(&mut self, now: Mono, id: ConnectionId, bytes: usize) -> Result<(), Cause> {
        let Some(c) = self.connections.get(id) else {
            return Ok(());
        };
        let is_large = c.held + bytes > ORDINARY_BYTES;
        if !self.make_room(now, Some(id), bytes, is_large) {
            return Err(self.refuse(id, Cause::Memory));
        }
        self.connections[id].held += bytes;
        self.held += bytes;
        self.check();
        Ok(())
    }

    /// Makes room for more bytes, by closing other connections if need be. Returns whether there is room.
    fn make_room(
        &mut self,
        now: Mono,
        requester: Option<ConnectionId>,
        bytes: usize,
        is_large: bool,
    ) -> bool {
        let limit = match is_large {
            true => self.budget.large_memory(),
            false => self.budget.memory,
        };
        while self.held + bytes > limit {
            let byte_time = |id, c: &Connection, stall| {
                let spared = requester == Some(id) || (is_large && c.held <= ORDINARY_BYTES);
                let bytes = (c.held + CONNECTION_BYTES) as u64;
                (!spared).then(|| bytes.saturating_mul(clock::millis(stall)))
            };
            if !self.close_one(now, Cause::Memory, byte_time) {
                return false;
            }
        }
        true
    }

    /// Closes the stalled connection with the highest rank. Returns whether there was one.
    fn close_one<R: Ord>(
        &mut self,
        now: Mono,
        cause: Cause,
        rank: impl Fn(ConnectionId, &Connection, Duration) -> Option<R>,
    ) -> bool {
        let ranked = self.connections.iter().filter_map(|(id, c)| {
            let rank = rank(id, c, c.stall(now)?)?;
            Some((rank, id))
        });
        let Some((_, id)) = ranked.max_by(|a, b| a.0.cmp(&b.0)) else {
            return false;
        };
        self.close_for(id, cause);
        true
    }

    fn close_for(&mut self, id: ConnectionId, cause: Cause) {
        let Some(c) = self.connections.get(id) else {
            return;
        };
        let (peer, in_request) = (c.peer, c.in_request());
        self.close(id);
        self.counts.count(cause, peer);
        self.closed.push(ClosedConnection {
            id,
            cause,
            in_request,
        });
    }

    /// Counts a request that is refused. Returns the cause.
    pub fn refuse(&mut self, id: ConnectionId, cause: Cause) -> Cause {
        match self.connections.get(id) {
            Some(c) => self.counts.count(cause, c.peer),
            None => cause,
        }
    }

    /// Asserts that the budget is kept.
    fn check(&self) {
        assert!(
            self.held <= self.budget.memory,
            "clients hold {} bytes, more than {}",
            self.held,
            self.budget.memory
        );
    }
}

#[cfg(test)]
mod tests;
