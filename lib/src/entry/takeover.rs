//! Takes shards over: seals them at all agents of the roster, which fences the former owner off, and
//! reads back which tasks it had started. The shards are served once its right to act has expired and
//! the agents have answered or are given up.

use std::collections::BTreeSet;

use super::Entry;
use crate::clock::millis;
use crate::event::Kind;
use crate::fleet::AgentKey;
use crate::job_table::ANSWER_DROPPED;
use crate::job_table::Job;
use crate::job_table::JobKey;
use crate::job_table::Task;
use crate::job_table::TaskState;
use crate::lanes::LaneName;
use crate::ownership::OwnershipRecord;
use crate::ownership::Roster;
use crate::prelude::*;
use crate::takeover::RoundId;
use crate::takeover::RoundStart;
use crate::tenure::RightState;

/// How long agents have to answer a seal if no former owner's right has to expire.
const SEAL_WAIT: Duration = Duration::from_millis(1_000);

impl Entry {
    /// Starts a takeover round for shards that the record has just given to this entry.
    pub(super) fn start_takeover(
        &mut self,
        now: Now,
        claims: Vec<(ShardId, Epoch)>,
        record: &OwnershipRecord,
        roster: &Roster,
    ) {
        let former_owners: BTreeSet<u64> = claims
            .iter()
            .flat_map(|(s, _)| record.slot(*s).former_owners.iter().map(|c| c.owner))
            .collect();
        let lease = self.setup.tenure.lease;
        let expiry = if former_owners.is_empty() {
            Duration::ZERO
        } else {
            lease + lease / 20
        };
        let known = former_owners
            .iter()
            .all(|inc| self.acknowledged_by.contains(inc));
        let latest_expiry = if former_owners.is_empty() {
            SEAL_WAIT
        } else if known {
            expiry
        } else {
            self.remaining_extension(now)
        };
        let agents = roster.agents.iter().map(|a| a.incarnation).collect();
        let start = RoundStart {
            claims,
            agents,
            expiry,
            latest_expiry,
            known,
            gone_ms: roster.clear_ms(self.clock_allowance_ms()),
        };
        let id = self.owned_shards.open_round(now.mono, start);
        let keys: Vec<AgentKey> = self.fleet.iter().map(|(k, _)| k).collect();
        for key in keys {
            self.send_seal(key, id);
        }
    }

    /// Returns how long an owner that does not know this entry may still act on promises of its peers.
    pub(super) fn remaining_extension(&self, now: Now) -> Duration {
        let max_extension = self.setup.tenure.max_extension;
        let joined = self.joined_at.unwrap_or(now.mono);
        now.mono.until(joined + max_extension + max_extension / 20)
    }

    /// Sends an agent the seals of all rounds that it has not answered.
    pub(super) fn send_open_seals(&mut self, key: AgentKey) {
        let Some(incarnation) = self.fleet.get(key).map(|w| w.incarnation) else {
            return;
        };
        for id in self.owned_shards.unanswered_rounds(incarnation) {
            self.send_seal(key, id);
        }
    }

    fn send_seal(&mut self, key: AgentKey, id: RoundId) {
        let Some(link) = self.fleet.get(key).and_then(|w| w.link) else {
            return;
        };
        let Some(round) = self.owned_shards.round(id) else {
            return;
        };
        let seal = wire::Seal {
            round: id.0,
            claims: wire_claims(&round.claims),
            report: true,
        };
        self.send(link, Body::Seal(seal));
    }

    /// Announces shards that were handed over to this entry to the agents, which fence the former owner
    /// off and expect work from this entry from then on.
    pub(super) fn announce_received(&mut self, handed: &[(ShardId, Epoch)]) {
        if handed.is_empty() {
            return;
        }
        let seal = wire::Seal {
            round: 0,
            claims: wire_claims(handed),
            report: false,
        };
        let links = self.fleet.iter().filter_map(|(_, w)| w.link);
        for link in links.collect::<Vec<_>>() {
            self.send(link, Body::Seal(seal.clone()));
        }
    }

    /// Handles an agent's answer to a seal, which lists tasks that it has started.
    pub(super) fn on_sealed(&mut self, now: Now, link: LinkId, sealed: wire::Sealed) {
        let Some(agent) = self.fleet.key_by_link(link) else {
            return;
        };
        let Some(incarnation) = self.fleet.get(agent).map(|w| w.incarnation) else {
            return;
        };
        if let Some(worker) = self.fleet.get_mut(agent) {
            worker.last_heard = now.mono;
        }
        for started in &sealed.started {
            self.record_started_task(now, agent, started);
        }
        if sealed.last {
            self.unread_slots.remove(&incarnation);
            self.owned_shards
                .record_answer(RoundId(sealed.round), incarnation);
        }
    }

