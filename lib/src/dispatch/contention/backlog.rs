//! What waits for room, by priority: here, and at peers as they last told it.

use std::collections::BTreeMap;

use crate::clock;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// So many priorities are told to peers, so that a message stays small. Less urgent ones are told as one.
const TOLD_PRIORITIES: usize = 8;

/// Work of one priority that waits for room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// The room that it needs, in thousandths of a core.
    pub cpu_milli: u64,
    /// The work of it, in thousandths of a core-second.
    pub work_milli: u64,
    /// How long the oldest of it has waited.
    pub oldest: Duration,
}

impl Waiting {
    fn add(&mut self, other: Waiting) {
        self.cpu_milli = self.cpu_milli.saturating_add(other.cpu_milli);
        self.work_milli = self.work_milli.saturating_add(other.work_milli);
        self.oldest = self.oldest.max(other.oldest);
    }
}

/// What waits, by priority; 0 is the most urgent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    rows: BTreeMap<u32, Waiting>,
}

impl Backlog {
    /// Counts a job in.
    pub fn add(&mut self, priority: u32, waiting: Waiting) {
        self.rows.entry(priority).or_default().add(waiting);
    }

    /// Counts all of another backlog in.
    pub fn add_all(&mut self, other: &Backlog) {
        for (priority, waiting) in other.rows() {
            self.add(priority, waiting);
        }
    }

    /// What waits of each priority, the most urgent first.
    pub fn rows(&self) -> impl Iterator<Item = (u32, Waiting)> {
        self.rows
            .iter()
            .map(|(priority, waiting)| (*priority, *waiting))
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The room that all of it needs, in thousandths of a core.
    pub fn cpu_milli(&self) -> u64 {
        self.up_to(u32::MAX)
    }

    /// The room that work more urgent than a priority needs.
    pub fn before(&self, priority: u32) -> u64 {
        sum(self.rows.range(..priority))
    }

    /// The room that work as urgent as a priority, or more so, needs.
    pub fn up_to(&self, priority: u32) -> u64 {
        sum(self.rows.range(..=priority))
    }

    /// As it travels. What is beyond the bound is told as the least urgent, so that nobody holds it to be ahead of
    /// more than it is.
    pub fn proto(&self) -> Vec<proto::Backlog> {
        let mut told = Backlog::default();
        let last = self.rows.keys().next_back().copied().unwrap_or_default();
        for (place, (priority, waiting)) in self.rows().enumerate() {
            let kept = place + 1 < TOLD_PRIORITIES;
            told.add(if kept { priority } else { last }, waiting);
        }
        let message = |(priority, waiting): (u32, Waiting)| proto::Backlog {
            priority,
            cpu_milli: waiting.cpu_milli,
            work_milli: waiting.work_milli,
            oldest_ms: u32::try_from(clock::millis(waiting.oldest)).unwrap_or(u32::MAX),
        };
        told.rows().map(message).collect()
    }

    /// Reads it from a message. Rows beyond the bound are passed over.
    pub fn from_proto(rows: &[proto::Backlog]) -> Backlog {
        let mut backlog = Backlog::default();
        for row in rows.iter().take(TOLD_PRIORITIES) {
            let waiting = Waiting {
                cpu_milli: row.cpu_milli,
                work_milli: row.work_milli,
                oldest: Duration::from_millis(u64::from(row.oldest_ms)),
            };
            backlog.add(row.priority, waiting);
        }
        backlog
    }
}

#[derive(Clone, Debug)]
struct Told {
    at: Mono,
    backlog: Backlog,
}

/// What peers have told of their backlogs. A peer's is forgotten with its link.
#[derive(Clone, Debug, Default)]
pub struct PeerBacklogs {
    told: BTreeMap<String, Told>,
}

impl PeerBacklogs {
    /// A peer tells what waits at it.
    pub fn note(&mut self, now: Mono, peer: &str, backlog: Backlog) {
        if backlog.is_empty() {
            self.told.remove(peer);
            return;
        }
        let told = Told { at: now, backlog };
        match self.told.get_mut(peer) {
            Some(known) => *known = told,
            None => {
                self.told.insert(peer.to_owned(), told);
            }
        }
    }

    /// Whether no peer has told of anything that waits.
    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// The link to a peer is lost.
    pub fn forget(&mut self, peer: &str) {
        self.told.remove(peer);
    }

    /// What waits at peers, by what was told within `age`. `taken` is the room that came free a second since then at
    /// most, in thousandths of a core: the most urgent of what was told has it by now.
    pub fn estimate_at(&self, now: Mono, age: Duration, taken: f64) -> Backlog {
        let mut sum = Backlog::default();
        let fresh = self.told.values().filter(|t| now.since(t.at) <= age);
        let fresh: Vec<&Told> = fresh.collect();
        let Some(oldest) = fresh.iter().map(|t| now.since(t.at)).max() else {
            return sum;
        };
        fresh.iter().for_each(|t| sum.add_all(&t.backlog));
        sum.less((taken * oldest.as_secs_f64()) as u64)
    }

    /// The peer with the most work as urgent as a priority, or more so.
    pub fn largest(&self, now: Mono, age: Duration, priority: u32) -> Option<(&str, u64)> {
        let fresh = self.told.iter().filter(|(_, t)| now.since(t.at) <= age);
        let ahead = fresh.map(|(name, t)| (name.as_str(), t.backlog.up_to(priority)));
        ahead
            .filter(|(_, cpu)| *cpu > 0)
            .max_by_key(|(_, cpu)| *cpu)
    }
}

impl Backlog {
    /// What is left once so much room was given to the most urgent of it.
    fn less(&self, mut room: u64) -> Backlog {
        let mut left = Backlog::default();
        for (priority, waiting) in self.rows() {
            let taken = room.min(waiting.cpu_milli);
            room -= taken;
            if taken == waiting.cpu_milli {
                continue;
            }
            let rest = waiting.cpu_milli - taken;
            let share = rest as f64 / waiting.cpu_milli as f64;
            let waiting = Waiting {
                cpu_milli: rest,
                work_milli: (waiting.work_milli as f64 * share) as u64,
                oldest: waiting.oldest,
            };
            left.add(priority, waiting);
        }
        left
    }
}

/// The room that rows need together. It comes from other processes, so it must not overflow.
fn sum<'a>(rows: impl Iterator<Item = (&'a u32, &'a Waiting)>) -> u64 {
    rows.fold(0, |sum, (_, w)| sum.saturating_add(w.cpu_milli))
}
