//! Reports to owners: the replies to `Seal`, from a new owner of shards, and to `Recall`, from an
//! owner that asks about a single task. Both raise the shard's epoch first, so that no start of an
//! earlier owner is accepted after the report.

use std::collections::HashSet;
use std::collections::VecDeque;

use bytes::Bytes;

use super::Agent;
use super::QueuedStart;
use super::status_and_body;
use crate::prelude::*;
use crate::start_record::Progress;
use crate::start_record::StartRequest;

/// A `Sealed` message is sent once the answers in it exceed this many bytes.
const MAX_SEALED_BYTES: usize = 512 * 1024;
/// The maximum number of tasks in one `Sealed` message.
const MAX_SEALED_TASKS: usize = 2_000;

impl Agent {
    pub(super) fn handle_seal(&mut self, now: Now, link: LinkId, seal: wire::Seal) {
        self.counts.sealed += 1;
        if let Some(entry) = self.links.get_mut(&link) {
            entry.last_active = Some(now.mono);
            entry.standby = false;
        }
        self.renew(now, link);
        let mut passed = Vec::new();
        let mut shards = HashSet::new();
        for claim in &seal.claims {
            let shard = ShardId(claim.shard);
            if !self.record.raise_epoch(shard, Epoch(claim.epoch)) {
                passed.push(*claim);
                continue;
            }
            self.owner_links.insert(shard, link);
            shards.insert(shard);
        }
        self.refuse_fenced(now);
        if seal.report {
            self.send_report(link, seal.round, &shards, passed);
        }
    }

    /// Refuses the queued starts whose epoch is outdated.
    fn refuse_fenced(&mut self, now: Now) {
        if self.fence_disabled {
            return;
        }
        let all = std::mem::take(&mut self.queue);
        let fenced = |w: &QueuedStart| w.request.epoch < self.record.epoch(w.request.shard);
        let (stale, kept): (VecDeque<_>, VecDeque<_>) = all.into_iter().partition(fenced);
        self.queue = kept;
        for waiting in stale {
            self.refuse(now, waiting, wire::Refusal::Fenced);
        }
    }

    /// Reports every started task of the shards to their new owner, split into bounded messages.
    fn send_report(
        &mut self,
        link: LinkId,
        round: u64,
        shards: &HashSet<ShardId>,
        passed: Vec<wire::Claim>,
    ) {
        let mut part = wire::Sealed {
            round,
            passed,
            ..Default::default()
        };
        let mut bytes = 0;
        for task in self.record.started_tasks(shards) {
            if bytes > MAX_SEALED_BYTES || part.started.len() >= MAX_SEALED_TASKS {
                self.send(link, Body::Sealed(std::mem::take(&mut part)));
                part.round = round;
                bytes = 0;
            }
            let started = started_message(task);
            bytes += started.body.len();
            part.started.push(started);
        }
        part.last = true;
        self.send(link, Body::Sealed(part));
    }

    pub(super) fn handle_recall(&mut self, now: Now, link: LinkId, recall: wire::Recall) {
        let Some(job) = JobId::from_wire(recall.job) else {
            return;
        };
        let key = TaskKey {
            job,
            task: recall.task,
        };
        let shard = ShardId(recall.shard);
        if !self.record.raise_epoch(shard, Epoch(recall.epoch)) {
            return;
        }
        self.owner_links.insert(shard, link);
        let mut answer = wire::Answer {
            job: recall.job,
            task: recall.task,
            attempt: recall.attempt,
            epoch: recall.epoch,
            shard: recall.shard,
            ..Default::default()
        };
        self.queue
            .retain(|w| w.request.key != key || w.request.attempt > recall.attempt);
        let (status, body) = match self.record.progress(key) {
            None => {
                let request = StartRequest {
                    key,
                    attempt: recall.attempt,
                    shard,
                    epoch: Epoch(recall.epoch),
                    digest: 0,
                    tasks: 0,
                };
                let _ = self.record.give_back(now, &request);
                answer.refusal = wire::Refusal::Recalled.into();
                (wire::Status::NotStarted, Bytes::new())
            }
            Some(progress) => status_and_body(progress.clone()),
        };
        if let Some(running) = self.running.get_mut(&key) {
            running.attempt = recall.attempt;
        }
        answer.status = status.into();
        answer.body = body;
        self.send_answer(link, answer);
    }
}

fn started_message(task: crate::start_record::StartedTask) -> wire::Started {
    let kept = task.progress != Progress::Dropped;
    let (status, body) = status_and_body(task.progress);
    wire::Started {
        job: Some(task.key.job.wire()),
        task: task.key.task,
        tasks: task.tasks,
        digest: task.digest,
        status: status.into(),
        body,
        attempt: task.attempt,
        kept,
        service: task.service.to_string(),
        team: task.team.to_string(),
    }
}
