//! Agents and peers: heartbeats, rights, promises, configuration parts.

use std::sync::Arc;

use super::Entry;
use super::Peer;
use crate::clock::micros;
use crate::clock_check::Answered;
use crate::event::Kind;
use crate::fleet::AgentKey;
use crate::prelude::*;
use crate::tenure::RightState;

/// A peer that is behind by a configuration version for this long is sent it.
const BEHIND: Duration = Duration::from_millis(1_000);
/// A peer that asks for promises for this long, while this entry reaches the store, is cut off.
pub(super) const CUT_OFF: Duration = Duration::from_millis(1_000);
/// How many members watch over each that owns shards.
const WATCHERS: usize = 3;
/// Every so many heartbeats go to all peers, the others to the close ones only.
const SLOW_BEATS: u32 = 16;
/// How many of the last heartbeats are remembered.
const BEATS_KEPT: usize = 512;
/// A peer that has not asked for a promise for this long reaches the store again.
pub(super) const ASKING_BREAK: Duration = Duration::from_millis(1_000);

impl Entry {
    /// When this process was first given the time.
    pub(super) fn born(&self) -> Mono {
        self.born
    }

    pub(super) fn agent_up(&mut self, now: Now, link: LinkId, hello: &wire::Hello) {
        let key = self.fleet.link_up(hello, link, now.mono);
        self.replace_older(now, key);
        self.plan_due = now.mono;
        let enrolled = self
            .read
            .as_ref()
            .is_some_and(|r| r.roster.lists(hello.incarnation));
        if let Some(worker) = self.fleet.get_mut(key) {
            worker.enrolled = enrolled;
        }
        self.log(Kind::LinkUp, format!("agent {}", hello.name));
        self.permitted.clear();
        self.part_sent.remove(&key);
        if self.owns() {
            self.send_part(key);
        }
        self.seal_at(key);
        self.recall_at(key);
    }

    /// An agent that has started anew took its name over: the earlier incarnation is lost.
    fn replace_older(&mut self, now: Now, key: AgentKey) {
        let Some(name) = self.fleet.get(key).map(|w| w.name.clone()) else {
            return;
        };
        let older: Vec<AgentKey> = self
            .fleet
            .iter()
            .filter(|(k, w)| *k != key && w.name == name)
            .map(|(k, _)| k)
            .collect();
        for old in older {
            self.lose_tasks(now, old);
            self.fleet.remove(old);
            self.part_sent.remove(&old);
        }
    }

    /// Asks a returned agent what became of the tasks that were placed there before.
    fn recall_at(&mut self, key: AgentKey) {
        let incarnation = self.fleet.get(key).map(|w| w.incarnation);
        let placed = self.placed.iter().filter(|(_, p)| p.agent == key);
        let placed = placed.map(|(t, p)| (*t, p.attempt, p.shard));
        let lost = self.lost.iter();
        let lost = lost.filter(|(_, l)| Some(l.incarnation) == incarnation);
        let lost = lost.map(|(t, l)| (*t, l.attempt, l.shard));
        let tasks: Vec<(TaskKey, u64, ShardId)> = placed.chain(lost).collect();
        for (task, attempt, shard) in tasks {
            self.recall(key, task, attempt, shard);
        }
    }

    pub(super) fn recall(&mut self, agent: AgentKey, task: TaskKey, attempt: u64, shard: ShardId) {
        let Some(link) = self.fleet.get(agent).and_then(|w| w.link) else {
            return;
        };
        let Some(epoch) = self.holdings.get(shard).map(|h| h.epoch) else {
            return;
        };
        self.waste("recall");
        let recall = wire::Recall {
            job: Some(task.job.wire()),
            task: task.task,
            attempt,
            shard: shard.0,
            epoch: epoch.0,
        };
        self.send(link, Body::Recall(recall));
    }

