//! Tracks the tasks at agents: the capacity they take at workers, the quota shares they use, and
//! orphans, which are tasks that may still run but can no longer be observed.

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

/// How long after its deadline a task without an answer is recalled from its agent.
const RECALL_DELAY: Duration = Duration::from_millis(1_000);
/// The clocks of two boxes differ in rate by less than one part in this many.
const CLOCK_DRIFT_DIVISOR: u32 = 50;
/// The weight of a new sample in the expected duration of a service's tasks.
const EXPECTED_WEIGHT: f64 = 0.02;

impl Entry {
    /// Starts tracking a task at an agent, in place of an earlier attempt of the same task.
    pub(super) fn track(&mut self, now: Now, task: TaskKey, mut placed: Placed) {
        placed.scale = 1.0 / self.expected_time(&placed.lane.service);
        if let Some(worker) = self.fleet.get_mut(placed.agent) {
            worker.reserve(placed.need);
            worker.health.record_start(now.mono, placed.scale);
        }
        self.take_share(&placed.lane);
        let Some(old) = self.placed.insert(task, placed) else {
            return;
        };
        self.return_share(&old.lane);
        if let Some(worker) = self.fleet.get_mut(old.agent) {
            worker.release(old.need);
            worker.health.record_cancel(now.mono, old.at, old.scale);
        }
    }

    /// Stops tracking a task. Returns `None` if another attempt or agent is being tracked.
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
            worker.release(placed.need);
        }
        self.return_share(&placed.lane);
        Some(placed)
    }

    /// Tracks a task that was placed by another entry and may be running at an agent.
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

    /// Stops tracking the tasks of a shard that another entry owns now.
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
                worker
                    .health
                    .record_cancel(now.mono, placed.at, placed.scale);
                // The next owner must report the task to the allocator first. Until then the task
                // stays counted here too, so that it is never missing from the quota.
                let reported = now.mono + SHARE_SPAN + SILENT_RESERVE;
                self.count_orphan(placed.until.min(reported), placed.lane.clone());
            }
        }
    }

    /// Recalls tasks that are past their deadline and whose agents have not answered, so that none
    /// counts as running for ever.
    pub(super) fn recall_overdue(&mut self, now: Now) {
        let overdue: Vec<(TaskKey, AgentKey, u64, ShardId)> = self
            .placed
            .iter()
            .filter(|(_, p)| now.mono >= p.until + RECALL_DELAY)
            .map(|(t, p)| (*t, p.agent, p.attempt, p.shard))
            .collect();
        for (task, agent, attempt, shard) in overdue {
            if let Some(placed) = self.placed.get_mut(&task) {
                placed.until = now.mono;
            }
            self.send_recall(agent, task, attempt, shard);
        }
    }

    /// Marks all tasks at an agent as lost.
    pub(super) fn mark_tasks_lost(&mut self, now: Now, agent: AgentKey) {
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
            self.count_orphan(latest_end(placed.at, placed.until), placed.lane.clone());
            if let Some(worker) = self.fleet.get(agent) {
                let lost = LostTask {
                    incarnation: worker.incarnation,
                    attempt,
                    shard: placed.shard,
                };
                self.lost.insert(task, lost);
            }
            self.log(Kind::TaskLost, format!("{} task {}", task.job, task.task));
            self.set_task_state(now, task, &placed, TaskState::Lost);
        }
    }

    /// Counts a task that may still run unobserved against its quotas until the given time.
    pub(super) fn count_orphan(&mut self, until: Mono, lane: LaneName) {
        self.take_share(&lane);
        self.orphans.push((until, lane));
    }

    pub(super) fn release_orphans(&mut self, now: Now) {
        let all = std::mem::take(&mut self.orphans);
        for (until, lane) in all {
            if now.mono >= until {
                self.return_share(&lane);
            } else {
                self.orphans.push((until, lane));
            }
        }
    }

    /// Returns the expected duration of a service's task, in seconds.
    fn expected_time(&self, service: &Arc<str>) -> f64 {
        let known = self.expected_times.get(service).copied();
        known
            .unwrap_or(self.admission.mean().as_secs_f64())
            .max(1e-4)
    }

    pub(super) fn record_duration(&mut self, service: &Arc<str>, took: Duration) {
        self.admission.record_duration(took);
        let before = self.expected_time(service);
        let after = before + (took.as_secs_f64() - before) * EXPECTED_WEIGHT;
        self.expected_times.insert(service.clone(), after);
    }
}

/// Returns when a task placed at `at` that may run until `until` has ended even if its agent's clock
/// runs slower than this entry's.
pub(super) fn latest_end(at: Mono, until: Mono) -> Mono {
    until + until.since(at) / CLOCK_DRIFT_DIVISOR
}
