//! Bulkheads: confine the tasks of a queue that crashes workers to a part of the workers.
//!
//! If one job in ten of a queue crashes every worker that starts it, and a crashed worker is down for three
//! seconds, giving up each such job after two crashes does not help, because the next ones have arrived by
//! then: three such jobs a second keep nearly all of eleven workers down, and the jobs of all other queues
//! fail with them.
//!
//! Executors divide the blame for each crash among the runs that began just before it. When most of the
//! recent blame falls on one queue, and more than its share of all starts explains, its tasks are placed only
//! at a fixed part of the workers, and those of all other queues only at the rest, until there have been no
//! such crashes for a while. A crash then affects only tasks of the same queue. The workers are chosen by a
//! hash of the queue and their names, so that all schedulers choose the same ones without coordination.
//! Schedulers exchange the blame that they learn of.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Scheduler;
use super::executors::ExecutorKey;
use crate::dispatch::model::JobNumber;
use crate::dispatch::policy::Bulkheads as BulkheadPolicy;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// The time constant by which the start counts of queues decay, in seconds. It covers a few starts of a queue
/// with one job a second.
const START_DECAY_S: f64 = 2.0;

/// The decayed start count below which a queue is forgotten: that of one start fourteen seconds ago.
const MIN_STARTS: f64 = 0.001;

/// The share of a crash that is attributed to a queue.
#[derive(Clone, Debug)]
struct Blame {
    at: Mono,
    queue: String,
    share: f64,
}

/// The recent starts of a queue, as a count that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Starts {
    at: Mono,
    count: f64,
}

impl Starts {
    /// Returns the count, decayed to the given time.
    fn count_at(self, now: Mono) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.count * (-age / START_DECAY_S).exp()
    }
}

/// The recent crash blame and starts of each queue, and the confined queues.
#[derive(Clone, Debug, Default)]
pub(super) struct Bulkheads {
    blames: VecDeque<Blame>,
    starts: HashMap<String, Starts>,
    /// The confined queues, each with the time when it is released.
    confined: BTreeMap<String, Mono>,
}

impl Bulkheads {
    /// Records that tasks of a queue were sent to an executor.
    pub fn record_start(&mut self, now: Mono, queue: &str) {
        if let Some(starts) = self.starts.get_mut(queue) {
            let count = starts.count_at(now) + 1.0;
            *starts = Starts { at: now, count };
        } else {
            let first = Starts {
                at: now,
                count: 1.0,
            };
            self.starts.insert(queue.to_owned(), first);
        }
    }

    fn record_blame(&mut self, now: Mono, queue: &str, share: f64) {
        self.blames.push_back(Blame {
            at: now,
            queue: queue.to_owned(),
            share,
        });
    }

    /// Returns whether a queue is confined.
    pub fn confines(&self, queue: &str) -> bool {
        self.confined.contains_key(queue)
    }

    /// Returns whether any queue is confined.
    pub fn has_confined_queues(&self) -> bool {
        !self.confined.is_empty()
    }

    /// Returns the queue to confine, if the recent blame points clearly at one.
    fn queue_to_confine(&self, now: Mono, policy: &BulkheadPolicy) -> Option<String> {
        let mut shares: BTreeMap<&str, f64> = BTreeMap::new();
        for blame in &self.blames {
            *shares.entry(&blame.queue).or_default() += blame.share;
        }
        let all: f64 = shares.values().sum();
        let (queue, share) = shares.into_iter().max_by(|a, b| a.1.total_cmp(&b.1))?;
        let started = |name: &str| self.starts.get(name).map_or(0.0, |s| s.count_at(now));
        let starts: f64 = self.starts.keys().map(|name| started(name)).sum();
        let expected = if starts > 0.0 {
            started(queue) / starts
        } else {
            0.0
        };
        // If hardly anything else runs, confining the queue would protect nobody.
        let others = expected < 1.0 - policy.least_others;
        let beyond = (1.0 - expected) * policy.beyond + expected;
        let clear = share >= policy.crashes && share >= all * beyond.max(policy.most_of);
        (others && clear).then(|| queue.to_owned())
    }

    /// Drops blame older than `span`, and queues without recent starts.
    fn forget(&mut self, now: Mono, span: Duration) {
        while self.blames.front().is_some_and(|b| now.since(b.at) >= span) {
            self.blames.pop_front();
        }
        self.starts
            .retain(|_, starts| starts.count_at(now) >= MIN_STARTS);
    }

    /// Returns the confined queues in the form that is sent to peers.
    fn to_proto(&self, now: Mono) -> Vec<proto::ConfinedQueue> {
        let confined = self.confined.iter();
        let confined = confined.map(|(queue, until)| proto::ConfinedQueue {
            queue: queue.clone(),
            remaining_ms: crate::clock::millis(now.until(*until)) as u32,
        });
        confined.collect()
    }
}