    pub(super) fn on_renew(&mut self, now: Now, link: LinkId, renew: wire::Renew) {
        let Some(key) = self.fleet.at(link) else {
            return;
        };
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        worker.heard = now.mono;
        worker.renewed = Some((renew.seq, now.mono));
        worker.leaving |= renew.leaving;
        worker.config = renew.config;
        if let Some(load) = &renew.load {
            worker.report(load);
        }
        let enrolled = worker.enrolled;
        let incarnation = worker.incarnation;
        let echoed = worker.granted.filter(|(seq, _)| *seq == renew.echo);
        worker.granted = Some((renew.seq, now.mono));
        if let Some((_, sent)) = echoed {
            self.compare_clock(
                now,
                incarnation,
                Answered {
                    clock_ms: renew.clock_ms,
                    sent,
                    held: Duration::from_micros(renew.since_us),
                    proven: renew.proven,
                },
            );
        }
        let remain = match self.tenure.right_state(now.mono) {
            RightState::Expired => Duration::ZERO,
            _ => self.tenure.remain(now.mono),
        };
        let grant = wire::Grant {
            seq: renew.seq,
            tenure: self.tenure.number(),
            remain_us: micros(remain),
            enrolled,
            entries: self.new_entries(link),
            standby: !self.owns(),
            clock_ms: now.wall_ms,
            proven: self.clocks.is_proven(),
        };
        self.send(link, Body::Grant(grant));
        self.resend_lagging_part(key);
    }

    /// The addresses of all entries, if the agent has not been told of this record's yet.
    fn new_entries(&mut self, link: LinkId) -> Vec<String> {
        let Some(read) = &self.read else {
            return Vec::new();
        };
        let seq = read.record.seq;
        if self.entries_sent.insert(link, seq) == Some(seq) {
            return Vec::new();
        }
        let members = read.record.members.iter();
        members.map(|m| m.address.clone()).collect()
    }

    /// Sends an agent its part of the configuration in force, unless it has it.
    pub(super) fn send_part(&mut self, key: AgentKey) {
        let version = self.follower.version();
        if version == 0 {
            return;
        }
        let Some(worker) = self.fleet.get(key) else {
            return;
        };
        let Some(link) = worker.link else {
            return;
        };
        let sent = self.part_sent.get(&key);
        if sent.is_some_and(|(v, _)| *v >= version) {
            return;
        }
        let part = self.follower.config().part(version, worker.site());
        let json: Arc<[u8]> = part.json().into();
        let same = sent.filter(|(_, before)| *before == json).map(|(v, _)| *v);
        let body = if same.is_some() {
            bytes::Bytes::new()
        } else {
            bytes::Bytes::copy_from_slice(&json)
        };
        self.part_sent.insert(key, (version, json));
        let part = wire::Part {
            version,
            json: body,
            same: same.unwrap_or(0),
        };
        self.send(link, Body::Part(part));
    }

    pub(super) fn send_parts(&mut self, _now: Now) {
        if !self.owns() {
            return;
        }
        let keys: Vec<AgentKey> = self.fleet.iter().map(|(k, _)| k).collect();
        for key in keys {
            self.send_part(key);
        }
    }

    /// Sends the part to an agent that is behind. A difference that did not fit what the agent had is
    /// followed by the whole part.
    fn resend_lagging_part(&mut self, key: AgentKey) {
        let version = self.follower.version();
        let behind = self.fleet.get(key).is_some_and(|w| w.config < version);
        if !behind {
            return;
        }
        let sent = self.part_sent.get(&key).is_some_and(|(v, _)| *v >= version);
        if sent {
            self.part_sent.remove(&key);
        }
        if sent || self.owns() {
            self.send_part(key);
        }
    }

    /// Whether this entry owns shards. The others are on standby: they hold links to the agents, and
    /// leave heartbeats and configuration parts to those that own some.
    pub(super) fn owns(&self) -> bool {
        self.holdings.counts().0 > 0
    }

    pub(super) fn peer_up(&mut self, now: Now, link: LinkId, hello: &wire::Hello) {
        self.log(Kind::LinkUp, format!("entry {}", hello.name));
        let older: Vec<LinkId> = self
            .peers
            .iter()
            .filter(|(_, p)| p.name == hello.name)
            .map(|(l, _)| *l)
            .collect();
        for old in older {
            self.peers.remove(&old);
            self.peer_down(now, old);
        }
        let peer = Peer {
            name: hello.name.clone(),
            incarnation: hello.incarnation,
            heard: now.mono,
            leaving: false,
            config: 0,
            behind: None,
            abreast: None,
            asking: None,
            forwards: 0,
            beaten: None,
        };
        self.peers.insert(link, peer);
        self.beat(now);
        self.reroute(now);
    }

