//! The backend servers and their agents, as known to one entry.
//!
//! The entry knows the load of its own tasks exactly. It knows the load that other entries have placed from
//! the reports that agents attach to answers and heartbeats.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::clock::Mono;
use crate::clock::Now;
use crate::clock::millis;
use crate::configuration::Service;
use crate::configuration::Site;
use crate::health::Health;
use crate::prelude::LinkId;
use crate::protos::wire;
use crate::room::Room;

new_key_type! {
    /// The key of an agent in the fleet.
    pub struct AgentKey;
}

/// The time without a message from an agent after which no new tasks are sent to it.
pub const MAX_SILENCE: Duration = Duration::from_millis(2_900);

/// An agent and its backend server.
#[derive(Debug)]
pub struct Worker {
    /// The name of the agent.
    pub name: Arc<str>,
    /// The incarnation of the agent.
    pub incarnation: u64,
    /// How long the agent had been up at `first_seen`, in milliseconds.
    up_ms: u64,
    /// When the link of this incarnation came up for the first time.
    first_seen: Mono,
    /// The hall it is in.
    pub hall: String,
    /// The availability zone it is in.
    pub zone: String,
    /// The resources of the backend server.
    pub room: Room,
    /// The link to the agent, while it is up.
    pub link: Option<LinkId>,
    /// When the last message from the agent arrived.
    pub last_heard: Mono,
    /// When the link to the agent went down.
    pub lost_at: Option<Mono>,
    /// Whether the agent has announced that it is leaving.
    pub leaving: bool,
    /// Whether its box is leaving, according to the platform's list of boxes.
    pub box_leaving: bool,
    /// Whether the last confirmed roster lists the agent.
    pub enrolled: bool,
    /// The configuration version in force at the agent.
    pub config: u64,
    /// The resources taken by tasks of this entry.
    pub own: Room,
    /// The number of tasks of this entry that are placed there.
    pub placed: u32,
    /// The resources taken by tasks of all entries, according to the last report.
    reported: Room,
    /// The resources taken by tasks of this entry at that report.
    reported_own: Room,
    /// The number of tasks of other entries that wait there, estimated from the last report.
    pub queued: u32,
    /// The number of starts that were sent on the current link.
    pub sent: u64,
    /// The last request for the right to start tasks on the current link: its number, and when it arrived.
    pub last_request: Option<(u64, Mono)>,
    /// The last grant on the current link: the number of the request that it answers, and when it was sent.
    pub last_grant: Option<(u64, Mono)>,
    /// Its performance compared with that of its peers.
    pub health: Health,
}

impl Worker {
    /// Returns a worker whose link has just come up.
    pub fn new(hello: &wire::Hello, link: LinkId, now: Mono) -> Worker {
        Worker {
            name: Arc::from(hello.name.as_str()),
            incarnation: hello.incarnation,
            up_ms: hello.up_ms,
            first_seen: now,
            hall: hello.hall.clone(),
            zone: hello.zone.clone(),
            room: Room::from_wire(hello.room),
            link: Some(link),
            last_heard: now,
            lost_at: None,
            leaving: false,
            box_leaving: false,
            enrolled: false,
            config: 0,
            own: Room::default(),
            placed: 0,
            reported: Room::default(),
            reported_own: Room::default(),
            queued: 0,
            sent: 0,
            last_request: None,
            last_grant: None,
            health: Health::default(),
        }
    }

    /// Returns when the agent started, by the clock of this entry, in milliseconds since the Unix epoch.
    ///
    /// It is computed from the uptime of the agent, because the clock of its box may be set between two
    /// starts.
    pub fn started_ms(&self, now: Now) -> u64 {
        let up_ms = self.up_ms + millis(now.mono.since(self.first_seen));
        now.wall_ms.saturating_sub(up_ms)
    }

