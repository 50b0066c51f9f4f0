//! Tasks to workers, and their answers.

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
use crate::placement::Scene;
use crate::prelude::*;
use crate::tenure::RightState;

/// The longest pause before a task that came back unstarted is sent again without budget.
const LONGEST_PAUSE_MS: u64 = 50;

/// What became of the first task of a lane.
enum Front {
    /// It was sent.
    Sent,
    /// No worker that serves the lane's service has room.
    NoRoom,
    /// The lane has nothing to send, or its share is used up.
    Passed,
}

impl Entry {
    /// Sends waiting tasks for as long as one can be sent.
    pub(super) fn pump(&mut self, now: Now) {
        if self.lanes.is_empty() || self.tenure.right_state(now.mono) == RightState::Expired {
            return;
        }
        let config = self.follower.config().clone();
        let mut full: HashSet<Arc<str>> = HashSet::new();
        let mut passed: HashSet<LaneName> = HashSet::new();
        // Each pass sends at most one task of each lane, the team furthest behind first.
        let mut sent = true;
        while sent {
            sent = false;
            for lane in self.lanes.order() {
                if full.contains(&lane.service) || passed.contains(&lane) {
                    continue;
                }
                match self.send_front(now, &lane, &config) {
                    Front::Sent => sent = true,
                    Front::NoRoom => {
                        full.insert(lane.service);
                    }
                    Front::Passed => {
                        passed.insert(lane);
                    }
                }
            }
        }
    }

    fn send_front(&mut self, now: Now, lane: &LaneName, config: &Configuration) -> Front {
        let Some((task, key)) = self.first_waiting(now, lane) else {
            return Front::Passed;
        };
        let Some(service) = config.services.get(&*lane.service) else {
            self.lanes.skip(lane);
            self.end_job(now, key, Cause::NoService, "the service was removed", 0);
            return Front::Sent;
        };
        if !self.share_open(now, lane) {
            return Front::Passed;
        }
        let permitted = self.permitted(&lane.service, service);
        let scene = Scene {
            now: now.mono,
            fleet: &self.fleet,
            permitted: &permitted,
            need: service.task_room(),
        };
        let Some(agent) = self.placer.pick(&scene, &mut self.rng) else {
            return Front::NoRoom;
        };
        let site_permits = self
            .fleet
            .get(agent)
            .is_some_and(|w| service.permits(w.site()));
        assert!(site_permits, "invariant: work runs only where it may");
        let weight = config.teams.get(&*lane.team).map_or(1, |t| t.weight);
        self.lanes.pop(lane, weight);
        self.place(now, task, key, agent);
        Front::Sent
    }

    /// The first task of a lane that still has to be sent; those before it are passed over.
    fn first_waiting(&mut self, now: Now, lane: &LaneName) -> Option<(TaskKey, JobKey)> {
        loop {
            let task = self.lanes.front(lane)?;
            let key = self.table.find(task.job);
            let job = key.and_then(|k| Some((k, self.table.get(k)?)));
            if let Some((key, job)) = job {
                let waiting = |t: &Task| t.state == TaskState::Queued;
                let waits = job.tasks.get(task.task as usize).is_some_and(waiting);
                let open = job.ended.is_none() && now.mono < job.deadline;
                let served = self.holdings.active(job.shard);
                if waits && open && served && job.lane == *lane {
                    return Some((task, key));
                }
            }
            self.lanes.skip(lane);
        }
    }

    /// Sends a task to an agent.
    fn place(&mut self, now: Now, task: TaskKey, key: JobKey, agent: AgentKey) {
        self.send_part(agent);
        let Some(shard) = self.table.get(key).map(|j| j.shard) else {
            return;
        };
        let Some(epoch) = self.holdings.get(shard).map(|h| h.epoch) else {
            return;
        };
        assert!(
            self.tenure.right_state(now.mono) != RightState::Expired && self.holdings.active(shard),
            "invariant: only the owner in its right starts tasks"
        );
        let Some((renew, renewed)) = self.fleet.get(agent).and_then(|w| w.renewed) else {
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
        self.retries.started();
        self.counts.starts += 1;
        let arrived = self.table.get(key).map_or(now.mono, |j| j.arrived);
        self.counts.waited_us += micros(now.mono.since(arrived));
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
        let Some(agent) = self.fleet.at(link) else {
            return;
        };
        let Some(job) = JobId::from_wire(answer.job) else {
            return;
        };
        if let Some(worker) = self.fleet.get_mut(agent) {
            worker.heard = now.mono;
        }
        let task = TaskKey {
            job,
            task: answer.task,
        };
        let status = answer.status();
        if status != wire::Status::Running {
            self.take_answer(now, agent, task, &answer);
        }
        if let (Some(load), Some(worker)) = (&answer.load, self.fleet.get_mut(agent)) {
            worker.report(load);
        }
    }

    fn take_answer(&mut self, now: Now, agent: AgentKey, task: TaskKey, answer: &wire::Answer) {
        let Some(placed) = self.untrack(task, agent, answer.attempt) else {
            if self.found_again(agent, task, answer) {
                return;
            }
            self.waste("late-answer");
            return self.log(Kind::LateAnswer, format!("{} task {}", task.job, task.task));
        };
        match answer.status() {
            wire::Status::Ok => {
                self.ended(now, &placed, false, answer.took_us);
                let state = TaskState::Answered(answer.body.clone());
                self.settle_task(now, task, &placed, state);
            }
            wire::Status::Failed => {
                self.ended(now, &placed, true, answer.took_us);
                let state = TaskState::Failed(answer.body.clone());
                self.settle_task(now, task, &placed, state);
            }
            _ => self.came_back(now, task, &placed, answer.refusal()),
        }
    }

    /// A task came back unstarted: it waits again, within the budget for repeats.
    fn came_back(&mut self, now: Now, task: TaskKey, placed: &Placed, why: wire::Refusal) {
        self.waste(returned_kind(why));
        let broken = why == wire::Refusal::Backend;
        if let Some(worker) = self.fleet.get_mut(placed.agent) {
            let (at, scale) = (placed.at, placed.scale);
            if broken {
                worker.health.end(now.mono, at, scale, true, None);
            } else {
                worker.health.cancel(now.mono, at, scale);
            }
        }
        if why == wire::Refusal::Fenced {
            self.log(Kind::StaleStart, format!("{} task {}", task.job, task.task));
        }
        self.settle_task(now, task, placed, TaskState::Queued);
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
        let pause = rand::Rng::random_range(&mut self.rng, 5..LONGEST_PAUSE_MS);
        let due = now.mono + Duration::from_millis(pause);
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
