//! Bulkheads: the tasks of a queue under which workers crash are confined to a part of the workers.
//!
//! Load pattern: one job in ten of a queue takes down each worker that starts it, for three seconds. Each is given up
//! after two crashes, but by then the next ones have come: at eleven workers and three such jobs a second nearly all
//! workers are down, and the jobs of all other queues with them.
//!
//! Decision: of each crash, a part falls to the runs that began just before it. Where most of what the last seconds'
//! crashes come to falls to one queue, and more than its part of all starts explains, its tasks go to a fixed part of
//! the workers and those of all others elsewhere, until there were no such crashes for a while. A crash takes only
//! its own kind with it then. Which workers these are follows from a hash of the queue and their names, so that all
//! schedulers choose the same without having to agree; they tell each other what they learn of crashes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Scheduler;
use super::fleet::ExecutorKey;
use crate::dispatch::model::JobNumber;
use crate::dispatch::policy::Bulkheads as BulkheadPolicy;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// How long starts count in the part of a queue, in seconds: a few of a queue with one job a second.
const START_MEMORY_S: f64 = 2.0;

/// A queue with fewer starts of late than this is forgotten: one start, fourteen seconds ago.
const LEAST_STARTS: f64 = 0.001;

/// A part of a crash that falls to a queue.
#[derive(Clone, Debug)]
struct Blame {
    at: Mono,
    queue: String,
    part: f64,
}

/// How many starts of a queue there were of late.
#[derive(Clone, Copy, Debug, Default)]
struct Starts {
    at: Mono,
    count: f64,
}

impl Starts {
    fn now(self, now: Mono) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.count * (-age / START_MEMORY_S).exp()
    }
}

/// What is known of crashes by queue, and which queues are confined.
#[derive(Clone, Debug, Default)]
pub(super) struct Bulkheads {
    blames: VecDeque<Blame>,
    starts: HashMap<String, Starts>,
    /// The queues that are confined, and until when.
    closed: BTreeMap<String, Mono>,
}

impl Bulkheads {
    /// Tasks of a queue were sent to an executor.
    pub fn note_start(&mut self, now: Mono, queue: &str) {
        if let Some(starts) = self.starts.get_mut(queue) {
            let count = starts.now(now) + 1.0;
            *starts = Starts { at: now, count };
        } else {
            let first = Starts {
                at: now,
                count: 1.0,
            };
            self.starts.insert(queue.to_owned(), first);
        }
    }

    fn note_blame(&mut self, now: Mono, queue: &str, part: f64) {
        self.blames.push_back(Blame {
            at: now,
            queue: queue.to_owned(),
            part,
        });
    }

    /// Whether a queue is confined.
    pub fn confines(&self, queue: &str) -> bool {
        self.closed.contains_key(queue)
    }

    /// Whether any queue is.
    pub fn is_any_closed(&self) -> bool {
        !self.closed.is_empty()
    }

    /// The queue to which so much falls of the crashes of late that it is to be confined.
    fn culprit(&self, now: Mono, policy: &BulkheadPolicy) -> Option<String> {
        let mut parts: BTreeMap<&str, f64> = BTreeMap::new();
        for blame in &self.blames {
            *parts.entry(&blame.queue).or_default() += blame.part;
        }
        let all: f64 = parts.values().sum();
        let (queue, part) = parts.into_iter().max_by(|a, b| a.1.total_cmp(&b.1))?;
        let started = |name: &str| self.starts.get(name).map_or(0.0, |s| s.now(now));
        let starts: f64 = self.starts.keys().map(|name| started(name)).sum();
        let expected = if starts > 0.0 {
            started(queue) / starts
        } else {
            0.0
        };
        // With one queue only there is nobody to be kept from its crashes.
        let others = expected < 1.0 - policy.least_others;
        let beyond = (1.0 - expected) * policy.beyond + expected;
        let clear = part >= policy.crashes && part >= all * beyond.max(policy.most_of);
        (others && clear).then(|| queue.to_owned())
    }

    fn forget(&mut self, now: Mono, span: Duration) {
        while self.blames.front().is_some_and(|b| now.since(b.at) >= span) {
            self.blames.pop_front();
        }
        self.starts
            .retain(|_, starts| starts.now(now) >= LEAST_STARTS);
    }

    fn proto(&self, now: Mono) -> Vec<proto::ConfinedQueue> {
        let closed = self.closed.iter();
        let closed = closed.map(|(queue, until)| proto::ConfinedQueue {
            queue: queue.clone(),
            remaining_ms: crate::clock::millis(now.until(*until)) as u32,
        });
        closed.collect()
    }
}