    pub(super) fn peer_down(&mut self, now: Now, link: LinkId) {
        self.log(Kind::LinkDown, "entry");
        self.park_at(now, link);
    }

    /// Sends a heartbeat to the peers that are due one.
    pub(super) fn beat_due(&mut self, now: Now) {
        let slow = self.beats_sent.is_multiple_of(SLOW_BEATS);
        self.beats_sent += 1;
        let due = |inc: u64| slow || self.close_since.contains_key(&inc);
        let links = self.peers.iter().filter(|(_, p)| due(p.incarnation));
        let links: Vec<LinkId> = links.map(|(l, _)| *l).collect();
        self.beat_to(now, &links);
        self.ask_promises(now);
        self.pass_config(now);
    }

    /// Sends a heartbeat to every peer, because something has changed that they need to know.
    pub(super) fn beat(&mut self, now: Now) {
        let links: Vec<LinkId> = self.peers.keys().copied().collect();
        self.beat_to(now, &links);
    }

    pub(super) fn beat_to(&mut self, now: Now, links: &[LinkId]) {
        let seq = self.beats.back().map_or(1, |(seq, _)| seq + 1);
        self.beats.push_back((seq, now.mono));
        if self.beats.len() > BEATS_KEPT {
            self.beats.pop_front();
        }
        for link in links {
            let Some(peer) = self.peers.get(link) else {
                continue;
            };
            let read = self.read.as_ref();
            let known = read.is_some_and(|r| r.record.member(peer.incarnation).is_some());
            let mut beat = wire::Beat {
                seq,
                knows: if known { peer.incarnation } else { 0 },
                record: read.map_or(0, |r| r.record.seq),
                leaving: self.leaving,
                config: self.follower.version(),
                incarnation: self.me,
                ..Default::default()
            };
            self.tell_clocks(now, peer, &mut beat);
            self.send(*link, Body::Beat(beat));
        }
    }

    /// The peers with which heartbeats are exchanged at the full rate: those that watch over this
    /// entry, and those that it watches over.
    ///
    /// The members stand in a ring by incarnation; each that owns shards is watched by the next few.
    /// The others hear from it now and then, and notice a closed link.
    fn close_peers(&self) -> Vec<u64> {
        let Some(read) = &self.read else {
            return Vec::new();
        };
        let mut ring: Vec<u64> = read.record.members.iter().map(|m| m.incarnation).collect();
        ring.sort_unstable();
        let count = ring.len();
        let Some(place) = ring.iter().position(|inc| *inc == self.me) else {
            return ring;
        };
        let after = (1..=WATCHERS).map(|i| ring[(place + i) % count]);
        let before = (1..=WATCHERS).map(|i| ring[(place + count - i % count) % count]);
        let owns = |inc: &u64| read.record.shards.iter().any(|s| s.owner == *inc);
        let after = after.filter(|_| owns(&self.me));
        let mut close: Vec<u64> = after.chain(before.filter(owns)).collect();
        close.retain(|inc| *inc != self.me);
        close
    }

    /// Notes which peers are close from now on.
    pub(super) fn note_close(&mut self, now: Now) {
        let close = self.close_peers();
        self.close_since.retain(|inc, _| close.contains(inc));
        for incarnation in close {
            self.close_since.entry(incarnation).or_insert(now.mono);
        }
    }

    /// Whether a peer answers, as far as its heartbeats are expected.
    pub(super) fn alive(&self, now: Now, peer: &Peer) -> bool {
        match self.close_since.get(&peer.incarnation) {
            Some(since) => now.mono < peer.heard.max(*since) + self.setup.suspect,
            None => now.mono < peer.heard + self.setup.beat * SLOW_BEATS * 2,
        }
    }

