//! Takeover: how an entry comes to serve shards that the ownership record has given it.
//!
//! A round is one change of the record that gave this entry shards. The entry seals them at every
//! agent of the roster, which fences the former owner there and reads back what it had started.
//! The shards are served once the former owner's right has surely lapsed and every agent has
//! answered. An agent that does not answer is a lost witness: then the shards are served without
//! it, and jobs minted before that moment for which a task is not accounted for are `unknown`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Mono;
use crate::shard::Epoch;
use crate::shard::ShardId;

/// A round's number, unique within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RoundId(pub u64);

/// A round of sealing.
#[derive(Clone, Debug)]
pub struct Round {
    /// Its number.
    pub id: RoundId,
    /// The shards it is about.
    pub claims: Vec<(ShardId, Epoch)>,
    /// Agents that have not answered yet, by incarnation.
    pub pending: BTreeSet<u64>,
    /// When the former owner's right has lapsed, if it knew this entry as a member.
    pub expiry: Mono,
    /// When it has lapsed in any case.
    pub latest_expiry: Mono,
    /// Whether the former owners knew this entry as a member.
    pub known: bool,
    /// Whether the shards are served.
    pub served: bool,
    /// When the round began.
    pub began: Mono,
}

impl Round {
    /// Whether the shards can be served at `now`.
    pub fn ready(&self, now: Mono) -> bool {
        let read_back = self.pending.is_empty();
        now >= self.expiry && (read_back || now >= self.latest_expiry)
    }
}

/// What a round begins with.
#[derive(Clone, Debug)]
pub struct RoundStart {
    /// The shards it is about.
    pub claims: Vec<(ShardId, Epoch)>,
    /// The agents that have to answer, by incarnation.
    pub agents: BTreeSet<u64>,
    /// After how long the former owners' right has lapsed, if they knew this entry as a member.
    pub expiry: Duration,
    /// After how long it has lapsed in any case.
    pub latest_expiry: Duration,
    /// Whether the former owners knew this entry as a member.
    pub known: bool,
    /// A job minted at or before this time may have started tasks at an agent that is gone.
    pub gone_ms: u64,
}

/// What this entry knows of a shard that it serves.
#[derive(Clone, Debug)]
pub struct Held {
    /// The epoch under which it owns the shard.
    pub epoch: Epoch,
    /// The round that has not been answered by all agents, if any.
    pub round: Option<RoundId>,
    /// Whether the shard is served.
    pub phase: Phase,
    /// A job minted at or before this time may have started tasks at a lost witness; in Unix
    /// milliseconds, allowances for clocks included.
    pub clear_ms: u64,
}

/// How far a shard has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Being sealed and read back.
    Sealing,
    /// Served.
    Active,
    /// Its records are being sent to the entry of this incarnation; nothing new is taken.
    HandingOver(u64),
    /// The next owner holds the records; only the record has to change.
    HandedOver(u64),
}

/// The shards of one entry and the rounds that brought them.
#[derive(Debug, Default)]
pub struct OwnedShards {
    held: BTreeMap<ShardId, Held>,
    rounds: BTreeMap<RoundId, Round>,
    next: u64,
}

impl OwnedShards {
    /// What is known of a shard; `None` if this entry does not own it.
    pub fn get(&self, shard: ShardId) -> Option<&Held> {
        self.held.get(&shard)
    }

    /// The shards, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&ShardId, &Held)> {
        self.held.iter()
    }

    /// How many shards are owned, and how many of them served.
    pub fn counts(&self) -> (usize, usize) {
        let active = |h: &&Held| h.phase == Phase::Active;
        (self.held.len(), self.held.values().filter(active).count())
    }

    /// Whether the shard is served.
    pub fn active(&self, shard: ShardId) -> bool {
        let held = self.held.get(&shard);
        held.is_some_and(|h| h.phase == Phase::Active)
    }

    /// Whether the shard's records are on their way to another entry.
    pub fn handing(&self, shard: ShardId) -> bool {
        let held = self.held.get(&shard);
        held.is_some_and(|h| matches!(h.phase, Phase::HandingOver(_) | Phase::HandedOver(_)))
    }

    /// Sets a shard's phase.
    pub fn set_phase(&mut self, shard: ShardId, phase: Phase) {
        if let Some(held) = self.held.get_mut(&shard) {
            held.phase = phase;
        }
    }

    /// Lets a shard go.
    pub fn release(&mut self, shard: ShardId) {
        self.held.remove(&shard);
    }

    /// Lets everything go.
    pub fn clear(&mut self) {
        self.held.clear();
        self.rounds.clear();
    }

    /// Takes a shard over from an owner that sent its records: served at once.
    pub fn accept_handover(&mut self, shard: ShardId, epoch: Epoch, clear_ms: u64) {
        let held = Held {
            epoch,
            round: None,
            phase: Phase::Active,
            clear_ms,
        };
        self.held.insert(shard, held);
    }

    /// Opens a round for shards that the record has just given to this entry.
    pub fn open(&mut self, now: Mono, opening: RoundStart) -> RoundId {
        let RoundStart {
            claims,
            agents,
            expiry,
            latest_expiry,
            known,
            gone_ms,
        } = opening;
        self.next += 1;
        let id = RoundId(self.next);
        for (shard, epoch) in &claims {
            let held = Held {
                epoch: *epoch,
                round: Some(id),
                phase: Phase::Sealing,
                clear_ms: gone_ms,
            };
            self.held.insert(*shard, held);
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

    /// A round by its number.
    pub fn round(&self, id: RoundId) -> Option<&Round> {
        self.rounds.get(&id)
    }

    /// The rounds that an agent has not answered.
    pub fn unanswered(&self, agent: u64) -> Vec<RoundId> {
        let open = self
            .rounds
            .values()
            .filter(|r| r.pending.contains(&agent))
            .map(|r| r.id);
        open.collect()
    }

    /// An agent has answered a round. Returns whether the round was waiting for it.
    pub fn answered(&mut self, id: RoundId, agent: u64) -> bool {
        let Some(round) = self.rounds.get_mut(&id) else {
            return false;
        };
        round.pending.remove(&agent)
    }

    /// The rounds whose shards can be served now and are not yet.
    pub fn ready(&self, now: Mono) -> Vec<RoundId> {
        let ready = |r: &&Round| !r.served && r.ready(now);
        let mut ids: Vec<RoundId> = self.rounds.values().filter(ready).map(|r| r.id).collect();
        ids.sort();
        ids
    }

    /// Serves the shards of a round; where witnesses were lost, jobs minted up to `clear_ms` may
    /// have started there. Returns the shards, and how many witnesses were lost.
    pub fn activate(&mut self, id: RoundId, clear_ms: u64) -> (Vec<ShardId>, usize) {
        let Some(round) = self.rounds.get_mut(&id) else {
            return (Vec::new(), 0);
        };
        round.served = true;
        let lost = round.pending.len();
        let mut shards = Vec::new();
        for (shard, epoch) in &round.claims {
            let Some(held) = self.held.get_mut(shard) else {
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

    /// Forgets rounds that all agents have answered or whose shards have gone elsewhere.
    pub fn forget(&mut self) {
        let held = &self.held;
        self.rounds.retain(|id, round| {
            let ours = |(s, e): &(ShardId, Epoch)| {
                let h = held.get(s);
                h.is_some_and(|h| h.epoch == *e && h.round == Some(*id))
            };
            let open = !round.served || !round.pending.is_empty();
            open && round.claims.iter().any(ours)
        });
    }
}

#[cfg(test)]
mod tests;
