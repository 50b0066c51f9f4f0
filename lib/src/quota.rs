//! Quotas, divided into shares that are leased to entries.
//!
//! A quota bounds the running tasks of a team or of a service. Each has one allocator: the entry that
//! owns the shard of the quota's name. The entries hold shares, and each starts tasks only within its
//! own. A share expires on the
//! holder's clock, counted from the sending of its request, and the allocator counts it for longer.
//! So the number of running tasks never exceeds the quota, even if either side is disconnected or
//! crashes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Mono;

/// How long a share is valid at its holder.
pub const SHARE_SPAN: Duration = Duration::from_secs(2);
/// How much longer the allocator counts the share of a silent holder. In this time the entries that
/// take its shards over report the tasks that still run.
pub const SILENT_RESERVE: Duration = Duration::from_secs(6);
/// The interval between the requests of a holder that uses its share.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// The interval between requests when the share is insufficient and the last one was answered.
pub const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The holder's state of one quota.
#[derive(Clone, Debug, Default)]
pub struct Share {
    used: u32,
    amount: u32,
    until: Mono,
    seq: u64,
    sent: Mono,
    answered: bool,
}

impl Share {
    /// Returns whether one more task may start.
    pub fn is_open(&self, now: Mono) -> bool {
        now < self.until && self.used < self.amount
    }

    /// Counts a task that starts, or that is found running after a takeover.
    pub fn take(&mut self) {
        self.used += 1;
    }

    /// Uncounts a task that has ended or did not start.
    pub fn give(&mut self) {
        self.used = self.used.saturating_sub(1);
    }

    /// Returns the number of running tasks.
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Returns the share at `now`.
    pub fn have(&self, now: Mono) -> u32 {
        if now < self.until { self.amount } else { 0 }
    }

    /// Gives the share up, so that no task starts under it. Must be called before the allocator is
    /// informed.
    pub fn release(&mut self) {
        self.amount = 0;
        self.until = Mono(0);
    }

    /// Returns whether a request is due, given the number of waiting tasks.
    pub fn is_due(&self, now: Mono, waiting: usize) -> bool {
        let busy = waiting > 0 || self.used > 0 || self.have(now) > 0;
        let short = waiting > 0 && !self.is_open(now);
        let interval = if short && self.answered {
            MIN_REQUEST_INTERVAL
        } else {
            REQUEST_INTERVAL
        };
        busy && now >= self.sent + interval
    }

    /// Records that a request is sent at `now`, and returns its sequence number.
    pub fn ask(&mut self, now: Mono) -> u64 {
        self.seq += 1;
        self.sent = now;
        self.answered = false;
        self.seq
    }

    /// Applies the allocator's reply to request `seq`. Ignores replies to older requests, and a
    /// second reply to the last one.
    pub fn granted(&mut self, seq: u64, amount: u32, span: Duration) {
        if seq != self.seq || self.answered {
            return;
        }
        self.answered = true;
        self.amount = amount;
        self.until = self.sent + span;
    }
}

/// The allocator's state of one holder.
#[derive(Clone, Copy, Debug)]
struct Holder {
    /// The number of tasks that it may be running, which counts against the quota.
    counted: u32,
    /// The share that it was last granted.
    granted: u32,
    want: u32,
    last_heard: Mono,
    seq: u64,
}

/// The allocator's state of one quota.
#[derive(Clone, Debug)]
pub struct Allocator {
    since: Mono,
    /// Whether all entries that may hold shares of a former allocator know of this one.
    known: bool,
    holders: HashMap<u64, Holder>,
}

/// A holder's request for a share.
#[derive(Clone, Copy, Debug)]
pub struct ShareAsk {
    /// The holder's incarnation.
    pub holder: u64,
    /// The request's sequence number; it increases with each request.
    pub seq: u64,
    /// The number of tasks that run under its share.
    pub used: u32,
    /// The number of tasks that it could run.
    pub want: u32,
    /// The share that it holds.
    pub have: u32,
}

impl Allocator {
    /// Creates an allocator without known holders. At first it only confirms the shares that
    /// holders report and grants nothing new, as shares of its predecessor may still be in use.
    pub fn new(now: Mono) -> Allocator {
        Allocator {
            since: now,
            known: true,
            holders: HashMap::new(),
        }
    }