    pub(super) fn on_beat(&mut self, now: Now, link: LinkId, beat: wire::Beat) {
        let me = self.me;
        let version = self.follower.version();
        let seq = self.read.as_ref().map_or(0, |r| r.record.seq);
        let Some(peer) = self.peers.get_mut(&link) else {
            return;
        };
        peer.heard = now.mono;
        let first = peer.beaten.is_none();
        peer.beaten = Some((beat.seq, now.mono));
        peer.leaving = beat.leaving;
        peer.config = beat.config;
        if peer.incarnation != beat.incarnation {
            peer.incarnation = beat.incarnation;
            peer.asking = None;
        }
        peer.abreast = match beat.record < seq {
            true => None,
            false => peer.abreast.or(Some(now.mono)),
        };
        if beat.knows == me {
            self.knew_me.insert(beat.incarnation);
        }
        peer.behind = match beat.config < version {
            true => peer.behind.or(Some(now.mono)),
            false => None,
        };
        if beat.record > seq {
            self.read_due = now.mono;
        }
        self.hear_clocks(now, link, &beat, first);
    }

    /// Sends the configuration in force to peers that have been behind for a while: the store may
    /// have gone away before they could read it.
    fn pass_config(&mut self, now: Now) {
        let late = |p: &Peer| p.behind.is_some_and(|at| now.mono >= at + BEHIND);
        let links: Vec<LinkId> = self
            .peers
            .iter()
            .filter(|(_, p)| late(p))
            .map(|(l, _)| *l)
            .collect();
        for link in links {
            if let Some(peer) = self.peers.get_mut(&link) {
                peer.behind = Some(now.mono);
            }
            let part = wire::Part {
                version: self.follower.version(),
                json: self.follower.value().clone(),
                same: 0,
            };
            self.send(link, Body::Part(part));
        }
    }

    /// While the store does not answer, asks every peer to take nothing over.
    fn ask_promises(&mut self, now: Now) {
        let Some(age) = self.tenure.read_age(now.mono) else {
            return;
        };
        if age < self.setup.tenure.lease / 2 {
            return;
        }
        let record = self.read.as_ref().map_or(0, |r| r.record.seq);
        let links: Vec<(LinkId, u64)> = self
            .peers
            .iter()
            .map(|(l, p)| (*l, p.incarnation))
            .collect();
        for (link, incarnation) in links {
            let seq = self.tenure.ask(incarnation, now.mono);
            let ask = wire::PromiseAsk { seq, record };
            self.send(link, Body::PromiseAsk(ask));
        }
    }

    pub(super) fn on_promise_ask(&mut self, now: Now, link: LinkId, ask: wire::PromiseAsk) {
        let reach = self.read_fresh(now);
        let Some(peer) = self.peers.get_mut(&link) else {
            return;
        };
        let asker = peer.incarnation;
        let unbroken = peer
            .asking
            .filter(|(_, last)| reach && now.mono < *last + ASKING_BREAK);
        let since = unbroken.map_or(now.mono, |(since, _)| since);
        peer.asking = Some((since, now.mono));
        let cut_off = reach && now.mono >= since + CUT_OFF;
        let member = self
            .read
            .as_ref()
            .is_some_and(|r| r.record.member(asker).is_some());
        let changing = self.change.as_ref().is_some_and(|c| c.reducing);
        let reducing = changing || self.doubt.is_some_and(|d| d.reducing);
        let given = member && !reducing && !cut_off;
        let span = self.setup.tenure.promise;
        if given {
            self.promised_out = self.promised_out.max(now.mono + span + span / 10);
        }
        let promise = wire::Promise {
            seq: ask.seq,
            given,
            span_us: micros(span),
        };
        self.send(link, Body::Promise(promise));
    }

    pub(super) fn on_promise(&mut self, now: Now, link: LinkId, promise: wire::Promise) {
        let Some(peer) = self.peers.get_mut(&link) else {
            return;
        };
        peer.heard = now.mono;
        let member = peer.incarnation;
        self.tenure.promise(member, promise.seq, promise.given);
    }
}
