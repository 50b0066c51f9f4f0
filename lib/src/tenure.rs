//! Tenure: until when an entry may act for the shards that the ownership record gives it.
//!
//! The right rests on a read of the record that shows the entry as a member, and lasts for a
//! lease from the moment *the read was sent*. Whoever takes over waits that long after its swap.
//!
//! While the store is away no read succeeds, and no swap either. An entry can't tell that from
//! being cut off alone, so it asks every other member of the record for a promise to take nothing
//! over for a short span. With all of them the right goes on, at most for `max_extension` after the last
//! read. A member that joined after that read is unknown to this entry and makes no promise; it
//! waits out `max_extension` instead (see [`crate::takeover`]).
//!
//! Each time the right lapses the tenure's number rises. Starts carry the number, and agents
//! refuse one that is not of the tenure granted last; so nothing decided before a lapse starts
//! after it.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Mono;

/// Spans of a tenure.
#[derive(Clone, Copy, Debug)]
pub struct TenureSetup {
    /// How long a read of the record carries the right.
    pub lease: Duration,
    /// How long promises can carry it beyond the last read.
    pub max_extension: Duration,
    /// How long one promise holds.
    pub promise: Duration,
}

/// What carries the right at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RightState {
    /// A recent read of the record.
    Confirmed,
    /// Promises of all other members.
    Promised,
    /// Nothing.
    Expired,
}

/// The right of this entry.
#[derive(Debug)]
pub struct Tenure {
    setup: TenureSetup,
    number: u64,
    read: Option<Mono>,
    others: Vec<u64>,
    promises: HashMap<u64, Mono>,
    asked: HashMap<u64, (u64, Mono)>,
    next: u64,
    standing: RightState,
}

impl Tenure {
    /// A tenure that has not begun.
    pub fn new(setup: TenureSetup) -> Tenure {
        Tenure {
            setup,
            number: 1,
            read: None,
            others: Vec::new(),
            promises: HashMap::new(),
            asked: HashMap::new(),
            next: 0,
            standing: RightState::Expired,
        }
    }

    /// A read sent at `sent` showed this entry as a member, beside `others`.
    pub fn confirm(&mut self, sent: Mono, others: Vec<u64>) {
        if self.read.is_some_and(|read| read > sent) {
            return;
        }
        self.read = Some(sent);
        self.others = others;
    }

    /// A read showed that this entry is no member any more.
    pub fn revoke(&mut self) {
        self.read = None;
        self.promises.clear();
    }

    /// Looks at the clock. To be called with every input before anything is decided, so that no
    /// lapse goes unnoticed. Returns the change of standing, if there is one.
    pub fn observe(&mut self, now: Mono) -> Option<(RightState, RightState)> {
        let before = self.standing;
        let after = self.right_state(now);
        if before == after {
            return None;
        }
        if after == RightState::Expired {
            self.number += 1;
        }
        self.standing = after;
        Some((before, after))
    }

    /// What carries the right at `now`.
    pub fn right_state(&self, now: Mono) -> RightState {
        let Some(read) = self.read else {
            return RightState::Expired;
        };
        if now < read + self.setup.lease {
            return RightState::Confirmed;
        }
        if now < self.promised() {
            return RightState::Promised;
        }
        RightState::Expired
    }

    /// How much longer the right surely lasts; zero when it has lapsed.
    pub fn remain(&self, now: Mono) -> Duration {
        let Some(read) = self.read else {
            return Duration::ZERO;
        };
        let until = (read + self.setup.lease).max(self.promised());
        now.until(until)
    }

    /// The tenure's number.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// How long ago the read was sent that confirmed the right last.
    pub fn read_age(&self, now: Mono) -> Option<Duration> {
        self.read.map(|read| now.since(read))
    }

    /// The other members of the record that was read last.
    pub fn others(&self) -> &[u64] {
        &self.others
    }

    /// Notes that a promise is being asked of a member, and gives the request's number.
    pub fn ask(&mut self, member: u64, now: Mono) -> u64 {
        self.next += 1;
        self.asked.insert(member, (self.next, now));
        self.next
    }

    /// Takes in a member's promise, counted from the sending of the request.
    pub fn promise(&mut self, member: u64, seq: u64, given: bool) {
        let Some(&(asked, sent)) = self.asked.get(&member) else {
            return;
        };
        if asked != seq {
            return;
        }
        self.asked.remove(&member);
        if given {
            self.promises.insert(member, sent + self.setup.promise);
        }
    }

    /// Until when the promises of all other members carry the right.
    fn promised(&self) -> Mono {
        let Some(read) = self.read else {
            return Mono(0);
        };
        let of = |member: &u64| self.promises.get(member).copied().unwrap_or(Mono(0));
        let least = self.others.iter().map(of).min();
        let max_extension = read + self.setup.max_extension;
        least.map_or(max_extension, |m| m.min(max_extension))
    }
}

#[cfg(test)]
mod tests;