impl Scheduler {
    /// An executor tells which part of a crash falls to a run of this scheduler.
    pub(super) fn blame_run(&mut self, number: JobNumber, permille: u32) {
        let Some(job) = self.jobs.get(&number).filter(|_| permille > 0) else {
            return;
        };
        let queue = job.request.queue.clone();
        for peer in self.peers.values_mut() {
            peer.add_blame(&queue, permille);
        }
        self.note_blame(&queue, permille);
    }

    /// A peer tells what it has learned.
    pub(super) fn handle_blame(&mut self, blame: &proto::QueueBlame) {
        self.note_blame(&blame.queue, blame.blame);
    }

    /// A peer has confined a queue before it met this scheduler.
    pub(super) fn handle_confined_queue(&mut self, confined: &proto::ConfinedQueue) {
        let longest = self.setup.policy.bulkheads.open_after;
        let remaining = Duration::from_millis(u64::from(confined.remaining_ms));
        self.confine(&confined.queue, self.now + remaining.min(longest));
    }

    /// The queues that are confined, as a peer is told on a new link.
    pub(super) fn confined_queues(&self) -> Vec<proto::ConfinedQueue> {
        self.bulkheads.proto(self.now)
    }

    fn note_blame(&mut self, queue: &str, permille: u32) {
        let part = f64::from(permille) / 1000.0;
        self.bulkheads.note_blame(self.now, queue, part);
        let policy = self.setup.policy.bulkheads;
        self.bulkheads.forget(self.now, policy.span);
        if !policy.on {
            return;
        }
        if let Some(queue) = self.bulkheads.culprit(self.now, &policy) {
            self.confine(&queue, self.now + policy.open_after);
        }
    }

    fn confine(&mut self, queue: &str, until: Mono) {
        if self
            .bulkheads
            .closed
            .insert(queue.to_owned(), until)
            .is_some()
        {
            return;
        }
        let names = self.bulkhead_of(queue);
        let names = names.iter().map(|key| self.executors[*key].name.clone());
        let mut names: Vec<String> = names.collect();
        names.sort();
        let detail = format!("{queue} to {}", names.join(", "));
        self.log(Kind::QueueConfined, detail);
    }

    /// Opens the bulkheads under which nothing has crashed of late.
    pub(super) fn watch_bulkheads(&mut self) {
        let now = self.now;
        self.bulkheads.forget(now, self.setup.policy.bulkheads.span);
        let over = self
            .bulkheads
            .closed
            .iter()
            .filter(|(_, until)| **until <= now);
        let over: Vec<String> = over.map(|(queue, _)| queue.clone()).collect();
        for queue in over {
            self.bulkheads.closed.remove(&queue);
            self.log(Kind::QueueOpen, queue);
        }
    }

    /// Whether the queue of a job is confined. One crash is enough then to give a job up, if only runs of it began just
    /// before: most of the crashes of late were by jobs like it, and another one would keep a worker from those
    /// that are not. It does not prove the job's fault, so its caller is not told that it has failed.
    pub(super) fn is_confined(&self, number: JobNumber) -> bool {
        let job = self.jobs.get(&number);
        job.is_some_and(|j| self.bulkheads.confines(&j.request.queue))
    }

    /// The executors to which a queue is confined.
    fn bulkhead_of(&self, queue: &str) -> BTreeSet<ExecutorKey> {
        let seed = xxh3_64_with_seed(queue.as_bytes(), 0);
        let known = self.executors.iter().filter(|(_, e)| !e.evacuated);
        let hash = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
        let mut ranks: Vec<(u64, ExecutorKey)> =
            known.map(|(key, e)| (hash(&e.name), key)).collect();
        ranks.sort();
        let share = self.setup.policy.bulkheads.share * ranks.len() as f64;
        let count = (share.round() as usize).clamp(1, ranks.len().saturating_sub(1).max(1));
        ranks.truncate(count);
        ranks.into_iter().map(|(_, key)| key).collect()
    }

    /// The executors at which tasks of a queue must not be placed, as it is confined or others are.
    pub(super) fn excluded_executors(&self, queue: &str) -> BTreeSet<ExecutorKey> {
        if !self.bulkheads.is_any_closed() || self.executors.len() < 2 {
            return BTreeSet::new();
        }
        if self.bulkheads.confines(queue) {
            let inside = self.bulkhead_of(queue);
            let outside = self.executors.keys().filter(|key| !inside.contains(key));
            return outside.collect();
        }
        let closed = self.bulkheads.closed.keys();
        closed.flat_map(|queue| self.bulkhead_of(queue)).collect()
    }
}