    /// Records what an agent reports of a task that it has started.
    fn record_started_task(&mut self, now: Now, agent: AgentKey, started: &wire::Started) {
        let Some(id) = JobId::from_wire(started.job) else {
            return;
        };
        let Some(shard) = self.shard_of(id) else {
            return;
        };
        if self.owned_shards.get(shard).is_none() || started.task >= started.tasks {
            return;
        }
        let key = match self.table.find(id) {
            Some(key) => key,
            None => self.insert_reported_job(now, id, shard, started),
        };
        let state = match started.status() {
            wire::Status::Ok => TaskState::Answered(started.body.clone()),
            wire::Status::Failed if !started.kept => TaskState::Failed(ANSWER_DROPPED),
            wire::Status::Failed => TaskState::Failed(started.body.clone()),
            _ => TaskState::Placed {
                agent,
                attempt: started.attempt,
                at: now.mono,
            },
        };
        let task = TaskKey {
            job: id,
            task: started.task,
        };
        let running = matches!(state, TaskState::Placed { .. });
        let index = started.task as usize;
        let updated = self.table.update(key, |job| {
            let Some(entry) = job.tasks.get_mut(index) else {
                return false;
            };
            let open = matches!(entry.state, TaskState::Queued | TaskState::Lost);
            if open && job.ended.is_none() {
                entry.state = state;
            }
            open
        });
        if updated != Some(true) {
            return;
        }
        if running {
            self.adopt_running(now, task, agent, started.attempt);
        }
        self.end_if_decided(now, key);
    }

    /// Inserts a job that is known from an agent's report only.
    fn insert_reported_job(
        &mut self,
        now: Now,
        id: JobId,
        shard: ShardId,
        started: &wire::Started,
    ) -> JobKey {
        let config = self.follower.config();
        let service = config.services.get(&started.service);
        let need = service.map_or(Room::TASK, |s| s.task_room());
        let longest = Duration::from_millis(config.limits.longest_ms);
        let lane = LaneName {
            team: self.names.get(&started.team),
            service: self.names.get(&started.service),
        };
        let task = Task {
            payload: bytes::Bytes::new(),
            state: TaskState::Queued,
            tries: 0,
        };
        self.table.insert(Job {
            id,
            shard,
            digest: started.digest,
            lane,
            need,
            tasks: vec![task; started.tasks as usize],
            arrived: now.mono,
            deadline: now.mono + longest,
            waiters: Vec::new(),
            ended: None,
            retry_at: Mono(0),
            submitted: false,
            claimed: false,
            claiming: false,
        })
    }

    /// Serves the shards whose takeover rounds are complete.
    pub(super) fn serve_ready_shards(&mut self, now: Now) {
        if self.tenure.right_state(now.mono) == RightState::Expired {
            return;
        }
        for id in self.owned_shards.ready_rounds(now.mono) {
            let began = self.owned_shards.round(id).map_or(now.mono, |r| r.began);
            self.reserve_unread_slots(now, id);
            let known = self.owned_shards.round(id).is_some_and(|r| r.known);
            let clear_ms = self.latest_taken_ms(now, known);
            let (shards, lost) = self.owned_shards.activate(id, clear_ms);
            if shards.is_empty() {
                continue;
            }
            self.counts.takeovers += 1;
            let took = millis(now.mono.since(began));
            let detail = format!("{} shards after {took} ms", shards.len());
            self.log(Kind::ShardActive, detail);
            if lost > 0 {
                self.log(Kind::ReadbackIncomplete, format!("{lost} agents"));
            }
            self.route_parked(now);
            self.process_held_requests(now);
        }
    }

    /// Reserves quota for tasks that may still run at agents that were not read back.
    fn reserve_unread_slots(&mut self, now: Now, id: RoundId) {
        let longest = self.follower.config().limits.longest_ms;
        let Some(read) = &self.read else {
            return;
        };
        let pending = self.owned_shards.round(id).map(|r| r.pending.clone());
        let pending = pending.unwrap_or_default();
        for agent in &read.roster.agents {
            if pending.contains(&agent.incarnation) {
                let until = now.mono + Duration::from_millis(longest);
                self.unread_slots
                    .insert(agent.incarnation, (until, agent.slots));
            }
        }
        for gone in &read.roster.gone {
            let left = (gone.until_ms + longest).saturating_sub(now.wall_ms);
            let until = now.mono + Duration::from_millis(left);
            self.unread_slots
                .insert(gone.incarnation, (until, gone.slots));
        }
    }
}

fn wire_claims(claims: &[(ShardId, Epoch)]) -> Vec<wire::Claim> {
    let claim = |(s, e): &(ShardId, Epoch)| wire::Claim {
        shard: s.0,
        epoch: e.0,
    };
    claims.iter().map(claim).collect()
}
