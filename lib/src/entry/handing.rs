//! Handing shards over to another entry with their job records, at a planned leave or to even the
//! shards out: suspend, move, redirect. Requests for a shard that moves wait at their entry.

use super::Entry;
use super::account::surely_over;
use crate::clock::micros;
use crate::event::Kind;
use crate::job_table::Job;
use crate::job_table::JobKey;
use crate::job_table::Task;
use crate::job_table::TaskState;
use crate::lanes::LaneName;
use crate::outcome::Cause;
use crate::outcome::Refusal;
use crate::outcome::Verdict;
use crate::ownership::OwnershipRecord;
use crate::prelude::*;
use crate::takeover::Phase;
use crate::tenure::RightState;

/// How many bytes of records go into one message.
const CHUNK: usize = 256 * 1024;
/// How long the next owner may take to hold the records.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long the set of members must have been still before shards are evened out.
const STILL: Duration = Duration::from_secs(2);

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
    whole: bool,
    next: u32,
}

impl Entry {
    /// Begins to hand over the shards that should be elsewhere.
    pub(super) fn begin_moves(&mut self, now: Now) {
        let Some(read) = self.read.clone() else {
            return;
        };
        if self.tenure.right_state(now.mono) != RightState::Confirmed || self.change.is_some() {
            return;
        }
        let still = now.mono >= self.moved + STILL;
        let live = self.live(now, &read.record);
        if live != self.last_live {
            self.last_live = live.clone();
            self.moved = now.mono;
            if !self.leaving {
                return;
            }
        }
        if !still && !self.leaving {
            return;
        }
        let owners = self.follower.config().limits.owners as usize;
        let mut moved = 0;
        for (shard, to) in read.record.plan_moves(&live, owners) {
            if self.holdings.active(shard) && to != self.me {
                self.hand_over(now, shard, to);
                moved += 1;
            }
        }
        if moved > 0 {
            self.log(Kind::Rebalance, format!("{moved} shards"));
        }
        if self.leaving && live.is_empty() {
            self.release_idle();
        }
    }

    /// A leaving entry without peers gives its shards back once no job of theirs is open.
    fn release_idle(&mut self) {
        let open = self
            .table
            .iter()
            .any(|(_, j)| j.ended.is_none() && j.submitted);
        if open || !self.requests.is_empty() {
            return;
        }
        let shards: Vec<ShardId> = self.holdings.iter().map(|(s, _)| *s).collect();
        for shard in shards {
            if self.holdings.active(shard) {
                self.holdings.set_phase(shard, Phase::HandedOver(0));
            }
        }
    }