    /// Creates the allocator of a shard's first owner. No share can be in use yet.
    pub fn first() -> Allocator {
        Allocator {
            since: Mono(0),
            known: true,
            holders: HashMap::new(),
        }
    }

    /// Sets whether all entries that may hold shares of a former allocator know of this one and have
    /// had time to send it a request. One that does not know of it may use its last share until
    /// that expires, and its tasks continue to run after that.
    pub fn set_known(&mut self, known: bool) {
        self.known = known;
    }

    /// Returns whether shares of a former allocator, or tasks under them, may exist that are not
    /// counted here.
    pub fn is_settling(&self, now: Mono) -> bool {
        let span = if self.known {
            SHARE_SPAN + SHARE_SPAN / 10
        } else {
            SHARE_SPAN + SILENT_RESERVE
        };
        self.since != Mono(0) && now < self.since + span
    }

    /// Handles a request and returns the holder's new share. For a request that is not newer than
    /// the last one, returns the last share unchanged.
    pub fn ask(&mut self, now: Mono, quota: u32, ask: ShareAsk) -> u32 {
        self.expire(now);
        let last = self.holders.get(&ask.holder);
        if let Some(last) = last.filter(|h| h.seq >= ask.seq) {
            return last.granted;
        }
        let settling = self.is_settling(now);
        let in_use = ask.have.max(ask.used);
        self.holders.insert(
            ask.holder,
            Holder {
                counted: in_use,
                granted: in_use,
                want: ask.want.max(ask.used),
                last_heard: now,
                seq: ask.seq,
            },
        );
        let others: u32 = self
            .holders
            .iter()
            .filter(|(h, _)| **h != ask.holder)
            .map(|(_, h)| h.counted)
            .sum();
        let free = quota.saturating_sub(others);
        let amount = if settling {
            ask.have.min(free)
        } else {
            self.fair_share(quota, ask).min(free)
        };
        if let Some(holder) = self.holders.get_mut(&ask.holder) {
            // Until the holder has received the reply, it may continue to use its former share.
            holder.counted = in_use.max(amount);
            holder.granted = amount;
        }
        debug_assert!(amount <= free, "invariant: shares never exceed the quota");
        amount
    }

    /// Returns the number of tasks that all holders together may be running.
    pub fn counted(&self) -> u32 {
        self.holders.values().map(|h| h.counted).sum()
    }

    /// Returns the holder's max-min fair share of the quota, but at least 1 if it wants any, and at
    /// least the number of tasks that it runs.
    fn fair_share(&self, quota: u32, ask: ShareAsk) -> u32 {
        let mut wants: Vec<u32> = self.holders.values().map(|h| h.want).collect();
        wants.sort_unstable();
        let mut left = quota;
        let mut level = 0;
        let count = wants.len();
        for (i, want) in wants.into_iter().enumerate() {
            let even = left.div_ceil((count - i) as u32);
            level = want.min(even);
            if want > even {
                break;
            }
            left -= level;
        }
        ask.want.max(ask.used).min(level.max(1)).max(ask.used)
    }

    fn expire(&mut self, now: Mono) {
        self.holders.retain(|_, h| {
            let idle = h.counted == 0 && h.granted == 0;
            let keep = if idle {
                SHARE_SPAN
            } else {
                SHARE_SPAN + SILENT_RESERVE
            };
            now < h.last_heard + keep
        });
    }
}

/// The allocators of the quotas whose shards this entry owns.
#[derive(Debug, Default)]
pub struct Allocators {
    by_name: HashMap<Arc<str>, Allocator>,
}

impl Allocators {
    /// Returns the allocator of a quota, and creates it if necessary. `first` tells whether this
    /// entry is the first owner of the shard of the quota's name.
    pub fn of(&mut self, name: &Arc<str>, now: Mono, first: bool) -> &mut Allocator {
        self.by_name.entry(name.clone()).or_insert_with(|| {
            if first {
                Allocator::first()
            } else {
                Allocator::new(now)
            }
        })
    }

    /// Drops the allocators of the quotas for which `keep` returns false, as this entry is no longer
    /// responsible for them.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_name.retain(|name, _| keep(name));
    }
}

#[cfg(test)]
mod tests;
