//! Hands shards over to another entry with their job records, to rebalance them or because this entry
//! leaves. The owner suspends the shard, sends its records, and changes the ownership record once the
//! next owner has confirmed them. Requests for the shard meanwhile wait at the entry of their caller.

use super::Entry;
use super::account::latest_end;
use crate::clock::micros;
use crate::event::Kind;
use crate::job_table::Job;
use crate::job_table::JobKey;
use crate::job_table::Task;
use crate::job_table::TaskState;
use crate::lanes::LaneName;
use crate::outcome::Cause;
use crate::outcome::JobReply;
use crate::outcome::Refusal;
use crate::ownership::OwnershipRecord;
use crate::prelude::*;
use crate::takeover::Phase;
use crate::tenure::RightState;

/// The bytes of records after which a message is sent and another begun.
const CHUNK_BYTES: usize = 256 * 1024;
/// How long the next owner may take to confirm the records before the handover is aborted.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the set of live members must have been unchanged before shards are rebalanced.
const STABLE_TIME: Duration = Duration::from_secs(2);

/// A shard whose records are being sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outgoing {
    round: u64,
    since: Mono,
}

/// A shard whose records are being received.
#[derive(Debug)]
pub(super) struct Incoming {
    pub(super) epoch: Epoch,
    round: u64,
    clear_ms: u64,
    records: Vec<wire::Record>,
    is_complete: bool,
    next_index: u32,
}

impl Entry {
    /// Starts handing over the shards that another entry should own.
    pub(super) fn rebalance_shards(&mut self, now: Now) {
        let Some(read) = self.read.clone() else {
            return;
        };
        if self.tenure.right_state(now.mono) != RightState::Confirmed || self.change.is_some() {
            return;
        }
        let stable = now.mono >= self.live_changed + STABLE_TIME;
        let live = self.live_members(now, &read.record);
        if live != self.last_live {
            self.last_live = live.clone();
            self.live_changed = now.mono;
            if !self.leaving {
                return;
            }
        }
        if !stable && !self.leaving {
            return;
        }
        let owners = self.follower.config().limits.owners as usize;
        let mut moved = 0;
        for (shard, to) in read.record.plan_moves(&live, owners) {
            if self.owned_shards.is_active(shard) && to != self.incarnation {
                self.start_handover(now, shard, to);
                moved += 1;
            }
        }
        if moved > 0 {
            self.log(Kind::Rebalance, format!("{moved} shards"));
        }
        if self.leaving && live.is_empty() {
            self.release_idle_shards();
        }
    }

    /// Gives up the shards of a leaving entry that has no live peers, once no job or request is open.
    fn release_idle_shards(&mut self) {
        let open = self
            .table
            .iter()
            .any(|(_, j)| j.ended.is_none() && j.submitted);
        if open || !self.requests.is_empty() {
            return;
        }
        let shards: Vec<ShardId> = self.owned_shards.iter().map(|(s, _)| *s).collect();
        for shard in shards {
            if self.owned_shards.is_active(shard) {
                self.owned_shards.set_phase(shard, Phase::HandedOver(0));
            }
        }
    }

    /// Suspends a shard and sends its job records to the next owner.
    fn start_handover(&mut self, now: Now, shard: ShardId, to: u64) {
        let Some(held) = self.owned_shards.get(shard).cloned() else {
            return;
        };
        let peer = self.peers.iter().find(|(_, p)| p.incarnation == to);
        let Some(link) = peer.map(|(l, _)| *l) else {
            return;
        };
        self.owned_shards.set_phase(shard, Phase::HandingOver(to));
        self.next_tag += 1;
        let round = self.next_tag;
        let since = now.mono;
        self.outgoing.insert(shard, Outgoing { round, since });
        let mut part = wire::Handover {
            shard: shard.0,
            epoch: held.epoch.0 + 1,
            clear_ms: held.clear_ms,
            round,
            ..Default::default()
        };
        let mut bytes = 0;
        for id in self.table.of_shard(shard) {
            let Some(record) = self.record_to_wire(now, id) else {
                continue;
            };
            bytes += record_size(&record);
            part.records.push(record);
            if bytes > CHUNK_BYTES {
                let next = wire::Handover {
                    records: Vec::new(),
                    index: part.index + 1,
                    ..part.clone()
                };
                let full = std::mem::replace(&mut part, next);
                self.send(link, Body::Handover(full));
                bytes = 0;
            }
        }
        part.last = true;
        self.send(link, Body::Handover(part));
    }