    fn hand_over(&mut self, now: Now, shard: ShardId, to: u64) {
        let Some(held) = self.holdings.get(shard).cloned() else {
            return;
        };
        let peer = self.peers.iter().find(|(_, p)| p.incarnation == to);
        let Some(link) = peer.map(|(l, _)| *l) else {
            return;
        };
        self.holdings.set_phase(shard, Phase::HandingOver(to));
        self.next_tag += 1;
        let round = self.next_tag;
        let since = now.mono;
        self.handing.insert(shard, Outgoing { round, since });
        let mut part = wire::Handover {
            shard: shard.0,
            epoch: held.epoch.0 + 1,
            clear_ms: held.clear_ms,
            round,
            ..Default::default()
        };
        let mut bytes = 0;
        for id in self.table.of_shard(shard) {
            let Some(record) = self.wire_record(now, id) else {
                continue;
            };
            bytes += record_bytes(&record);
            part.records.push(record);
            if bytes > CHUNK {
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

    fn wire_record(&self, now: Now, id: JobId) -> Option<wire::Record> {
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
            Some(Verdict::Complete(body)) => {
                record.outcome = Outcome::Complete.code();
                record.tasks.push(wire::RecordTask {
                    body: body.clone(),
                    ..Default::default()
                });
            }
            Some(Verdict::Other(refusal)) => {
                record.outcome = refusal.outcome.map_or(0, Outcome::code);
                record.cause = refusal.cause.name().to_owned();
                record.detail = refusal.detail.clone();
                let tasks = job.tasks.iter().map(|t| self.wire_task(t));
                record.tasks = tasks.collect();
            }
            None => record.tasks = job.tasks.iter().map(|t| self.wire_task(t)).collect(),
        }
        Some(record)
    }

    fn wire_task(&self, task: &Task) -> wire::RecordTask {
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

    pub(super) fn on_handover(&mut self, _now: Now, link: LinkId, part: wire::Handover) {
        let shard = ShardId(part.shard);
        if part.index == 0 {
            let fresh = Incoming {
                epoch: Epoch(part.epoch),
                round: part.round,
                clear_ms: part.clear_ms,
                records: Vec::new(),
                whole: false,
                next: 0,
            };
            self.incoming.insert(shard, fresh);
        }
        let Some(incoming) = self.incoming.get_mut(&shard) else {
            return;
        };
        if incoming.round != part.round || incoming.next != part.index {
            return;
        }
        incoming.next += 1;
        incoming.records.extend(part.records);
        if part.last {
            incoming.whole = true;
            let handed = wire::Handed {
                shard: part.shard,
                epoch: part.epoch,
                round: part.round,
            };
            self.send(link, Body::Handed(handed));
        }
    }

    pub(super) fn on_handed(&mut self, _now: Now, _link: LinkId, handed: wire::Handed) {
        let shard = ShardId(handed.shard);
        let expected = self.handing.get(&shard).map(|o| o.round);
        let Some(held) = self.holdings.get(shard) else {
            return;
        };
        let Phase::HandingOver(to) = held.phase else {
            return;
        };
        if expected == Some(handed.round) {
            self.plan_due = Mono(0);
            self.holdings.set_phase(shard, Phase::HandedOver(to));
        }
    }

    /// Puts the shards whose next owner holds their records into the next record.
    pub(super) fn want_handed(&mut self, next: &mut OwnershipRecord) {
        let handed: Vec<(ShardId, Epoch, u64)> = self
            .holdings
            .iter()
            .filter_map(|(s, h)| match h.phase {
                Phase::HandedOver(to) => Some((*s, h.epoch, to)),
                _ => None,
            })
            .collect();
        for (shard, epoch, to) in handed {
            let slot = next.slot(shard);
            let ours = slot.owner == self.me && slot.epoch == epoch.0;
            if ours && (to == 0 || next.member(to).is_some()) {
                next.transfer_shard(shard, to);
            }
        }
    }

    /// Goes on serving shards whose next owner does not answer. Once the record may have been
    /// changed for it, there is no way back until the record has been read.
    pub(super) fn tend_handing(&mut self, now: Now) {
        if self.change.is_some() || self.doubt.is_some() {
            return;
        }
        let late: Vec<ShardId> = self
            .handing
            .iter()
            .filter(|(_, o)| now.mono >= o.since + PATIENCE)
            .map(|(s, _)| *s)
            .collect();
        for shard in late {
            self.handing.remove(&shard);
            self.holdings.set_phase(shard, Phase::Active);
            self.take_back(now, shard);
        }
    }

    /// Goes on with the jobs of a shard that was to be handed over.
    fn take_back(&mut self, now: Now, shard: ShardId) {
        for id in self.table.of_shard(shard) {
            let Some(key) = self.table.find(id) else {
                continue;
            };
            let open = |j: &Job| j.ended.is_none() && j.submitted && !j.claiming;
            if self.table.get(key).is_some_and(open) {
                self.enqueue(key);
            }
            self.check_end(now, key);
        }
    }

    /// Serves a shard whose records were handed over under this epoch. Returns whether they were.
    pub(super) fn receive_handed(&mut self, now: Now, shard: ShardId, epoch: Epoch) -> bool {
        let whole = self
            .incoming
            .get(&shard)
            .is_some_and(|i| i.whole && i.epoch == epoch);
        if !whole {
            return false;
        }
        let Some(incoming) = self.incoming.remove(&shard) else {
            return false;
        };
        self.holdings
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
        let ended = ended_of(&record);
        let tasks: Vec<Task> = record
            .tasks
            .iter()
            .map(|t| self.read_task(now, t))
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
            again: Mono(0),
            arrived: now.mono,
            submitted,
            claimed: record.claimed,
            claiming: false,
        });
        if submitted {
            self.deadlines.insert((deadline, key));
            self.enqueue(key);
        }
        self.receive_placed(now, key);
        self.check_end(now, key);
    }

    /// Takes account of the tasks of a received job that may be running.
    fn receive_placed(&mut self, now: Now, key: JobKey) {
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
                        self.recall(agent, task, attempt, shard);
                    }
                }
                TaskState::Lost => self.haunt(surely_over(now.mono, deadline), lane.clone()),
                _ => {}
            }
        }
    }

    fn read_task(&self, now: Now, task: &wire::RecordTask) -> Task {
        let agent = self.fleet.of(task.incarnation);
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

fn ended_of(record: &wire::Record) -> Option<Verdict> {
    let outcome = Outcome::from_code(record.outcome)?;
    if outcome == Outcome::Complete {
        let body = record.tasks.first().map(|t| t.body.clone());
        return Some(Verdict::Complete(body.unwrap_or_default()));
    }
    let cause = Cause::from_name(&record.cause).unwrap_or(Cause::Unreadable);
    Some(Verdict::Other(Refusal::new(
        outcome,
        cause,
        record.detail.clone(),
    )))
}

fn record_bytes(record: &wire::Record) -> usize {
    let task = |t: &wire::RecordTask| t.body.len() + t.payload.len() + 64;
    record.tasks.iter().map(task).sum::<usize>() + 128
}