impl Scheduler {
    /// Records the share of a crash that an executor has attributed to a run of this scheduler, and passes it
    /// on to the peers.
    pub(super) fn blame_run(&mut self, number: JobNumber, permille: u32) {
        let Some(job) = self.jobs.get(&number).filter(|_| permille > 0) else {
            return;
        };
        let queue = job.request.queue.clone();
        for peer in self.peers.values_mut() {
            peer.add_blame(&queue, permille);
        }
        self.add_blame(&queue, permille);
    }

    /// Records the share of a crash that a peer has learned of.
    pub(super) fn handle_blame(&mut self, blame: &proto::QueueBlame) {
        self.add_blame(&blame.queue, blame.blame);
    }

    /// Confines a queue that a peer had confined before the link to it came up, for the remaining time,
    /// at most the configured one.
    pub(super) fn handle_confined_queue(&mut self, confined: &proto::ConfinedQueue) {
        let longest = self.setup.policy.bulkheads.open_after;
        let remaining = Duration::from_millis(u64::from(confined.remaining_ms));
        self.confine(&confined.queue, self.now + remaining.min(longest));
    }

    /// Returns the confined queues, which are sent to a peer on a new link.
    pub(super) fn confined_queues(&self) -> Vec<proto::ConfinedQueue> {
        self.bulkheads.to_proto(self.now)
    }

    /// Records a share of a crash, and confines the queue that is to blame if the evidence suffices.
    fn add_blame(&mut self, queue: &str, permille: u32) {
        let share = f64::from(permille) / 1000.0;
        self.bulkheads.record_blame(self.now, queue, share);
        let policy = self.setup.policy.bulkheads;
        self.bulkheads.forget(self.now, policy.span);
        if !policy.on {
            return;
        }
        if let Some(queue) = self.bulkheads.queue_to_confine(self.now, &policy) {
            self.confine(&queue, self.now + policy.open_after);
        }
    }

    /// Confines a queue until the given time. Replaces the time if the queue is already confined.
    fn confine(&mut self, queue: &str, until: Mono) {
        if self
            .bulkheads
            .confined
            .insert(queue.to_owned(), until)
            .is_some()
        {
            return;
        }
        let names = self.bulkhead_executors(queue);
        let names = names.iter().map(|key| self.executors[*key].name.clone());
        let mut names: Vec<String> = names.collect();
        names.sort();
        let detail = format!("{queue} to {}", names.join(", "));
        self.log(Kind::QueueConfined, detail);
    }

    /// Releases the queues whose confinement has expired.
    pub(super) fn watch_bulkheads(&mut self) {
        let now = self.now;
        self.bulkheads.forget(now, self.setup.policy.bulkheads.span);
        let expired = self
            .bulkheads
            .confined
            .iter()
            .filter(|(_, until)| **until <= now);
        let expired: Vec<String> = expired.map(|(queue, _)| queue.clone()).collect();
        for queue in expired {
            self.bulkheads.confined.remove(&queue);
            self.log(Kind::QueueReleased, queue);
        }
    }

    /// Returns whether the queue of a job is confined. If so, one crash is enough to give the job up,
    /// provided that only its runs began just before: jobs like it caused most of the recent crashes, and
    /// another crash would cost the harmless jobs of the queue a worker. This does not prove that the job is
    /// at fault, so its outcome is not reported as a failure.
    pub(super) fn is_confined(&self, number: JobNumber) -> bool {
        let job = self.jobs.get(&number);
        job.is_some_and(|j| self.bulkheads.confines(&j.request.queue))
    }

    /// Returns the executors to which a queue is confined, not counting those in evacuated zones.
    fn bulkhead_executors(&self, queue: &str) -> BTreeSet<ExecutorKey> {
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

    /// Returns the executors at which tasks of a queue must not be placed: those outside its bulkhead if the
    /// queue is confined, and otherwise those inside the bulkheads of other queues.
    pub(super) fn excluded_executors(&self, queue: &str) -> BTreeSet<ExecutorKey> {
        if !self.bulkheads.has_confined_queues() || self.executors.len() < 2 {
            return BTreeSet::new();
        }
        if self.bulkheads.confines(queue) {
            let inside = self.bulkhead_executors(queue);
            let outside = self.executors.keys().filter(|key| !inside.contains(key));
            return outside.collect();
        }
        let confined = self.bulkheads.confined.keys();
        confined
            .flat_map(|queue| self.bulkhead_executors(queue))
            .collect()
    }
}
