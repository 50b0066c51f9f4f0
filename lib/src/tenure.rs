//! Tenure: how long an entry may act for the shards that the ownership record assigns to it.
//!
//! The right rests on a read of the record that shows the entry as a member, and lasts for a
//! lease from the moment *the read was sent*. An entry that takes over waits that long after its
//! compare-and-swap.
//!
//! While the store is unavailable, neither a read nor a swap succeeds. An entry cannot distinguish
//! that from being disconnected itself, so it asks every other member of the record for a promise
//! to take nothing over for a short span. With the promises of all of them the right is extended,
//! at most to `max_extension` after the last read. A member that joined after that read is unknown
//! to this entry and makes no promise; it waits for `max_extension` instead (see
//! [`crate::takeover`]).
//!
//! The tenure's number rises each time the right expires. Starts carry the number, and agents
//! refuse a start of any tenure but the last granted one, so no decision from before an expiry
//! takes effect after it.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Mono;

/// The durations that determine a tenure.
#[derive(Clone, Copy, Debug)]
pub struct TenureSetup {
    /// How long the right lasts after a read of the record was sent.
    pub lease: Duration,
    /// How long promises can extend the right, counted from the sending of the last read.
    pub max_extension: Duration,
    /// How long a promise lasts after it was requested.
    pub promise: Duration,
}

/// The basis of an entry's right at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RightState {
    /// The right rests on a recent read of the record.
    Confirmed,
    /// The right is extended by promises of all other members.
    Promised,
    /// The entry has no right.
    Expired,
}

/// The right of this entry to act for its shards.
#[derive(Debug)]
pub struct Tenure {
    setup: TenureSetup,
    number: u64,
    confirmed_at: Option<Mono>,
    others: Vec<u64>,
    promises: HashMap<u64, Mono>,
    requests: HashMap<u64, (u64, Mono)>,
    last_seq: u64,
    state: RightState,
}

impl Tenure {
    /// Creates a tenure without a right.
    pub fn new(setup: TenureSetup) -> Tenure {
        Tenure {
            setup,
            number: 1,
            confirmed_at: None,
            others: Vec::new(),
            promises: HashMap::new(),
            requests: HashMap::new(),
            last_seq: 0,
            state: RightState::Expired,
        }
    }

    /// Renews the right by a read sent at `sent` that shows this entry as a member beside `others`.
    /// Ignores reads sent earlier than the last one.
    pub fn confirm(&mut self, sent: Mono, others: Vec<u64>) {
        if self.confirmed_at.is_some_and(|at| at > sent) {
            return;
        }
        self.confirmed_at = Some(sent);
        self.others = others;
    }

    /// Ends the right, after a read that shows that this entry is no longer a member.
    pub fn revoke(&mut self) {
        self.confirmed_at = None;
        self.promises.clear();
    }

    /// Updates the state of the right and returns the states before and after if it has changed.
    /// Must be called with every input before any decision, so that no expiry goes unnoticed.
    pub fn observe(&mut self, now: Mono) -> Option<(RightState, RightState)> {
        let before = self.state;
        let after = self.right_state(now);
        if before == after {
            return None;
        }
        if after == RightState::Expired {
            self.number += 1;
        }
        self.state = after;
        Some((before, after))
    }

    /// Returns the state of the right at `now`.
    pub fn right_state(&self, now: Mono) -> RightState {
        let Some(confirmed_at) = self.confirmed_at else {
            return RightState::Expired;
        };
        if now < confirmed_at + self.setup.lease {
            return RightState::Confirmed;
        }
        if now < self.promised_until() {
            return RightState::Promised;
        }
        RightState::Expired
    }

    /// Returns how much longer the right certainly lasts, or zero if it has expired.
    pub fn remain(&self, now: Mono) -> Duration {
        let Some(confirmed_at) = self.confirmed_at else {
            return Duration::ZERO;
        };
        let until = (confirmed_at + self.setup.lease).max(self.promised_until());
        now.until(until)
    }

    /// Returns the tenure's number.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns how long ago the read was sent that last confirmed the right.
    pub fn read_age(&self, now: Mono) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns the other members in the record that was last read.
    pub fn others(&self) -> &[u64] {
        &self.others
    }

    /// Records that a member is asked for a promise, and returns the request's sequence number.
    pub fn ask(&mut self, member: u64, now: Mono) -> u64 {
        self.last_seq += 1;
        self.requests.insert(member, (self.last_seq, now));
        self.last_seq
    }

    /// Records a member's reply to request `seq`. A promise counts from the sending of the request.
    /// Ignores replies to all but the last request to that member.
    pub fn promise(&mut self, member: u64, seq: u64, given: bool) {
        let Some(&(last, sent)) = self.requests.get(&member) else {
            return;
        };
        if last != seq {
            return;
        }
        self.requests.remove(&member);
        if given {
            self.promises.insert(member, sent + self.setup.promise);
        }
    }

    /// Returns until when the promises of all other members extend the right, at most to
    /// `max_extension` after the last read.
    fn promised_until(&self) -> Mono {
        let Some(confirmed_at) = self.confirmed_at else {
            return Mono(0);
        };
        let of = |member: &u64| self.promises.get(member).copied().unwrap_or(Mono(0));
        let least = self.others.iter().map(of).min();
        let limit = confirmed_at + self.setup.max_extension;
        least.map_or(limit, |m| m.min(limit))
    }
}

#[cfg(test)]
mod tests;
