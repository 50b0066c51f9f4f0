//! Takeover: the steps after which an entry serves shards that the ownership record assigns to it.
//!
//! A round covers the shards that one change of the record assigned to this entry. The entry seals
//! them at every agent of the roster, which fences the former owner there and reads back what it
//! had started. The shards are served once the former owner's right has certainly expired and every
//! agent has answered. Shards are also served without the agents that do not answer in time; then
//! any job minted before that moment with a task that is not accounted for is `unknown`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Mono;
use crate::shard::Epoch;
use crate::shard::ShardId;

/// The number of a round, unique within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RoundId(pub u64);

/// A round in which shards are sealed and read back.
#[derive(Clone, Debug)]
pub struct Round {
    /// Its number.
    pub id: RoundId,
    /// The shards of the round and their epochs.
    pub claims: Vec<(ShardId, Epoch)>,
    /// The incarnations of the agents that have not answered yet.
    pub pending: BTreeSet<u64>,
    /// When the former owners' right has expired if they knew this entry as a member. No shard of
    /// the round is served earlier.
    pub expiry: Mono,
    /// When it has expired in any case; agents that have not answered by then are not waited for.
    pub latest_expiry: Mono,
    /// Whether the former owners knew this entry as a member.
    pub known: bool,
    /// Whether the shards are served.
    pub served: bool,
    /// When the round was opened.
    pub began: Mono,
}

impl Round {
    /// Returns whether the shards can be served at `now`.
    pub fn is_ready(&self, now: Mono) -> bool {
        let read_back = self.pending.is_empty();
        now >= self.expiry && (read_back || now >= self.latest_expiry)
    }
}

/// The parameters of a new round.
#[derive(Clone, Debug)]
pub struct RoundStart {
    /// The shards of the round and their epochs.
    pub claims: Vec<(ShardId, Epoch)>,
    /// The incarnations of the agents that have to answer.
    pub agents: BTreeSet<u64>,
    /// The time until the former owners' right has expired if they knew this entry as a member.
    pub expiry: Duration,
    /// The time until it has expired in any case.
    pub latest_expiry: Duration,
    /// Whether the former owners knew this entry as a member.
    pub known: bool,
    /// The latest mint time, in Unix milliseconds, of a job that may have started tasks at an agent
    /// that is gone; 0 if none is gone.
    pub gone_ms: u64,
}

/// The state of a shard that this entry owns.
#[derive(Clone, Debug)]
pub struct OwnedShard {
    /// The epoch under which it owns the shard.
    pub epoch: Epoch,
    /// The round that brought the shard, or `None` if another entry handed it over.
    pub round: Option<RoundId>,
    /// The phase of the shard; it is served only in [`Phase::Active`].
    pub phase: Phase,
    /// The latest mint time of a job that may have started tasks at an agent that was not read
    /// back, in Unix milliseconds with the allowances for clocks included; 0 if all were read back.
    pub clear_ms: u64,
}

/// The phase of a shard between takeover and handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is being sealed and read back.
    Sealing,
    /// It is served.
    Active,
    /// Its job records are being sent to the entry of this incarnation; no new job is accepted.
    HandingOver(u64),
    /// The entry of this incarnation has its job records, and only the ownership record has to
    /// change. With 0 the shard is given up without a next owner.
    HandedOver(u64),
}

/// The shards that an entry owns and the rounds that brought them.
#[derive(Debug, Default)]
pub struct OwnedShards {
    shards: BTreeMap<ShardId, OwnedShard>,
    rounds: BTreeMap<RoundId, Round>,
    last_round: u64,
}

impl OwnedShards {
    /// Returns the state of a shard, or `None` if this entry does not own it.
    pub fn get(&self, shard: ShardId) -> Option<&OwnedShard> {
        self.shards.get(&shard)
    }

    /// Returns an iterator over the owned shards.
    pub fn iter(&self) -> impl Iterator<Item = (&ShardId, &OwnedShard)> {
        self.shards.iter()
    }

    /// Returns the number of owned shards and the number of served ones among them.
    pub fn counts(&self) -> (usize, usize) {
        let is_active = |h: &&OwnedShard| h.phase == Phase::Active;
        (
            self.shards.len(),
            self.shards.values().filter(is_active).count(),
        )
    }

    /// Returns whether the shard is served.
    pub fn is_active(&self, shard: ShardId) -> bool {
        let held = self.shards.get(&shard);
        held.is_some_and(|h| h.phase == Phase::Active)
    }

