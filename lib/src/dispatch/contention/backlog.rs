//! The work that waits for room, by priority: at this scheduler, and at peers as they last reported it.
//! Amounts are room in thousandths of a core. They come from other processes too, so sums saturate instead of
//! overflowing.

use std::collections::BTreeMap;

use crate::clock;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// The maximum number of priorities in a report to peers, which keeps messages small. Less urgent ones are
/// merged.
const MAX_REPORTED_PRIORITIES: usize = 8;

/// The waiting work of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// The room that it needs, in thousandths of a core.
    pub cpu_milli: u64,
    /// The work it consists of, in thousandths of a core-second.
    pub work_milli: u64,
    /// How long the oldest job of it has waited.
    pub oldest: Duration,
}

impl Waiting {
    fn add(&mut self, other: Waiting) {
        self.cpu_milli = self.cpu_milli.saturating_add(other.cpu_milli);
        self.work_milli = self.work_milli.saturating_add(other.work_milli);
        self.oldest = self.oldest.max(other.oldest);
    }
}

/// The waiting work by priority; 0 is the most urgent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    rows: BTreeMap<u32, Waiting>,
}

impl Backlog {
    /// Adds a job.
    pub fn add(&mut self, priority: u32, waiting: Waiting) {
        self.rows.entry(priority).or_default().add(waiting);
    }

    /// Adds all work of another backlog.
    pub fn add_all(&mut self, other: &Backlog) {
        for (priority, waiting) in other.rows() {
            self.add(priority, waiting);
        }
    }

    /// Returns the waiting work of each priority, the most urgent first.
    pub fn rows(&self) -> impl Iterator<Item = (u32, Waiting)> {
        self.rows
            .iter()
            .map(|(priority, waiting)| (*priority, *waiting))
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the room that all of it needs, in thousandths of a core.
    pub fn cpu_milli(&self) -> u64 {
        self.up_to(u32::MAX)
    }

    /// Returns the room that work more urgent than `priority` needs.
    pub fn before(&self, priority: u32) -> u64 {
        sum(self.rows.range(..priority))
    }

    /// Returns the room that work at least as urgent as `priority` needs.
    pub fn up_to(&self, priority: u32) -> u64 {
        sum(self.rows.range(..=priority))
    }

    /// Converts the backlog to its message. Priorities beyond the maximum number are reported with the least
    /// urgent one, so that no peer takes that work for more urgent than it is.
    pub fn proto(&self) -> Vec<proto::Backlog> {
        let mut report = Backlog::default();
        let last = self.rows.keys().next_back().copied().unwrap_or_default();
        for (place, (priority, waiting)) in self.rows().enumerate() {
            let kept = place + 1 < MAX_REPORTED_PRIORITIES;
            report.add(if kept { priority } else { last }, waiting);
        }
        let message = |(priority, waiting): (u32, Waiting)| proto::Backlog {
            priority,
            cpu_milli: waiting.cpu_milli,
            work_milli: waiting.work_milli,
            oldest_ms: u32::try_from(clock::millis(waiting.oldest)).unwrap_or(u32::MAX),
        };
        report.rows().map(message).collect()
    }

    /// Reads a backlog from a message. Rows beyond the maximum number are skipped.
    pub fn from_proto(rows: &[proto::Backlog]) -> Backlog {
        let mut backlog = Backlog::default();
        for row in rows.iter().take(MAX_REPORTED_PRIORITIES) {
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

/// The last report of a peer and when it arrived.
#[derive(Clone, Debug)]
struct ReportedBacklog {
    at: Mono,
    backlog: Backlog,
}

/// The backlogs that peers have reported. A peer's backlog is dropped when its link is lost.
#[derive(Clone, Debug, Default)]
pub struct PeerBacklogs {
    reports: BTreeMap<String, ReportedBacklog>,
}

impl PeerBacklogs {
    /// Replaces the backlog of a peer by what it reports now.
    pub fn record(&mut self, now: Mono, peer: &str, backlog: Backlog) {
        if backlog.is_empty() {
            self.reports.remove(peer);
            return;
        }
        let report = ReportedBacklog { at: now, backlog };
        match self.reports.get_mut(peer) {
            Some(known) => *known = report,
            None => {
                self.reports.insert(peer.to_owned(), report);
            }
        }
    }

    /// Returns whether no peer has reported waiting work.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Drops the backlog of a peer whose link is lost.
    pub fn forget(&mut self, peer: &str) {
        self.reports.remove(peer);
    }

    /// Estimates what waits at peers now, from reports no older than `age`. `freed_rate` is the room that has
    /// become free each second since then at most, in thousandths of a core: the most urgent work reported
    /// has taken it by now.
    pub fn estimate_at(&self, now: Mono, age: Duration, freed_rate: f64) -> Backlog {
        let mut sum = Backlog::default();
        let fresh = self.reports.values().filter(|r| now.since(r.at) <= age);
        let fresh: Vec<&ReportedBacklog> = fresh.collect();
        let Some(oldest) = fresh.iter().map(|r| now.since(r.at)).max() else {
            return sum;
        };
        fresh.iter().for_each(|r| sum.add_all(&r.backlog));
        sum.after_granting((freed_rate * oldest.as_secs_f64()) as u64)
    }

    /// Returns the peer with the most work at least as urgent as `priority`, and that work's room.
    pub fn largest(&self, now: Mono, age: Duration, priority: u32) -> Option<(&str, u64)> {
        let fresh = self.reports.iter().filter(|(_, r)| now.since(r.at) <= age);
        let ahead = fresh.map(|(name, r)| (name.as_str(), r.backlog.up_to(priority)));
        ahead
            .filter(|(_, cpu)| *cpu > 0)
            .max_by_key(|(_, cpu)| *cpu)
    }
}

impl Backlog {
    /// Returns what is left once `room` has been given to the most urgent work.
    fn after_granting(&self, mut room: u64) -> Backlog {
        let mut left = Backlog::default();
        for (priority, waiting) in self.rows() {
            let granted = room.min(waiting.cpu_milli);
            room -= granted;
            if granted == waiting.cpu_milli {
                continue;
            }
            let rest = waiting.cpu_milli - granted;
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

/// Returns the room that rows need together. The values come from other processes, so the sum saturates.
fn sum<'a>(rows: impl Iterator<Item = (&'a u32, &'a Waiting)>) -> u64 {
    rows.fold(0, |sum, (_, w)| sum.saturating_add(w.cpu_milli))
}