    fn record_to_wire(&self, now: Now, id: JobId) -> Option<wire::Record> {
        let job = self.table.get(self.table.find(id)?)?;
        let mut record = wire::Record {
            job: Some(id.wire()),
            digest: job.digest,
            service: job.lane.service.to_string(),
            team: job.lane.team.to_string(),
            left_us: micros(now.mono.until(job.deadline)),
            claimed: job.claimed,
            ..Default::default()
        };
        match &job.ended {
            Some(JobReply::Complete(body)) => {
                record.outcome = Outcome::Complete.code();
                record.tasks.push(wire::RecordTask {
                    body: body.clone(),
                    ..Default::default()
                });
            }
            Some(JobReply::Other(refusal)) => {
                record.outcome = refusal.outcome.map_or(0, Outcome::code);
                record.cause = refusal.cause.name().to_owned();
                record.detail = refusal.detail.clone();
                let tasks = job.tasks.iter().map(|t| self.task_to_wire(t));
                record.tasks = tasks.collect();
            }
            None => record.tasks = job.tasks.iter().map(|t| self.task_to_wire(t)).collect(),
        }
        Some(record)
    }

    fn task_to_wire(&self, task: &Task) -> wire::RecordTask {
        let mut record = wire::RecordTask {
            payload: task.payload.clone(),
            ..Default::default()
        };
        match &task.state {
            TaskState::Queued => {}
            TaskState::Placed { agent, attempt, .. } => {
                record.status = wire::Status::Running.into();
                record.incarnation = self.fleet.get(*agent).map_or(0, |w| w.incarnation);
                record.attempt = *attempt;
            }
            TaskState::Answered(body) => {
                record.status = wire::Status::Ok.into();
                record.body = body.clone();
            }
            TaskState::Failed(body) => {
                record.status = wire::Status::Failed.into();
                record.body = body.clone();
            }
            TaskState::Lost => record.status = wire::Status::Running.into(),
        }
        record
    }

    /// Collects the records of a shard that a peer hands over, and confirms them when complete.
    pub(super) fn on_handover(&mut self, _now: Now, link: LinkId, part: wire::Handover) {
        let shard = ShardId(part.shard);
        if part.index == 0 {
            let fresh = Incoming {
                epoch: Epoch(part.epoch),
                round: part.round,
                clear_ms: part.clear_ms,
                records: Vec::new(),
                is_complete: false,
                next_index: 0,
            };
            self.incoming.insert(shard, fresh);
        }
        let Some(incoming) = self.incoming.get_mut(&shard) else {
            return;
        };
        if incoming.round != part.round || incoming.next_index != part.index {
            return;
        }
        incoming.next_index += 1;
        incoming.records.extend(part.records);
        if part.last {
            incoming.is_complete = true;
            let handed = wire::Handed {
                shard: part.shard,
                epoch: part.epoch,
                round: part.round,
            };
            self.send(link, Body::Handed(handed));
        }
    }

    /// Handles the next owner's confirmation: the ownership record may now be changed.
    pub(super) fn on_handed(&mut self, _now: Now, _link: LinkId, handed: wire::Handed) {
        let shard = ShardId(handed.shard);
        let expected = self.outgoing.get(&shard).map(|o| o.round);
        let Some(held) = self.owned_shards.get(shard) else {
            return;
        };
        let Phase::HandingOver(to) = held.phase else {
            return;
        };
        if expected == Some(handed.round) {
            self.plan_due = Mono(0);
            self.owned_shards.set_phase(shard, Phase::HandedOver(to));
        }
    }

    /// Assigns the shards whose records have been confirmed to their next owners in `next`.
    pub(super) fn apply_handovers(&mut self, next: &mut OwnershipRecord) {
        let handed: Vec<(ShardId, Epoch, u64)> = self
            .owned_shards
            .iter()
            .filter_map(|(s, h)| match h.phase {
                Phase::HandedOver(to) => Some((*s, h.epoch, to)),
                _ => None,
            })
            .collect();
        for (shard, epoch, to) in handed {
            let slot = next.slot(shard);
            let ours = slot.owner == self.incarnation && slot.epoch == epoch.0;
            if ours && (to == 0 || next.member(to).is_some()) {
                next.transfer_shard(shard, to);
            }
        }
    }

    /// Aborts handovers whose next owner does not answer, and serves these shards again. It does
    /// nothing while a change of the record is in progress or unconfirmed, because that change may
    /// have given the shards away.
    pub(super) fn abort_late_handovers(&mut self, now: Now) {
        if self.change.is_some() || self.unconfirmed.is_some() {
            return;
        }
        let late: Vec<ShardId> = self
            .outgoing
            .iter()
            .filter(|(_, o)| now.mono >= o.since + HANDOVER_TIMEOUT)
            .map(|(s, _)| *s)
            .collect();
        for shard in late {
            self.outgoing.remove(&shard);
            self.owned_shards.set_phase(shard, Phase::Active);
            self.resume_shard(now, shard);
        }
    }

