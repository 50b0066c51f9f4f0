//! Links to agents and peers: heartbeats, grants of the right to act, promises and configuration
//! parts. Each message updates what is known of its sender; the answers go out as actions.

use std::sync::Arc;

use super::Entry;
use super::Peer;
use crate::clock::micros;
use crate::clock_check::ClockAnswer;
use crate::event::Kind;
use crate::fleet::AgentKey;
use crate::prelude::*;
use crate::tenure::RightState;

/// How long a peer's configuration may be out of date before this entry sends it the newer one.
const CONFIG_LAG: Duration = Duration::from_millis(1_000);
/// How long a peer may ask for promises while this entry can read the store; after that the peer
/// counts as cut off from the store and gets no more promises. After three times as long its shards
/// are taken over.
pub(super) const CUT_OFF_DELAY: Duration = Duration::from_millis(1_000);
/// The number of members that watch each owner of shards.
const WATCHER_COUNT: usize = 3;
/// One in this many heartbeats goes to all peers; the others go to the ring neighbours only.
const SLOW_RATIO: u32 = 16;
/// The number of sent heartbeats whose times are remembered.
const KEPT_HEARTBEATS: usize = 512;
/// A peer that has not asked for a promise for this long counts as able to reach the store again.
pub(super) const ASKING_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Entry {
    /// Returns when this process was first given the time.
    pub(super) fn started_at(&self) -> Mono {
        self.started_at
    }

    /// Handles a new link to an agent: sends the configuration part and the open seals, and recalls
    /// the tasks placed there earlier.
    pub(super) fn agent_up(&mut self, now: Now, link: LinkId, hello: &wire::Hello) {
        let key = self.fleet.link_up(hello, link, now.mono);
        self.remove_older_incarnations(now, key);
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
        self.sent_parts.remove(&key);
        if self.is_owner() {
            self.send_part(key);
        }
        self.send_open_seals(key);
        self.recall_all(key);
    }

    /// Removes earlier incarnations of an agent that has restarted under the same name; their tasks
    /// are lost.
    fn remove_older_incarnations(&mut self, now: Now, key: AgentKey) {
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
            self.mark_tasks_lost(now, old);
            self.fleet.remove(old);
            self.sent_parts.remove(&old);
        }
    }

    /// Recalls the tasks that were placed at an agent before its link was restored.
    fn recall_all(&mut self, key: AgentKey) {
        let incarnation = self.fleet.get(key).map(|w| w.incarnation);
        let placed = self.placed.iter().filter(|(_, p)| p.agent == key);
        let placed = placed.map(|(t, p)| (*t, p.attempt, p.shard));
        let lost = self.lost.iter();
        let lost = lost.filter(|(_, l)| Some(l.incarnation) == incarnation);
        let lost = lost.map(|(t, l)| (*t, l.attempt, l.shard));
        let tasks: Vec<(TaskKey, u64, ShardId)> = placed.chain(lost).collect();
        for (task, attempt, shard) in tasks {
            self.send_recall(key, task, attempt, shard);
        }
    }

    /// Sends a recall: the agent reports the state of the task, and no longer starts it if it has not
    /// started yet.
    pub(super) fn send_recall(
        &mut self,
        agent: AgentKey,
        task: TaskKey,
        attempt: u64,
        shard: ShardId,
    ) {
        let Some(link) = self.fleet.get(agent).and_then(|w| w.link) else {
            return;
        };
        let Some(epoch) = self.owned_shards.get(shard).map(|h| h.epoch) else {
            return;
        };
        self.count_wasted("recall");
        let recall = wire::Recall {
            job: Some(task.job.wire()),
            task: task.task,
            attempt,
            shard: shard.0,
            epoch: epoch.0,
        };
        self.send(link, Body::Recall(recall));
    }

    /// Answers an agent's request with a grant for the time that the right to act still lasts.
    pub(super) fn on_renew(&mut self, now: Now, link: LinkId, renew: wire::Renew) {
        let Some(key) = self.fleet.key_by_link(link) else {
            return;
        };
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        worker.last_heard = now.mono;
        worker.last_request = Some((renew.seq, now.mono));
        worker.leaving |= renew.leaving;
        worker.config = renew.config;
        if let Some(load) = &renew.load {
            worker.report(load);
        }
        let enrolled = worker.enrolled;
        let incarnation = worker.incarnation;
        let echoed = worker.last_grant.filter(|(seq, _)| *seq == renew.echo);
        worker.last_grant = Some((renew.seq, now.mono));
        if let Some((_, sent)) = echoed {
            self.compare_clock(
                now,
                incarnation,
                ClockAnswer {
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
            entries: self.unsent_entries(link),
            standby: !self.is_owner(),
            clock_ms: now.wall_ms,
            proven: self.clocks.is_proven(),
        };
        self.send(link, Body::Grant(grant));
        self.resend_outdated_part(key);
    }

    /// Returns the addresses of all members, or nothing if those of this record were already sent on
    /// this link.
    fn unsent_entries(&mut self, link: LinkId) -> Vec<String> {
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

    /// Sends an agent its part of the configuration in force, unless this version was sent already. An
    /// unchanged part is sent as a reference to the version that the agent has.
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
        let sent = self.sent_parts.get(&key);
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
        self.sent_parts.insert(key, (version, json));
        let part = wire::Part {
            version,
            json: body,
            same: same.unwrap_or(0),
        };
        self.send(link, Body::Part(part));
    }

    pub(super) fn send_parts(&mut self, _now: Now) {
        if !self.is_owner() {
            return;
        }
        let keys: Vec<AgentKey> = self.fleet.iter().map(|(k, _)| k).collect();
        for key in keys {
            self.send_part(key);
        }
    }

    /// Sends the part to an agent whose configuration is out of date. If this version was sent before,
    /// it now goes out whole, in case the agent lacks the version that was referred to.
    fn resend_outdated_part(&mut self, key: AgentKey) {
        let version = self.follower.version();
        let behind = self.fleet.get(key).is_some_and(|w| w.config < version);
        if !behind {
            return;
        }
        let sent = self
            .sent_parts
            .get(&key)
            .is_some_and(|(v, _)| *v >= version);
        if sent {
            self.sent_parts.remove(&key);
        }
        if sent || self.is_owner() {
            self.send_part(key);
        }
    }

    /// Returns whether this entry owns shards. An entry without shards is on standby: agents renew with
    /// it less often, and it leaves configuration parts to the owners.
    pub(super) fn is_owner(&self) -> bool {
        self.owned_shards.counts().0 > 0
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
            last_heard: now.mono,
            leaving: false,
            config: 0,
            behind_since: None,
            current_since: None,
            ask_span: None,
            last_forward: 0,
            last_heartbeat: None,
        };
        self.peers.insert(link, peer);
        self.send_heartbeats(now);
        self.reroute(now);
    }

    pub(super) fn peer_down(&mut self, now: Now, link: LinkId) {
        self.log(Kind::LinkDown, "entry");
        self.park_requests_at(now, link);
    }

    /// Sends a heartbeat to the peers that are due one.
    pub(super) fn send_due_heartbeats(&mut self, now: Now) {
        let slow = self.heartbeat_rounds.is_multiple_of(SLOW_RATIO);
        self.heartbeat_rounds += 1;
        let due = |inc: u64| slow || self.neighbour_since.contains_key(&inc);
        let links = self.peers.iter().filter(|(_, p)| due(p.incarnation));
        let links: Vec<LinkId> = links.map(|(l, _)| *l).collect();
        self.send_heartbeats_to(now, &links);
        self.ask_promises(now);
        self.send_config_to_peers(now);
    }

    /// Sends a heartbeat to every peer at once, after a change that they need to know of.
    pub(super) fn send_heartbeats(&mut self, now: Now) {
        let links: Vec<LinkId> = self.peers.keys().copied().collect();
        self.send_heartbeats_to(now, &links);
    }

    pub(super) fn send_heartbeats_to(&mut self, now: Now, links: &[LinkId]) {
        let seq = self.heartbeats.back().map_or(1, |(seq, _)| seq + 1);
        self.heartbeats.push_back((seq, now.mono));
        if self.heartbeats.len() > KEPT_HEARTBEATS {
            self.heartbeats.pop_front();
        }
        for link in links {
            let Some(peer) = self.peers.get(link) else {
                continue;
            };
            let read = self.read.as_ref();
            let known = read.is_some_and(|r| r.record.member(peer.incarnation).is_some());
            let mut heartbeat = wire::Beat {
                seq,
                knows: if known { peer.incarnation } else { 0 },
                record: read.map_or(0, |r| r.record.seq),
                leaving: self.leaving,
                config: self.follower.version(),
                incarnation: self.incarnation,
                ..Default::default()
            };
            self.fill_clock_fields(now, peer, &mut heartbeat);
            self.send(*link, Body::Beat(heartbeat));
        }
    }

    /// Returns the peers with which heartbeats are exchanged at the full rate: those that watch this
    /// entry, and those that it watches.
    ///
    /// The members form a ring ordered by incarnation, and each owner of shards is watched by the next
    /// few. All others get its heartbeats at the slow rate, and notice a closed link.
    fn ring_neighbours(&self) -> Vec<u64> {
        let Some(read) = &self.read else {
            return Vec::new();
        };
        let mut ring: Vec<u64> = read.record.members.iter().map(|m| m.incarnation).collect();
        ring.sort_unstable();
        let count = ring.len();
        let Some(position) = ring.iter().position(|inc| *inc == self.incarnation) else {
            return ring;
        };
        let after = (1..=WATCHER_COUNT).map(|i| ring[(position + i) % count]);
        let before = (1..=WATCHER_COUNT).map(|i| ring[(position + count - i % count) % count]);
        let owns = |inc: &u64| read.record.shards.iter().any(|s| s.owner == *inc);
        let after = after.filter(|_| owns(&self.incarnation));
        let mut neighbours: Vec<u64> = after.chain(before.filter(owns)).collect();
        neighbours.retain(|inc| *inc != self.incarnation);
        neighbours
    }

    /// Updates the set of ring neighbours.
    pub(super) fn update_neighbours(&mut self, now: Now) {
        let neighbours = self.ring_neighbours();
        self.neighbour_since
            .retain(|inc, _| neighbours.contains(inc));
        for incarnation in neighbours {
            self.neighbour_since.entry(incarnation).or_insert(now.mono);
        }
    }

    /// Returns whether a peer's heartbeats arrive at the rate expected of it.
    pub(super) fn is_alive(&self, now: Now, peer: &Peer) -> bool {
        match self.neighbour_since.get(&peer.incarnation) {
            Some(since) => now.mono < peer.last_heard.max(*since) + self.setup.suspect_timeout,
            None => now.mono < peer.last_heard + self.setup.heartbeat_interval * SLOW_RATIO * 2,
        }
    }

    pub(super) fn on_heartbeat(&mut self, now: Now, link: LinkId, heartbeat: wire::Beat) {
        let me = self.incarnation;
        let version = self.follower.version();
        let seq = self.read.as_ref().map_or(0, |r| r.record.seq);
        let Some(peer) = self.peers.get_mut(&link) else {
            return;
        };
        peer.last_heard = now.mono;
        let first = peer.last_heartbeat.is_none();
        peer.last_heartbeat = Some((heartbeat.seq, now.mono));
        peer.leaving = heartbeat.leaving;
        peer.config = heartbeat.config;
        if peer.incarnation != heartbeat.incarnation {
            peer.incarnation = heartbeat.incarnation;
            peer.ask_span = None;
        }
        peer.current_since = match heartbeat.record < seq {
            true => None,
            false => peer.current_since.or(Some(now.mono)),
        };
        if heartbeat.knows == me {
            self.acknowledged_by.insert(heartbeat.incarnation);
        }
        peer.behind_since = match heartbeat.config < version {
            true => peer.behind_since.or(Some(now.mono)),
            false => None,
        };
        if heartbeat.record > seq {
            self.read_due = now.mono;
        }
        self.handle_clock_fields(now, link, &heartbeat, first);
    }

    /// Sends the configuration in force to peers that have had an older one for a while: the store may
    /// have become unavailable before they could read it.
    fn send_config_to_peers(&mut self, now: Now) {
        let late = |p: &Peer| p.behind_since.is_some_and(|at| now.mono >= at + CONFIG_LAG);
        let links: Vec<LinkId> = self
            .peers
            .iter()
            .filter(|(_, p)| late(p))
            .map(|(l, _)| *l)
            .collect();
        for link in links {
            if let Some(peer) = self.peers.get_mut(&link) {
                peer.behind_since = Some(now.mono);
            }
            let part = wire::Part {
                version: self.follower.version(),
                json: self.follower.value().clone(),
                same: 0,
            };
            self.send(link, Body::Part(part));
        }
    }

    /// While the store does not answer, asks every peer to promise to take nothing over.
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

    /// Answers a peer's request for a promise to take nothing over. It is refused to a peer that is no
    /// member, that seems cut off while this entry can read the store, or while this entry may be
    /// taking a right from another.
    pub(super) fn on_promise_ask(&mut self, now: Now, link: LinkId, ask: wire::PromiseAsk) {
        let readable = self.is_read_fresh(now);
        let Some(peer) = self.peers.get_mut(&link) else {
            return;
        };
        let asker = peer.incarnation;
        let unbroken = peer
            .ask_span
            .filter(|(_, last)| readable && now.mono < *last + ASKING_TIMEOUT);
        let since = unbroken.map_or(now.mono, |(since, _)| since);
        peer.ask_span = Some((since, now.mono));
        let cut_off = readable && now.mono >= since + CUT_OFF_DELAY;
        let member = self
            .read
            .as_ref()
            .is_some_and(|r| r.record.member(asker).is_some());
        let changing = self.change.as_ref().is_some_and(|c| c.revokes_right);
        let revokes_right = changing || self.unconfirmed.is_some_and(|d| d.revokes_right);
        let given = member && !revokes_right && !cut_off;
        let span = self.setup.tenure.promise;
        if given {
            self.promised_until = self.promised_until.max(now.mono + span + span / 10);
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
        peer.last_heard = now.mono;
        let member = peer.incarnation;
        self.tenure.promise(member, promise.seq, promise.given);
    }
}
