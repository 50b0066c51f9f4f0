//! The account of tasks at agents: room taken at workers, shares used, and tasks that nobody can
//! tell of any more.

use std::sync::Arc;

use super::Entry;
use super::LostTask;
use super::Placed;
use crate::event::Kind;
use crate::fleet::AgentKey;
use crate::job_table::TaskState;
use crate::lanes::LaneName;
use crate::prelude::*;
use crate::quota::SHARE_SPAN;
use crate::quota::SILENT_RESERVE;

/// A task whose agent has not spoken this long after the deadline is asked for.
const OVERDUE: Duration = Duration::from_millis(1_000);
/// Clocks of two boxes differ in rate by less than one part in this many.
const CLOCK_RATES: u32 = 50;
/// How fast the expected time of a service follows.
const EXPECTED_WEIGHT: f64 = 0.02;

impl Entry {
    /// Keeps account of a task at an agent.
    pub(super) fn track(&mut self, now: Now, task: TaskKey, mut placed: Placed) {
        placed.scale = 1.0 / self.expected(&placed.lane.service);
        if let Some(worker) = self.fleet.get_mut(placed.agent) {
            worker.take(placed.need);
            worker.health.begin(now.mono, placed.scale);
        }
        self.share_take(&placed.lane);
        let Some(old) = self.placed.insert(task, placed) else {
            return;
        };
        self.share_give(&old.lane);
        if let Some(worker) = self.fleet.get_mut(old.agent) {
            worker.give(old.need);
            worker.health.cancel(now.mono, old.at, old.scale);
        }
    }

    /// Takes a task off the account.
    pub(super) fn untrack(
        &mut self,
        task: TaskKey,
        agent: AgentKey,
        attempt: u64,
    ) -> Option<Placed> {
        let placed = self.placed.get(&task)?;
        if placed.agent != agent || placed.attempt != attempt {
            return None;
        }
        let placed = self.placed.remove(&task)?;
        if let Some(worker) = self.fleet.get_mut(agent) {
            worker.give(placed.need);
        }
        self.share_give(&placed.lane);
        Some(placed)
    }

    /// A new record for a task that an agent reported as running.
    pub(super) fn adopt_running(&mut self, now: Now, task: TaskKey, agent: AgentKey, attempt: u64) {
        let Some(key) = self.table.find(task.job) else {
            return;
        };
        let Some(job) = self.table.get(key) else {
            return;
        };
        let placed = Placed {
            agent,
            attempt,
            need: job.need,
            lane: job.lane.clone(),
            at: now.mono,
            until: job.deadline,
            shard: job.shard,
            scale: 0.0,
        };
        self.track(now, task, placed);
    }

    /// Takes the account of a shard's tasks away: another entry has it now.
    pub(super) fn untrack_shard(&mut self, now: Now, shard: ShardId) {
        let tasks: Vec<(TaskKey, AgentKey, u64)> = self
            .placed
            .iter()
            .filter(|(_, p)| p.shard == shard)
            .map(|(t, p)| (*t, p.agent, p.attempt))
            .collect();
        for (task, agent, attempt) in tasks {
            if let Some(placed) = self.untrack(task, agent, attempt)
                && let Some(worker) = self.fleet.get_mut(agent)
            {
                worker.health.cancel(now.mono, placed.at, placed.scale);
                // Counted twice for a while rather than not at all: the next owner has to tell
                // the allocator first.
                let told = now.mono + SHARE_SPAN + SILENT_RESERVE;
                self.haunt(placed.until.min(told), placed.lane.clone());
            }
        }
    }

    /// Asks again for tasks whose deadline has passed without a word of their agents, so that none
    /// counts as running for ever.
    pub(super) fn ask_overdue(&mut self, now: Now) {
        let overdue: Vec<(TaskKey, AgentKey, u64, ShardId)> = self
            .placed
            .iter()
            .filter(|(_, p)| now.mono >= p.until + OVERDUE)
            .map(|(t, p)| (*t, p.agent, p.attempt, p.shard))
            .collect();
        for (task, agent, attempt, shard) in overdue {
            if let Some(placed) = self.placed.get_mut(&task) {
                placed.until = now.mono;
            }
            self.recall(agent, task, attempt, shard);
        }
    }

    /// Marks the tasks at an agent as lost.
    pub(super) fn lose_tasks(&mut self, now: Now, agent: AgentKey) {
        let tasks: Vec<(TaskKey, u64)> = self
            .placed
            .iter()
            .filter(|(_, p)| p.agent == agent)
            .map(|(t, p)| (*t, p.attempt))
            .collect();
        for (task, attempt) in tasks {
            let Some(placed) = self.untrack(task, agent, attempt) else {
                continue;
            };
            self.haunt(surely_over(placed.at, placed.until), placed.lane.clone());
            if let Some(worker) = self.fleet.get(agent) {
                let lost = LostTask {
                    incarnation: worker.incarnation,
                    attempt,
                    shard: placed.shard,
                };
                self.lost.insert(task, lost);
            }
            self.log(Kind::TaskLost, format!("{} task {}", task.job, task.task));
            self.settle_task(now, task, &placed, TaskState::Lost);
        }
    }

    /// Counts a task that may still run, though nobody can tell, against its quotas for a while.
    pub(super) fn haunt(&mut self, until: Mono, lane: LaneName) {
        self.share_take(&lane);
        self.ghosts.push((until, lane));
    }

    pub(super) fn release_ghosts(&mut self, now: Now) {
        let all = std::mem::take(&mut self.ghosts);
        for (until, lane) in all {
            if now.mono >= until {
                self.share_give(&lane);
            } else {
                self.ghosts.push((until, lane));
            }
        }
    }

    /// The expected time of a service's task, in seconds.
    fn expected(&self, service: &Arc<str>) -> f64 {
        let known = self.expected.get(service).copied();
        known
            .unwrap_or(self.admission.mean().as_secs_f64())
            .max(1e-4)
    }

    pub(super) fn learn(&mut self, service: &Arc<str>, took: Duration) {
        self.admission.ended(took);
        let before = self.expected(service);
        let after = before + (took.as_secs_f64() - before) * EXPECTED_WEIGHT;
        self.expected.insert(service.clone(), after);
    }
}

/// When a task that was placed at `at` and may run until `until` has surely ended by the clock of
/// its agent, which may be slower than the own.
pub(super) fn surely_over(at: Mono, until: Mono) -> Mono {
    until + until.since(at) / CLOCK_RATES
}
