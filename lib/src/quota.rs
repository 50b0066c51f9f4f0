//! Quotas as shares leased to entries.
//!
//! Each team's quota has one allocator: the entry that owns the shard of the team's name. Entries
//! hold shares and start a team's task only within theirs. A share lapses on the holder's own
//! clock, counted from its request, and the allocator counts it for longer than that; so the sum
//! of what may run never exceeds the quota, whichever of the two is cut off or dies.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Mono;

/// How long a share lasts at its holder.
pub const SHARE_SPAN: Duration = Duration::from_secs(2);
/// How much longer the allocator counts the share of a holder that has gone silent, so that
/// whoever takes its shards over has told of the tasks that still run.
pub const SILENT_RESERVE: Duration = Duration::from_secs(6);
/// Time between a holder's requests while it uses its share.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// The least time between requests when the share does not suffice.
pub const ASK_SOON: Duration = Duration::from_millis(20);

/// A holder's side of one team's quota.
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
    /// Whether one more task may start.
    pub fn open(&self, now: Mono) -> bool {
        now < self.until && self.used < self.amount
    }

    /// A task starts, or is found running after a takeover.
    pub fn take(&mut self) {
        self.used += 1;
    }

    /// A task has ended or did not start.
    pub fn give(&mut self) {
        self.used = self.used.saturating_sub(1);
    }

    /// Tasks that run now.
    pub fn used(&self) -> u32 {
        self.used
    }

    /// The share held at `now`.
    pub fn have(&self, now: Mono) -> u32 {
        if now < self.until { self.amount } else { 0 }
    }

    /// Gives the share up, before the allocator is told: nothing starts under it any more.
    pub fn release(&mut self) {
        self.amount = 0;
        self.until = Mono(0);
    }

    /// Whether a request is due, given how many tasks wait.
    pub fn due(&self, now: Mono, waiting: usize) -> bool {
        let busy = waiting > 0 || self.used > 0 || self.have(now) > 0;
        let short = waiting > 0 && !self.open(now);
        let pause = if short && self.answered {
            ASK_SOON
        } else {
            REQUEST_INTERVAL
        };
        busy && now >= self.sent + pause
    }

    /// Notes that a request is being sent, and gives its number.
    pub fn ask(&mut self, now: Mono) -> u64 {
        self.seq += 1;
        self.sent = now;
        self.answered = false;
        self.seq
    }

    /// Takes in the allocator's answer; one that answers an older request is ignored.
    pub fn granted(&mut self, seq: u64, amount: u32, span: Duration) {
        if seq != self.seq || self.answered {
            return;
        }
        self.answered = true;
        self.amount = amount;
        self.until = self.sent + span;
    }
}

/// What the allocator knows of one holder.
#[derive(Clone, Copy, Debug)]
struct Holder {
    /// What it may be using: counted against the quota.
    counted: u32,
    /// What it was granted last.
    granted: u32,
    want: u32,
    heard: Mono,
    seq: u64,
}

/// The allocator's side of one team's quota.
#[derive(Clone, Debug)]
pub struct Allocator {
    since: Mono,
    /// Whether all who may hold shares of a predecessor know of this allocator.
    known: bool,
    holders: HashMap<u64, Holder>,
}

/// A holder's request.
#[derive(Clone, Copy, Debug)]
pub struct ShareAsk {
    /// The holder's incarnation.
    pub holder: u64,
    /// The request's number; it rises.
    pub seq: u64,
    /// Tasks that run under it.
    pub used: u32,
    /// How many it could use.
    pub want: u32,
    /// The share it holds.
    pub have: u32,
}

impl Allocator {
    /// An allocator that knows of no holders. For a while it confirms what holders have and gives
    /// out nothing new, because shares that its predecessor gave may still be in use.
    pub fn new(now: Mono) -> Allocator {
        Allocator {
            since: now,
            known: true,
            holders: HashMap::new(),
        }
    }

    /// An allocator of the very first owner: nobody can hold a share.
    pub fn first() -> Allocator {
        Allocator {
            since: Mono(0),
            known: true,
            holders: HashMap::new(),
        }
    }

    /// Says whether all who may hold shares of a predecessor know of this allocator by now, and have
    /// had the time to ask it. One that does not may go on with its last share, and its tasks run on
    /// after that.
    pub fn set_known(&mut self, known: bool) {
        self.known = known;
    }

    /// Whether shares of a predecessor, or tasks under them, may be in use that are not counted.
    pub fn settling(&self, now: Mono) -> bool {
        let span = if self.known {
            SHARE_SPAN + SHARE_SPAN / 10
        } else {
            SHARE_SPAN + SILENT_RESERVE
        };
        self.since != Mono(0) && now < self.since + span
    }

    /// Answers a request with the share that the holder has from now on. An older request than
    /// the last is told nothing new.
    pub fn ask(&mut self, now: Mono, quota: u32, ask: ShareAsk) -> u32 {
        self.expire(now);
        let last = self.holders.get(&ask.holder);
        if let Some(last) = last.filter(|h| h.seq >= ask.seq) {
            return last.granted;
        }
        let settling = self.settling(now);
        let mine = ask.have.max(ask.used);
        self.holders.insert(
            ask.holder,
            Holder {
                counted: mine,
                granted: mine,
                want: ask.want.max(ask.used),
                heard: now,
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
            self.fair(quota, ask).min(free)
        };
        if let Some(holder) = self.holders.get_mut(&ask.holder) {
            // The holder may go on with what it had until it has read the answer.
            holder.counted = mine.max(amount);
            holder.granted = amount;
        }
        debug_assert!(amount <= free, "invariant: shares never exceed the quota");
        amount
    }

    /// The sum that may be in use.
    pub fn counted(&self) -> u32 {
        self.holders.values().map(|h| h.counted).sum()
    }

    /// The share of a holder if all wants are met as evenly as the quota allows.
    fn fair(&self, quota: u32, ask: ShareAsk) -> u32 {
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
            now < h.heard + keep
        });
    }
}

/// The allocators of the teams whose shards this entry owns.
#[derive(Debug, Default)]
pub struct Allocators {
    teams: HashMap<Arc<str>, Allocator>,
}

impl Allocators {
    /// The allocator of a team, made if need be.
    pub fn of(&mut self, team: &Arc<str>, now: Mono, first: bool) -> &mut Allocator {
        self.teams.entry(team.clone()).or_insert_with(|| {
            if first {
                Allocator::first()
            } else {
                Allocator::new(now)
            }
        })
    }

    /// Drops the allocators of teams that this entry is no longer in charge of.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.teams.retain(|team, _| keep(team));
    }
}

#[cfg(test)]
mod tests;