    /// Resumes the jobs of a shard whose handover was aborted.
    fn resume_shard(&mut self, now: Now, shard: ShardId) {
        for id in self.table.of_shard(shard) {
            let Some(key) = self.table.find(id) else {
                continue;
            };
            let open = |j: &Job| j.ended.is_none() && j.submitted && !j.claiming;
            if self.table.get(key).is_some_and(open) {
                self.enqueue(key);
            }
            self.end_if_decided(now, key);
        }
    }

    /// Serves a shard whose records were handed over under this epoch. Returns false if they were not
    /// received completely.
    pub(super) fn receive_shard(&mut self, now: Now, shard: ShardId, epoch: Epoch) -> bool {
        let complete = self
            .incoming
            .get(&shard)
            .is_some_and(|i| i.is_complete && i.epoch == epoch);
        if !complete {
            return false;
        }
        let Some(incoming) = self.incoming.remove(&shard) else {
            return false;
        };
        self.owned_shards
            .accept_handover(shard, epoch, incoming.clear_ms);
        let count = incoming.records.len();
        for record in incoming.records {
            self.receive_job(now, shard, record);
        }
        self.log(
            Kind::HandoverDone,
            format!("shard {}, {count} jobs", shard.0),
        );
        true
    }

    fn receive_job(&mut self, now: Now, shard: ShardId, record: wire::Record) {
        let Some(id) = JobId::from_wire(record.job) else {
            return;
        };
        let need = self
            .follower
            .config()
            .services
            .get(&record.service)
            .map_or(Room::TASK, |s| s.task_room());
        let lane = LaneName {
            team: self.names.get(&record.team),
            service: self.names.get(&record.service),
        };
        let ended = reply_from_record(&record);
        let tasks: Vec<Task> = record
            .tasks
            .iter()
            .map(|t| self.task_from_wire(now, t))
            .collect();
        let submitted = ended.is_none() && record.tasks.iter().any(|t| !t.payload.is_empty());
        let deadline = now.mono + Duration::from_micros(record.left_us);
        let key = self.table.insert(Job {
            id,
            shard,
            digest: record.digest,
            lane,
            need,
            tasks,
            deadline,
            waiters: Vec::new(),
            ended,
            retry_at: Mono(0),
            arrived: now.mono,
            submitted,
            claimed: record.claimed,
            claiming: false,
        });
        if submitted {
            self.deadlines.insert((deadline, key));
            self.enqueue(key);
        }
        self.track_received_tasks(now, key);
        self.end_if_decided(now, key);
    }

    /// Tracks the tasks of a received job that may be running, and recalls those of an open job.
    fn track_received_tasks(&mut self, now: Now, key: JobKey) {
        let Some(job) = self.table.get(key) else {
            return;
        };
        let (id, shard, open) = (job.id, job.shard, job.ended.is_none());
        let (lane, deadline) = (job.lane.clone(), job.deadline);
        let states: Vec<TaskState> = job.tasks.iter().map(|t| t.state.clone()).collect();
        for (i, state) in states.into_iter().enumerate() {
            let task = TaskKey {
                job: id,
                task: i as u32,
            };
            match state {
                TaskState::Placed { agent, attempt, .. } => {
                    self.adopt_running(now, task, agent, attempt);
                    if open {
                        self.send_recall(agent, task, attempt, shard);
                    }
                }
                TaskState::Lost => self.count_orphan(latest_end(now.mono, deadline), lane.clone()),
                _ => {}
            }
        }
    }

    fn task_from_wire(&self, now: Now, task: &wire::RecordTask) -> Task {
        let agent = self.fleet.key_by_incarnation(task.incarnation);
        let state = match (task.status(), agent) {
            (wire::Status::Ok, _) => TaskState::Answered(task.body.clone()),
            (wire::Status::Failed, _) => TaskState::Failed(task.body.clone()),
            (wire::Status::Running, Some(agent)) => TaskState::Placed {
                agent,
                attempt: task.attempt,
                at: now.mono,
            },
            (wire::Status::Running, None) => TaskState::Lost,
            _ => TaskState::Queued,
        };
        Task {
            payload: task.payload.clone(),
            state,
            tries: 0,
        }
    }
}

fn reply_from_record(record: &wire::Record) -> Option<JobReply> {
    let outcome = Outcome::from_code(record.outcome)?;
    if outcome == Outcome::Complete {
        let body = record.tasks.first().map(|t| t.body.clone());
        return Some(JobReply::Complete(body.unwrap_or_default()));
    }
    let cause = Cause::from_name(&record.cause).unwrap_or(Cause::Unreadable);
    Some(JobReply::Other(Refusal::new(
        outcome,
        cause,
        record.detail.clone(),
    )))
}

fn record_size(record: &wire::Record) -> usize {
    let task = |t: &wire::RecordTask| t.body.len() + t.payload.len() + 64;
    record.tasks.iter().map(task).sum::<usize>() + 128
}
