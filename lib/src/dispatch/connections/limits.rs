//! How much the clients of a process may make it hold, worked out from what the process may use.

use std::num::NonZeroU32;

use serde::Deserialize;
use thiserror::Error;

/// The kernel's buffer for bytes that a client has sent and that are not read yet, in bytes. A client that sends more than is
/// read is held up by it.
pub const RECEIVE_BUFFER: usize = 16 << 10;
/// The kernel's buffer for answers that a client has not taken, in bytes.
pub const SEND_BUFFER: usize = 16 << 10;
/// What an open connection holds without any request, in bytes: the buffers of the HTTP layer and the task, and unread
/// bytes.
pub const CONNECTION_BYTES: usize = (20 << 10) + RECEIVE_BUFFER;
/// What an ordinary request holds at most beyond its connection, in bytes: a job of 220 tasks with a text of 4,000 bytes.
/// Larger ones leave room for these.
pub const ORDINARY_BYTES: usize = 64 << 10;
/// The default memory for clients on a box of any size, in MiB. With the size of the process at rest and what the
/// allocator keeps it stays under the smallest box that the product is built for, which has 120 MB.
pub const MAX_DEFAULT_MEMORY_MB: u64 = 48;

/// The most links whose other ends have not greeted, on a box of any size. A fleet of more processes links within seconds.
const MAX_GREETINGS: usize = 512;

/// The most connections on each of the ports that only operators and the box's own programs use.
const MAX_MINOR_CONNECTIONS: usize = 64;

/// The ports on which clients connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Port {
    /// Requests of callers, or heartbeats of a worker: what the process is there for.
    Main,
    /// Readiness checks.
    Readiness,
    /// Metrics.
    Metrics,
    /// Links to other processes, until their other ends have greeted.
    Links,
}

/// The number of ports.
pub(super) const PORTS: usize = 4;

/// What a process may use, in all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// File descriptors.
    pub descriptors: u64,
}

/// What all clients together may make a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// What the process may use, in all.
    pub process: ProcessLimits,
    /// Memory, in bytes.
    pub memory: usize,
    /// Connections on all ports but the one for links.
    pub connections: usize,
    /// Connections on the port for links whose other ends have not said yet who they are.
    pub greetings: usize,
}

/// Settings that replace what a process finds out about itself, and what follows from that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The memory that the process may use, in MiB; by default that of the box.
    pub memory_mb: Option<NonZeroU32>,
    /// The file descriptors that the process may use; by default those that the system allows it.
    pub descriptors: Option<NonZeroU32>,
    /// The memory that clients may make the process hold, in MiB; by default a quarter of its memory, and at most
    /// [`MAX_DEFAULT_MEMORY_MB`].
    pub client_memory_mb: Option<NonZeroU32>,
    /// The connections of clients; by default as many as fit into half of the descriptors and three quarters of the
    /// memory for clients.
    pub client_connections: Option<NonZeroU32>,
}

/// Two settings that can't be kept together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LimitConflict {
    /// Clients may hold too much of the memory.
    #[error("client_memory_mb: must be at most half of `memory_mb`, the process needs the rest")]
    Memory,
    /// Clients may hold too many of the descriptors.
    #[error(
        "client_connections: must be at most half of `descriptors`, the process needs the rest"
    )]
    Descriptors,
    /// The connections alone would hold the memory for clients.
    #[error(
        "client_connections: each holds {CONNECTION_BYTES} bytes, and together they must hold at most three quarters of \
         `client_memory_mb`"
    )]
    Connections,
}

impl LimitSettings {
    /// Returns the settings that can't be kept together.
    pub fn conflicts(&self) -> Vec<LimitConflict> {
        let number = |setting: Option<NonZeroU32>| setting.map(|n| u64::from(n.get()));
        let exceeds =
            |part: Option<u64>, whole: Option<u64>| part.zip(whole).is_some_and(|(p, w)| p > w);
        let half = |setting| number(setting).map(|n| n / 2);
        let held = number(self.client_connections).map(|n| n * CONNECTION_BYTES as u64);
        let for_connections = number(self.client_memory_mb).map(|mb| (mb << 20) / 4 * 3);
        let checks = [
            (
                number(self.client_memory_mb),
                half(self.memory_mb),
                LimitConflict::Memory,
            ),
            (
                number(self.client_connections),
                half(self.descriptors),
                LimitConflict::Descriptors,
            ),
            (held, for_connections, LimitConflict::Connections),
        ];
        let conflicts = checks
            .into_iter()
            .filter(|(part, whole, _)| exceeds(*part, *whole));
        conflicts.map(|(_, _, conflict)| conflict).collect()
    }

    /// Returns what the process may use, given what it has found out about itself.
    pub fn process(&self, found: ProcessLimits) -> ProcessLimits {
        let or = |setting: Option<NonZeroU32>, found| setting.map_or(found, |n| u64::from(n.get()));
        ProcessLimits {
            memory_mb: or(self.memory_mb, found.memory_mb),
            descriptors: or(self.descriptors, found.descriptors),
        }
    }
}

impl Budget {
    /// Returns the budget of a process that has found out what it may use.
    ///
    /// Half of the descriptors are left to links, the store, backend servers and files, and a quarter of the memory for
    /// clients to what requests bring.
    pub fn new(found: ProcessLimits, settings: &LimitSettings) -> Budget {
        let process = settings.process(found);
        let default = (process.memory_mb / 4).clamp(1, MAX_DEFAULT_MEMORY_MB);
        let memory = settings.client_memory_mb;
        let memory = memory.map_or(default, |n| u64::from(n.get()));
        let memory = (memory as usize) << 20;
        let by_descriptors = process.descriptors as usize / 2;
        let by_memory = memory / 4 * 3 / CONNECTION_BYTES;
        let most = settings.client_connections;
        let most = most.map_or(usize::MAX, |n| n.get() as usize);
        Budget {
            process,
            memory,
            connections: by_descriptors.min(by_memory).min(most),
            greetings: (process.descriptors as usize / 8).min(MAX_GREETINGS),
        }
    }

    /// Returns the most connections on a port.
    pub fn connection_limit(&self, port: Port) -> usize {
        let minor = (self.connections / 16).clamp(1, MAX_MINOR_CONNECTIONS);
        match port {
            Port::Main => self.connections.saturating_sub(2 * minor).max(1),
            Port::Readiness | Port::Metrics => minor,
            Port::Links => self.greetings.max(1),
        }
    }

    /// Returns the most memory that requests which are larger than ordinary ones may leave held, in bytes. The rest is
    /// kept for ordinary ones.
    pub fn large_memory(&self) -> usize {
        self.memory / 4 * 3
    }

    /// Returns the largest body that can ever be held, in bytes.
    pub fn largest_body(&self) -> usize {
        self.large_memory().saturating_sub(CONNECTION_BYTES) / super::HELD_PER_BODY_BYTE
    }
}
