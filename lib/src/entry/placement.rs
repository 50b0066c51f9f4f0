//! Places tasks: sends the waiting tasks of each lane to workers with free capacity, and handles the
//! answers. A task is sent only while this entry has the right to act and serves the task's shard.

use std::collections::HashSet;
use std::sync::Arc;

use super::Entry;
use super::Placed;
use crate::clock::micros;
use crate::configuration::Configuration;
use crate::event::Kind;
use crate::fleet::AgentKey;
use crate::job_table::JobKey;
use crate::job_table::Task;
use crate::job_table::TaskState;
use crate::lanes::LaneName;
use crate::outcome::Cause;
use crate::placement::Placement;
use crate::placement::PlacementRequest;
use crate::prelude::*;
use crate::tenure::RightState;

/// The longest delay before a task that did not start is retried when the retry budget is spent.
const MAX_RETRY_DELAY_MS: u64 = 50;

/// The result of an attempt to send the first task of a lane.
enum PlaceResult {
    /// The task was sent, or its job was ended because the service no longer exists.
    Sent,
    /// No worker that serves the lane's service has free capacity.
    NoRoom,
    /// The lane has nothing to send, or its quota share is used up.
    Skipped,
}

impl Entry {
    /// Sends waiting tasks until none can be sent.
    pub(super) fn place_waiting(&mut self, now: Now) {
        if self.lanes.is_empty() || self.tenure.right_state(now.mono) == RightState::Expired {
            return;
        }
        let config = self.follower.config().clone();
        let mut full: HashSet<Arc<str>> = HashSet::new();
        let mut skipped: HashSet<LaneName> = HashSet::new();
        // Each pass sends at most one task of each lane, in order of the teams' virtual time.
        let mut sent = true;
        while sent {
            sent = false;
            for lane in self.lanes.order() {
                if full.contains(&lane.service) || skipped.contains(&lane) {
                    continue;
                }
                match self.place_first(now, &lane, &config) {
                    PlaceResult::Sent => sent = true,
                    PlaceResult::NoRoom => {
                        full.insert(lane.service);
                    }
                    PlaceResult::Skipped => {
                        skipped.insert(lane);
                    }
                }
            }
        }
    }

    fn place_first(&mut self, now: Now, lane: &LaneName, config: &Configuration) -> PlaceResult {
        let Some((task, key)) = self.first_waiting(now, lane) else {
            return PlaceResult::Skipped;
        };
        let Some(service) = config.services.get(&*lane.service) else {
            self.lanes.skip(lane);
            self.end_job(now, key, Cause::NoService, "the service was removed", 0);
            return PlaceResult::Sent;
        };
        if !self.has_share(now, lane) {
            return PlaceResult::Skipped;
        }
        let permitted = self.permitted(&lane.service, service);
        let request = PlacementRequest {
            now: now.mono,
            fleet: &self.fleet,
            permitted: &permitted,
            need: service.task_room(),
        };
        let Some(agent) = self.placer.pick(&request, &mut self.rng) else {
            return PlaceResult::NoRoom;
        };
        let site_permits = self
            .fleet
            .get(agent)
            .is_some_and(|w| service.permits(w.site()));
        assert!(
            site_permits,
            "invariant: tasks run only where their service permits"
        );
        let weight = config.teams.get(&*lane.team).map_or(1, |t| t.weight);
        self.lanes.pop(lane, weight);
        self.send_start(now, task, key, agent);
        PlaceResult::Sent
    }

    /// Returns the first task of a lane that still has to be sent, and removes those before it.
    fn first_waiting(&mut self, now: Now, lane: &LaneName) -> Option<(TaskKey, JobKey)> {
        loop {
            let task = self.lanes.front(lane)?;
            let key = self.table.find(task.job);
            let job = key.and_then(|k| Some((k, self.table.get(k)?)));
            if let Some((key, job)) = job {
                let waiting = |t: &Task| t.state == TaskState::Queued;
                let waits = job.tasks.get(task.task as usize).is_some_and(waiting);
                let open = job.ended.is_none() && now.mono < job.deadline;
                let served = self.owned_shards.is_active(job.shard);
                if waits && open && served && job.lane == *lane {
                    return Some((task, key));
                }
            }
            self.lanes.skip(lane);
        }
    }

