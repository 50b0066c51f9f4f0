//! Grants: an agent's view of which entries may have tasks started right now.
//!
//! The agent asks (`Renew`), the entry answers how long its right still lasts (`Grant`), and the
//! agent counts that span from the moment *it sent the request*, on its own monotonic clock. The
//! entry computed the span after the request was sent, so the agent's deadline never lies beyond
//! the entry's own, however long either was paused or the answer was under way. While work flows
//! the grants ride on the starts, and requests are heartbeats only.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Mono;

/// How many requests are remembered for each entry.
const REMEMBERED: usize = 32;

/// The grant of one entry.
#[derive(Clone, Debug, Default)]
pub struct Grant {
    next: u64,
    asked: VecDeque<(u64, Mono)>,
    answered: u64,
    tenure: u64,
    until: Option<Mono>,
}

impl Grant {
    /// Notes that a request is being sent, and gives its number.
    pub fn ask(&mut self, now: Mono) -> u64 {
        self.next += 1;
        self.asked.push_back((self.next, now));
        if self.asked.len() > REMEMBERED {
            self.asked.pop_front();
        }
        self.next
    }

    /// Takes an answer in. One that answers no remembered request is ignored.
    pub fn granted(&mut self, seq: u64, tenure: u64, remain: Duration) {
        if seq <= self.answered {
            return;
        }
        let Some(sent) = self.sent(seq) else {
            return;
        };
        self.answered = seq;
        if tenure < self.tenure {
            return;
        }
        self.tenure = tenure;
        self.until = (!remain.is_zero()).then(|| sent + remain);
    }

    /// Takes in a grant that rides on a start: what remains, counted from the request that the
    /// sender had last and the time since it came there.
    pub fn extend(&mut self, seq: u64, since: Duration, tenure: u64, remain: Duration) {
        let Some(sent) = self.sent(seq) else {
            return;
        };
        if tenure < self.tenure {
            return;
        }
        let until = (!remain.is_zero()).then(|| sent + since + remain);
        if tenure > self.tenure || until > self.until {
            self.until = until;
        }
        self.tenure = tenure;
    }

    /// When a request was sent, if it is remembered.
    pub fn sent(&self, seq: u64) -> Option<Mono> {
        let found = self.asked.iter().rev().find(|(n, _)| *n == seq);
        found.map(|(_, at)| *at)
    }

    /// Whether a start decided under `tenure` may go ahead at `now`.
    pub fn permits(&self, now: Mono, tenure: u64) -> bool {
        self.tenure == tenure && self.valid(now)
    }

    /// Whether the entry has a right at all at `now`.
    pub fn valid(&self, now: Mono) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// The tenure of the last grant.
    pub fn tenure(&self) -> u64 {
        self.tenure
    }
}

#[cfg(test)]
mod tests;