    /// Returns whether the shard is being handed over to another entry.
    pub fn is_handing_over(&self, shard: ShardId) -> bool {
        let held = self.shards.get(&shard);
        held.is_some_and(|h| matches!(h.phase, Phase::HandingOver(_) | Phase::HandedOver(_)))
    }

    /// Sets the phase of an owned shard.
    pub fn set_phase(&mut self, shard: ShardId, phase: Phase) {
        if let Some(held) = self.shards.get_mut(&shard) {
            held.phase = phase;
        }
    }

    /// Removes a shard.
    pub fn release(&mut self, shard: ShardId) {
        self.shards.remove(&shard);
    }

    /// Removes all shards and rounds.
    pub fn clear(&mut self) {
        self.shards.clear();
        self.rounds.clear();
    }

    /// Adds a shard whose former owner sent its job records. It is served at once.
    pub fn accept_handover(&mut self, shard: ShardId, epoch: Epoch, clear_ms: u64) {
        let held = OwnedShard {
            epoch,
            round: None,
            phase: Phase::Active,
            clear_ms,
        };
        self.shards.insert(shard, held);
    }

    /// Opens a round for shards that the record has just assigned to this entry.
    pub fn open_round(&mut self, now: Mono, start: RoundStart) -> RoundId {
        let RoundStart {
            claims,
            agents,
            expiry,
            latest_expiry,
            known,
            gone_ms,
        } = start;
        self.last_round += 1;
        let id = RoundId(self.last_round);
        for (shard, epoch) in &claims {
            let held = OwnedShard {
                epoch: *epoch,
                round: Some(id),
                phase: Phase::Sealing,
                clear_ms: gone_ms,
            };
            self.shards.insert(*shard, held);
        }
        let round = Round {
            id,
            claims,
            pending: agents,
            expiry: now + expiry,
            latest_expiry: now + latest_expiry.max(expiry),
            known,
            served: false,
            began: now,
        };
        self.rounds.insert(id, round);
        id
    }

    /// Returns a round by its number.
    pub fn round(&self, id: RoundId) -> Option<&Round> {
        self.rounds.get(&id)
    }

    /// Returns the rounds that wait for an agent.
    pub fn unanswered_rounds(&self, agent: u64) -> Vec<RoundId> {
        let ids = self
            .rounds
            .values()
            .filter(|r| r.pending.contains(&agent))
            .map(|r| r.id);
        ids.collect()
    }

    /// Records that an agent has answered a round. Returns whether the round was waiting for it.
    pub fn record_answer(&mut self, id: RoundId, agent: u64) -> bool {
        let Some(round) = self.rounds.get_mut(&id) else {
            return false;
        };
        round.pending.remove(&agent)
    }

    /// Returns the rounds whose shards can be served at `now` and are not served yet.
    pub fn ready_rounds(&self, now: Mono) -> Vec<RoundId> {
        let ready = |r: &&Round| !r.served && r.is_ready(now);
        let mut ids: Vec<RoundId> = self.rounds.values().filter(ready).map(|r| r.id).collect();
        ids.sort();
        ids
    }

    /// Marks the shards of a round as served. If agents have not answered, jobs minted up to
    /// `clear_ms` may have started there. Returns the shards and the number of those agents.
    pub fn activate(&mut self, id: RoundId, clear_ms: u64) -> (Vec<ShardId>, usize) {
        let Some(round) = self.rounds.get_mut(&id) else {
            return (Vec::new(), 0);
        };
        round.served = true;
        let lost = round.pending.len();
        let mut shards = Vec::new();
        for (shard, epoch) in &round.claims {
            let Some(held) = self.shards.get_mut(shard) else {
                continue;
            };
            if held.epoch != *epoch || held.phase != Phase::Sealing {
                continue;
            }
            held.phase = Phase::Active;
            if lost > 0 {
                held.clear_ms = held.clear_ms.max(clear_ms);
            }
            shards.push(*shard);
        }
        (shards, lost)
    }

    /// Drops served rounds that all agents have answered, and rounds whose shards this entry no
    /// longer owns.
    pub fn drop_finished_rounds(&mut self) {
        let shards = &self.shards;
        self.rounds.retain(|id, round| {
            let is_current = |(s, e): &(ShardId, Epoch)| {
                let h = shards.get(s);
                h.is_some_and(|h| h.epoch == *e && h.round == Some(*id))
            };
            let is_open = !round.served || !round.pending.is_empty();
            is_open && round.claims.iter().any(is_current)
        });
    }
}

#[cfg(test)]
mod tests;