    /// Sends a task to an agent and starts tracking it.
    fn send_start(&mut self, now: Now, task: TaskKey, key: JobKey, agent: AgentKey) {
        self.send_part(agent);
        let Some(shard) = self.table.get(key).map(|j| j.shard) else {
            return;
        };
        let Some(epoch) = self.owned_shards.get(shard).map(|h| h.epoch) else {
            return;
        };
        assert!(
            self.tenure.right_state(now.mono) != RightState::Expired
                && self.owned_shards.is_active(shard),
            "invariant: only the owner with the right to act starts tasks"
        );
        let Some((renew, renewed)) = self.fleet.get(agent).and_then(|w| w.last_request) else {
            return;
        };
        let tenure = self.tenure.number();
        let remain = self.tenure.remain(now.mono);
        let config = self.follower.version();
        let built = self.table.update(key, |job| {
            let attempt = job.next_attempt(task.task, epoch);
            let entry = &mut job.tasks[task.task as usize];
            entry.state = TaskState::Placed {
                agent,
                attempt,
                at: now.mono,
            };
            let start = wire::Start {
                job: Some(task.job.wire()),
                task: task.task,
                attempt,
                shard: shard.0,
                epoch: epoch.0,
                tenure,
                service: job.lane.service.to_string(),
                tasks: job.tasks.len() as u32,
                digest: job.digest,
                left_us: micros(now.mono.until(job.deadline)),
                config,
                payload: job.tasks[task.task as usize].payload.clone(),
                team: job.lane.team.to_string(),
                renew,
                since_us: micros(now.mono.since(renewed)),
                remain_us: micros(remain),
            };
            let placed = Placed {
                agent,
                attempt,
                need: job.need,
                lane: job.lane.clone(),
                at: now.mono,
                until: job.deadline,
                shard,
                scale: 0.0,
            };
            (start, placed)
        });
        let Some((start, placed)) = built else {
            return;
        };
        self.retries.record_start();
        self.counts.starts += 1;
        let arrived = self.table.get(key).map_or(now.mono, |j| j.arrived);
        self.counts.queue_time_us += micros(now.mono.since(arrived));
        let Some(link) = self.fleet.get(agent).and_then(|w| w.link) else {
            return;
        };
        if let Some(worker) = self.fleet.get_mut(agent) {
            worker.sent += 1;
        }
        self.track(now, task, placed);
        self.send(link, Body::Start(start));
    }

    pub(super) fn on_answer(&mut self, now: Now, link: LinkId, answer: wire::Answer) {
        let Some(agent) = self.fleet.key_by_link(link) else {
            return;
        };
        let Some(job) = JobId::from_wire(answer.job) else {
            return;
        };
        if let Some(worker) = self.fleet.get_mut(agent) {
            worker.last_heard = now.mono;
        }
        let task = TaskKey {
            job,
            task: answer.task,
        };
        let status = answer.status();
        if status != wire::Status::Running {
            self.handle_answer(now, agent, task, &answer);
        }
        if let (Some(load), Some(worker)) = (&answer.load, self.fleet.get_mut(agent)) {
            worker.report(load);
        }
    }

    fn handle_answer(&mut self, now: Now, agent: AgentKey, task: TaskKey, answer: &wire::Answer) {
        let Some(placed) = self.untrack(task, agent, answer.attempt) else {
            if self.resolve_lost_task(agent, task, answer) {
                return;
            }
            self.count_wasted("late-answer");
            return self.log(Kind::LateAnswer, format!("{} task {}", task.job, task.task));
        };
        match answer.status() {
            wire::Status::Ok => {
                self.record_end(now, &placed, false, answer.took_us);
                let state = TaskState::Answered(answer.body.clone());
                self.set_task_state(now, task, &placed, state);
            }
            wire::Status::Failed => {
                self.record_end(now, &placed, true, answer.took_us);
                let state = TaskState::Failed(answer.body.clone());
                self.set_task_state(now, task, &placed, state);
            }
            _ => self.retry_task(now, task, &placed, answer.refusal()),
        }
    }

    /// Queues a task again that an agent returned without starting it: at once if the retry budget
    /// allows, otherwise after a random delay.
    fn retry_task(&mut self, now: Now, task: TaskKey, placed: &Placed, why: wire::Refusal) {
        self.count_wasted(returned_kind(why));
        let backend_failed = why == wire::Refusal::Backend;
        if let Some(worker) = self.fleet.get_mut(placed.agent) {
            let (at, scale) = (placed.at, placed.scale);
            if backend_failed {
                worker.health.record_end(now.mono, at, scale, true, None);
            } else {
                worker.health.record_cancel(now.mono, at, scale);
            }
        }
        if why == wire::Refusal::Fenced {
            self.log(Kind::StaleStart, format!("{} task {}", task.job, task.task));
        }
        self.set_task_state(now, task, placed, TaskState::Queued);
        let Some(key) = self.table.find(task.job) else {
            return;
        };
        let waits = self
            .table
            .get(key)
            .is_some_and(|j| j.ended.is_none() && j.submitted && now.mono < j.deadline);
        if !waits {
            return;
        }
        if why != wire::Refusal::Fenced && self.retries.take(now.mono) {
            return self.lanes.push_front(&placed.lane, task);
        }
        let delay_ms = rand::Rng::random_range(&mut self.rng, 5..MAX_RETRY_DELAY_MS);
        let due = now.mono + Duration::from_millis(delay_ms);
        self.delayed.push((due, placed.lane.clone(), task));
    }

    pub(super) fn requeue_delayed(&mut self, now: Now) {
        let all = std::mem::take(&mut self.delayed);
        for (due, lane, task) in all {
            if now.mono >= due {
                self.lanes.push_front(&lane, task);
            } else {
                self.delayed.push((due, lane, task));
            }
        }
    }
}

/// Returns the kind under which a returned task is counted.
fn returned_kind(why: wire::Refusal) -> &'static str {
    match why {
        wire::Refusal::Fenced => "returned-fenced",
        wire::Refusal::Expired => "returned-expired",
        wire::Refusal::Full => "returned-full",
        wire::Refusal::Place => "returned-place",
        wire::Refusal::Leaving => "returned-leaving",
        wire::Refusal::Backend => "returned-backend",
        wire::Refusal::Recalled | wire::Refusal::Unspecified => "returned-recalled",
    }
}
