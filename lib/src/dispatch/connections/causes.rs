//! Why clients were refused or disconnected, how often, and what the log says of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::prelude::Mono;

/// The shortest time between two notices of the same cause.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a request was refused or a connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// All memory for clients is held.
    Memory,
    /// There are as many connections as are allowed.
    Connections,
    /// The head is too large.
    HeadSize,
    /// The body is too large.
    BodySize,
    /// The body takes too many bytes on the wire for those that it carries.
    BodyOverhead,
    /// The head did not come in time.
    HeadTime,
    /// The body did not come on.
    BodyTime,
    /// The answer was not taken.
    AnswerTime,
    /// No request came for long.
    Idle,
    /// The process leaves.
    Leaving,
}

impl Cause {
    /// Returns the word for the cause in logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Cause::Memory => "memory",
            Cause::Connections => "connections",
            Cause::HeadSize => "head-size",
            Cause::BodySize => "body-size",
            Cause::BodyOverhead => "body-overhead",
            Cause::HeadTime => "head-time",
            Cause::BodyTime => "body-time",
            Cause::AnswerTime => "answer-time",
            Cause::Idle => "idle",
            Cause::Leaving => "leaving",
        }
    }
}

/// What the log is to say of refused requests and closed connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The cause.
    pub cause: Cause,
    /// How many there were since the last notice of this cause.
    pub count: u64,
    /// The address of the newest client.
    pub peer: SocketAddr,
}

/// The count of one cause.
#[derive(Clone, Copy, Debug)]
struct CauseCount {
    total: u64,
    noticed: u64,
    last_notice: Option<Mono>,
    peer: SocketAddr,
}

/// How often each cause has led to a refusal or a closed connection.
#[derive(Debug, Default)]
pub(super) struct CauseCounts {
    by_cause: BTreeMap<Cause, CauseCount>,
}

impl CauseCounts {
    /// Counts a client. Returns the cause.
    pub fn count(&mut self, cause: Cause, peer: SocketAddr) -> Cause {
        let count = self.by_cause.entry(cause).or_insert(CauseCount {
            total: 0,
            noticed: 0,
            last_notice: None,
            peer,
        });
        count.total += 1;
        count.peer = peer;
        cause
    }

    /// Returns what the log is to say now, at most once for each cause and [`NOTICE_INTERVAL`]. Connections that are closed
    /// because no request comes are nothing to tell of.
    pub fn take_notices(&mut self, now: Mono) -> Vec<Notice> {
        let mut notices = Vec::new();
        for (&cause, count) in &mut self.by_cause {
            let due = |last| now.since(last) >= NOTICE_INTERVAL;
            let news = count.total - count.noticed;
            if cause == Cause::Idle || news == 0 || !count.last_notice.is_none_or(due) {
                continue;
            }
            count.noticed = count.total;
            count.last_notice = Some(now);
            notices.push(Notice {
                cause,
                count: news,
                peer: count.peer,
            });
        }
        notices
    }

    /// Returns the count of each cause, by its word.
    pub fn totals(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.by_cause
            .iter()
            .map(|(cause, c)| (cause.word(), c.total))
    }
}