    /// Returns its location, which decides the services that may run there.
    pub fn site(&self) -> Site<'_> {
        Site {
            name: &self.name,
            hall: &self.hall,
            zone: &self.zone,
        }
    }

    /// Returns whether the agent has requested the right on a link that is up, is enrolled and is not
    /// leaving.
    pub fn is_available(&self) -> bool {
        let linked = self.link.is_some() && self.last_request.is_some() && self.enrolled;
        linked && !self.leaving && !self.box_leaving
    }

    /// Returns whether new tasks may be sent to it.
    pub fn is_usable(&self, now: Mono) -> bool {
        self.is_available() && now < self.last_heard + MAX_SILENCE
    }

    /// Returns the resources in use: those of this entry's tasks exactly, those of other entries as last
    /// reported.
    pub fn used(&self) -> Room {
        self.own.plus(self.reported.minus(self.reported_own))
    }

    /// Returns the slots in use plus the tasks that wait there, in thousandths of all slots.
    pub fn fill(&self) -> u32 {
        let slots = self.room.slots.max(1);
        (self.used().slots + self.queued) * 1000 / slots
    }

    /// Returns whether one more task fits.
    pub fn fits(&self, need: Room) -> bool {
        self.room.fits(self.used(), need)
    }

    /// Applies a load report. It does not include starts that the agent had not received when it sent the
    /// report.
    pub fn report(&mut self, load: &wire::Load) {
        let in_flight = self.sent.saturating_sub(load.seen) as u32;
        self.reported = Room::from_wire(load.used);
        self.reported_own = Room {
            slots: self.own.slots.saturating_sub(in_flight),
            ..self.own
        };
        self.queued = load.queued.saturating_sub(self.own_queued());
    }

    /// Reserves the resources for a task of this entry.
    pub fn reserve(&mut self, need: Room) {
        self.own = self.own.plus(need);
        self.placed += 1;
    }

    /// Releases the resources of a task of this entry.
    pub fn release(&mut self, need: Room) {
        self.own = self.own.minus(need);
        self.placed = self.placed.saturating_sub(1);
    }

    /// Returns how many of the slots that this entry's tasks need are not there, so that tasks wait.
    fn own_queued(&self) -> u32 {
        self.own.slots.saturating_sub(self.room.slots)
    }
}

/// The agents that this entry knows.
#[derive(Debug, Default)]
pub struct Fleet {
    workers: SlotMap<AgentKey, Worker>,
    by_incarnation: HashMap<u64, AgentKey>,
    by_link: HashMap<LinkId, AgentKey>,
}

impl Fleet {
    /// Records that the link of an agent came up. An agent whose incarnation is known keeps its tasks.
    pub fn link_up(&mut self, hello: &wire::Hello, link: LinkId, now: Mono) -> AgentKey {
        if let Some(&key) = self.by_incarnation.get(&hello.incarnation) {
            let worker = &mut self.workers[key];
            if let Some(old) = worker.link.replace(link) {
                self.by_link.remove(&old);
            }
            worker.last_heard = now;
            worker.lost_at = None;
            worker.sent = 0;
            worker.last_request = None;
            worker.last_grant = None;
            self.by_link.insert(link, key);
            return key;
        }
        let key = self.workers.insert(Worker::new(hello, link, now));
        self.by_incarnation.insert(hello.incarnation, key);
        self.by_link.insert(link, key);
        key
    }

    /// Records that a link went down. Returns the agent that it led to.
    pub fn link_down(&mut self, link: LinkId, now: Mono) -> Option<AgentKey> {
        let key = self.by_link.remove(&link)?;
        let worker = self.workers.get_mut(key)?;
        worker.link = None;
        worker.lost_at = Some(now);
        Some(key)
    }

    /// Removes an agent.
    pub fn remove(&mut self, key: AgentKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.by_incarnation.remove(&worker.incarnation);
            if let Some(link) = worker.link {
                self.by_link.remove(&link);
            }
        }
    }

    /// Returns the agent of a key.
    pub fn get(&self, key: AgentKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Returns the agent of a key.
    pub fn get_mut(&mut self, key: AgentKey) -> Option<&mut Worker> {
        self.workers.get_mut(key)
    }

    /// Returns the agent at the other end of a link.
    pub fn key_by_link(&self, link: LinkId) -> Option<AgentKey> {
        self.by_link.get(&link).copied()
    }

    /// Returns the agent of an incarnation.
    pub fn key_by_incarnation(&self, incarnation: u64) -> Option<AgentKey> {
        self.by_incarnation.get(&incarnation).copied()
    }

    /// Iterates over all agents.
    pub fn iter(&self) -> impl Iterator<Item = (AgentKey, &Worker)> {
        self.workers.iter()
    }

    /// Iterates over all agents.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (AgentKey, &mut Worker)> {
        self.workers.iter_mut()
    }

    /// Returns the agents at which tasks of a service may run, whether or not they are usable now.
    pub fn permitted(&self, service: &Service) -> Vec<AgentKey> {
        let permitted = self
            .workers
            .iter()
            .filter(|(_, w)| service.permits(w.site()));
        permitted.map(|(key, _)| key).collect()
    }
}

#[cfg(test)]
mod tests;
