//! Grants: an agent's view of which entries currently have the right to start tasks.
//!
//! The agent sends a request (`Renew`), and the entry replies with how long its right still lasts
//! (`Grant`). The agent counts that span from the moment *it sent the request*, on its own
//! monotonic clock. The entry computes the span after the request was sent, so the agent's deadline
//! is never later than the entry's own, regardless of process pauses and network delays. Under load
//! the starts carry the grants, and the requests serve as heartbeats only.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Mono;

/// The number of recent requests whose send times are kept for each entry.
const MAX_REQUESTS: usize = 32;

/// The right of one entry as this agent knows it, and the recent requests for it.
#[derive(Clone, Debug, Default)]
pub struct Grant {
    last_seq: u64,
    requests: VecDeque<(u64, Mono)>,
    last_answered: u64,
    tenure: u64,
    until: Option<Mono>,
}

impl Grant {
    /// Records that a request is sent at `now`, and returns its sequence number.
    pub fn ask(&mut self, now: Mono) -> u64 {
        self.last_seq += 1;
        self.requests.push_back((self.last_seq, now));
        if self.requests.len() > MAX_REQUESTS {
            self.requests.pop_front();
        }
        self.last_seq
    }

    /// Applies the entry's reply to request `seq`. Ignores replies to forgotten requests, replies
    /// that arrive out of order, and those of an earlier tenure.
    pub fn granted(&mut self, seq: u64, tenure: u64, remain: Duration) {
        if seq <= self.last_answered {
            return;
        }
        let Some(sent_at) = self.sent_at(seq) else {
            return;
        };
        self.last_answered = seq;
        if tenure < self.tenure {
            return;
        }
        self.tenure = tenure;
        self.until = (!remain.is_zero()).then(|| sent_at + remain);
    }

    /// Applies a grant carried by a start. `seq` is the last request that the entry had received,
    /// `since` the time from its arrival there to the start, and `remain` how long the right lasts
    /// from then on. Does not shorten the right within a tenure.
    pub fn extend(&mut self, seq: u64, since: Duration, tenure: u64, remain: Duration) {
        let Some(sent_at) = self.sent_at(seq) else {
            return;
        };
        if tenure < self.tenure {
            return;
        }
        let until = (!remain.is_zero()).then(|| sent_at + since + remain);
        if tenure > self.tenure || until > self.until {
            self.until = until;
        }
        self.tenure = tenure;
    }

    /// Returns when request `seq` was sent, unless it has been forgotten.
    pub fn sent_at(&self, seq: u64) -> Option<Mono> {
        let found = self.requests.iter().rev().find(|(n, _)| *n == seq);
        found.map(|(_, at)| *at)
    }

    /// Returns whether a start decided under `tenure` is permitted at `now`.
    pub fn permits(&self, now: Mono, tenure: u64) -> bool {
        self.tenure == tenure && self.is_valid(now)
    }

    /// Returns whether the entry has the right under any tenure at `now`.
    pub fn is_valid(&self, now: Mono) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the tenure of the last grant.
    pub fn tenure(&self) -> u64 {
        self.tenure
    }
}

#[cfg(test)]
mod tests;
