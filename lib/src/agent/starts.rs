//! The life of a start: queued, checked, sent to the backend server, and answered with a result or
//! a refusal. A refusal is sent only after the start record excludes that the attempt starts later.

use std::collections::VecDeque;

use bytes::Bytes;

use super::Action;
use super::Agent;
use super::QueuedStart;
use super::RunFailure;
use super::RunTask;
use super::Running;
use super::status_and_body;
use crate::clock::micros;
use crate::prelude::*;
use crate::start_record::Progress;
use crate::start_record::StartError;
use crate::start_record::StartRequest;

/// How long a start may wait for the confirmation of its owner's right.
const RIGHT_WAIT: Duration = Duration::from_millis(500);

/// The decision on a queued start.
enum StartDecision {
    Wait,
    Start,
    Refuse(wire::Refusal),
}

impl Agent {
    pub(super) fn handle_start(&mut self, now: Now, link: LinkId, start: wire::Start) {
        let Some(entry) = self.links.get_mut(&link) else {
            return;
        };
        entry.received += 1;
        entry.last_active = Some(now.mono);
        let Some(request) = start_request(&start) else {
            return;
        };
        let since = Duration::from_micros(start.since_us);
        let remain = Duration::from_micros(start.remain_us);
        entry.grant.extend(start.renew, since, start.tenure, remain);
        let right_unknown = !entry.grant.permits(now.mono, start.tenure);
        // The deadline is counted from a request of this agent, so that network delay shortens the
        // remaining time. A forgotten request counts from the clock's origin, which has usually expired.
        let span = Duration::from_micros(start.since_us.saturating_add(start.left_us));
        let waiting = QueuedStart {
            deadline: entry.grant.sent_at(start.renew).unwrap_or(Mono(0)) + span,
            start,
            request,
            link,
            arrived: now.mono,
        };
        let held = self.record.raise_epoch(request.shard, request.epoch);
        if held {
            self.owner_links.insert(request.shard, link);
        }
        if self.leaving {
            return self.refuse(now, waiting, wire::Refusal::Leaving);
        }
        if self.queue.len() >= self.setup.queue {
            return self.refuse(now, waiting, wire::Refusal::Full);
        }
        self.clocks.prove();
        self.queue.push_back(waiting);
        if right_unknown {
            self.renew(now, link);
        }
        self.start_waiting(now);
    }

    /// Starts the queued tasks that can start, in order of arrival, and refuses those that cannot.
    pub(super) fn start_waiting(&mut self, now: Now) {
        let mut rest = VecDeque::with_capacity(self.queue.len());
        for waiting in std::mem::take(&mut self.queue) {
            match self.decide_start(now, &waiting) {
                StartDecision::Wait => rest.push_back(waiting),
                StartDecision::Refuse(reason) => self.refuse(now, waiting, reason),
                StartDecision::Start => self.start_task(now, waiting),
            }
        }
        rest.append(&mut self.queue);
        self.queue = rest;
    }

    fn decide_start(&self, now: Now, waiting: &QueuedStart) -> StartDecision {
        if now.mono >= waiting.deadline {
            return StartDecision::Refuse(wire::Refusal::Expired);
        }
        if !self.part.permits(&waiting.start.service) {
            return StartDecision::Refuse(wire::Refusal::Place);
        }
        let Some(entry) = self.links.get(&waiting.link) else {
            return StartDecision::Refuse(wire::Refusal::Fenced);
        };
        let right = entry.grant.permits(now.mono, waiting.start.tenure) || self.fence_disabled;
        if !right {
            let can_wait = now.mono < waiting.arrived + RIGHT_WAIT;
            return if can_wait {
                StartDecision::Wait
            } else {
                StartDecision::Refuse(wire::Refusal::Fenced)
            };
        }
        if let Err(e) = self.record.check(now, &waiting.request) {
            return StartDecision::Refuse(refusal(e));
        }
        let need = self.part.need(&waiting.start.service);
        if self.setup.room.fits(self.used, need) {
            StartDecision::Start
        } else {
            StartDecision::Wait
        }
    }

    fn start_task(&mut self, now: Now, waiting: QueuedStart) {
        let start = &waiting.start;
        let recorded = self
            .record
            .start(now, &waiting.request, &start.service, &start.team);
        if let Err(e) = recorded {
            return self.refuse(now, waiting, refusal(e));
        }
        let need = self.part.need(&waiting.start.service);
        assert!(
            self.setup.room.fits(self.used, need),
            "invariant: no more runs than the room allows"
        );
        self.used = self.used.plus(need);
        self.counts.started += 1;
        let running = Running {
            shard: waiting.request.shard,
            attempt: waiting.request.attempt,
            room: need,
            since: now.mono,
            team: waiting.start.team,
        };
        let before = self.running.insert(waiting.request.key, running);
        assert!(before.is_none(), "invariant: a task starts once");
        self.actions.push(Action::Run(RunTask {
            key: waiting.request.key,
            service: waiting.start.service,
            payload: waiting.start.payload,
            until: waiting.deadline,
        }));
    }

    /// Answers that an attempt has not started, after recording that it never will. If the task
    /// has started under another attempt, answers with its state instead.
    pub(super) fn refuse(&mut self, now: Now, waiting: QueuedStart, reason: wire::Refusal) {
        let request = &waiting.request;
        let mut answer = wire::Answer {
            job: Some(request.key.job.wire()),
            task: request.key.task,
            attempt: request.attempt,
            epoch: request.epoch.0,
            status: wire::Status::NotStarted.into(),
            refusal: reason.into(),
            shard: request.shard.0,
            ..Default::default()
        };
        if self.record.give_back(now, request) == Err(StartError::Started) {
            let progress = self.record.progress(request.key).cloned();
            let (status, body) = status_and_body(progress.unwrap_or(Progress::Running));
            answer.status = status.into();
            answer.body = body;
            answer.refusal = wire::Refusal::Unspecified.into();
            // The result is reported under the attempt that the current owner knows.
            if let Some(running) = self.running.get_mut(&request.key) {
                running.attempt = request.attempt;
            }
        }
        if reason == wire::Refusal::Fenced {
            self.counts.fenced += 1;
        } else {
            self.counts.refused += 1;
        }
        self.send_answer(waiting.link, answer);
    }

    /// Handles the result of a task that was started by [`Action::Run`].
    pub fn handle_task_end(&mut self, now: Now, key: TaskKey, result: Result<Bytes, RunFailure>) {
        let Some(running) = self.running.remove(&key) else {
            return;
        };
        self.used = self.used.minus(running.room);
        let mut answer = wire::Answer {
            job: Some(key.job.wire()),
            task: key.task,
            attempt: running.attempt,
            epoch: self.record.epoch(running.shard).0,
            took_us: micros(now.mono.since(running.since)),
            shard: running.shard.0,
            ..Default::default()
        };
        self.record_end(key, result, &mut answer);
        self.start_waiting(now);
        if let Some(link) = self.owner_links.get(&running.shard).copied() {
            self.send_answer(link, answer);
        }
    }

    /// Records the result of a task and copies it into the answer.
    fn record_end(
        &mut self,
        key: TaskKey,
        result: Result<Bytes, RunFailure>,
        answer: &mut wire::Answer,
    ) {
        match result {
            Ok(body) => {
                self.counts.answered += 1;
                answer.body = body.clone();
                answer.status = wire::Status::Ok.into();
                self.record.end(key, Progress::Answered(body));
            }
            Err(RunFailure::Failed(reason)) => {
                self.counts.failed += 1;
                let body = Bytes::from(reason);
                answer.body = body.clone();
                answer.status = wire::Status::Failed.into();
                self.record.end(key, Progress::Failed(body));
            }
            Err(RunFailure::NeverSent(reason)) => {
                self.counts.refused += 1;
                answer.body = Bytes::from(reason);
                answer.status = wire::Status::NotStarted.into();
                answer.refusal = wire::Refusal::Backend.into();
                self.record.undo_start(key);
            }
        }
    }
}

fn refusal(error: StartError) -> wire::Refusal {
    match error {
        StartError::Expired => wire::Refusal::Expired,
        StartError::Fenced => wire::Refusal::Fenced,
        StartError::Started | StartError::GivenBack => wire::Refusal::Recalled,
    }
}

fn start_request(start: &wire::Start) -> Option<StartRequest> {
    Some(StartRequest {
        key: TaskKey {
            job: JobId::from_wire(start.job)?,
            task: start.task,
        },
        attempt: start.attempt,
        shard: ShardId(start.shard),
        epoch: Epoch(start.epoch),
        digest: start.digest,
        tasks: start.tasks,
    })
}
